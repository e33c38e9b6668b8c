"""An entry host in the simulation: the real kernel without sockets."""

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
    from scenarios._simulation import Simulation

TICK_SECONDS = 0.1
FLOW_KEY = b'scenario flow key'
# Events kept for a paused process, as its socket buffers would; more are dropped.
MAX_BACKLOG_EVENTS = 5000


@dataclass
class HostTrace:
    """Observations of one process of a host.

    ``in_force`` maps shard and generation to the virtual time at which the
    process applied it; ``reverted`` counts shards that went back to an older
    generation; sizes are in bytes.
    """

    started: float = 0
    generations: dict[int, int] = field(default_factory=dict)
    view: ConfigurationView | None = None
    in_force: dict[tuple[int, int], float] = field(default_factory=dict)
    reverted: int = 0
    members: tuple[str, ...] = ()
    refused: Counter[str] = field(default_factory=Counter)
    metrics: Counter[str] = field(default_factory=Counter)
    control_bytes: int = 0
    control_bytes_by_type: Counter[str] = field(default_factory=Counter)
    logs: list[str] = field(default_factory=list)


class _Recorder:
    """Plug-in that records internal events of the kernel in the trace."""

    def __init__(self, trace: HostTrace, clock: Any) -> None:
        self._trace = trace
        self._clock = clock

    def handle(self, event: Event) -> Iterator[Effect]:
        match event:
            case ConfigurationChanged(view=view):
                self._trace.view = view
                self._record_view(dict(view.generations_by_shard))
            case MembersChanged(members=members):
                self._trace.members = tuple(str(one.host_id) for one in members)
            case Refused(error=error):
                self._trace.refused[error.name] += 1
        yield from ()

    def _record_view(self, generations: dict[Any, Any]) -> None:
        for shard, generation in generations.items():
            if generation < self._trace.generations.get(shard, 0):
                self._trace.reverted += 1
            key = (int(shard), int(generation))
            self._trace.in_force.setdefault(key, self._clock.monotonic())
        self._trace.generations = generations


