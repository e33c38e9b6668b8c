"""Virtual-time simulation of hosts of the packet relay and their store."""

import random
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.relay.peer_codec import decode_message, encode_message

STEP_SECONDS = 0.1
API = ServiceName('api')
INTAKE = ServiceName('intake')
ROUTE_KEY = relay.route_key('198.18.0.1', 443)
INTAKE_KEY = relay.route_key('198.18.0.1', 80)
CALLER = relay.route_key('100.64.0.7', 40001)


class Clock:
    now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def listing(
    name: str,
    zone: str = 'south',
    service: ServiceName = API,
    port: int = 0,
    draining: bool = False,
    started_ms: int = 1,
    warmup_ms: int = 0,
) -> relay.Listing:
    return relay.Listing(
        UpstreamId(name),
        service,
        Endpoint('10.1.64.1', port or 8000 + int(name.rpartition('-')[2], 16)),
        Zone(zone),
        slots=2,
        draining=draining,
        warmup_ms=warmup_ms,
        started_ms=started_ms,
    )


def route(name: str, key: relay.RouteKey, service: ServiceName) -> relay.Route:
    return relay.Route(relay.RouteName(name), key, ((service, 1),))


ROUTES = (route('r-api', ROUTE_KEY, API), route('r-intake', INTAKE_KEY, INTAKE))


def packet(
    kind: relay.PacketKind,
    token: int = 0,
    caller: int = CALLER,
    key: relay.RouteKey = ROUTE_KEY,
    attempt: int = 0,
    acknowledged: int = 0,
) -> relay.Packet:
    flow = relay.FlowKey(caller << 48 | key)
    return relay.Packet(
        flow, key, kind, attempt, relay.Token(token), acknowledged, b'raw'
    )


