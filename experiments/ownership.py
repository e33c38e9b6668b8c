"""Compares strategies for deciding which host may run a non-idempotent request.

Callers send the requests of a flow to any of the hosts. Some requests reach two
hosts at once, and all are repeated until answered. Hosts crash between sending
to the upstream and receiving its answer, and hosts pause between the decision
to send and the sending, for longer than the lease of a request lasts. The
object API limits its rate, loses replies and has an outage.

- ``owner_in_flow_id``: only the process incarnation that the flow id names
  runs the requests of a flow; other hosts relay to it in one hop.
- ``request_lease_rerun``: a lease for each request in the object API, acquired
  by a conditional update. Other hosts relay to the holder that the lease names;
  after it has expired they take it over and run the request, unless the holder
  has recorded the answer in it.
- ``request_lease_unknown``: the same, but an expired lease is never taken over;
  the outcome is reported as unknown.
- ``request_lease_fenced``: as ``request_lease_rerun``, but the lease names the
  upstream, which checks the fencing token and records which requests it ran.
  The upstreams of the platform do neither, so this row shows an ideal.
- ``flow_lease_unknown``: a lease for each flow, which its holder renews. A host
  that takes it over runs no request created before that, but reports it as
  unknown.

Faults are tied to requests, so each strategy meets the same ones. Datagrams are
not lost and clocks are synchronous. Expired lease objects disappear without a
call, and a failed conditional update returns the current value; both favour the
leases.

Prints one JSON line for each strategy and request rate.
"""

import json
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NewType

from experiments._timeline import Timeline, percent, percentile

HostIndex = NewType('HostIndex', int)
FlowNumber = NewType('FlowNumber', int)
RequestIndex = NewType('RequestIndex', int)
LeaseKey = NewType('LeaseKey', int)

HOST_COUNT = 16
LOAD_SECONDS = 120
# Requests per second. The second rate is near the capacity of 7 upstreams with 2
# slots each and a mean service time of 50 ms.
REQUEST_RATES = (60, 240)
REQUESTS_PER_FLOW = 10
REQUEST_INTERVAL_SECONDS = 1.0
# One-way latency within the zone, and between callers and hosts.
HOP_SECONDS = 0.0015
CALLER_HOP_SECONDS = 0.003
# Shortest and longest service time.
SERVICE_SECONDS = (0.03, 0.07)
DEADLINE_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.4
# After so many sends without an answer, a caller opens a new flow, which its later
# requests use.
TRIES_BEFORE_NEW_FLOW = 2
# A caller gives up so long after the deadline.
CALLER_GRACE_SECONDS = 0.5
# Share of requests whose first send reaches two hosts.
DUPLICATED_SHARE = 0.2
# Crashes and pauses hit a host while it sends a request, which is the worst moment.
CRASHES_PER_SECOND = 0.2
PAUSES_PER_SECOND = 0.2
# Shortest and longest pause.
PAUSE_LENGTH_SECONDS = (1.2, 6.0)
# Time until a new process replaces a crashed one.
REPLACEMENT_SECONDS = 1.0
API_CALL_SECONDS = 0.003
API_WRITES_PER_SECOND = 500
API_READS_PER_SECOND = 2000
# A call that would wait longer at the object API is refused.
API_MAX_QUEUE_SECONDS = 0.5
API_TIMEOUT_SECONDS = 0.25
# Share of calls that are applied but whose reply is lost.
API_LOST_REPLY_SHARE = 0.01
# Shortest and longest first delay; it doubles with each repetition, up to
# MAX_BACKOFF_DOUBLINGS times.
API_BACKOFF_SECONDS = (0.05, 0.15)
MAX_BACKOFF_DOUBLINGS = 3
# Start and end of the outage of the object API, in seconds.
OUTAGE_PERIOD = (60.0, 75.0)
# Shorter than the deadline; otherwise an expired lease could never be taken over in
# time.
REQUEST_LEASE_SECONDS = 1.0
# A shorter lease would need a renewal for nearly every request.
FLOW_LEASE_SECONDS = 10.0
# Rate to which the calls per flow are extrapolated.
TARGET_FLOWS_PER_SECOND = 1_200_000


