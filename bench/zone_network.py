"""Simulated network of hosts with the membership plug-in, on virtual time.

Used by the tests and by ``bench.membership``. There are no sockets and no
sleeping, and the same seed gives the same run.
"""

import heapq
import json
import random
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lycheedeal import wire
from lycheedeal.kernel import (
    ApiReplied,
    ApiStatus,
    CallApi,
    Context,
    Event,
    Exit,
    Kernel,
    Log,
    MembersChanged,
    Observe,
    PeerMessage,
    PluginSpec,
    Resumed,
    SendToPeer,
    Started,
    StopStarted,
    Tick,
    load_plugins,
)
from lycheedeal.model import Endpoint, HostId, HostSettings, Incarnation, Region, Zone

TICK_SECONDS = 0.1
ZONE = Zone('tortel')
# Events that wait for a paused host: a socket buffer of 200 KB holds about this
# many probes.
MAX_QUEUED_EVENTS = 400


@dataclass
class VirtualClock:
    """Clock whose monotonic time, in seconds, is set by the network."""

    now: float = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1_700_000_000 + self.now


class _Recorder:
    """Plug-in that records the events that membership publishes."""

    def __init__(self, host: 'VirtualHost', clock: VirtualClock) -> None:
        self._host = host
        self._clock = clock

    def handle(self, event: Event) -> Iterator[Any]:
        match event:
            case MembersChanged(members):
                self._host.member_lists.append(members)
                self._host.member_list_times.append(self._clock.now)
            case StopStarted(deadline):
                self._host.stop_deadlines.append(deadline)
        yield from ()


@dataclass
class VirtualHost:
    """A simulated daemon process with the membership plug-in.

    Messages, bytes and processor time count from the start or the last reset.
    """

    name: str
    endpoint: Endpoint
    incarnation: Incarnation
    kernel: Kernel = field(init=False)
    member_lists: list[Any] = field(default_factory=list)
    member_list_times: list[float] = field(default_factory=list)
    effects: list[Any] = field(default_factory=list)
    alive: bool = True
    paused_since: float | None = None
    queued_events: list[Event] = field(default_factory=list)
    stop_deadlines: list[float] = field(default_factory=list)
    exit_time: float | None = None
    exit_status: int | None = None
    sent_messages: int = 0
    sent_bytes: int = 0
    largest_message_bytes: int = 0
    cpu_seconds: float = 0

    @property
    def members(self) -> tuple[str, ...]:
        """Host ids of the member list published last; empty before the first."""
        return (
            tuple(one.host_id for one in self.member_lists[-1])
            if self.member_lists
            else ()
        )

    @property
    def logs(self) -> list[str]:
        """Texts of all log lines so far."""
        return [one.text for one in self.effects if isinstance(one, Log)]

    @property
    def deaths(self) -> float:
        """Number of hosts that this host itself has declared dead."""
        return sum(
            one.amount
            for one in self.effects
            if isinstance(one, Observe) and one.metric == 'membership_deaths'
        )


