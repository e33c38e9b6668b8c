"""Compares strategies for sharing the slots of a service's upstreams among hosts.

Requests with a deadline arrive at all hosts; a fifth of them is urgent. An
upstream whose slots are all in use refuses a request before starting it, and
queues nothing.

- ``owner_queue``: hosts relay each request to the owner, which keeps one
  priority queue (``lycheedeal.admission.ServiceQueue``) over all slots. No
  pushback is modelled, so refused requests are relayed in full, too.
- ``owner_queue_two_owners``: the same, but in every second period of 5 s half
  of the hosts relay to a second owner. Counts only requests that arrive in
  these periods.
- ``send_and_shed``: each host sends to the upstream with the fewest of its
  own requests in flight; a refused request goes to another upstream after a
  backoff. Bulk requests have a budget of 3 retries per request on average;
  urgent requests back off for a shorter time and are retried until their
  deadline.
- ``send_and_shed_10_percent``: the same with a budget of 0.1 retries per request
  for both kinds.
- ``slot_tokens``: only the holder of a slot's token uses the slot. A host that
  lacks one asks 3 others, which pass on a free token unless they know of older
  or more urgent work. No token is lost.
- ``slot_tokens_ask_all``: the same, but a host asks all others.

Prints one JSON line for each strategy and load.
"""

import heapq
import json
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType, Protocol

from experiments._timeline import Timeline, percent, percentile
from lycheedeal.admission import (
    Assignment,
    QueuedRequest,
    ServiceQueue,
    Shed,
)
from lycheedeal.model import (
    Endpoint,
    FlowId,
    Incarnation,
    KindId,
    RequestNumber,
    Service,
    ServiceName,
    ServiceNumber,
    Upstream,
    UpstreamId,
    UpstreamState,
    WorkKind,
    Zone,
)

HostIndex = NewType('HostIndex', int)
UpstreamIndex = NewType('UpstreamIndex', int)

HOST_COUNT = 16
UPSTREAM_COUNT = 7
SLOTS_PER_UPSTREAM = 2
LOAD_SECONDS = 30
# Requests that arrive before this time are not counted.
WARM_UP_SECONDS = 5
# Arrival rates as multiples of CAPACITY_PER_SECOND.
LOADS = (0.5, 0.9, 1.2, 3.0)
# Shortest and longest service time.
SERVICE_SECONDS = (0.03, 0.07)
MEAN_SERVICE_SECONDS = 0.05
# Requests per second that all slots can process.
CAPACITY_PER_SECOND = UPSTREAM_COUNT * SLOTS_PER_UPSTREAM / MEAN_SERVICE_SECONDS
DEADLINE_SECONDS = 2.0
URGENT_SHARE = 0.2
# One-way latency within a zone; all hosts and upstreams are in the same zone.
HOP_SECONDS = 0.0005
# A sign-off fits in one datagram, a batch of photos in five.
URGENT_BYTES = 400
BULK_BYTES = 6000
BULK_DATAGRAMS = 5
# Size of a message that asks for or passes a token.
CONTROL_BYTES = 40
# Periods with one owner and with two owners alternate.
OWNERSHIP_PERIOD_SECONDS = 5.0
# First and longest mean backoff; it doubles with each refusal.
URGENT_BACKOFF_SECONDS = (0.005, 0.04)
BULK_BACKOFF_SECONDS = (0.02, 0.32)
# Initial retries of a host, so that one with little traffic can retry a few times.
INITIAL_RETRY_BALANCE = 3
# Unused retries are kept up to this number.
MAX_RETRY_BALANCE = 50
# An owner sends a request that upstreams refuse at most so many times, which is also
# the limit in lycheedeal.requests.
MAX_SENDS = 16
ASK_INTERVAL_SECONDS = 0.01
# Longer than ASK_INTERVAL_SECONDS, so that the asks of one host overlap.
ASK_LIFETIME_SECONDS = 0.05
MICROSECONDS_PER_SECOND = 1_000_000
ZONE = Zone('a')


class Kind(Enum):
    """Kinds of work; the value is the priority, and lower values go first."""

    URGENT = 0
    BULK = 1


@dataclass(frozen=True, slots=True)
class OwnerQueue:
    """Strategy: one queue at the owner of the service."""

    two_owners: bool