class VirtualHost:
    """Runs the plug-ins of one entry host and carries out their effects.

    The process can be killed, paused and restarted.
    """

    def __init__(
        self, simulation: 'Simulation', name: str, zone: str, number: int
    ) -> None:
        """Create a host whose process is not started."""
        self.simulation = simulation
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
        # True from a planned stop until the process exits with status 0.
        self.stopping = False
        self.frozen_until = -1.0
        self.trace = HostTrace()
        self.replies: dict[int, Reply] = {}
        self.neighbours: tuple[Endpoint, ...] = ()
        self.kernel: Kernel
        self._routes: Any = None
        self._paths: dict[Endpoint, int] = {}
        self._backlog: list[Event] = []
        self._frozen_since = -1.0
        self._process_number = 0
        # Processor time that the kernel used, reported by benchmarks.
        self.cpu_seconds = 0.0

    def start(self, peer_seeds: tuple[Endpoint, ...] = ()) -> None:
        """Start a new process without state of the one before."""
        clock = self.simulation.time
        self._process_number += 1
        self._frozen_since = -1
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
            rng=random.Random(
                f'{self.name}/{self._process_number}/{self.simulation.seed}'
            ),
            incarnation=Incarnation(int(clock.wall() * 1000)),
        )
        recorder = PluginSpec(
            'recorder',
            lambda _: _Recorder(self.trace, clock),
            frozenset((ConfigurationChanged, MembersChanged, Refused, RequestFinished)),
        )
        self.kernel = Kernel(
            context, (*load_plugins(self.simulation.plugins), recorder)
        )
        self._routes = self.kernel.find(SteeringPlugin).routes
        self.deliver(Started())
        process_number = self._process_number
        first = self.simulation.rng.uniform(0, TICK_SECONDS)
        clock.call_later(first, lambda: self._tick(process_number))

    def kill(self) -> None:
        """Stop the process at once, as a crash does."""
        self.alive = False
        self.simulation.platform.drop_watches(self.name)

    def freeze(self, seconds: float) -> None:
        """Pause the process; events are queued meanwhile.

        A second pause during the first can only extend it.
        """
        if not self.frozen:
            self._frozen_since = self.simulation.time.now
        self.frozen_until = max(self.frozen_until, self.simulation.time.now + seconds)
        self.simulation.time.call_at(self.frozen_until, self._unfreeze)

    def unfreeze(self) -> None:
        """End a pause before its time; does nothing otherwise."""
        if self.frozen:
            self.frozen_until = self.simulation.time.now
            self._unfreeze()

    @property
    def frozen(self) -> bool:
        """Return whether the process is paused."""
        return self.simulation.time.now < self.frozen_until

    def deliver(self, event: Event) -> None:
        """Dispatch an event to the kernel and carry out the effects.

        The event is lost if the process is stopped and queued if it is paused.
        """
        if not self.alive:
            return
        if self.frozen:
            if len(self._backlog) < MAX_BACKLOG_EVENTS:
                self._backlog.append(event)
            return
        began = time.process_time()
        effects = self.kernel.dispatch(event)
        self.cpu_seconds += time.process_time() - began
        for effect in effects:
            self._carry_out(effect)

    def packet_from_caller(
        self, caller: Endpoint, flow_id: FlowId, payload: bytes
    ) -> None:
        """Handle a caller's packet as the front end does.

        Packets of flows in the route table bypass the kernel.
        """
        if not self.alive:
            return
        upstream = None if self.frozen else self._routes.lookup(flow_id)
        if upstream is None:
            self.deliver(CallerPacket(caller, flow_id, payload))
        else:
            self._carry_out(SendPacketToUpstream(upstream, flow_id, caller, payload))

    def packet_from_upstream(
        self,
        upstream: Endpoint,
        caller: Endpoint,
        flow_id: FlowId,
        payload: bytes,
    ) -> None:
        """Handle an upstream's packet as the front end does.

        Packets of flows in the route table bypass the kernel.
        """
        if not self.alive:
            return
        known = None if self.frozen else self._routes.lookup(flow_id)
        if known == upstream:
            self._carry_out(SendPacketToCaller(caller, flow_id, payload))
        else:
            self.deliver(UpstreamPacket(upstream, caller, flow_id, payload))

    def _tick(self, process_number: int) -> None:
        if not self.alive or process_number != self._process_number:
            return
        if not self.frozen:
            self.deliver(Tick(self.simulation.time.now))
        self.simulation.time.call_later(
            TICK_SECONDS, lambda: self._tick(process_number)
        )

    def _unfreeze(self) -> None:
        # A restart or an earlier call may have ended the pause already.
        if not self.alive or self.frozen or self._frozen_since < 0:
            return
        backlog, self._backlog = self._backlog, []
        pause_seconds = self.simulation.time.now - self._frozen_since
        self._frozen_since = -1
        if pause_seconds > 2:
            self.deliver(Resumed(pause_seconds))
        for event in backlog:
            self.deliver(event)

    def _carry_out(self, effect: Effect) -> None:
        simulation = self.simulation
        match effect:
            case SendPacketToUpstream(upstream, flow_id, caller, payload):
                path = self._paths.get(upstream, 0)
                simulation.packet_to_upstream(
                    self, upstream, path, (flow_id, caller, payload)
                )
            case SendPacketToCaller(caller, flow_id, payload):
                simulation.packet_to_caller(self, caller, flow_id, payload)
            case SendToCaller(caller, message):
                simulation.to_caller(self, caller, message)
            case SendToPeer(peer, message):
                self._count_control(message)
                simulation.to_peer(self, peer, PeerMessage(self.settings.peer, message))
            case SendToUpstream(upstream, message, path):
                self._count_control(message)
                used = self._paths.get(upstream, 0) if path is None else path
                simulation.to_upstream(self, upstream, used, message)
            case _:
                self._carry_out_control(effect)

    def _carry_out_control(self, effect: Effect) -> None:
        simulation = self.simulation
        match effect:
            case Gossip(message):
                for peer in simulation.gossip_peers(self):
                    self._count_control(message)
                    simulation.gossip(self, peer, GossipReceived(message))
            case SetNeighbours(neighbours):
                self.neighbours = neighbours
            case SwitchPath(upstream, path):
                self._paths[upstream] = path
            case CallApi():
                process_number = self._process_number
                simulation.platform.call(
                    self.name,
                    self.zone,
                    effect,
                    lambda event: (
                        self.deliver(event)
                        if process_number == self._process_number
                        else None
                    ),
                )
            case Reply(query_id=query_id):
                self.replies[int(query_id)] = effect
            case Observe(metric, amount, _):
                self.trace.metrics[metric] += int(amount)
            case Log(part, level, text):
                self.trace.logs.append(
                    f'{simulation.time.now:.2f} {part} {level.value} {text}'
                )
            case Exit(status):
                self.exit_status = status
                if status == 0:
                    self.stopping = False
                self.kill()

    def _count_control(self, message: Any) -> None:
        name = type(message).__name__
        if name in _CONTROL_MESSAGES:
            size = len(encode(message))
            self.trace.control_bytes += size
            self.trace.control_bytes_by_type[name] += size


_CONTROL_MESSAGES = frozenset(
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
