"""Compares ways of deciding which host may run a non-idempotent request.

Callers send the requests of a flow through any of the hosts; some requests
reach two hosts at once and all are repeated until answered. Hosts crash
between sending to the upstream and hearing from it, and hosts are paused
between the decision to send and the sending, for longer than a request's
lease. The object API limits its rate, loses answers and is down for a while.

- ``owner_in_flow_id``: only the process incarnation that the flow id names
  runs the requests of a flow; other hosts relay to it in one hop.
- ``request_lease_rerun``: a lease for each request in the object API, taken
  by conditional update. Other hosts relay to the holder that the lease names;
  when it has lapsed they take it over and run the request, unless the holder
  has recorded the answer in it.
- ``request_lease_unknown``: the same, but a lapsed lease is never taken over;
  the outcome is reported as unknown.
- ``request_lease_fenced``: as ``request_lease_rerun``, but the lease names the
  upstream, which checks the fencing token and remembers what it ran. The
  platform's upstreams do neither, so this row shows an ideal.
- ``flow_lease_unknown``: a lease for each flow with its renewals. Who takes
  over runs no request created before that, and reports it as unknown.

Faults are tied to requests, so each way meets the same ones. Datagrams are
not lost and clocks agree. Lapsed lease objects disappear without a call and a
failed conditional update returns the current value; both favour the leases.

Prints one JSON line for each way and rate.
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

HOSTS = 16
SECONDS = 120
# The second rate is near the capacity of 7 upstreams with 2 slots and 50 ms.
RATES = (60, 240)
REQUESTS_IN_FLOW = 10
REQUEST_INTERVAL = 1.0
HOP = 0.0015
CALLER_HOP = 0.003
SERVICE = (0.03, 0.07)
DEADLINE = 2.0
RETRY_INTERVAL = 0.4
# A caller that heard nothing opens a new flow for its next requests.
SILENT_TRIES = 2
CALLER_PATIENCE = 0.5
SPRAYED_TWICE = 0.2
# Both are tied to requests as they are sent, to hit the worst moment.
CRASHES_PER_SECOND = 0.2
PAUSES_PER_SECOND = 0.2
PAUSE = (1.2, 6.0)
REPLACEMENT = 1.0
API_CALL = 0.003
API_WRITES = 500
API_READS = 2000
# Longer queues at the object API are answered with a refusal.
API_LONGEST_QUEUE = 0.5
API_TIMEOUT = 0.25
API_LOST = 0.01
# Doubled with each repetition, three times at most.
API_BACKOFF = (0.05, 0.15)
MOST_DOUBLINGS = 3
OUTAGE = (60.0, 75.0)
# Shorter than the deadline, or a lapsed lease could never be taken over in time.
REQUEST_LEASE = 1.0
# Shorter leases would cost a renewal for nearly each request.
FLOW_LEASE = 10.0
TARGET_FLOWS_PER_SECOND = 1_200_000


class Verdict(Enum):
    """What the caller was told."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Fault(Enum):
    """What happens to the host that sends a request first."""

    NONE = 'none'
    CRASH = 'crash'
    PAUSE = 'pause'


class Lapse(Enum):
    """What is done about a request whose lease has lapsed."""

    RERUN = 'rerun'
    UNKNOWN = 'unknown'
    FENCED = 'fenced'


class ApiOutcome(Enum):
    """How a call to the object API ended for the host."""

    DONE = 'done'
    THROTTLED = 'throttled'
    TIMED_OUT = 'timed_out'


@dataclass(frozen=True, slots=True)
class OwnerInFlowId:
    """The process named in the flow id runs the flow's requests."""


@dataclass(frozen=True, slots=True)
class RequestLease:
    """A lease for each request."""

    lapse: Lapse


@dataclass(frozen=True, slots=True)
class FlowLease:
    """A lease for each flow."""


Way = OwnerInFlowId | RequestLease | FlowLease


@dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of a host."""

    host: HostIndex
    incarnation: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Value of a lease object.

    ``taken_over`` is 0 for the first holder; ``done`` stands for the answer.
    """

    holder: Process
    token: int
    expires: float
    taken_over: float = 0
    done: bool = False


