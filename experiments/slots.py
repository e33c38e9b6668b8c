"""Compares ways in which hosts share the slots of a service's upstreams.

Requests with a deadline arrive at all hosts; a fifth is urgent. Upstreams
refuse what exceeds their slots before starting it and queue nothing.

- ``owner_queue``: hosts relay each request to the owner, which keeps one
  priority queue (``lycheedeal.admission.ServiceQueue``) over all slots. No
  pushback is modelled, so refused requests are relayed in full, too.
- ``owner_queue_two_owners``: the same, but in half of the time half of the
  hosts relay to a second owner, in spells of 5 s. Counts only requests that
  arrive during the spells.
- ``send_and_shed``: each host sends to the upstream with the fewest of its
  own requests in flight; refused requests go elsewhere after a backoff. Bulk
  has a budget of 3 retries for each request on average; urgent requests back
  off for a shorter time and are retried until their deadline.
- ``send_and_shed_10_percent``: the same with a budget of 0.1 retries for all.
- ``slot_tokens``: only the holder of a slot's token uses the slot. A host that
  lacks one asks 3 others, who pass a token on when it is free and no older or
  more urgent work is known to them. No token is lost.
- ``slot_tokens_ask_all``: the same, but a host asks all others.

Prints one JSON line for each way and load.
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

HOSTS = 16
UPSTREAMS = 7
SLOTS = 2
SECONDS = 30
# Requests that arrive before this time are not counted.
WARM_UP = 5
LOADS = (0.5, 0.9, 1.2, 3.0)
SERVICE = (0.03, 0.07)
MEAN_SERVICE = 0.05
CAPACITY = UPSTREAMS * SLOTS / MEAN_SERVICE
DEADLINE = 2.0
URGENT_SHARE = 0.2
# Assumed one-way latency within a zone; hosts and upstreams share one.
HOP = 0.0005
# One datagram for a sign-off, five for a batch of photos.
URGENT_BYTES = 400
BULK_BYTES = 6000
BULK_DATAGRAMS = 5
CONTROL_BYTES = 40
SPELL = 5.0
URGENT_BACKOFF = (0.005, 0.04)
BULK_BACKOFF = (0.02, 0.32)
# A quiet host may still retry a few times.
RETRY_RESERVE = 3
LARGEST_BUDGET = 50
# The limit of the product for an owner's request that upstreams refuse.
MOST_SENDS = 16
ASK_INTERVAL = 0.01
# Long enough that asks of the same host overlap.
ASK_LIFETIME = 0.05
MICROSECONDS = 1_000_000
ZONE = Zone('a')


class Kind(Enum):
    """Kinds of work, by priority."""

    URGENT = 0
    BULK = 1


@dataclass(frozen=True, slots=True)
class OwnerQueue:
    """One queue at the owner of the service."""

    two_owners: bool


@dataclass(frozen=True, slots=True)
class SendAndShed:
    """Upstreams shed; ``budget`` is the number of retries for each request."""

    budget: float
    urgent_exempt: bool


@dataclass(frozen=True, slots=True)
class SlotTokens:
    """Tokens for slots move between hosts; a host asks some others at once."""

    asked: int


Way = OwnerQueue | SendAndShed | SlotTokens


@dataclass(slots=True, eq=False)
class Request:
    """A request and its outcome."""

    number: int
    kind: Kind
    host: HostIndex
    arrived: float
    service: float
    sheds: int = 0
    started: float = 0
    answered: float | None = None

    @property
    def deadline(self) -> float:
        """Return the time by which the answer is due."""
        return self.arrived + DEADLINE

    @property
    def rank(self) -> tuple[int, float]:
        """Return its place in a queue by priority."""
        return self.kind.value, self.arrived

    def hopeless(self, now: float) -> bool:
        """Tell whether it would only waste a slot."""
        return self.deadline - now < SERVICE[1] + 2 * HOP

    @property
    def in_time(self) -> bool:
        """Tell whether it was answered by its deadline."""
        return self.answered is not None and self.answered <= self.deadline


@dataclass(frozen=True, slots=True)
class Arrives:
    """A request arrives at its host."""

    request: Request


@dataclass(frozen=True, slots=True)
class Relayed:
    """A request arrives at an owner."""

    owner: HostIndex
    request: Request


@dataclass(frozen=True, slots=True)
class UpstreamHears:
    """A request arrives at an upstream."""

    host: HostIndex
    upstream: UpstreamIndex
    request: Request


@dataclass(frozen=True, slots=True)
class UpstreamEnds:
    """An upstream has finished a request."""

    heard: UpstreamHears


@dataclass(frozen=True, slots=True)
class HostHears:
    """An upstream's answer or refusal arrives at the sending host."""

    heard: UpstreamHears
    refused: bool


