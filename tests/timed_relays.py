"""Hosts of the packet relay with latencies, processor time and calls that take time.

A host handles one event at a time, in the order of arrival. What arrives while it is
busy or paused waits in its sockets.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from lycheedeal.platform._connection import MAX_IDLE_SECONDS
from lycheedeal.relay.peer_codec import decode_message, encode_message
from tests.relay_simulation import STEP_SECONDS, RelayHost, RelaySimulation

Action = Callable[[], None]

# Seconds of a whole core.
_EVENT_SECONDS = 0.0002
_SEND_SECONDS = 0.0001
_START_SECONDS = 0.08
_IN_ZONE_SECONDS = 0.0002
_CROSS_ZONE_SECONDS = 0.0014
_STORE_SECONDS = 0.004
_LIST_TIMEOUT_SECONDS = 1.0
_WATCH_GRACE_SECONDS = 0.4
# A link drops datagrams beyond what it sends in this time.
_LINK_QUEUE_SECONDS = 0.5
# Long answers arrive in parts of this size.
_PART_BYTES = 16_384


@unique
class StoreState(Enum):
    """How the store treats calls."""

    ANSWERS = 'answers'
    SILENT = 'silent'
    REFUSES = 'refuses'


@dataclass(eq=False)
class Call:
    """A list, or a watch from a position."""

    kind: relay.StoreKind
    position: relay.Position | None = None
    wait_seconds: float = 0
    fails_at: float = 0


class TimedHost(RelayHost):
    """One process, the work that waits for it, and its calls."""

    simulation: 'TimedSimulation'

    def __init__(
        self,
        simulation: 'TimedSimulation',
        name: str,
        zone: str,
        seeds: tuple[Endpoint, ...],
        endpoint: Endpoint | None,
        core_share: float,
    ) -> None:
        super().__init__(simulation, name, zone, seeds, endpoint, core_share)
        self.core_share = core_share
        # Part of the core that forwarding takes.
        self.busy_share = 0.0
        # Time that one iteration of the event loop takes because of forwarding.
        self.iteration_seconds = 0.0
        self.ended = False
        self.paused_until = 0.0
        self.calls_by_kind: dict[relay.StoreKind, Call] = {}
        # Whether the open connection for a kind still passes data.
        self.connections: dict[relay.StoreKind, bool] = {}
        self._answered_at: dict[relay.StoreKind, float] = {}
        self.versions: list[tuple[float, int]] = []
        self._waiting: deque[Action] = deque()
        self._is_working = False
        self._effects: list[relay.Effect] = []
        self._link_free_at = 0.0
        self._download_free_at = 0.0
        self._encoded_message: relay.PeerMessage | None = None
        self._datagram = b''

    def enqueue(self, action: Action) -> None:
        """Let the process do something once it has done what came before."""
        if self.ended:
            return
        self._waiting.append(action)
        if not self._is_working:
            self._is_working = True
            self._work_at(self._next_iteration())

    def _next_iteration(self) -> float:
        now = self.simulation.clock.now
        if not self.iteration_seconds:
            return now
        return -(-now // self.iteration_seconds) * self.iteration_seconds

    def dispatch(self, event: relay.Event) -> None:
        self._effects.extend(self.kernel.dispatch(event))

    def start(self) -> None:
        self._is_working = True
        self.enqueue(lambda: self.dispatch(relay.Started()))
        self._work_at(self.simulation.clock.now + _START_SECONDS / self.core_share)
        self.enqueue(self._tick_later)

    def _work_at(self, at: float) -> None:
        self.simulation.call_at(max(at, self.paused_until), self._work)

    def _work(self) -> None:
        if self.ended:
            return
        now = self.simulation.clock.now
        if now < self.paused_until:
            self._work_at(now)
            return
        self._waiting.popleft()()
        self._record_version()
        effects, self._effects = self._effects, []
        sends = sum(isinstance(one, relay.SendPeer) for one in effects)
        cost = _EVENT_SECONDS + _SEND_SECONDS * sends
        free_at = now + cost / self.core_share / (1 - self.busy_share)
        # What the event causes happens when its processing ends.
        if effects:
            self.simulation.call_at(free_at, lambda: self._carry_out(effects))
        if self._waiting:
            self._work_at(free_at)
        else:
            self.simulation.call_at(free_at, self._end_work)

    def _end_work(self) -> None:
        if self._waiting:
            self._work_at(self.simulation.clock.now)
        else:
            self._is_working = False

    def _record_version(self) -> None:
        version = self.version()
        if version is not None and (
            not self.versions or self.versions[-1][1] != version
        ):
            self.versions.append((self.simulation.clock.now, version))

    def _carry_out(self, effects: list[relay.Effect]) -> None:
        if self.ended:
            return
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: relay.Effect) -> None:
        match effect:
            case relay.SendPeer(endpoint=endpoint, message=message):
                if message is not self._encoded_message:
                    self._encoded_message = message
                    self._datagram = encode_message(message)
                self.simulation.send(self, endpoint, self._datagram)
            case relay.ListObjects(kind=kind):
                self._record_call('list', kind)
                self._call(Call(kind))
            case relay.WatchObjects(kind=kind, position=position):
                self._record_call('watch', kind)
                self._call(Call(kind, position, effect.wait_seconds))
            case relay.CancelCall(kind=kind):
                if self.calls_by_kind.pop(kind, None):
                    self.connections.pop(kind, None)
            case relay.LogRecord():
                assert effect.kind != 'failure', effect.details
                if self.simulation.keeps_records:
                    now = self.simulation.clock.now
                    host_id = self.context.settings.host_id
                    self.simulation.log.append((now, host_id, effect))
            case _:
                super()._execute(effect)

    def _tick_later(self) -> None:
        self.simulation.call_at(
            self.simulation.clock.now + STEP_SECONDS, lambda: self.enqueue(self._tick)
        )

    def _tick(self) -> None:
        self._tick_later()
        self.dispatch(relay.Tick(self.simulation.clock.now))

    def _call(self, call: Call) -> None:
        simulation = self.simulation
        if self.calls_by_kind.pop(call.kind, None):
            self.connections.pop(call.kind, None)
        self.calls_by_kind[call.kind] = call
        limit = _LIST_TIMEOUT_SECONDS
        if call.position is not None:
            limit = call.wait_seconds + _WATCH_GRACE_SECONDS
        self._fail_at(call, simulation.clock.now + limit)
        delay = simulation.store_latency()
        if self._is_idle(call.kind):
            self.connections.pop(call.kind, None)
        if call.kind not in self.connections:
            delay += 2 * simulation.store_latency()
        works = self.connections.setdefault(call.kind, True)
        if works:
            simulation.call_at(
                simulation.clock.now + delay,
                lambda: simulation.receive_call(self, call),
            )

    def _fail_at(self, call: Call, at: float) -> None:
        call.fails_at = at
        silent = relay.CallFailed(call.kind, relay.StoreFault.SILENT, '')

        def fail() -> None:
            if at == call.fails_at:
                self.enqueue(lambda: self._finish(call, silent))

        self.simulation.call_at(at, fail)

    def receive_part(self, call: Call, event: relay.Event, size: int) -> None:
        """Receive a part of an answer; ``size`` is that of the rest, in bytes."""
        if self.calls_by_kind.get(call.kind) is not call:
            return
        if size <= 0:
            self.finish(call, event)
            return
        is_watch = call.position is not None
        limit = _WATCH_GRACE_SECONDS if is_watch else _LIST_TIMEOUT_SECONDS
        self._fail_at(call, self.simulation.clock.now + limit)
        self.enqueue(lambda: self._note_part(call))
        self.simulation.send_part(self, call, event, size)

    def _note_part(self, call: Call) -> None:
        if self.calls_by_kind.get(call.kind) is call:
            self.dispatch(relay.CallProgressed(call.kind))

    def download_ends_at(self, since: float, size: int) -> float:
        """Return when a number of bytes from the store has passed the host's link."""
        seconds = size * 8 / self.simulation.link_bits_per_second
        self._download_free_at = max(self._download_free_at, since) + seconds
        return self._download_free_at

    def _is_idle(self, kind: relay.StoreKind) -> bool:
        now = self.simulation.clock.now
        return now - self._answered_at.get(kind, now) > MAX_IDLE_SECONDS

    def finish(self, call: Call, event: relay.Event) -> None:
        """Receive the answer of the store, unless the connection has gone silent."""
        if self.connections.get(call.kind):
            self.enqueue(lambda: self._finish(call, event))

    def _finish(self, call: Call, event: relay.Event) -> None:
        if self.calls_by_kind.get(call.kind) is not call:
            return
        del self.calls_by_kind[call.kind]
        self._answered_at[call.kind] = self.simulation.clock.now
        if isinstance(event, relay.CallFailed):
            self.connections.pop(call.kind, None)
        self.dispatch(event)

    def silence_connections(self) -> None:
        """Let the open connections pass no data any more, without an end."""
        self.connections = dict.fromkeys(self.connections, False)

    def is_leader(self) -> bool:
        is_leader: bool = self.kernel.plugins_by_name['zone'].is_leader
        return is_leader

    def content_age(self) -> float:
        """Return the seconds since the content was confirmed, as the host sees it."""
        age: float = self.kernel.plugins_by_name['zone'].freshness.oldest_age()
        return age

    def send(self, datagram: bytes) -> float | None:
        """Return when a datagram leaves the host, None if its link is full."""
        now = self.simulation.clock.now
        self._link_free_at = max(self._link_free_at, now)
        if self._link_free_at > now + _LINK_QUEUE_SECONDS:
            return None
        self._link_free_at += len(datagram) * 8 / self.simulation.link_bits_per_second
        return self._link_free_at