@dataclass
class Store:
    """Store of objects with revisions and a history of changes.

    Changes up to ``compacted_revision`` are no longer in the history. With
    ``watches_silent`` no watch reports a change. ``refused`` are the ids of hosts
    whose calls fail; ``calls`` has the host id and the name of each call. ``era``
    counts how often the store came back from an older copy. ``unusable`` names entries
    that cannot be read, ``unusable_evacuations`` evacuations. ``terms`` are those of
    services, and a part of the configuration.
    """

    era: int = 1
    revision: int = 10
    version: int = 1
    routes: tuple[relay.Route, ...] = ROUTES
    terms: tuple[relay.ServiceTerms, ...] = ()
    evacuations: dict[str, relay.Evacuation] = field(default_factory=dict)
    unusable_evacuations: set[str] = field(default_factory=set)
    listings: dict[str, relay.Listing] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)
    events: list[tuple[int, relay.StoreKind, str]] = field(default_factory=list)
    compacted_revision: int = 0
    up: bool = True
    watches_silent: bool = False
    refused: set[str] = field(default_factory=set)
    calls: list[tuple[str, str]] = field(default_factory=list)
    calls_by_kind: Counter[relay.StoreKind] = field(default_factory=Counter)

    @property
    def position(self) -> relay.Position:
        return relay.Position(relay.Era(self.era), relay.Revision(self.revision))

    def put(self, *listings: relay.Listing) -> None:
        for one in listings:
            self.listings[one.upstream_id] = one
            self.unusable.discard(one.upstream_id)
            self._record(relay.StoreKind.UPSTREAMS, one.upstream_id)

    def damage(self, *names: str) -> None:
        """Replace entries by some that cannot be read."""
        for name in names:
            self.listings.pop(name)
            self.unusable.add(name)
            self._record(relay.StoreKind.UPSTREAMS, name)

    def delete(self, name: str) -> None:
        if name in self.unusable:
            self.unusable.remove(name)
        else:
            self.listings.pop(name)
        self._record(relay.StoreKind.UPSTREAMS, name)

    def evacuate(self, *zones: str) -> None:
        for zone in zones:
            self.evacuations[zone] = relay.Evacuation(Zone(zone))
            self.unusable_evacuations.discard(zone)
            self._record(relay.StoreKind.EVACUATIONS, zone)

    def damage_evacuation(self, zone: str) -> None:
        """Write an evacuation that cannot be read."""
        self.evacuations.pop(zone, None)
        self.unusable_evacuations.add(zone)
        self._record(relay.StoreKind.EVACUATIONS, zone)

    def resume(self, *zones: str) -> None:
        """Delete the evacuations of zones."""
        for zone in zones:
            self.evacuations.pop(zone, None)
            self.unusable_evacuations.discard(zone)
            self._record(relay.StoreKind.EVACUATIONS, zone)

    def configure(self, version: int, *routes: relay.Route) -> None:
        self.version, self.routes = version, routes
        self._record(relay.StoreKind.CONFIGURATION, 'main')

    def copy(self) -> 'Store':
        """Return a copy of the content and its history, for ``restore``."""
        content = Store(revision=self.revision, version=self.version)
        content.routes, content.terms = self.routes, self.terms
        content.evacuations = dict(self.evacuations)
        content.unusable_evacuations = set(self.unusable_evacuations)
        content.listings = dict(self.listings)
        content.unusable = set(self.unusable)
        content.events = list(self.events)
        return content

    def restore(self, copy: 'Store') -> None:
        """Go back to a copy; later changes are lost and their revisions free again."""
        self.era += 1
        self.revision, self.version = copy.revision, copy.version
        self.routes, self.terms = copy.routes, copy.terms
        self.evacuations = dict(copy.evacuations)
        self.unusable_evacuations = set(copy.unusable_evacuations)
        self.listings = dict(copy.listings)
        self.unusable = set(copy.unusable)
        self.events = list(copy.events)

    def compact(self) -> None:
        self.compacted_revision = self.revision
        self.events.clear()

    def _record(self, kind: relay.StoreKind, name: str) -> None:
        self.revision += 1
        self.events.append((self.revision, kind, name))

    def list_all(self, kind: relay.StoreKind) -> relay.ListAnswered:
        entries: tuple[relay.Entry, ...]
        unusable: tuple[str, ...] = ()
        version = None
        match kind:
            case relay.StoreKind.CONFIGURATION:
                entries = *self.routes, *self.terms
                version = relay.ConfigurationVersion(self.version)
            case relay.StoreKind.UPSTREAMS:
                entries = tuple(self.listings.values())
                unusable = tuple(sorted(self.unusable))
            case relay.StoreKind.EVACUATIONS:
                entries = tuple(self.evacuations.values())
                unusable = tuple(sorted(self.unusable_evacuations))
        return relay.ListAnswered(kind, self.position, entries, unusable, version)

    def changes(
        self, kind: relay.StoreKind, since: int
    ) -> relay.WatchAnswered | relay.CallFailed | None:
        """Return the answer of a watch, or None while it has to wait."""
        if not self.compacted_revision <= since <= self.revision:
            return relay.CallFailed(kind, relay.StoreFault.HISTORY_LOST, '')
        names = {name for at, one, name in self.events if one is kind and at > since}
        if not names or self.watches_silent:
            return None
        if kind is relay.StoreKind.CONFIGURATION:
            answer = self.list_all(kind)
            return relay.WatchAnswered(
                kind,
                answer.position,
                answer.entries,
                version=answer.version,
            )
        entries_by_name: Mapping[str, relay.Entry] = self.listings
        unusable = names & self.unusable
        if kind is relay.StoreKind.EVACUATIONS:
            entries_by_name = self.evacuations
            unusable = names & self.unusable_evacuations
        return relay.WatchAnswered(
            kind,
            self.position,
            tuple(entries_by_name[one] for one in names if one in entries_by_name),
            tuple(names - entries_by_name.keys() - unusable),
            tuple(unusable),
        )


@dataclass
class Watch:
    revision: int
    until: float