@dataclass(frozen=True, slots=True)
class TryAgain:
    """The backoff of a refused request is over."""

    request: Request
    avoid: UpstreamIndex


@dataclass(frozen=True, slots=True)
class PumpDue:
    """A queue may have work for a slot whose pause is over."""

    host: HostIndex


@dataclass(frozen=True, slots=True)
class TokenAsked:
    """A host asks another one for a token on behalf of a request."""

    holder: HostIndex
    asker: HostIndex
    rank: tuple[int, float]
    sent: float


@dataclass(frozen=True, slots=True)
class TokenPassed:
    """A token arrives at a host."""

    host: HostIndex
    upstream: UpstreamIndex


@dataclass(frozen=True, slots=True)
class AskDue:
    """A host that still lacks a token asks again."""

    host: HostIndex


Event = (
    Arrives
    | Relayed
    | UpstreamHears
    | UpstreamEnds
    | HostHears
    | TryAgain
    | PumpDue
    | TokenAsked
    | TokenPassed
    | AskDue
)


@dataclass(slots=True)
class TokenHost:
    """Waiting work and free tokens of one host, and what others asked of it."""

    waiting: list[tuple[tuple[int, float], int, Request]] = field(default_factory=list)
    free: deque[UpstreamIndex] = field(default_factory=deque)
    asks: dict[HostIndex, TokenAsked] = field(default_factory=dict)
    asking: bool = False


class Sharing(Protocol):
    """One way of sharing slots; takes the events that concern hosts."""

    def handle(self, event: Event) -> None:
        """See the class."""


class Cluster:
    """Upstreams, messages between hosts, and what is counted about them."""

    def __init__(self, way: Way, load: float, seed: int) -> None:
        self.timeline: Timeline[Event] = Timeline()
        self.rng = random.Random(f'cluster {seed}')
        self.messages = 0
        self.bytes_sent = 0
        self.sheds = 0
        self.busy: Counter[UpstreamIndex] = Counter()
        self.sends: Counter[HostIndex] = Counter()
        self.requests: list[Request] = []
        self._spells_only = way == OwnerQueue(two_owners=True)
        self._running: Counter[UpstreamIndex] = Counter()
        self._create_load(load, random.Random(f'load {seed}'))
        self._sharing = _sharing(way, self)

    def run(self) -> None:
        """Run until nothing is left to happen."""
        for event in self.timeline.run():
            match event:
                case UpstreamHears():
                    self._start(event)
                case UpstreamEnds(heard):
                    self._running[heard.upstream] -= 1
                    self.timeline.after(HOP, HostHears(heard, refused=False))
                case HostHears(heard, refused=False):
                    heard.request.answered = self.timeline.now
                    self._sharing.handle(event)
                case _:
                    self._sharing.handle(event)

    def counts_at(self, when: float) -> bool:
        """Tell whether what happens at a time is counted."""
        if not WARM_UP <= when < SECONDS:
            return False
        return in_spell(when) or not self._spells_only

    def send(self, host: HostIndex, upstream: UpstreamIndex, request: Request) -> None:
        """Send a request to an upstream."""
        if self.counts_at(self.timeline.now):
            self.sends[host] += 1
        self.timeline.after(HOP, UpstreamHears(host, upstream, request))

    def message(self, event: Event, size: int, datagrams: int = 1) -> None:
        """Send a message from one host to another."""
        if self.counts_at(self.timeline.now):
            self.messages += datagrams
            self.bytes_sent += size
        self.timeline.after(HOP, event)

    def _start(self, heard: UpstreamHears) -> None:
        now = self.timeline.now
        request = heard.request
        if self._running[heard.upstream] >= SLOTS:
            request.sheds += 1
            self.sheds += self.counts_at(now)
            self.timeline.after(HOP, HostHears(heard, refused=True))
            return
        self._running[heard.upstream] += 1
        request.started = now
        if self.counts_at(now):
            self.busy[heard.upstream] += round(request.service * MICROSECONDS)
        self.timeline.after(request.service, UpstreamEnds(heard))

    def _create_load(self, load: float, rng: random.Random) -> None:
        rate = load * CAPACITY
        when = rng.expovariate(rate)
        while when < SECONDS:
            kind = Kind.URGENT if rng.random() < URGENT_SHARE else Kind.BULK
            host = HostIndex(rng.randrange(HOSTS))
            number = len(self.requests)
            request = Request(number, kind, host, when, rng.uniform(*SERVICE))
            self.requests.append(request)
            self.timeline.at(when, Arrives(request))
            when += rng.expovariate(rate)