@dataclass(slots=True)
class Flow:
    """A caller's flow; a silent one is replaced under a new number."""

    number: FlowNumber
    owner: Process


@dataclass(slots=True, eq=False)
class Request:
    """A request and its outcome; ``severity`` scales its fault."""

    index: RequestIndex
    flow: Flow
    position: int
    fault: Fault
    severity: float
    service: float
    sprayed_twice: bool
    flow_number: FlowNumber = FlowNumber(0)
    owner: Process = Process(HostIndex(0), 0)
    created: float = 0
    arrived: float = 0
    started: float = 0
    ended: float = 0
    tries: int = 0
    runs: int = 0
    token: int = 0
    verdict: Verdict | None = None

    @property
    def deadline(self) -> float:
        """Return the time after which it must not start."""
        return self.created + DEADLINE


@dataclass(slots=True)
class Memory:
    """What one process knows; lost in a crash."""

    sent: set[RequestIndex] = field(default_factory=set)
    verdicts: dict[RequestIndex, Verdict] = field(default_factory=dict)
    leases: dict[LeaseKey, Lease] = field(default_factory=dict)
    waiting: dict[LeaseKey, list[Request]] = field(default_factory=dict)


@dataclass(slots=True)
class Host:
    """A place where processes follow each other."""

    process: Process
    memory: Memory = field(default_factory=Memory)
    up: bool = True
    paused_until: float = 0


@dataclass(frozen=True, slots=True)
class CallerTries:
    """A caller sends a request, or sends it again."""

    request: Request


@dataclass(frozen=True, slots=True)
class CallerHears:
    """A verdict arrives at the caller."""

    request: Request
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class CallerGivesUp:
    """The caller waits no longer."""

    request: Request


@dataclass(frozen=True, slots=True)
class CopyArrives:
    """A copy of a request arrives at a host."""

    process: Process
    request: Request
    relayed: bool


@dataclass(frozen=True, slots=True)
class SendDue:
    """A host that has decided to send does it, without a further check."""

    process: Process
    request: Request
    token: int


@dataclass(frozen=True, slots=True)
class UpstreamHears:
    """A request arrives at an upstream."""

    process: Process
    request: Request
    token: int


@dataclass(frozen=True, slots=True)
class UpstreamAnswers:
    """An upstream's verdict arrives at the host that sent the request."""

    process: Process
    request: Request
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call to the object API; without ``update`` it reads."""

    process: Process
    key: LeaseKey
    sent: float
    update: Lease | None
    repetitions: int = 0


@dataclass(frozen=True, slots=True)
class ApiApplies:
    """The object API carries out a call."""

    call: ApiCall


@dataclass(frozen=True, slots=True)
class ApiReplies:
    """The end of a call as the host sees it."""

    process: Process
    call: ApiCall
    outcome: ApiOutcome
    lease: Lease | None = None


@dataclass(frozen=True, slots=True)
class ApiRetryDue:
    """A host repeats a refused call, or reads back after a lost one."""

    process: Process
    call: ApiCall


@dataclass(frozen=True, slots=True)
class HostCrashes:
    """A process ends at once."""

    process: Process


@dataclass(frozen=True, slots=True)
class HostReturns:
    """A new process starts on a host."""

    host: HostIndex


HostEvent = CopyArrives | SendDue | UpstreamAnswers | ApiReplies | ApiRetryDue
Event = (
    HostEvent
    | CallerTries
    | CallerHears
    | CallerGivesUp
    | UpstreamHears
    | ApiApplies
    | HostCrashes
    | HostReturns
)


class ObjectApi:
    """The platform's object API: rates, lost answers and an outage."""

    def __init__(self, timeline: Timeline[Event], rng: random.Random) -> None:
        self.calls = 0
        self.calls_before_outage = 0
        self._timeline = timeline
        self._rng = rng
        self._leases: dict[LeaseKey, Lease] = {}
        self._free = {True: 0.0, False: 0.0}

    def call(self, call: ApiCall) -> None:
        """Accept a call; the reply follows as an event."""
        self.calls += 1
        now = self._timeline.now
        self.calls_before_outage += now < OUTAGE[0]
        if OUTAGE[0] <= now < OUTAGE[1]:
            self._reply(API_TIMEOUT, call, ApiOutcome.TIMED_OUT)
            return
        writes = call.update is not None
        start = max(now, self._free[writes])
        if start - now > API_LONGEST_QUEUE:
            self._reply(API_CALL, call, ApiOutcome.THROTTLED)
            return
        self._free[writes] = start + 1 / (API_WRITES if writes else API_READS)
        self._timeline.at(start + API_CALL / 2, ApiApplies(call))

    def apply(self, call: ApiCall) -> None:
        """Carry out a call; a lost reply is noticed by its timeout."""
        current = self._leases.get(call.key)
        update = call.update
        if update is not None:
            if update.token == (0 if current is None else current.token) + 1:
                current = update
                self._leases[call.key] = update
        if self._rng.random() < API_LOST:
            left = call.sent + API_TIMEOUT - self._timeline.now
            self._reply(max(API_CALL, left), call, ApiOutcome.TIMED_OUT)
        else:
            self._reply(API_CALL / 2, call, ApiOutcome.DONE, current)

    def _reply(
        self,
        delay: float,
        call: ApiCall,
        outcome: ApiOutcome,
        lease: Lease | None = None,
    ) -> None:
        self._timeline.after(delay, ApiReplies(call.process, call, outcome, lease))