class RelayHost:
    """One host: a kernel, its watches, and the effects that it had.

    Exceptions in its plug-ins fail the test, unless it ``may_fail``.
    """

    may_fail = False

    def __init__(
        self,
        simulation: 'RelaySimulation',
        name: str,
        zone: str,
        seeds: tuple[Endpoint, ...] = (),
        endpoint: Endpoint | None = None,
        core_share: float = 0.5,
    ) -> None:
        self.simulation = simulation
        if endpoint is None:
            simulation.address_count += 1
            endpoint = Endpoint(f'10.0.0.{simulation.address_count}', 7720)
        self.endpoint = endpoint
        settings = relay.RelaySettings(
            HostId(name),
            Zone(zone),
            self.endpoint,
            core_share,
            seeds,
            stop_seconds=6,
            evacuation_seconds=simulation.evacuation_seconds,
            warmup_overage=simulation.warmup_overage,
            warmup_slack=simulation.warmup_slack,
        )
        self.context = relay.RelayContext(
            settings, simulation.clock, random.Random(name)
        )
        self.kernel = relay.build_kernel(self.context)
        self.sent: list[relay.Forward] = []
        self.resets: list[relay.Packet] = []
        self.records: list[relay.LogRecord] = []
        self.ready = False
        self.ended = False
        self.watches: dict[relay.StoreKind, Watch] = {}

    def dispatch(self, event: relay.Event) -> None:
        for effect in self.kernel.dispatch(event):
            self._execute(effect)

    def open(self, caller: int = CALLER, attempt: int = 0) -> relay.Upstream:
        """Dispatch an opening and return the chosen upstream."""
        opening = packet(relay.PacketKind.OPENING, caller=caller, attempt=attempt)
        self.dispatch(relay.PacketArrived(opening))
        return self.sent[-1].upstream

    def try_open(
        self, caller: int = CALLER, key: relay.RouteKey = ROUTE_KEY
    ) -> relay.Upstream | None:
        """Dispatch an opening; return the chosen upstream, None if it was refused."""
        sent = len(self.sent)
        opening = packet(relay.PacketKind.OPENING, caller=caller, key=key)
        self.dispatch(relay.PacketArrived(opening))
        return self.sent[-1].upstream if len(self.sent) > sent else None

    def refusal(self) -> object:
        """Return the reason of the last refusal."""
        details = [one.details for one in self.records if 'reason' in one.details]
        return details[-1]['reason']

    def evacuated(self) -> frozenset[str]:
        plugin = self.kernel.plugins_by_name['evacuations']
        return frozenset(plugin.evacuated)

    def version(self) -> int | None:
        version: int | None = self.kernel.plugins_by_name['routes'].version
        return version

    def routes(self) -> dict[relay.RouteName, relay.Route]:
        plugin = self.kernel.plugins_by_name['routes']
        return dict(plugin.routes_by_name)

    def states(self) -> dict[str, relay.UpstreamState]:
        table = self.kernel.plugins_by_name['upstreams'].table
        return {
            upstream.listing.upstream_id: upstream.state
            for upstream in table.by_token.values()
        }

    def incarnations(self) -> dict[tuple[str, int], relay.UpstreamState]:
        """Return the state of each incarnation, by id and start time."""
        table = self.kernel.plugins_by_name['upstreams'].table
        return {
            (upstream.listing.upstream_id, upstream.listing.started_ms): upstream.state
            for upstream in table.by_token.values()
        }

    def tick(self) -> None:
        now = self.simulation.clock.now
        for kind, watch in tuple(self.watches.items()):
            answer = self.answer_watch(kind, watch)
            if answer is not None and self.watches.get(kind) is watch:
                del self.watches[kind]
                self.dispatch(answer)
        self.dispatch(relay.Tick(now))

    def answer_watch(self, kind: relay.StoreKind, watch: Watch) -> relay.Event | None:
        store = self.simulation.store
        now = self.simulation.clock.now
        if not self.reaches_store():
            if now < watch.until + 0.4:
                return None
            return relay.CallFailed(kind, relay.StoreFault.SILENT, '')
        answer = store.changes(kind, watch.revision)
        if answer is None and now >= watch.until:
            position = store.position._replace(revision=relay.Revision(watch.revision))
            return relay.WatchAnswered(kind, position, ())
        return answer

    def reaches_store(self) -> bool:
        store = self.simulation.store
        return store.up and self.context.settings.host_id not in store.refused

    def _execute(self, effect: relay.Effect) -> None:
        match effect:
            case relay.Forward():
                self.sent.append(effect)
            case relay.Reset(packet=one):
                self.resets.append(one)
            case relay.LogRecord():
                assert effect.kind != 'failure' or self.may_fail, effect.details
                self.records.append(effect)
            case relay.SetReady(ready=ready):
                self.ready = ready
            case relay.Exit():
                self.ended = True
            case relay.SendPeer(endpoint=endpoint, message=message):
                self.simulation.send(self, endpoint, encode_message(message))
            case relay.ListObjects(kind=kind):
                self._record_call('list', kind)
                event: relay.Event = relay.CallFailed(
                    kind, relay.StoreFault.UNREACHABLE, ''
                )
                if self.reaches_store():
                    event = self.simulation.store.list_all(kind)
                self.simulation.pending_events.append((self, event))
            case relay.WatchObjects(kind=kind):
                self._record_call('watch', kind)
                until = self.simulation.clock.now + effect.wait_seconds
                self.watches[kind] = Watch(effect.position.revision, until)
            case relay.CancelCall(kind=kind):
                self.watches.pop(kind, None)

    def _record_call(self, call: str, kind: relay.StoreKind) -> None:
        self.simulation.store.calls.append((self.context.settings.host_id, call))
        self.simulation.store.calls_by_kind[kind] += 1