class Verdict(Enum):
    """Result that the caller received for a request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Fault(Enum):
    """Fault that hits the host which first sends a request to an upstream."""

    NONE = 'none'
    CRASH = 'crash'
    PAUSE = 'pause'


class ExpiryAction(Enum):
    """What a host does with a request whose lease has expired."""

    RERUN = 'rerun'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'


class ApiOutcome(Enum):
    """Result of a call to the object API as the calling host sees it."""

    DONE = 'done'
    THROTTLED = 'throttled'
    TIMED_OUT = 'timed_out'


@dataclass(frozen=True, slots=True)
class OwnerInFlowId:
    """Strategy: the process named in the flow id runs the requests of the flow."""


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Strategy: hosts acquire a lease for each request."""

    expiry_action: ExpiryAction


@dataclass(frozen=True, slots=True)
class FlowLease:
    """Strategy: hosts acquire a lease for each flow."""


Strategy = OwnerInFlowId | RequestLease | FlowLease


@dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of the process on a host."""

    host: HostIndex
    incarnation: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Content of a lease object in the object API.

    ``taken_over_at`` is 0 for the first holder. ``is_answered`` stands for the answer.
    """

    holder: Process
    token: int
    expires: float
    taken_over_at: float = 0
    is_answered: bool = False


@dataclass(slots=True)
class Flow:
    """Flow of a caller.

    A new flow that replaces one without answers gets a new number and owner.
    """

    number: FlowNumber
    owner: Process


@dataclass(slots=True, eq=False)
class Request:
    """A request and its outcome.

    ``severity``, from 0 to 1, scales the length of a pause or the delay of a crash.
    ``service_seconds`` is its processing time. Times are in seconds of virtual time.
    """

    index: RequestIndex
    flow: Flow
    position: int
    fault: Fault
    severity: float
    service_seconds: float
    is_duplicated: bool
    flow_number: FlowNumber = FlowNumber(0)
    owner: Process = Process(HostIndex(0), 0)
    created: float = 0
    arrived: float = 0
    started: float = 0
    ended: float = 0
    try_count: int = 0
    run_count: int = 0
    token: int = 0
    verdict: Verdict | None = None

    @property
    def deadline(self) -> float:
        """Return the time after which the request must not start."""
        return self.created + DEADLINE_SECONDS


@dataclass(slots=True)
class ProcessState:
    """In-memory state of one process; lost in a crash."""

    sent: set[RequestIndex] = field(default_factory=set)
    verdicts: dict[RequestIndex, Verdict] = field(default_factory=dict)
    leases: dict[LeaseKey, Lease] = field(default_factory=dict)
    waiting: dict[LeaseKey, list[Request]] = field(default_factory=dict)


@dataclass(slots=True)
class Host:
    """A host and the process that runs on it now."""

    process: Process
    state: ProcessState = field(default_factory=ProcessState)
    is_up: bool = True
    paused_until: float = 0


@dataclass(frozen=True, slots=True)
class CallerSends:
    """A caller sends a request for the first time or again."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerReceives:
    """A verdict arrives at the caller."""

    request: Request
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class CallerTimesOut:
    """A caller stops waiting; the outcome of the request is unknown to it."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestArrives:
    """A copy of a request arrives at a host, from a caller or relayed by a host."""

    process: Process
    request: Request
    relayed: bool


@dataclass(frozen=True, slots=True)
class SendDue:
    """A host sends a request as decided before, without checking the lease again."""

    process: Process
    request: Request
    token: int


@dataclass(frozen=True, slots=True)
class UpstreamReceives:
    """A request arrives at an upstream."""

    process: Process
    request: Request
    token: int


