"""A host of the real core on virtual time."""

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from lycheedeal.kernel import (
    CallApi,
    CallerPacket,
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    Exit,
    Gossip,
    GossipReceived,
    Kernel,
    Log,
    MembersChanged,
    Observe,
    PeerMessage,
    PluginSpec,
    Refused,
    Reply,
    RequestFinished,
    Resumed,
    SendPacketToCaller,
    SendPacketToUpstream,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    SetNeighbours,
    Started,
    SwitchPath,
    Tick,
    UpstreamPacket,
    load_plugins,
)
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowId,
    HostId,
    HostSettings,
    Incarnation,
    Region,
    Zone,
)
from lycheedeal.steering import SteeringPlugin
from lycheedeal.wire import encode

if TYPE_CHECKING:
    from scenarios._world import World

TICK = 0.1
FLOW_KEY = b'scenario flow key'
MAX_BACKLOG = 5000


@dataclass
class HostTrace:
    """What one process incarnation reported."""

    started: float = 0
    generations: dict[int, int] = field(default_factory=dict)
    view: ConfigurationView | None = None
    in_force: dict[tuple[int, int], float] = field(default_factory=dict)
    reverted: int = 0
    members: tuple[str, ...] = ()
    refused: Counter[str] = field(default_factory=Counter)
    metrics: Counter[str] = field(default_factory=Counter)
    control_bytes: int = 0
    control_by_type: Counter[str] = field(default_factory=Counter)
    logs: list[str] = field(default_factory=list)


class _Probe:
    """Plug-in that records internal events for the scenario."""

    def __init__(self, trace: HostTrace, clock: Any) -> None:
        self._trace = trace
        self._clock = clock

    def handle(self, event: Event) -> Iterator[Effect]:
        match event:
            case ConfigurationChanged(view=view):
                self._trace.view = view
                self._view(dict(view.generations_by_shard))
            case MembersChanged(members=members):
                self._trace.members = tuple(str(one.host_id) for one in members)
            case Refused(error=error):
                self._trace.refused[error.name] += 1
        yield from ()

    def _view(self, generations: dict[Any, Any]) -> None:
        for shard, generation in generations.items():
            if generation < self._trace.generations.get(shard, 0):
                self._trace.reverted += 1
            key = (int(shard), int(generation))
            self._trace.in_force.setdefault(key, self._clock.monotonic())
        self._trace.generations = generations