class RelaySimulation:
    """Hosts, the datagrams between them, and the store.

    Datagrams from and to endpoints in ``disconnected`` are lost, those between
    ``cut_zone`` and other zones, and a share of ``loss`` of all others. All that are
    sent go to ``recorded``, with the endpoint of the receiver, unless it is None.
    Hosts that are added later have ``evacuation_seconds``, ``warmup_overage`` and
    ``warmup_slack`` in their settings.
    """

    evacuation_seconds: float = 0
    warmup_overage: float | None = None
    warmup_slack: float | None = None

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = Store()
        self.hosts: dict[Endpoint, RelayHost] = {}
        self.address_count = 0
        self.pending_events: list[tuple[RelayHost, relay.Event]] = []
        self.datagrams: list[tuple[Endpoint, bytes]] = []
        self.disconnected: set[Endpoint] = set()
        self.cut_zone = ''
        self.loss = 0.0
        self.recorded: list[tuple[Endpoint, bytes]] | None = None
        self._rng = random.Random(0)

    def add(self, name: str, zone: str = 'south') -> RelayHost:
        seeds = tuple(self.hosts)[:1]
        host = RelayHost(self, name, zone, seeds)
        self.hosts[host.endpoint] = host
        host.dispatch(relay.Started())
        # Until the host follows a leader or is one.
        self.run(1.5)
        return host

    def add_together(self, hosts: int, seconds: float) -> None:
        """Start hosts of one zone at the same time, and let them run for a while."""
        for one in range(hosts):
            host = RelayHost(self, f'host-{one}', 'south', tuple(self.hosts)[:1])
            self.hosts[host.endpoint] = host
        for host in self.hosts.values():
            host.dispatch(relay.Started())
        self.run(seconds)

    def kill(self, host: RelayHost) -> None:
        del self.hosts[host.endpoint]

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if self.recorded is not None:
            self.recorded.append((endpoint, datagram))
        if (
            endpoint not in self.disconnected
            and sender.endpoint not in self.disconnected
            and not self._is_between_parts(sender, endpoint)
            and self._rng.random() >= self.loss
        ):
            self.datagrams.append((endpoint, datagram))

    def _is_between_parts(self, sender: RelayHost, endpoint: Endpoint) -> bool:
        receiver = self.hosts.get(endpoint)
        if receiver is None or not self.cut_zone:
            return False
        zones = {host.context.settings.zone for host in (sender, receiver)}
        return self.cut_zone in zones and len(zones) == 2

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            for host in tuple(self.hosts.values()):
                host.tick()
            self._deliver_all()

    def leaders(self) -> list[RelayHost]:
        """Return the leaders of all zones."""
        return [
            host
            for host in self.hosts.values()
            if host.kernel.plugins_by_name['zone'].is_leader
        ]

    def watchers(self) -> list[RelayHost]:
        """Return the hosts that watch the store."""
        return [host for host in self.hosts.values() if host.watches]

    def _deliver_all(self) -> None:
        while self.pending_events or self.datagrams:
            events = list(self._take_pending())
            for host, event in events:
                if self.hosts.get(host.endpoint) is host:
                    host.dispatch(event)

    def _take_pending(self) -> Iterator[tuple[RelayHost, relay.Event]]:
        pending_events, self.pending_events = self.pending_events, []
        datagrams, self.datagrams = self.datagrams, []
        yield from pending_events
        for endpoint, datagram in datagrams:
            host = self.hosts.get(endpoint)
            if host is not None:
                yield host, relay.PeerMessageReceived(decode_message(datagram))


class CountingSimulation(RelaySimulation):
    """Counts the messages and bytes that each host sends."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_host: Counter[str] = Counter()
        self.messages_by_host: Counter[str] = Counter()

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        name = sender.context.settings.host_id
        self.bytes_by_host[name] += len(datagram)
        self.messages_by_host[name] += 1
        super().send(sender, endpoint, datagram)