class Fleet:
    """Callers, hosts and upstreams under one way of ownership."""

    def __init__(self, way: Way, rate: int, seed: int) -> None:
        self.timeline: Timeline[Event] = Timeline()
        self.requests: list[Request] = []
        self.flows = 0
        self.flows_before_outage = 0
        self.faults: Counter[Fault] = Counter()
        self._way = way
        self._rng = random.Random(f'fleet {seed}')
        self.api = ObjectApi(self.timeline, random.Random(f'api {seed}'))
        self._hosts = [Host(Process(HostIndex(one), 0)) for one in range(HOSTS)]
        self._create_load(rate, random.Random(f'load {seed}'))

    def run(self) -> None:
        """Run until nothing is left to happen."""
        for event in self.timeline.run():
            match event:
                case (
                    CopyArrives()
                    | SendDue()
                    | UpstreamAnswers()
                    | ApiReplies()
                    | ApiRetryDue()
                ):
                    self._on_host_event(event)
                case CallerTries(request):
                    self._try(request)
                case CallerHears(request, verdict):
                    request.verdict = request.verdict or verdict
                case CallerGivesUp(request):
                    request.verdict = request.verdict or Verdict.UNKNOWN
                case UpstreamHears():
                    self._run_request(event)
                case ApiApplies(call):
                    self.api.apply(call)
                case HostCrashes(process):
                    self._crash(process)
                case HostReturns(host):
                    self._hosts[host].up = True

    def _create_load(self, rate: int, rng: random.Random) -> None:
        crash = CRASHES_PER_SECOND / rate
        pause = PAUSES_PER_SECOND / rate
        shares = (1 - crash - pause, crash, pause)
        for _ in range(rate * SECONDS // REQUESTS_IN_FLOW):
            start = rng.uniform(0, SECONDS)
            flow = Flow(FlowNumber(0), Process(HostIndex(0), 0))
            for position in range(REQUESTS_IN_FLOW):
                fault = rng.choices(tuple(Fault), shares)[0]
                request = Request(
                    RequestIndex(len(self.requests)),
                    flow,
                    position,
                    fault,
                    rng.random(),
                    rng.uniform(*SERVICE),
                    rng.random() < SPRAYED_TWICE,
                )
                self.requests.append(request)
                when = start + position * REQUEST_INTERVAL
                self.timeline.at(when, CallerTries(request))

    # Callers.

    def _try(self, request: Request) -> None:
        if request.verdict is not None:
            return
        now = self.timeline.now
        flow = request.flow
        copies = 1
        if not request.tries:
            if not request.position:
                self._open(flow)
            request.created = now
            request.arrived = now + CALLER_HOP
            request.flow_number = flow.number
            request.owner = flow.owner
            copies += request.sprayed_twice
            self.timeline.at(request.deadline + CALLER_PATIENCE, CallerGivesUp(request))
        elif request.tries == SILENT_TRIES and flow.number == request.flow_number:
            self._open(flow)
        request.tries += 1
        for host in self._rng.sample(self._up(), copies):
            copy = CopyArrives(host.process, request, relayed=False)
            self.timeline.after(CALLER_HOP, copy)
        self.timeline.after(RETRY_INTERVAL, CallerTries(request))

    def _open(self, flow: Flow) -> None:
        self.flows += 1
        self.flows_before_outage += self.timeline.now < OUTAGE[0]
        flow.number = FlowNumber(self.flows)
        flow.owner = self._rng.choice(self._up()).process

    def _up(self) -> list[Host]:
        return [host for host in self._hosts if host.up]

    # Hosts.

    def _on_host_event(self, event: HostEvent) -> None:
        host = self._hosts[event.process.host]
        if not host.up or host.process != event.process:
            return
        if self.timeline.now < host.paused_until:
            self.timeline.at(host.paused_until, event)
            return
        match event:
            case CopyArrives(_, request, relayed):
                self._on_copy(host, request, relayed)
            case SendDue(process, request, token):
                self.timeline.after(HOP, UpstreamHears(process, request, token))
                self._perhaps_crash(host, request)
            case UpstreamAnswers(_, request, verdict):
                host.memory.verdicts[request.index] = verdict
                self._tell(request, verdict)
                self._record_answer(host, request, verdict)
            case ApiReplies():
                self._on_api_reply(host, event)
            case ApiRetryDue(process, call):
                self._call(host, call.key, call.update, call.repetitions)

    def _on_copy(self, host: Host, request: Request, relayed: bool) -> None:
        verdict = host.memory.verdicts.get(request.index)
        if verdict is not None:
            self._tell(request, verdict)
        elif request.index not in host.memory.sent:
            self._decide(host, request, relayed, fresh=False)

    def _decide(
        self,
        host: Host,
        request: Request,
        relayed: bool,
        fresh: bool,
    ) -> None:
        match self._way:
            case OwnerInFlowId():
                if request.owner == host.process:
                    self._send(host, request, token=0)
                else:
                    self._relay(request, request.owner)
            case RequestLease(lapse):
                key = LeaseKey(request.index)
                lease = host.memory.leases.get(key)
                if lease is None:
                    self._wait(host, key, request, self._lease(host, REQUEST_LEASE))
                elif self.timeline.now >= lease.expires:
                    self._on_lapsed_request(host, request, lease, lapse)
                elif lease.holder == host.process:
                    self._send(host, request, lease.token)
                elif not relayed:
                    self._relay(request, lease.holder)
            case FlowLease():
                self._decide_by_flow(host, request, relayed, fresh)

    def _on_lapsed_request(
        self,
        host: Host,
        request: Request,
        lease: Lease,
        lapse: Lapse,
    ) -> None:
        match lapse:
            case Lapse.UNKNOWN:
                self._tell(request, Verdict.UNKNOWN)
            case _ if lease.done:
                self._tell(request, Verdict.ANSWERED)
            case Lapse.RERUN | Lapse.FENCED:
                successor = self._lease(host, REQUEST_LEASE, lease)
                self._wait(host, LeaseKey(request.index), request, successor)

    def _decide_by_flow(
        self,
        host: Host,
        request: Request,
        relayed: bool,
        fresh: bool,
    ) -> None:
        now = self.timeline.now
        key = LeaseKey(request.flow_number)
        lease = host.memory.leases.get(key)
        if lease is None:
            # Only the first request of a flow probably finds no lease.
            create = fresh or not request.position
            update = self._lease(host, FLOW_LEASE) if create else None
            self._wait(host, key, request, update)
        elif now >= lease.expires:
            update = self._lease(host, FLOW_LEASE, lease) if fresh else None
            self._wait(host, key, request, update)
        elif lease.holder == host.process:
            if request.created < lease.taken_over:
                self._tell(request, Verdict.UNKNOWN)
            else:
                self._send(host, request, lease.token)
            if lease.expires - now < FLOW_LEASE / 2 and key not in host.memory.waiting:
                host.memory.waiting[key] = []
                self._call(host, key, self._lease(host, FLOW_LEASE, lease))
        elif not relayed:
            self._relay(request, lease.holder)

    def _send(self, host: Host, request: Request, token: int) -> None:
        host.memory.sent.add(request.index)
        self.timeline.after(0, SendDue(host.process, request, token))
        if request.fault is Fault.PAUSE:
            request.fault = Fault.NONE
            self.faults[Fault.PAUSE] += 1
            low, high = PAUSE
            length = low + request.severity * (high - low)
            host.paused_until = self.timeline.now + length

    def _perhaps_crash(self, host: Host, request: Request) -> None:
        if request.fault is Fault.CRASH:
            request.fault = Fault.NONE
            self.faults[Fault.CRASH] += 1
            heard = HOP + request.service + HOP
            self.timeline.after(request.severity * heard, HostCrashes(host.process))

    def _relay(self, request: Request, holder: Process) -> None:
        self.timeline.after(HOP, CopyArrives(holder, request, relayed=True))

    def _tell(self, request: Request, verdict: Verdict) -> None:
        self.timeline.after(CALLER_HOP, CallerHears(request, verdict))

    def _crash(self, process: Process) -> None:
        host = self._hosts[process.host]
        if host.process != process or len(self._up()) == 1:
            return
        host.process = Process(process.host, process.incarnation + 1)
        host.memory = Memory()
        host.up = False
        host.paused_until = 0
        self.timeline.after(REPLACEMENT, HostReturns(process.host))

    # Leases.

    def _lease(self, host: Host, length: float, old: Lease | None = None) -> Lease:
        expires = self.timeline.now + length
        if old is None:
            return Lease(host.process, 1, expires)
        renewal = old.holder == host.process
        taken_over = old.taken_over if renewal else self.timeline.now
        return Lease(host.process, old.token + 1, expires, taken_over)

    def _record_answer(self, host: Host, request: Request, verdict: Verdict) -> None:
        """Keep those from a second run who find the lease lapsed later."""
        key = LeaseKey(request.index)
        if self._way != RequestLease(Lapse.RERUN) or verdict is not Verdict.ANSWERED:
            return
        lease = host.memory.leases[key]
        done = replace(lease, token=lease.token + 1, done=True)
        self._call(host, key, done)

    def _wait(
        self,
        host: Host,
        key: LeaseKey,
        request: Request,
        update: Lease | None,
    ) -> None:
        """Let a request wait for a lease; one call at a time for each lease."""
        waiting = host.memory.waiting.get(key)
        if waiting is None:
            host.memory.waiting[key] = [request]
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
        requests = host.memory.waiting.get(key, ())
        waiting = [one for one in requests if now < one.deadline]
        match reply.outcome:
            case ApiOutcome.DONE:
                host.memory.waiting.pop(key, None)
                if reply.lease is not None:
                    host.memory.leases[key] = reply.lease
                for request in waiting:
                    if request.index not in host.memory.sent:
                        self._decide(host, request, relayed=False, fresh=True)
            case _ if reply.call.update is not None and reply.call.update.done:
                # Repeating is safe: an update names the token that it follows.
                self._retry_call(host, reply.call, reply.call.update)
            case ApiOutcome.THROTTLED | ApiOutcome.TIMED_OUT if not waiting:
                host.memory.waiting.pop(key, None)
            case ApiOutcome.THROTTLED:
                self._retry_call(host, reply.call, reply.call.update)
            case ApiOutcome.TIMED_OUT:
                # The update may have taken effect, so the host reads first.
                self._retry_call(host, reply.call, None)

    def _retry_call(self, host: Host, call: ApiCall, update: Lease | None) -> None:
        repetitions = call.repetitions + 1
        again = ApiCall(host.process, call.key, call.sent, update, repetitions)
        doublings = min(call.repetitions, MOST_DOUBLINGS)
        delay = self._rng.uniform(*API_BACKOFF) * (1 << doublings)
        self.timeline.after(delay, ApiRetryDue(host.process, again))

    # Upstreams.

    def _run_request(self, event: UpstreamHears) -> None:
        request = event.request
        now = self.timeline.now
        verdict = Verdict.ANSWERED
        end = now + request.service
        if self._way == RequestLease(Lapse.FENCED):
            if event.token < request.token:
                return
            request.token = event.token
            if request.runs:
                end = max(now, request.ended)
                answer = UpstreamAnswers(event.process, request, verdict)
                self.timeline.at(end + HOP, answer)
                return
        if now > request.deadline:
            end = now
            verdict = Verdict.NOT_RUN
        else:
            request.runs += 1
            if request.runs == 1:
                request.started = now
                request.ended = end
        self.timeline.at(end + HOP, UpstreamAnswers(event.process, request, verdict))


def measure(way: Way, rate: int, seed: int) -> dict[str, float]:
    """Run the load under one way and count outcomes."""
    fleet = Fleet(way, rate, seed)
    fleet.run()
    requests = fleet.requests
    verdicts = Counter(one.verdict for one in requests)
    answered = [one for one in requests if one.verdict is Verdict.ANSWERED]
    # After the outage, waits and calls show its backlog, not the usual cost.
    waits = [
        one.started - one.arrived - HOP
        for one in answered
        if one.created < OUTAGE[0] - DEADLINE
    ]
    outage = [one for one in requests if OUTAGE[0] <= one.created < OUTAGE[1]]
    outage_answered = sum(one.verdict is Verdict.ANSWERED for one in outage)
    unknown = [one for one in requests if one.verdict is Verdict.UNKNOWN]
    before = sum(one.created < OUTAGE[0] for one in requests)
    steady_calls = fleet.api.calls_before_outage
    calls_of_flow = steady_calls / fleet.flows_before_outage
    return {
        'requests': len(requests),
        'crashes': fleet.faults[Fault.CRASH],
        'pauses': fleet.faults[Fault.PAUSE],
        'ran_twice': sum(one.runs > 1 for one in requests),
        'answered': verdicts[Verdict.ANSWERED],
        'unknown': verdicts[Verdict.UNKNOWN],
        'unknown_created_outside_outage': sum(
            not OUTAGE[0] <= one.created < OUTAGE[1] for one in unknown
        ),
        'unknown_but_ran': sum(one.runs > 0 for one in unknown),
        'not_run': verdicts[Verdict.NOT_RUN],
        'not_run_but_ran': sum(
            one.runs > 0 for one in requests if one.verdict is Verdict.NOT_RUN
        ),
        'wait_ms_p50': round(1000 * percentile(waits, 0.5), 2),
        'wait_ms_mean': round(1000 * sum(waits) / len(waits), 2),
        'wait_ms_p99': round(1000 * percentile(waits, 0.99), 2),
        'answered_in_outage_percent': percent(outage_answered, len(outage)),
        'api_calls_per_request': round(steady_calls / before, 2),
        'api_calls_per_request_with_outage': round(fleet.api.calls / len(requests), 2),
        'api_calls_per_second_at_target': round(
            calls_of_flow * TARGET_FLOWS_PER_SECOND,
        ),
    }


WAYS: dict[str, Way] = {
    'owner_in_flow_id': OwnerInFlowId(),
    'request_lease_rerun': RequestLease(Lapse.RERUN),
    'request_lease_unknown': RequestLease(Lapse.UNKNOWN),
    'request_lease_fenced': RequestLease(Lapse.FENCED),
    'flow_lease_unknown': FlowLease(),
}


def main() -> None:
    """Print the comparison."""
    for rate in RATES:
        for name, way in WAYS.items():
            line = {'experiment': 'ownership', 'way': name, 'requests_per_second': rate}
            print(json.dumps(line | measure(way, rate, seed=1)), flush=True)


if __name__ == '__main__':
    main()