class VirtualHost:
    """Runs the plug-ins of one entry host; can be killed, frozen, restarted."""

    def __init__(self, world: 'World', name: str, zone: str, number: int) -> None:
        """Create a host that is not started."""
        self.world = world
        self.name = name
        self.zone = zone
        ip = f'10.0.{number // 250}.{number % 250 + 1}'
        self.settings = HostSettings(
            host_id=HostId(name),
            region=Region('south'),
            zone=Zone(zone),
            data=Endpoint(ip, 1),
            peer=Endpoint(ip, 2),
            gossip=Endpoint(ip, 3),
            admin=Endpoint(ip, 4),
            platform_url='',
            flow_key=FLOW_KEY,
            drain_seconds=10,
        )
        self.alive = False
        self.exit_status: int | None = None
        # Set by a planned stop until the process exits with 0 in time.
        self.stopping = False
        self.frozen_until = -1.0
        self.trace = HostTrace()
        self.replies: dict[int, Reply] = {}
        self.neighbours: tuple[Endpoint, ...] = ()
        self.kernel: Kernel
        self._routes: Any = None
        self._paths: dict[Endpoint, int] = {}
        self._backlog: list[Event] = []
        self._froze_at = -1.0
        self._epoch = 0
        # Processor time of the core, for measurements only.
        self.cpu_seconds = 0.0

    def start(self, peer_seeds: tuple[Endpoint, ...] = ()) -> None:
        """Start a new process incarnation."""
        clock = self.world.time
        self._epoch += 1
        self._froze_at = -1
        self.alive = True
        self.exit_status = None
        self.frozen_until = -1
        self.trace = HostTrace(started=clock.now)
        self.neighbours = ()
        self._paths = {}
        self._backlog = []
        settings = self.settings
        object.__setattr__(settings, 'peer_seeds', peer_seeds)
        context = Context(
            settings=settings,
            clock=clock,
            rng=random.Random(f'{self.name}/{self._epoch}/{self.world.seed}'),
            incarnation=Incarnation(int(clock.wall() * 1000)),
        )
        probe = PluginSpec(
            'probe',
            lambda _: _Probe(self.trace, clock),
            frozenset((ConfigurationChanged, MembersChanged, Refused, RequestFinished)),
        )
        self.kernel = Kernel(context, (*load_plugins(self.world.plugins), probe))
        self._routes = self.kernel.find(SteeringPlugin).routes
        self.deliver(Started())
        epoch = self._epoch
        first = self.world.rng.uniform(0, TICK)
        clock.call_later(first, lambda: self._tick(epoch))

    def kill(self) -> None:
        """End the process at once."""
        self.alive = False
        self.world.platform.forget(self.name)

    def freeze(self, seconds: float) -> None:
        """Pause the process; what arrives meanwhile waits in its sockets.

        A second pause during the first can only make it longer.
        """
        if not self.frozen:
            self._froze_at = self.world.time.now
        self.frozen_until = max(self.frozen_until, self.world.time.now + seconds)
        self.world.time.call_at(self.frozen_until, self._thaw)

    def thaw(self) -> None:
        """End a pause early."""
        if self.frozen:
            self.frozen_until = self.world.time.now
            self._thaw()

    @property
    def frozen(self) -> bool:
        """Return whether the process is paused."""
        return self.world.time.now < self.frozen_until

    def deliver(self, event: Event) -> None:
        """Hand an event to the core and carry out its effects."""
        if not self.alive:
            return
        if self.frozen:
            if len(self._backlog) < MAX_BACKLOG:
                self._backlog.append(event)
            return
        began = time.process_time()
        effects = self.kernel.dispatch(event)
        self.cpu_seconds += time.process_time() - began
        for effect in effects:
            self._run(effect)

    def packet_from_caller(
        self, caller: Endpoint, flow_id: FlowId, payload: bytes
    ) -> None:
        """Forward a packet as the front end does."""
        if not self.alive:
            return
        upstream = None if self.frozen else self._routes.lookup(flow_id)
        if upstream is None:
            self.deliver(CallerPacket(caller, flow_id, payload))
        else:
            self._run(SendPacketToUpstream(upstream, flow_id, caller, payload))

    def packet_from_upstream(
        self,
        upstream: Endpoint,
        caller: Endpoint,
        flow_id: FlowId,
        payload: bytes,
    ) -> None:
        """Forward a packet as the front end does."""
        if not self.alive:
            return
        known = None if self.frozen else self._routes.lookup(flow_id)
        if known == upstream:
            self._run(SendPacketToCaller(caller, flow_id, payload))
        else:
            self.deliver(UpstreamPacket(upstream, caller, flow_id, payload))

    def _tick(self, epoch: int) -> None:
        if not self.alive or epoch != self._epoch:
            return
        if not self.frozen:
            self.deliver(Tick(self.world.time.now))
        self.world.time.call_later(TICK, lambda: self._tick(epoch))

    def _thaw(self) -> None:
        # A restart or an earlier thaw has ended the pause already.
        if not self.alive or self.frozen or self._froze_at < 0:
            return
        backlog, self._backlog = self._backlog, []
        gap = self.world.time.now - self._froze_at
        self._froze_at = -1
        if gap > 2:
            self.deliver(Resumed(gap))
        for event in backlog:
            self.deliver(event)

    def _run(self, effect: Effect) -> None:
        world = self.world
        match effect:
            case SendPacketToUpstream(upstream, flow_id, caller, payload):
                path = self._paths.get(upstream, 0)
                world.packet_to_upstream(
                    self, upstream, path, (flow_id, caller, payload)
                )
            case SendPacketToCaller(caller, flow_id, payload):
                world.packet_to_caller(self, caller, flow_id, payload)
            case SendToCaller(caller, message):
                world.to_caller(self, caller, message)
            case SendToPeer(peer, message):
                self._count_control(message)
                world.to_peer(self, peer, PeerMessage(self.settings.peer, message))
            case SendToUpstream(upstream, message, path):
                self._count_control(message)
                used = self._paths.get(upstream, 0) if path is None else path
                world.to_upstream(self, upstream, used, message)
            case _:
                self._run_control(effect)

    def _run_control(self, effect: Effect) -> None:
        world = self.world
        match effect:
            case Gossip(message):
                for peer in world.gossip_peers(self):
                    self._count_control(message)
                    world.gossip(self, peer, GossipReceived(message))
            case SetNeighbours(neighbours):
                self.neighbours = neighbours
            case SwitchPath(upstream, path):
                self._paths[upstream] = path

            case CallApi():
                epoch = self._epoch
                world.platform.call(
                    self.name,
                    self.zone,
                    effect,
                    lambda event: self.deliver(event) if epoch == self._epoch else None,
                )
            case Reply(query_id=query_id):
                self.replies[int(query_id)] = effect
            case Observe(metric, amount, _):
                self.trace.metrics[metric] += int(amount)
            case Log(part, level, text):
                self.trace.logs.append(
                    f'{world.time.now:.2f} {part} {level.value} {text}'
                )
            case Exit(status):
                self.exit_status = status
                if status == 0:
                    self.stopping = False
                self.kill()

    def _count_control(self, message: Any) -> None:
        name = type(message).__name__
        if name in _CONTROL:
            size = len(encode(message))
            self.trace.control_bytes += size
            self.trace.control_by_type[name] += size


_CONTROL = frozenset(
    (
        'Probe',
        'ProbeAck',
        'IndirectProbe',
        'Pushback',
        'FlowCounts',
        'RelayedClose',
        'Hello',
        'Digest',
        'ShardCopy',
        'ConfigurationReport',
    ),
)