@dataclass(frozen=True, slots=True)
class SendAndShed:
    """Strategy: hosts send at once, and upstreams shed what exceeds their slots.

    ``budget`` is the mean number of retries per request. ``urgent_exempt`` tells that
    urgent requests are retried without a budget.
    """

    budget: float
    urgent_exempt: bool


@dataclass(frozen=True, slots=True)
class SlotTokens:
    """Strategy: tokens for slots move between hosts.

    ``asked_hosts`` is the number of hosts that are asked for a token at a time.
    """

    asked_hosts: int


Strategy = OwnerQueue | SendAndShed | SlotTokens


@dataclass(slots=True, eq=False)
class Request:
    """A request and its outcome; times are in seconds of virtual time."""

    number: int
    kind: Kind
    host: HostIndex
    arrived: float
    service_seconds: float
    refusal_count: int = 0
    started: float = 0
    answered: float | None = None

    @property
    def deadline(self) -> float:
        """Return the time by which the answer is due."""
        return self.arrived + DEADLINE_SECONDS

    @property
    def rank(self) -> tuple[int, float]:
        """Return the sort key in a queue: priority, then time of arrival."""
        return self.kind.value, self.arrived

    def is_too_late(self, now: float) -> bool:
        """Tell whether the request may miss its deadline even if it is sent now.

        Running it might waste a slot.
        """
        return self.deadline - now < SERVICE_SECONDS[1] + 2 * HOP_SECONDS

    @property
    def in_time(self) -> bool:
        """Tell whether the request was answered by its deadline."""
        return self.answered is not None and self.answered <= self.deadline


@dataclass(frozen=True, slots=True)
class RequestArrives:
    """A request of a caller arrives at a host."""

    request: Request


@dataclass(frozen=True, slots=True)
class RelayedRequestArrives:
    """A request arrives at the owner of the service."""

    owner: HostIndex
    request: Request


@dataclass(frozen=True, slots=True)
class AttemptArrives:
    """A request that a host sent arrives at an upstream."""

    host: HostIndex
    upstream: UpstreamIndex
    request: Request


@dataclass(frozen=True, slots=True)
class AttemptEnds:
    """An upstream has processed a request."""

    attempt: AttemptArrives