class ZoneNetwork:
    """Hosts of one zone and the datagrams between them.

    ``loss`` is the share of lost datagrams, ``delay`` the mean one-way latency of a
    link in seconds, and ``is_link_down`` tells which links drop all datagrams. Sizes
    of messages are recorded only with ``count_bytes``.
    """

    def __init__(self, seed: int, *, count_bytes: bool = False) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.hosts: dict[str, VirtualHost] = {}
        self.loss = 0.0
        self.delay: Callable[[str, str], float] = lambda source, target: 0.0015
        self.is_link_down: Callable[[str, str], bool] = lambda source, target: False
        # Time until the platform lists a new process; None stands for an outage.
        self.host_list_lag_seconds: float | None = None
        self.count_bytes = count_bytes
        self._names_by_endpoint: dict[Endpoint, str] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def start(self, name: str, endpoint: Endpoint, seeds: tuple[Endpoint, ...]) -> None:
        """Start a host process; ends one that runs at the same endpoint."""
        previous = self.hosts.get(self._names_by_endpoint.get(endpoint, ''))
        if previous is not None:
            previous.alive = False
        incarnation = Incarnation(int(self.clock.wall() * 1000))
        host = VirtualHost(name, endpoint, incarnation)
        settings = HostSettings(
            host_id=HostId(name),
            region=Region('south'),
            zone=ZONE,
            data=endpoint,
            peer=endpoint,
            gossip=endpoint,
            admin=endpoint,
            platform_url='',
            flow_key=b'key',
            peer_seeds=tuple(one for one in seeds if one != endpoint),
        )
        rng = random.Random(self.rng.getrandbits(64))
        context = Context(settings, self.clock, rng, incarnation)
        recorder = PluginSpec(
            'recorder',
            lambda _: _Recorder(host, self.clock),
            frozenset((MembersChanged, StopStarted)),
        )
        host.kernel = Kernel(context, (*load_plugins(('membership',)), recorder))
        self.hosts[name] = host
        self._names_by_endpoint[endpoint] = name
        self.dispatch(host, Started())
        self._schedule(self.rng.random() * TICK_SECONDS, lambda: self._tick(host))

    def start_zone(self, count: int) -> None:
        """Start ``count`` hosts whose seeds are the first three of them."""
        seeds = tuple(endpoint_of(one) for one in range(min(count, 3)))
        for number in range(count):
            self.start(f'h{number:03}', endpoint_of(number), seeds)

    def run(self, seconds: float) -> None:
        """Process events until virtual time has advanced by some seconds."""
        end = self.clock.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.clock.now, _, action = heapq.heappop(self._queue)
            action()
        self.clock.now = end

    def pause(self, name: str, seconds: float) -> None:
        """Pause a process for some seconds; datagrams wait in its socket buffer."""
        host = self.hosts[name]
        host.paused_since = self.clock.now
        self._schedule(seconds, lambda: self._resume(host))

    def kill(self, name: str) -> None:
        """End a process at once; it sends nothing more."""
        self.hosts[name].alive = False

    def dispatch(self, host: VirtualHost, event: Event) -> None:
        """Dispatch an event on a host and apply the effects.

        Raises AssertionError on an effect that membership must not have.
        """
        started = time.perf_counter()
        effects = host.kernel.dispatch(event)
        host.cpu_seconds += time.perf_counter() - started
        for effect in effects:
            match effect:
                case SendToPeer(peer, message):
                    self._send(host, peer, message)
                case Exit(status):
                    host.alive = False
                    host.exit_time = self.clock.now
                    host.exit_status = status
                case CallApi():
                    self._list_hosts(host, effect)
                case Log() | Observe():
                    host.effects.append(effect)
                case _:
                    raise AssertionError(
                        f'effect not expected from membership: {effect}'
                    )

    def live_hosts(self) -> list[VirtualHost]:
        """Hosts whose process has not ended; paused ones are included."""
        return [one for one in self.hosts.values() if one.alive]

    def agree(self, names: Iterable[str]) -> bool:
        """Tell whether every live host lists exactly the named hosts."""
        expected = tuple(sorted(names))
        return all(one.members == expected for one in self.live_hosts())

    def seconds_until(self, condition: Callable[[], bool], timeout: float) -> float:
        """Run until a condition holds and return how long that took.

        Times are in virtual seconds; the result is infinity after the timeout.
        """
        started = self.clock.now
        while self.clock.now < started + timeout:
            if condition():
                return self.clock.now - started
            self.run(TICK_SECONDS)
        return float('inf')

    def _list_hosts(self, host: VirtualHost, call: CallApi) -> None:
        if self.host_list_lag_seconds is None:
            return
        latest = (self.clock.wall() - self.host_list_lag_seconds) * 1000
        body = [
            {
                'host_id': one.name,
                'zone': ZONE,
                **dict.fromkeys(('peer', 'gossip', 'admin'), str(one.endpoint)),
            }
            for one in self.hosts.values()
            if one.incarnation <= latest
        ]
        event = ApiReplied(
            call.call_id, ApiStatus.OK, call.key, body=json.dumps(body).encode()
        )
        self._schedule(0.005, lambda: self.dispatch(host, event))

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.clock.now + delay, self._sequence, action))

    def _tick(self, host: VirtualHost) -> None:
        if not host.alive:
            return
        if host.paused_since is None:
            self.dispatch(host, Tick(self.clock.now))
        self._schedule(TICK_SECONDS, lambda: self._tick(host))

    def _resume(self, host: VirtualHost) -> None:
        gap = self.clock.now - (host.paused_since or 0)
        host.paused_since = None
        queued_events, host.queued_events = host.queued_events, []
        self.dispatch(host, Resumed(gap))
        for event in queued_events:
            self.dispatch(host, event)

    def _send(self, source: VirtualHost, peer: Endpoint, message: Any) -> None:
        source.sent_messages += 1
        if self.count_bytes:
            size = len(wire.encode(message))
            source.sent_bytes += size
            source.largest_message_bytes = max(source.largest_message_bytes, size)
        target = self._names_by_endpoint.get(peer)
        if target is None or self.rng.random() < self.loss:
            return
        if not self.is_link_down(source.name, target):
            event = PeerMessage(source.endpoint, message)
            delay = self.delay(source.name, target) * (0.5 + self.rng.random())
            self._schedule(delay, lambda: self._deliver(target, peer, event))

    def _deliver(self, name: str, endpoint: Endpoint, event: Event) -> None:
        host = self.hosts.get(name)
        if host is None or not host.alive or host.endpoint != endpoint:
            return
        if host.paused_since is None:
            self.dispatch(host, event)
        elif len(host.queued_events) < MAX_QUEUED_EVENTS:
            host.queued_events.append(event)


def endpoint_of(number: int) -> Endpoint:
    """Return the endpoint of the host with this number, counted from 0."""
    return Endpoint(f'127.0.{number // 250}.{number % 250 + 1}', 7000)