def in_spell(when: float) -> bool:
    """Tell whether two hosts believe that they own the service."""
    return int(when / SPELL) % 2 == 1


def _sharing(way: Way, cluster: Cluster) -> Sharing:
    match way:
        case OwnerQueue(two_owners):
            return OwnerSharing(cluster, two_owners)
        case SendAndShed():
            return ShedSharing(cluster, way)
        case SlotTokens(asked):
            return TokenSharing(cluster, asked)


class OwnerSharing:
    """Owners with the library's queue."""

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
        """Take one event."""
        match event:
            case Arrives(request):
                self._relay(request)
            case Relayed(owner, request):
                self._queue(owner, request)
            case HostHears(heard, refused):
                self._hear(heard, refused)
            case PumpDue(host):
                self._pump(host)

    def _relay(self, request: Request) -> None:
        second = (
            self._two_owners
            and in_spell(self._cluster.timeline.now)
            and request.host >= HOSTS // 2
        )
        relayed = Relayed(HostIndex(int(second)), request)
        if relayed.owner == request.host:
            self.handle(relayed)
            return
        match request.kind:
            case Kind.URGENT:
                self._cluster.message(relayed, URGENT_BYTES)
            case Kind.BULK:
                self._cluster.message(relayed, BULK_BYTES, BULK_DATAGRAMS)

    def _queue(self, owner: HostIndex, request: Request) -> None:
        now_ms = self._now_ms()
        queued = QueuedRequest(
            (FlowId(b''), RequestNumber(request.number)),
            KindId(request.kind.value),
            now_ms,
            round(request.deadline * 1000),
        )
        self._requests[request.number] = request
        deque(self._queues[owner].push(queued, now_ms), maxlen=0)
        self._pump(owner)

    def _pump(self, owner: HostIndex) -> None:
        queue = self._queues[owner]
        while (taken := queue.take(self._now_ms())) is not None:
            if isinstance(taken, Shed):
                continue
            number = taken.request.key[1]
            self._assignments[number] = taken
            upstream = UpstreamIndex(taken.slots.upstream.endpoint.port)
            self._cluster.send(owner, upstream, self._requests[number])

    def _hear(self, heard: UpstreamHears, refused: bool) -> None:
        now_ms = self._now_ms()
        queue = self._queues[heard.host]
        assignment = self._assignments.pop(heard.request.number)
        queue.release(assignment, now_ms)
        if refused:
            queue.observe_refusal(assignment, now_ms)
            if heard.request.sheds < MOST_SENDS:
                queue.requeue(assignment)
            pause = (assignment.slots.paused_until_ms - now_ms) / 1000
            self._cluster.timeline.after(pause, PumpDue(heard.host))
        else:
            queue.observe_answer(assignment, now_ms)
        self._pump(heard.host)

    def _now_ms(self) -> int:
        return round(self._cluster.timeline.now * 1000)