@dataclass(frozen=True, slots=True)
class UpstreamReplies:
    """The verdict of an upstream arrives at the host that sent the request."""

    process: Process
    request: Request
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call to the object API.

    ``update`` is the lease to store by a conditional update; None means a read.
    """

    process: Process
    key: LeaseKey
    sent: float
    update: Lease | None
    repetitions: int = 0


@dataclass(frozen=True, slots=True)
class ApiApplies:
    """The object API applies a call."""

    call: ApiCall


@dataclass(frozen=True, slots=True)
class ApiReplies:
    """A call ends for the host.

    ``lease`` is the current lease after the call; None if there is none or the call
    failed.
    """

    process: Process
    call: ApiCall
    outcome: ApiOutcome
    lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class ApiRetryDue:
    """A host repeats a refused call, or reads the lease after a time-out."""

    process: Process
    call: ApiCall


@dataclass(frozen=True, slots=True)
class HostCrashes:
    """A process crashes and loses its state."""

    process: Process


@dataclass(frozen=True, slots=True)
class HostRestarts:
    """A new process starts on a host after a crash."""

    host: HostIndex


HostEvent = RequestArrives | SendDue | UpstreamReplies | ApiReplies | ApiRetryDue
Event = (
    HostEvent
    | CallerSends
    | CallerReceives
    | CallerTimesOut
    | UpstreamReceives
    | ApiApplies
    | HostCrashes
    | HostRestarts
)


class ObjectApi:
    """Simulated object API with rate limits, lost replies and an outage."""

    def __init__(self, timeline: Timeline[Event], rng: random.Random) -> None:
        self.calls = 0
        self.calls_before_outage = 0
        self._timeline = timeline
        self._rng = rng
        self._leases: dict[LeaseKey, Lease] = {}
        self._free_at = {True: 0.0, False: 0.0}

    def call(self, call: ApiCall) -> None:
        """Accept a call; the reply arrives later as an event."""
        self.calls += 1
        now = self._timeline.now
        self.calls_before_outage += now < OUTAGE_PERIOD[0]
        if OUTAGE_PERIOD[0] <= now < OUTAGE_PERIOD[1]:
            self._reply(API_TIMEOUT_SECONDS, call, ApiOutcome.TIMED_OUT)
            return
        is_write = call.update is not None
        start = max(now, self._free_at[is_write])
        if start - now > API_MAX_QUEUE_SECONDS:
            self._reply(API_CALL_SECONDS, call, ApiOutcome.THROTTLED)
            return
        self._free_at[is_write] = start + 1 / (
            API_WRITES_PER_SECOND if is_write else API_READS_PER_SECOND
        )
        self._timeline.at(start + API_CALL_SECONDS / 2, ApiApplies(call))

    def apply(self, call: ApiCall) -> None:
        """Apply a call and reply; the host notices a lost reply by a time-out."""
        current = self._leases.get(call.key)
        update = call.update
        if update is not None:
            if update.token == (0 if current is None else current.token) + 1:
                current = update
                self._leases[call.key] = update
        if self._rng.random() < API_LOST_REPLY_SHARE:
            left = call.sent + API_TIMEOUT_SECONDS - self._timeline.now
            self._reply(max(API_CALL_SECONDS, left), call, ApiOutcome.TIMED_OUT)
        else:
            self._reply(API_CALL_SECONDS / 2, call, ApiOutcome.DONE, current)

    def _reply(
        self,
        delay: float,
        call: ApiCall,
        outcome: ApiOutcome,
        lease: Lease | None = None,
    ) -> None:
        self._timeline.after(delay, ApiReplies(call.process, call, outcome, lease))


class Cluster:
    """Callers, hosts and upstreams that use one ownership strategy."""

    def __init__(self, strategy: Strategy, rate: int, seed: int) -> None:
        self.timeline: Timeline[Event] = Timeline()
        self.requests: list[Request] = []
        self.flows = 0
        self.flows_before_outage = 0
        self.faults: Counter[Fault] = Counter()
        self._strategy = strategy
        self._rng = random.Random(f'fleet {seed}')
        self.api = ObjectApi(self.timeline, random.Random(f'api {seed}'))
        self._hosts = [Host(Process(HostIndex(one), 0)) for one in range(HOST_COUNT)]
        self._create_load(rate, random.Random(f'load {seed}'))

    def run(self) -> None:
        """Process events until none is left."""
        for event in self.timeline.run():
            match event:
                case (
                    RequestArrives()
                    | SendDue()
                    | UpstreamReplies()
                    | ApiReplies()
                    | ApiRetryDue()
                ):
                    self._on_host_event(event)
                case CallerSends(request):
                    self._send_to_hosts(request)
                case CallerReceives(request, verdict):
                    request.verdict = request.verdict or verdict
                case CallerTimesOut(request):
                    request.verdict = request.verdict or Verdict.UNKNOWN
                case UpstreamReceives():
                    self._run_request(event)
                case ApiApplies(call):
                    self.api.apply(call)
                case HostCrashes(process):
                    self._crash(process)
                case HostRestarts(host):
                    self._hosts[host].is_up = True

    def _create_load(self, rate: int, rng: random.Random) -> None:
        crash = CRASHES_PER_SECOND / rate
        pause = PAUSES_PER_SECOND / rate
        shares = (1 - crash - pause, crash, pause)
        for _ in range(rate * LOAD_SECONDS // REQUESTS_PER_FLOW):
            start = rng.uniform(0, LOAD_SECONDS)
            flow = Flow(FlowNumber(0), Process(HostIndex(0), 0))
            for position in range(REQUESTS_PER_FLOW):
                fault = rng.choices(tuple(Fault), shares)[0]
                request = Request(
                    RequestIndex(len(self.requests)),
                    flow,
                    position,
                    fault,
                    rng.random(),
                    rng.uniform(*SERVICE_SECONDS),
                    rng.random() < DUPLICATED_SHARE,
                )
                self.requests.append(request)
                when = start + position * REQUEST_INTERVAL_SECONDS
                self.timeline.at(when, CallerSends(request))

    # Callers.

    def _send_to_hosts(self, request: Request) -> None:
        if request.verdict is not None:
            return
        now = self.timeline.now
        flow = request.flow
        copies = 1
        if not request.try_count:
            if not request.position:
                self._open(flow)
            request.created = now
            request.arrived = now + CALLER_HOP_SECONDS
            request.flow_number = flow.number
            request.owner = flow.owner
            copies += request.is_duplicated
            self.timeline.at(
                request.deadline + CALLER_GRACE_SECONDS, CallerTimesOut(request)
            )
        elif (
            request.try_count == TRIES_BEFORE_NEW_FLOW
            and flow.number == request.flow_number
        ):
            self._open(flow)
        request.try_count += 1
        for host in self._rng.sample(self._running_hosts(), copies):
            copy = RequestArrives(host.process, request, relayed=False)
            self.timeline.after(CALLER_HOP_SECONDS, copy)
        self.timeline.after(RETRY_INTERVAL_SECONDS, CallerSends(request))

    def _open(self, flow: Flow) -> None:
        self.flows += 1
        self.flows_before_outage += self.timeline.now < OUTAGE_PERIOD[0]
        flow.number = FlowNumber(self.flows)
        flow.owner = self._rng.choice(self._running_hosts()).process

    def _running_hosts(self) -> list[Host]:
        return [host for host in self._hosts if host.is_up]

    # Hosts.

    def _on_host_event(self, event: HostEvent) -> None:
        host = self._hosts[event.process.host]
        if not host.is_up or host.process != event.process:
            return
        if self.timeline.now < host.paused_until:
            self.timeline.at(host.paused_until, event)
            return
        match event:
            case RequestArrives(_, request, relayed):
                self._on_request(host, request, relayed)
            case SendDue(process, request, token):
                self.timeline.after(
                    HOP_SECONDS, UpstreamReceives(process, request, token)
                )
                self._inject_crash(host, request)
            case UpstreamReplies(_, request, verdict):
                host.state.verdicts[request.index] = verdict
                self._reply_to_caller(request, verdict)
                self._record_answer(host, request, verdict)
            case ApiReplies():
                self._on_api_reply(host, event)
            case ApiRetryDue(process, call):
                self._call(host, call.key, call.update, call.repetitions)

    def _on_request(self, host: Host, request: Request, relayed: bool) -> None:
        verdict = host.state.verdicts.get(request.index)
        if verdict is not None:
            self._reply_to_caller(request, verdict)
        elif request.index not in host.state.sent:
            self._handle_request(host, request, relayed, fresh=False)

    def _handle_request(
        self,
        host: Host,
        request: Request,
        relayed: bool,
        fresh: bool,
    ) -> None:
        match self._strategy:
            case OwnerInFlowId():
                if request.owner == host.process:
                    self._send(host, request, token=0)
                else:
                    self._relay(request, request.owner)
            case RequestLease(expiry_action):
                key = LeaseKey(request.index)
                lease = host.state.leases.get(key)
                if lease is None:
                    self._wait(
                        host,
                        key,
                        request,
                        self._next_lease(host, REQUEST_LEASE_SECONDS),
                    )
                elif self.timeline.now >= lease.expires:
                    self._on_expired_lease(host, request, lease, expiry_action)
                elif lease.holder == host.process:
                    self._send(host, request, lease.token)
                elif not relayed:
                    self._relay(request, lease.holder)
            case FlowLease():
                self._handle_by_flow_lease(host, request, relayed, fresh)

    def _on_expired_lease(
        self,
        host: Host,
        request: Request,
        lease: Lease,
        expiry_action: ExpiryAction,
    ) -> None:
        match expiry_action:
            case ExpiryAction.UNKNOWN:
                self._reply_to_caller(request, Verdict.UNKNOWN)
            case _ if lease.is_answered:
                self._reply_to_caller(request, Verdict.ANSWERED)
            case ExpiryAction.RERUN | ExpiryAction.FENCED:
                successor = self._next_lease(host, REQUEST_LEASE_SECONDS, lease)
                self._wait(host, LeaseKey(request.index), request, successor)

    def _handle_by_flow_lease(
        self,
        host: Host,
        request: Request,
        relayed: bool,
        fresh: bool,
    ) -> None:
        now = self.timeline.now
        key = LeaseKey(request.flow_number)
        lease = host.state.leases.get(key)
        if lease is None:
            # Usually only the first request of a flow finds no lease, so only that one
            # creates a lease without reading first.
            create = fresh or not request.position
            update = self._next_lease(host, FLOW_LEASE_SECONDS) if create else None
            self._wait(host, key, request, update)
        elif now >= lease.expires:
            update = (
                self._next_lease(host, FLOW_LEASE_SECONDS, lease) if fresh else None
            )
            self._wait(host, key, request, update)
        elif lease.holder == host.process:
            if request.created < lease.taken_over_at:
                self._reply_to_caller(request, Verdict.UNKNOWN)
            else:
                self._send(host, request, lease.token)
            if (
                lease.expires - now < FLOW_LEASE_SECONDS / 2
                and key not in host.state.waiting
            ):
                host.state.waiting[key] = []
                self._call(host, key, self._next_lease(host, FLOW_LEASE_SECONDS, lease))
        elif not relayed:
            self._relay(request, lease.holder)

    def _send(self, host: Host, request: Request, token: int) -> None:
        host.state.sent.add(request.index)
        self.timeline.after(0, SendDue(host.process, request, token))
        if request.fault is Fault.PAUSE:
            request.fault = Fault.NONE
            self.faults[Fault.PAUSE] += 1
            low, high = PAUSE_LENGTH_SECONDS
            length = low + request.severity * (high - low)
            host.paused_until = self.timeline.now + length

    def _inject_crash(self, host: Host, request: Request) -> None:
        if request.fault is Fault.CRASH:
            request.fault = Fault.NONE
            self.faults[Fault.CRASH] += 1
            round_trip = HOP_SECONDS + request.service_seconds + HOP_SECONDS
            self.timeline.after(
                request.severity * round_trip, HostCrashes(host.process)
            )

    def _relay(self, request: Request, holder: Process) -> None:
        self.timeline.after(HOP_SECONDS, RequestArrives(holder, request, relayed=True))

    def _reply_to_caller(self, request: Request, verdict: Verdict) -> None:
        self.timeline.after(CALLER_HOP_SECONDS, CallerReceives(request, verdict))

    def _crash(self, process: Process) -> None:
        host = self._hosts[process.host]
        if host.process != process or len(self._running_hosts()) == 1:
            return
        host.process = Process(process.host, process.incarnation + 1)
        host.state = ProcessState()
        host.is_up = False
        host.paused_until = 0
        self.timeline.after(REPLACEMENT_SECONDS, HostRestarts(process.host))

    # Leases.

    def _next_lease(self, host: Host, length: float, old: Lease | None = None) -> Lease:
        expires = self.timeline.now + length
        if old is None:
            return Lease(host.process, 1, expires)
        renewal = old.holder == host.process
        taken_over_at = old.taken_over_at if renewal else self.timeline.now
        return Lease(host.process, old.token + 1, expires, taken_over_at)

    def _record_answer(self, host: Host, request: Request, verdict: Verdict) -> None:
        """Record the answer in the lease.

        A host that finds the lease expired later then does not run the request again.
        """
        key = LeaseKey(request.index)
        if (
            self._strategy != RequestLease(ExpiryAction.RERUN)
            or verdict is not Verdict.ANSWERED
        ):
            return
        lease = host.state.leases[key]
        answered = replace(lease, token=lease.token + 1, is_answered=True)
        self._call(host, key, answered)

    def _wait(
        self,
        host: Host,
        key: LeaseKey,
        request: Request,
        update: Lease | None,
    ) -> None:
        """Queue a request until its lease is known.

        There is one call at a time for each lease; ``update`` is None for a read.
        """
        waiting = host.state.waiting.get(key)
        if waiting is None:
            host.state.waiting[key] = [request]
            self._call(host, key, update)
        elif request not in waiting:
            waiting.append(request)

    def _call(
        self,
        host: Host,
        key: LeaseKey,
        update: Lease | None,
        repetitions: int = 0,
    ) -> None:
        now = self.timeline.now
        self.api.call(ApiCall(host.process, key, now, update, repetitions))

    def _on_api_reply(self, host: Host, reply: ApiReplies) -> None:
        key = reply.call.key
        now = self.timeline.now
        requests = host.state.waiting.get(key, ())
        waiting = [one for one in requests if now < one.deadline]
        match reply.outcome:
            case ApiOutcome.DONE:
                host.state.waiting.pop(key, None)
                if reply.lease is not None:
                    host.state.leases[key] = reply.lease
                for request in waiting:
                    if request.index not in host.state.sent:
                        self._handle_request(host, request, relayed=False, fresh=True)
            case _ if reply.call.update is not None and reply.call.update.is_answered:
                # Repeating is safe, as an update applies only to the previous token.
                self._retry_call(host, reply.call, reply.call.update)
            case ApiOutcome.THROTTLED | ApiOutcome.TIMED_OUT if not waiting:
                host.state.waiting.pop(key, None)
            case ApiOutcome.THROTTLED:
                self._retry_call(host, reply.call, reply.call.update)
            case ApiOutcome.TIMED_OUT:
                # The update may have been applied, so the host reads the lease first.
                self._retry_call(host, reply.call, None)

    def _retry_call(self, host: Host, call: ApiCall, update: Lease | None) -> None:
        repetitions = call.repetitions + 1
        again = ApiCall(host.process, call.key, call.sent, update, repetitions)
        doublings = min(call.repetitions, MAX_BACKOFF_DOUBLINGS)
        delay = self._rng.uniform(*API_BACKOFF_SECONDS) * (1 << doublings)
        self.timeline.after(delay, ApiRetryDue(host.process, again))

    # Upstreams.

    def _run_request(self, event: UpstreamReceives) -> None:
        request = event.request
        now = self.timeline.now
        verdict = Verdict.ANSWERED
        end = now + request.service_seconds
        if self._strategy == RequestLease(ExpiryAction.FENCED):
            if event.token < request.token:
                return
            request.token = event.token
            if request.run_count:
                end = max(now, request.ended)
                answer = UpstreamReplies(event.process, request, verdict)
                self.timeline.at(end + HOP_SECONDS, answer)
                return
        if now > request.deadline:
            end = now
            verdict = Verdict.NOT_RUN
        else:
            request.run_count += 1
            if request.run_count == 1:
                request.started = now
                request.ended = end
        self.timeline.at(
            end + HOP_SECONDS, UpstreamReplies(event.process, request, verdict)
        )


def measure(strategy: Strategy, rate: int, seed: int) -> dict[str, float]:
    """Simulate the load with one strategy; return the counts as a report line."""
    cluster = Cluster(strategy, rate, seed)
    cluster.run()
    requests = cluster.requests
    verdicts = Counter(one.verdict for one in requests)
    answered = [one for one in requests if one.verdict is Verdict.ANSWERED]
    # Requests during and after the outage are left out, because their waits and calls
    # show the backlog of the outage and not the usual cost.
    waits = [
        one.started - one.arrived - HOP_SECONDS
        for one in answered
        if one.created < OUTAGE_PERIOD[0] - DEADLINE_SECONDS
    ]
    outage = [
        one for one in requests if OUTAGE_PERIOD[0] <= one.created < OUTAGE_PERIOD[1]
    ]
    outage_answered = sum(one.verdict is Verdict.ANSWERED for one in outage)
    unknown = [one for one in requests if one.verdict is Verdict.UNKNOWN]
    requests_before_outage = sum(one.created < OUTAGE_PERIOD[0] for one in requests)
    steady_calls = cluster.api.calls_before_outage
    calls_per_flow = steady_calls / cluster.flows_before_outage
    return {
        'requests': len(requests),
        'crashes': cluster.faults[Fault.CRASH],
        'pauses': cluster.faults[Fault.PAUSE],
        'ran_twice': sum(one.run_count > 1 for one in requests),
        'answered': verdicts[Verdict.ANSWERED],
        'unknown': verdicts[Verdict.UNKNOWN],
        'unknown_created_outside_outage': sum(
            not OUTAGE_PERIOD[0] <= one.created < OUTAGE_PERIOD[1] for one in unknown
        ),
        'unknown_but_ran': sum(one.run_count > 0 for one in unknown),
        'not_run': verdicts[Verdict.NOT_RUN],
        'not_run_but_ran': sum(
            one.run_count > 0 for one in requests if one.verdict is Verdict.NOT_RUN
        ),
        'wait_ms_p50': round(1000 * percentile(waits, 0.5), 2),
        'wait_ms_mean': round(1000 * sum(waits) / len(waits), 2),
        'wait_ms_p99': round(1000 * percentile(waits, 0.99), 2),
        'answered_in_outage_percent': percent(outage_answered, len(outage)),
        'api_calls_per_request': round(steady_calls / requests_before_outage, 2),
        'api_calls_per_request_with_outage': round(
            cluster.api.calls / len(requests), 2
        ),
        'api_calls_per_second_at_target': round(
            calls_per_flow * TARGET_FLOWS_PER_SECOND,
        ),
    }


STRATEGIES: dict[str, Strategy] = {
    'owner_in_flow_id': OwnerInFlowId(),
    'request_lease_rerun': RequestLease(ExpiryAction.RERUN),
    'request_lease_unknown': RequestLease(ExpiryAction.UNKNOWN),
    'request_lease_fenced': RequestLease(ExpiryAction.FENCED),
    'flow_lease_unknown': FlowLease(),
}


def main() -> None:
    """Print one JSON line for each strategy and request rate."""
    for rate in REQUEST_RATES:
        for name, strategy in STRATEGIES.items():
            line = {'experiment': 'ownership', 'way': name, 'requests_per_second': rate}
            print(json.dumps(line | measure(strategy, rate, seed=1)), flush=True)


if __name__ == '__main__':
    main()