@dataclass(frozen=True, slots=True)
class ReplyArrives:
    """The answer or refusal of an upstream arrives at the sending host."""

    attempt: AttemptArrives
    refused: bool


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The backoff of a refused request is over.

    ``avoided`` is the upstream that refused it.
    """

    request: Request
    avoided: UpstreamIndex


@dataclass(frozen=True, slots=True)
class DispatchDue:
    """The pause of a slot after a refusal is over, so the queue may use it again."""

    host: HostIndex


@dataclass(frozen=True, slots=True)
class TokenAskArrives:
    """A host's ask for a token arrives at another one.

    ``rank`` is that of the first request that waits at the asking host.
    """

    holder: HostIndex
    asker: HostIndex
    rank: tuple[int, float]
    sent: float


@dataclass(frozen=True, slots=True)
class TokenArrives:
    """A token arrives at a host."""

    host: HostIndex
    upstream: UpstreamIndex


@dataclass(frozen=True, slots=True)
class AskDue:
    """A host asks again for a token if requests still wait."""

    host: HostIndex


Event = (
    RequestArrives
    | RelayedRequestArrives
    | AttemptArrives
    | AttemptEnds
    | ReplyArrives
    | RetryDue
    | DispatchDue
    | TokenAskArrives
    | TokenArrives
    | AskDue
)


@dataclass(slots=True)
class TokenHost:
    """Waiting requests and free tokens of one host, and the asks of other hosts.

    ``asking`` tells that the next ask is scheduled.
    """

    waiting: list[tuple[tuple[int, float], int, Request]] = field(default_factory=list)
    free: deque[UpstreamIndex] = field(default_factory=deque)
    asks: dict[HostIndex, TokenAskArrives] = field(default_factory=dict)
    asking: bool = False


class SlotSharing(Protocol):
    """Implementation of a strategy; handles the events that concern hosts."""

    def handle(self, event: Event) -> None:
        """Handle one event; events of other strategies are ignored."""


class Cluster:
    """Upstreams, messages between hosts, and the counts of both."""

    def __init__(self, strategy: Strategy, load: float, seed: int) -> None:
        self.timeline: Timeline[Event] = Timeline()
        self.rng = random.Random(f'cluster {seed}')
        self.messages = 0
        self.bytes_sent = 0
        self.refusal_count = 0
        self.busy_microseconds: Counter[UpstreamIndex] = Counter()
        self.sends_by_host: Counter[HostIndex] = Counter()
        self.requests: list[Request] = []
        self._two_owner_periods_only = strategy == OwnerQueue(two_owners=True)
        self._running: Counter[UpstreamIndex] = Counter()
        self._create_load(load, random.Random(f'load {seed}'))
        self._sharing = _build_sharing(strategy, self)

    def run(self) -> None:
        """Process events until none is left."""
        for event in self.timeline.run():
            match event:
                case AttemptArrives():
                    self._start(event)
                case AttemptEnds(attempt):
                    self._running[attempt.upstream] -= 1
                    self.timeline.after(
                        HOP_SECONDS, ReplyArrives(attempt, refused=False)
                    )
                case ReplyArrives(attempt, refused=False):
                    attempt.request.answered = self.timeline.now
                    self._sharing.handle(event)
                case _:
                    self._sharing.handle(event)

    def is_counted_at(self, when: float) -> bool:
        """Tell whether events at a time are counted.

        Those of the warm-up and, with two owners, of the other periods are not.
        """
        if not WARM_UP_SECONDS <= when < LOAD_SECONDS:
            return False
        return has_two_owners(when) or not self._two_owner_periods_only

    def send(self, host: HostIndex, upstream: UpstreamIndex, request: Request) -> None:
        """Send a request from a host to an upstream."""
        if self.is_counted_at(self.timeline.now):
            self.sends_by_host[host] += 1
        self.timeline.after(HOP_SECONDS, AttemptArrives(host, upstream, request))

    def send_message(self, event: Event, size: int, datagrams: int = 1) -> None:
        """Send a message from one host to another; ``size`` is in bytes."""
        if self.is_counted_at(self.timeline.now):
            self.messages += datagrams
            self.bytes_sent += size
        self.timeline.after(HOP_SECONDS, event)

    def _start(self, attempt: AttemptArrives) -> None:
        now = self.timeline.now
        request = attempt.request
        if self._running[attempt.upstream] >= SLOTS_PER_UPSTREAM:
            request.refusal_count += 1
            self.refusal_count += self.is_counted_at(now)
            self.timeline.after(HOP_SECONDS, ReplyArrives(attempt, refused=True))
            return
        self._running[attempt.upstream] += 1
        request.started = now
        if self.is_counted_at(now):
            self.busy_microseconds[attempt.upstream] += round(
                request.service_seconds * MICROSECONDS_PER_SECOND
            )
        self.timeline.after(request.service_seconds, AttemptEnds(attempt))

    def _create_load(self, load: float, rng: random.Random) -> None:
        rate = load * CAPACITY_PER_SECOND
        when = rng.expovariate(rate)
        while when < LOAD_SECONDS:
            kind = Kind.URGENT if rng.random() < URGENT_SHARE else Kind.BULK
            host = HostIndex(rng.randrange(HOST_COUNT))
            number = len(self.requests)
            request = Request(number, kind, host, when, rng.uniform(*SERVICE_SECONDS))
            self.requests.append(request)
            self.timeline.at(when, RequestArrives(request))
            when += rng.expovariate(rate)


def has_two_owners(when: float) -> bool:
    """Tell whether two hosts believe that they own the service."""
    return int(when / OWNERSHIP_PERIOD_SECONDS) % 2 == 1


def _build_sharing(strategy: Strategy, cluster: Cluster) -> SlotSharing:
    match strategy:
        case OwnerQueue(two_owners):
            return OwnerSharing(cluster, two_owners)
        case SendAndShed():
            return ShedSharing(cluster, strategy)
        case SlotTokens(asked_hosts):
            return TokenSharing(cluster, asked_hosts)


class OwnerSharing:
    """Hosts that relay all requests to owners, which use the queue of admission."""

    def __init__(self, cluster: Cluster, two_owners: bool) -> None:
        self._cluster = cluster
        self._two_owners = two_owners
        self._queues = {
            HostIndex(host): _service_queue(cluster.rng)
            for host in range(1 + two_owners)
        }
        self._requests: dict[int, Request] = {}
        self._assignments: dict[int, Assignment] = {}

    def handle(self, event: Event) -> None:
        """Handle one event."""
        match event:
            case RequestArrives(request):
                self._relay(request)
            case RelayedRequestArrives(owner, request):
                self._enqueue(owner, request)
            case ReplyArrives(attempt, refused):
                self._on_reply(attempt, refused)
            case DispatchDue(host):
                self._dispatch(host)

    def _relay(self, request: Request) -> None:
        second = (
            self._two_owners
            and has_two_owners(self._cluster.timeline.now)
            and request.host >= HOST_COUNT // 2
        )
        relayed = RelayedRequestArrives(HostIndex(int(second)), request)
        if relayed.owner == request.host:
            self.handle(relayed)
            return
        match request.kind:
            case Kind.URGENT:
                self._cluster.send_message(relayed, URGENT_BYTES)
            case Kind.BULK:
                self._cluster.send_message(relayed, BULK_BYTES, BULK_DATAGRAMS)

    def _enqueue(self, owner: HostIndex, request: Request) -> None:
        now_ms = self._now_ms()
        queued = QueuedRequest(
            (FlowId(b''), RequestNumber(request.number)),
            KindId(request.kind.value),
            now_ms,
            round(request.deadline * 1000),
        )
        self._requests[request.number] = request
        deque(self._queues[owner].push(queued, now_ms), maxlen=0)
        self._dispatch(owner)

    def _dispatch(self, owner: HostIndex) -> None:
        queue = self._queues[owner]
        while (taken := queue.take(self._now_ms())) is not None:
            if isinstance(taken, Shed):
                continue
            number = taken.request.key[1]
            self._assignments[number] = taken
            upstream = UpstreamIndex(taken.slots.upstream.endpoint.port)
            self._cluster.send(owner, upstream, self._requests[number])

    def _on_reply(self, attempt: AttemptArrives, refused: bool) -> None:
        now_ms = self._now_ms()
        queue = self._queues[attempt.host]
        assignment = self._assignments.pop(attempt.request.number)
        queue.release(assignment, now_ms)
        if refused:
            queue.observe_refusal(assignment, now_ms)
            if attempt.request.refusal_count < MAX_SENDS:
                queue.requeue(assignment)
            pause = (assignment.slots.paused_until_ms - now_ms) / 1000
            self._cluster.timeline.after(pause, DispatchDue(attempt.host))
        else:
            queue.observe_answer(assignment, now_ms)
        self._dispatch(attempt.host)

    def _now_ms(self) -> int:
        return round(self._cluster.timeline.now * 1000)


def _service_queue(rng: random.Random) -> ServiceQueue:
    upstreams = tuple(
        Upstream(
            UpstreamId(f'u{port}'),
            Endpoint('127.0.0.1', port),
            ZONE,
            SLOTS_PER_UPSTREAM,
        )
        for port in range(UPSTREAM_COUNT)
    )
    service = Service(
        number=ServiceNumber(1),
        name=ServiceName('fieldlink'),
        address=Endpoint('127.0.0.1', UPSTREAM_COUNT),
        kinds=tuple(
            WorkKind(KindId(kind.value), kind.name.lower(), kind.value) for kind in Kind
        ),
        upstreams=upstreams,
    )
    queue = ServiceQueue(service, ZONE, rng)
    for upstream in upstreams:
        ready = UpstreamState.READY
        queue.pool.update_state(upstream.endpoint, ready, Incarnation(1), 1)
    return queue


class ShedSharing:
    """Hosts that know only their own requests in flight, and retry refused ones."""

    def __init__(self, cluster: Cluster, strategy: SendAndShed) -> None:
        self._cluster = cluster
        self._strategy = strategy
        self._retry_balances = [float(INITIAL_RETRY_BALANCE)] * HOST_COUNT
        self._in_flight: list[Counter[UpstreamIndex]] = [
            Counter() for _ in range(HOST_COUNT)
        ]

    def handle(self, event: Event) -> None:
        """Handle one event."""
        match event:
            case RequestArrives(request):
                earned = self._retry_balances[request.host] + self._strategy.budget
                self._retry_balances[request.host] = min(earned, MAX_RETRY_BALANCE)
                self._send(request, None)
            case RetryDue(request, avoided):
                if not request.is_too_late(self._cluster.timeline.now):
                    self._send(request, avoided)
            case ReplyArrives(attempt, refused):
                self._in_flight[attempt.host][attempt.upstream] -= 1
                if refused:
                    self._retry(attempt)

    def _send(self, request: Request, avoided: UpstreamIndex | None) -> None:
        in_flight = self._in_flight[request.host]
        candidates = [
            UpstreamIndex(one) for one in range(UPSTREAM_COUNT) if one != avoided
        ]
        random_order = self._cluster.rng.sample(candidates, len(candidates))
        chosen = min(random_order, key=lambda one: in_flight[one])
        in_flight[chosen] += 1
        self._cluster.send(request.host, chosen, request)

    def _retry(self, attempt: AttemptArrives) -> None:
        request = attempt.request
        if not (self._strategy.urgent_exempt and request.kind is Kind.URGENT):
            if self._retry_balances[attempt.host] < 1:
                return
            self._retry_balances[attempt.host] -= 1
        match request.kind:
            case Kind.URGENT:
                first_delay, max_delay = URGENT_BACKOFF_SECONDS
            case Kind.BULK:
                first_delay, max_delay = BULK_BACKOFF_SECONDS
        mean = min(max_delay, first_delay * 2 ** min(request.refusal_count - 1, 8))
        delay = mean * self._cluster.rng.uniform(0.5, 1.5)
        self._cluster.timeline.after(delay, RetryDue(request, attempt.upstream))


class TokenSharing:
    """Hosts that send a request only with a token, and pass tokens to each other."""

    def __init__(self, cluster: Cluster, asked_hosts: int) -> None:
        self._cluster = cluster
        self._asked_hosts = asked_hosts
        self._hosts = [TokenHost() for _ in range(HOST_COUNT)]
        for slot in range(UPSTREAM_COUNT * SLOTS_PER_UPSTREAM):
            self._hosts[slot % HOST_COUNT].free.append(
                UpstreamIndex(slot % UPSTREAM_COUNT)
            )

    def handle(self, event: Event) -> None:
        """Handle one event."""
        match event:
            case RequestArrives(request):
                host = self._hosts[request.host]
                heapq.heappush(host.waiting, (request.rank, request.number, request))
                self._distribute_tokens(request.host)
                if host.waiting and (request.kind is Kind.URGENT or not host.asking):
                    self._ask(request.host)
            case ReplyArrives(attempt):
                self._hosts[attempt.host].free.append(attempt.upstream)
                self._distribute_tokens(attempt.host)
            case TokenArrives(index, upstream):
                self._use_token(index, upstream)
                self._distribute_tokens(index)
            case TokenAskArrives(holder, asker):
                self._hosts[holder].asks[asker] = event
                self._distribute_tokens(holder)
            case AskDue(index):
                self._hosts[index].asking = False
                self._drop_late_requests(self._hosts[index])
                if self._hosts[index].waiting:
                    self._ask(index)

    def _ask(self, asker: HostIndex) -> None:
        host = self._hosts[asker]
        others = [HostIndex(one) for one in range(HOST_COUNT) if one != asker]
        for holder in self._cluster.rng.sample(others, self._asked_hosts):
            now = self._cluster.timeline.now
            ask = TokenAskArrives(holder, asker, host.waiting[0][0], now)
            self._cluster.send_message(ask, CONTROL_BYTES)
        if not host.asking:
            host.asking = True
            self._cluster.timeline.after(ASK_INTERVAL_SECONDS, AskDue(asker))

    def _distribute_tokens(self, index: HostIndex) -> None:
        """Give free tokens to the first requests by rank, of this or asking hosts."""
        host = self._hosts[index]
        oldest = self._cluster.timeline.now - ASK_LIFETIME_SECONDS
        host.asks = {
            asker: ask for asker, ask in host.asks.items() if ask.sent >= oldest
        }
        while host.free:
            self._drop_late_requests(host)
            ask = min(host.asks.values(), key=lambda one: one.rank, default=None)
            if host.waiting and (ask is None or host.waiting[0][0] <= ask.rank):
                request = heapq.heappop(host.waiting)[2]
                self._cluster.send(index, host.free.popleft(), request)
            elif ask is None:
                return
            else:
                host.asks.pop(ask.asker)
                passed = TokenArrives(ask.asker, host.free.popleft())
                self._cluster.send_message(passed, CONTROL_BYTES)

    def _use_token(self, index: HostIndex, upstream: UpstreamIndex) -> None:
        """Use a received token for a waiting request, rather than pass it on at once.

        Only an ask of a more urgent kind takes precedence.
        """
        host = self._hosts[index]
        self._drop_late_requests(host)
        ask = min(host.asks.values(), key=lambda one: one.rank, default=None)
        if host.waiting and (ask is None or host.waiting[0][0][0] <= ask.rank[0]):
            request = heapq.heappop(host.waiting)[2]
            self._cluster.send(index, upstream, request)
        else:
            host.free.append(upstream)

    def _drop_late_requests(self, host: TokenHost) -> None:
        now = self._cluster.timeline.now
        while host.waiting and host.waiting[0][2].is_too_late(now):
            heapq.heappop(host.waiting)


def counted_seconds(cluster: Cluster) -> int:
    """Return for how many seconds events are counted; periods are whole seconds."""
    return sum(cluster.is_counted_at(second) for second in range(LOAD_SECONDS))


def measure(strategy: Strategy, load: float, seed: int) -> dict[str, float]:
    """Simulate one strategy under one load; return the counts as a report line."""
    cluster = Cluster(strategy, load, seed)
    cluster.run()
    counted = [one for one in cluster.requests if cluster.is_counted_at(one.arrived)]
    possible = min(len(counted), counted_seconds(cluster) * CAPACITY_PER_SECOND)
    in_time_count = sum(
        one.in_time and cluster.is_counted_at(one.started) for one in cluster.requests
    )
    urgent = [one for one in counted if one.kind is Kind.URGENT]
    urgent_good = [one for one in urgent if one.in_time]
    waits = [1000 * (one.started - one.arrived) for one in urgent_good]
    busy_microseconds = cluster.busy_microseconds
    return {
        'requests': len(counted),
        'goodput_per_second': round(in_time_count / counted_seconds(cluster), 1),
        'goodput_percent_of_possible': percent(in_time_count, possible),
        'urgent_answered_percent': percent(len(urgent_good), len(urgent)),
        'urgent_wait_ms_p50': round(percentile(waits, 0.5), 1),
        'urgent_wait_ms_p99': round(percentile(waits, 0.99), 1),
        'busy_max_over_mean': round(
            max(busy_microseconds.values())
            * UPSTREAM_COUNT
            / busy_microseconds.total(),
            3,
        ),
        'messages_per_request': round(cluster.messages / len(counted), 2),
        'bytes_per_request': round(cluster.bytes_sent / len(counted)),
        'sheds_per_request': round(cluster.refusal_count / len(counted), 3),
        'busiest_host_sends_percent': percent(
            max(cluster.sends_by_host.values()), cluster.sends_by_host.total()
        ),
    }


STRATEGIES: dict[str, Strategy] = {
    'owner_queue': OwnerQueue(two_owners=False),
    'owner_queue_two_owners': OwnerQueue(two_owners=True),
    'send_and_shed': SendAndShed(budget=3, urgent_exempt=True),
    'send_and_shed_10_percent': SendAndShed(budget=0.1, urgent_exempt=False),
    'slot_tokens': SlotTokens(asked_hosts=3),
    'slot_tokens_ask_all': SlotTokens(asked_hosts=HOST_COUNT - 1),
}


def main() -> None:
    """Print one JSON line for each strategy and load."""
    for load in LOADS:
        for name, strategy in STRATEGIES.items():
            line = {'experiment': 'slots', 'way': name, 'load': load}
            print(json.dumps(line | measure(strategy, load, seed=1)), flush=True)


if __name__ == '__main__':
    main()