class TimedSimulation(RelaySimulation):
    """Hosts, links and the store, with the times that they take.

    ``store_state`` holds for all hosts, ``refused`` of the store and ``cut_from_store``
    for some: the calls of a refused host fail, those of one that is cut off are silent.
    """

    keeps_records = False
    link_bits_per_second = 10_000_000
    store_bits_per_second = 1_000_000_000

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.store_state = StoreState.ANSWERS
        # Ids of hosts that neither reach the store nor are reached by it.
        self.cut_from_store: set[str] = set()
        self.log: list[tuple[float, str, relay.LogRecord]] = []
        # Size of the objects of each kind together, if it is so large that it matters.
        self.bytes_by_kind: dict[relay.StoreKind, int] = {}
        self._store_link_free_at = 0.0
        self._actions: list[tuple[float, int, Action]] = []
        self._action_count = 0
        self._waiting_calls: list[tuple[TimedHost, Call]] = []

    def call_at(self, at: float, action: Action) -> None:
        self._action_count += 1
        heapq.heappush(self._actions, (at, self._action_count, action))

    def call_later(self, seconds: float, action: Action) -> None:
        self.call_at(self.clock.now + seconds, action)

    def start_host(
        self,
        name: str,
        zone: str,
        seeds: tuple[Endpoint, ...] = (),
        endpoint: Endpoint | None = None,
        core_share: float = 0.361,
    ) -> TimedHost:
        host = TimedHost(self, name, zone, seeds, endpoint, core_share)
        self.hosts[host.endpoint] = host
        host.start()
        return host

    def restart(self, host: TimedHost) -> TimedHost:
        settings = host.context.settings
        started = self.start_host(
            settings.host_id,
            settings.zone,
            settings.seeds,
            host.endpoint,
            host.core_share,
        )
        started.busy_share = host.busy_share
        return started

    def kill(self, host: RelayHost) -> None:
        super().kill(host)
        if isinstance(host, TimedHost):
            host.ended = True

    def pause(self, host: TimedHost, seconds: float) -> None:
        host.paused_until = self.clock.now + seconds

    def timed_hosts(self) -> Iterator[TimedHost]:
        return (one for one in self.hosts.values() if isinstance(one, TimedHost))

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self._actions and self._actions[0][0] <= end:
            at, _, action = heapq.heappop(self._actions)
            self.clock.now = at
            action()
        self.clock.now = end

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        assert isinstance(sender, TimedHost)
        leaves_at = sender.send(datagram)
        receiver = self.hosts.get(endpoint)
        if (
            leaves_at is None
            or receiver is None
            or endpoint in self.disconnected
            or sender.endpoint in self.disconnected
            or self._is_between_parts(sender, endpoint)
            or self.rng.random() < self.loss
        ):
            return
        same_zone = receiver.context.settings.zone == sender.context.settings.zone
        latency = _IN_ZONE_SECONDS if same_zone else _CROSS_ZONE_SECONDS
        latency *= self.rng.uniform(0.8, 1.5)
        self.call_at(leaves_at + latency, lambda: self._arrive(endpoint, datagram))

    def _arrive(self, endpoint: Endpoint, datagram: bytes) -> None:
        host = self.hosts.get(endpoint)
        if isinstance(host, TimedHost):
            host.enqueue(
                lambda: host.dispatch(
                    relay.PeerMessageReceived(decode_message(datagram))
                )
            )

    def store_latency(self) -> float:
        return _CROSS_ZONE_SECONDS * self.rng.uniform(0.8, 1.5)

    def receive_call(self, host: TimedHost, call: Call) -> None:
        """Let the store handle a call that has arrived."""
        if not self._is_heard(host):
            host.connections[call.kind] = False
            return
        if self._is_refused(host):
            failed = relay.CallFailed(call.kind, relay.StoreFault.REFUSED, '')
            self._answer(host, call, failed)
            return
        self.call_later(_STORE_SECONDS, lambda: self._handle_call(host, call))

    def _handle_call(self, host: TimedHost, call: Call) -> None:
        if call.position is None:
            self._answer(host, call, self.store.list_all(call.kind))
            return
        answer = self.store.changes(call.kind, call.position.revision)
        if answer is not None:
            self._answer(host, call, answer)
            return
        self._waiting_calls.append((host, call))
        self.call_at(
            self.clock.now + call.wait_seconds, lambda: self._end_wait(host, call)
        )

    def _end_wait(self, host: TimedHost, call: Call) -> None:
        if (host, call) in self._waiting_calls and call.position is not None:
            self._waiting_calls.remove((host, call))
            self._answer(host, call, relay.WatchAnswered(call.kind, call.position, ()))

    def report_changes(self) -> None:
        """Answer the watches that wait for what has been written to the store."""
        waiting, self._waiting_calls = self._waiting_calls, []
        for host, call in waiting:
            position = call.position or relay.START_POSITION
            answer = self.store.changes(call.kind, position.revision)
            if answer is None:
                self._waiting_calls.append((host, call))
            else:
                self._answer(host, call, answer)

    def _answer(self, host: TimedHost, call: Call, event: relay.Event) -> None:
        if not self._is_heard(host):
            host.connections[call.kind] = False
            return
        arrives_at = self.clock.now + self.store_latency()
        size = self._answer_bytes(event)
        if size:
            self.call_at(arrives_at, lambda: self.send_part(host, call, event, size))
        else:
            self.call_at(arrives_at, lambda: host.finish(call, event))

    def _answer_bytes(self, event: relay.Event) -> int:
        match event:
            case relay.ListAnswered(kind=kind):
                return self.bytes_by_kind.get(kind, 0)
            case relay.WatchAnswered(kind=kind) if event.version or event.entries:
                return self.bytes_by_kind.get(kind, 0)
            case _:
                return 0

    def send_part(
        self, host: TimedHost, call: Call, event: relay.Event, size: int
    ) -> None:
        """Send the next part of an answer, over the links of the store and the host."""
        part = min(size, _PART_BYTES)
        left_at = max(self._store_link_free_at, self.clock.now)
        left_at += part * 8 / self.store_bits_per_second
        self._store_link_free_at = left_at
        arrives_at = host.download_ends_at(left_at, part)
        self.call_at(arrives_at, lambda: host.receive_part(call, event, size - part))

    def _is_heard(self, host: TimedHost) -> bool:
        is_cut = host.context.settings.host_id in self.cut_from_store
        return self.store_state is not StoreState.SILENT and not is_cut

    def _is_refused(self, host: TimedHost) -> bool:
        is_refused = host.context.settings.host_id in self.store.refused
        return self.store_state is StoreState.REFUSES or is_refused