def _service_queue(rng: random.Random) -> ServiceQueue:
    upstreams = tuple(
        Upstream(UpstreamId(f'u{port}'), Endpoint('127.0.0.1', port), ZONE, SLOTS)
        for port in range(UPSTREAMS)
    )
    service = Service(
        number=ServiceNumber(1),
        name=ServiceName('fieldlink'),
        address=Endpoint('127.0.0.1', UPSTREAMS),
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
    """Hosts that know only their own requests in flight."""

    def __init__(self, cluster: Cluster, way: SendAndShed) -> None:
        self._cluster = cluster
        self._way = way
        self._balances = [float(RETRY_RESERVE)] * HOSTS
        self._in_flight: list[Counter[UpstreamIndex]] = [
            Counter() for _ in range(HOSTS)
        ]

    def handle(self, event: Event) -> None:
        """Take one event."""
        match event:
            case Arrives(request):
                earned = self._balances[request.host] + self._way.budget
                self._balances[request.host] = min(earned, LARGEST_BUDGET)
                self._send(request, None)
            case TryAgain(request, avoid):
                if not request.hopeless(self._cluster.timeline.now):
                    self._send(request, avoid)
            case HostHears(heard, refused):
                self._in_flight[heard.host][heard.upstream] -= 1
                if refused:
                    self._retry(heard)

    def _send(self, request: Request, avoid: UpstreamIndex | None) -> None:
        own = self._in_flight[request.host]
        candidates = [UpstreamIndex(one) for one in range(UPSTREAMS) if one != avoid]
        random_order = self._cluster.rng.sample(candidates, len(candidates))
        chosen = min(random_order, key=lambda one: own[one])
        own[chosen] += 1
        self._cluster.send(request.host, chosen, request)

    def _retry(self, heard: UpstreamHears) -> None:
        request = heard.request
        if not (self._way.urgent_exempt and request.kind is Kind.URGENT):
            if self._balances[heard.host] < 1:
                return
            self._balances[heard.host] -= 1
        match request.kind:
            case Kind.URGENT:
                first, longest = URGENT_BACKOFF
            case Kind.BULK:
                first, longest = BULK_BACKOFF
        mean = min(longest, first * 2 ** min(request.sheds - 1, 8))
        delay = mean * self._cluster.rng.uniform(0.5, 1.5)
        self._cluster.timeline.after(delay, TryAgain(request, heard.upstream))


class TokenSharing:
    """Hosts that pass tokens for slots to each other."""

    def __init__(self, cluster: Cluster, asked: int) -> None:
        self._cluster = cluster
        self._asked = asked
        self._hosts = [TokenHost() for _ in range(HOSTS)]
        for slot in range(UPSTREAMS * SLOTS):
            self._hosts[slot % HOSTS].free.append(UpstreamIndex(slot % UPSTREAMS))

    def handle(self, event: Event) -> None:
        """Take one event."""
        match event:
            case Arrives(request):
                host = self._hosts[request.host]
                heapq.heappush(host.waiting, (request.rank, request.number, request))
                self._distribute(request.host)
                if host.waiting and (request.kind is Kind.URGENT or not host.asking):
                    self._ask(request.host)
            case HostHears(heard):
                self._hosts[heard.host].free.append(heard.upstream)
                self._distribute(heard.host)
            case TokenPassed(index, upstream):
                self._use(index, upstream)
                self._distribute(index)
            case TokenAsked(holder, asker):
                self._hosts[holder].asks[asker] = event
                self._distribute(holder)
            case AskDue(index):
                self._hosts[index].asking = False
                self._drop_hopeless(self._hosts[index])
                if self._hosts[index].waiting:
                    self._ask(index)

    def _ask(self, asker: HostIndex) -> None:
        host = self._hosts[asker]
        others = [HostIndex(one) for one in range(HOSTS) if one != asker]
        for holder in self._cluster.rng.sample(others, self._asked):
            now = self._cluster.timeline.now
            ask = TokenAsked(holder, asker, host.waiting[0][0], now)
            self._cluster.message(ask, CONTROL_BYTES)
        if not host.asking:
            host.asking = True
            self._cluster.timeline.after(ASK_INTERVAL, AskDue(asker))

    def _distribute(self, index: HostIndex) -> None:
        """Give free tokens to the most urgent work known, own or others'."""
        host = self._hosts[index]
        oldest = self._cluster.timeline.now - ASK_LIFETIME
        host.asks = {
            asker: ask for asker, ask in host.asks.items() if ask.sent >= oldest
        }
        while host.free:
            self._drop_hopeless(host)
            ask = min(host.asks.values(), key=lambda one: one.rank, default=None)
            if host.waiting and (ask is None or host.waiting[0][0] <= ask.rank):
                request = heapq.heappop(host.waiting)[2]
                self._cluster.send(index, host.free.popleft(), request)
            elif ask is None:
                return
            else:
                host.asks.pop(ask.asker)
                passed = TokenPassed(ask.asker, host.free.popleft())
                self._cluster.message(passed, CONTROL_BYTES)

    def _use(self, index: HostIndex, upstream: UpstreamIndex) -> None:
        """Use a token that was passed, so that it is not passed on at once.

        Only more urgent work of another host takes precedence.
        """
        host = self._hosts[index]
        self._drop_hopeless(host)
        ask = min(host.asks.values(), key=lambda one: one.rank, default=None)
        if host.waiting and (ask is None or host.waiting[0][0][0] <= ask.rank[0]):
            request = heapq.heappop(host.waiting)[2]
            self._cluster.send(index, upstream, request)
        else:
            host.free.append(upstream)

    def _drop_hopeless(self, host: TokenHost) -> None:
        now = self._cluster.timeline.now
        while host.waiting and host.waiting[0][2].hopeless(now):
            heapq.heappop(host.waiting)


def counted_seconds(cluster: Cluster) -> int:
    """Return for how long events are counted; spells are whole seconds."""
    return sum(cluster.counts_at(second) for second in range(SECONDS))


def measure(way: Way, load: float, seed: int) -> dict[str, float]:
    """Run one way under one load."""
    cluster = Cluster(way, load, seed)
    cluster.run()
    counted = [one for one in cluster.requests if cluster.counts_at(one.arrived)]
    possible = min(len(counted), counted_seconds(cluster) * CAPACITY)
    good = sum(
        one.in_time and cluster.counts_at(one.started) for one in cluster.requests
    )
    urgent = [one for one in counted if one.kind is Kind.URGENT]
    urgent_good = [one for one in urgent if one.in_time]
    waits = [1000 * (one.started - one.arrived) for one in urgent_good]
    busy = cluster.busy
    return {
        'requests': len(counted),
        'goodput_per_second': round(good / counted_seconds(cluster), 1),
        'goodput_percent_of_possible': percent(good, possible),
        'urgent_answered_percent': percent(len(urgent_good), len(urgent)),
        'urgent_wait_ms_p50': round(percentile(waits, 0.5), 1),
        'urgent_wait_ms_p99': round(percentile(waits, 0.99), 1),
        'busy_max_over_mean': round(max(busy.values()) * UPSTREAMS / busy.total(), 3),
        'messages_per_request': round(cluster.messages / len(counted), 2),
        'bytes_per_request': round(cluster.bytes_sent / len(counted)),
        'sheds_per_request': round(cluster.sheds / len(counted), 3),
        'busiest_host_sends_percent': percent(
            max(cluster.sends.values()), cluster.sends.total()
        ),
    }


WAYS: dict[str, Way] = {
    'owner_queue': OwnerQueue(two_owners=False),
    'owner_queue_two_owners': OwnerQueue(two_owners=True),
    'send_and_shed': SendAndShed(budget=3, urgent_exempt=True),
    'send_and_shed_10_percent': SendAndShed(budget=0.1, urgent_exempt=False),
    'slot_tokens': SlotTokens(asked=3),
    'slot_tokens_ask_all': SlotTokens(asked=HOSTS - 1),
}


def main() -> None:
    """Print the comparison."""
    for load in LOADS:
        for name, way in WAYS.items():
            line = {'experiment': 'slots', 'way': name, 'load': load}
            print(json.dumps(line | measure(way, load, seed=1)), flush=True)


if __name__ == '__main__':
    main()
