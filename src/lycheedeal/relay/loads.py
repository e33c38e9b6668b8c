"""Tells hosts how busy the upstreams are, by way of the hosts on duty.

Each host reports to the host on duty of its zone, which adds the reports up,
exchanges the sums with those on duty elsewhere and spreads the total in its
zone. The traffic of a host grows with the upstreams of its region.
"""

from collections.abc import Iterator
from itertools import islice
from typing import Final, TypeVar

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, Part, Record, SendPeer
from lycheedeal.relay._events import (
    Event,
    LeadershipChanged,
    LoadReport,
    PeerSpoke,
    PeerTableReady,
    SpreadWanted,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._flows import mean_busy
from lycheedeal.relay._peer_table import PeerTable
from lycheedeal.relay._records import (
    Load,
    Loads,
    LoadScope,
    Peer,
    Token,
    Upstream,
)
from lycheedeal.relay._told import REPORT_VALID_SECONDS, ToldLoads
from lycheedeal.relay._upstream_table import UpstreamTable

# Between two reports, unless a crowd makes them rarer.
_REPORT_PAUSE_SECONDS: Final = 1.0
# Reports that a collecting host takes in a second; beyond that they come rarer.
_REPORTS_PER_SECOND: Final = 35
# Keeps a datagram below 1,400 bytes; a row takes 14.
_ROWS_PER_PART: Final = 75
# A host vouches for an upstream this long after an answer; longer, and a crash
# would show later.
_VOUCHING_SECONDS: Final = 1.5
# A host doubts an upstream this long after an opening without an answer, unless
# it has one before.
_DOUBT_SECONDS: Final = 6.4

_KeyT = TypeVar('_KeyT')


class LoadsPlugin:
    """Measures the own load, and adds up that of a zone while collecting."""

    def __init__(self, context: RelayContext) -> None:
        """Start off duty, without upstreams or other hosts."""
        self._context = context
        self._own = context.settings.own_peer
        self._table = UpstreamTable()
        self._doubted: set[Token] = set()
        self._number = 0
        self._peer_table = PeerTable(self._own, context.clock)
        self._is_leader = False
        self._told_by_host: dict[HostId, ToldLoads] = {}
        self._told_by_zone: dict[Zone, ToldLoads] = {}
        self._next_report = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event."""
        match event:
            case UpstreamsChanged(table=table):
                self._table = table
            case PeerTableReady(peer_table=peer_table):
                self._peer_table = peer_table
            case LeadershipChanged(is_leader=is_leader):
                self._is_leader = self._own.is_leader = is_leader
            case PeerSpoke(message=LoadReport() as report):
                yield from self._reported(report)
            case Tick(now=now):
                yield from self._report(now)

    def _report(self, now: float) -> Iterator[Effect]:
        if now < self._next_report:
            return
        collector = self._collector()
        if collector is self._peer_table.own:
            self._next_report = now + _REPORT_PAUSE_SECONDS
            yield from self._report_total(now)
        elif collector is not None:
            self._next_report = now + self._host_pause()
            zones = (self._own.zone,)
            for report in self._split(LoadScope.HOST, zones, self._own_loads()):
                yield SendPeer(collector.endpoint, report)

    def _host_pause(self) -> float:
        """Return the seconds between two reports of a host to the collector."""
        crowd = len(self._peer_table) / _REPORTS_PER_SECOND
        return max(_REPORT_PAUSE_SECONDS, crowd)

    def _collector(self) -> Peer | None:
        """Return the host that adds up this zone's reports, if one is known.

        While the store is away several hosts are on duty; the first collects.
        """
        if not self._is_leader:
            return self._peer_table.find(self._peer_table.leader_id)
        return self._peer_table.first_leader()

    def _own_loads(self) -> Loads:
        now = self._context.clock.monotonic()
        oldest_answer = now - _VOUCHING_SECONDS
        return {
            token: _own_load(upstream, now)
            for token, upstream in self._table.by_token.items()
            if upstream.open_flows
            or upstream.strikes
            or upstream.answered_at > oldest_answer
        }

    def _report_total(self, now: float) -> Iterator[Effect]:
        oldest = now - REPORT_VALID_SECONDS * self._host_pause() / _REPORT_PAUSE_SECONDS
        self._told_by_host = _newer(self._told_by_host, oldest)
        self._told_by_zone = _newer(self._told_by_zone, now - REPORT_VALID_SECONDS)
        own_zone = self._own_loads()
        for told in self._told_by_host.values():
            _add_up(own_zone, told.all_loads())
        region = dict(own_zone)
        for told in self._told_by_zone.values():
            _add_up(region, _without_judgement(told.all_loads()))
        zones = self._own.zone, *self._told_by_zone
        for report in self._split(LoadScope.REGION, zones, region):
            yield from self._apply(report)
            yield Publish(SpreadWanted(report))
        for report in self._split(LoadScope.ZONE, (self._own.zone,), own_zone):
            for collector in self._peer_table.other_zone_leaders():
                yield SendPeer(collector.endpoint, report)

    def _split(
        self,
        scope: LoadScope,
        zones: tuple[Zone, ...],
        loads: Loads,
    ) -> Iterator[LoadReport]:
        """Yield the parts of a report, each small enough for a datagram."""
        self._number += 1
        rows = iter(loads.items())
        parts = max(-(-len(loads) // _ROWS_PER_PART), 1)
        for part in range(parts):
            some = dict(islice(rows, _ROWS_PER_PART))
            yield LoadReport(self._own, scope, zones, self._number, part, parts, some)

    def _reported(self, report: LoadReport) -> Iterator[Effect]:
        self._peer_table.record_heard(report.peer)
        now = self._context.clock.monotonic()
        is_own_zone = report.peer.zone == self._own.zone
        match report.scope:
            case LoadScope.HOST if is_own_zone:
                host_id = report.peer.host_id
                self._told_by_host.setdefault(host_id, ToldLoads()).take(report, now)
            case LoadScope.ZONE if not is_own_zone:
                zone = report.peer.zone
                self._told_by_zone.setdefault(zone, ToldLoads()).take(report, now)
            case LoadScope.REGION if is_own_zone:
                yield from self._apply(report)

    def _apply(self, report: LoadReport) -> Iterator[Effect]:
        now = self._context.clock.monotonic()
        region = self._table.region
        region.take(report, now)
        for token in (*report.loads, *self._doubted):
            upstream = self._table.by_token.get(token)
            doubted = upstream is not None and region.doubts(upstream, now)
            if doubted is (token in self._doubted):
                continue
            self._doubted.symmetric_difference_update((token,))
            if upstream is not None:
                load = region.find(token) or Load(0, 0)
                yield self._judged(upstream, load, doubted, report.peer)

    def _judged(
        self,
        upstream: Upstream,
        load: Load,
        doubted: bool,
        collector: Peer,
    ) -> Record:
        self._context.metrics.add('upstreams', 'doubted' if doubted else 'trusted')
        return Record(
            Part.LOADS,
            'doubt',
            'Zone doubts an upstream.' if doubted else 'Zone trusts an upstream.',
            {
                'upstream': upstream.listing.upstream_id,
                'doubting': load.doubting,
                'vouching': load.vouching,
                'keeper': collector.host_id,
                'state': upstream.state.value,
            },
        )


def _newer(
    told_by_key: dict[_KeyT, ToldLoads], oldest: float
) -> dict[_KeyT, ToldLoads]:
    return {key: told for key, told in told_by_key.items() if told.at >= oldest}


def _own_load(upstream: Upstream, now: float) -> Load:
    return Load(
        mean_busy(upstream, now),
        upstream.open_flows,
        doubting=int(_is_doubted(upstream, now)),
        vouching=int(upstream.answered_at + _VOUCHING_SECONDS > now),
    )


def _is_doubted(upstream: Upstream, now: float) -> bool:
    return bool(upstream.strikes) and upstream.unanswered_at + _DOUBT_SECONDS > now


def _without_judgement(loads: Loads) -> Loads:
    """Leave out what hosts of another zone saw, over another network."""
    return {token: Load(load.busy, load.open_flows) for token, load in loads.items()}


def _add_up(totals: Loads, loads: Loads) -> None:
    for token, load in loads.items():
        known = totals.get(token, Load(0, 0))
        totals[token] = Load(
            known.busy + load.busy,
            known.open_flows + load.open_flows,
            known.doubting + load.doubting,
            known.vouching + load.vouching,
        )


register(
    PluginSpec(
        'loads',
        LoadsPlugin,
        frozenset(
            (
                UpstreamsChanged,
                PeerTableReady,
                LeadershipChanged,
                PeerSpoke,
                Tick,
            ),
        ),
    ),
)
