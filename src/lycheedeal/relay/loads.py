"""Tells hosts how busy the upstreams are, by way of the hosts on duty.

Each host reports to the host on duty of its zone, which adds the reports up,
exchanges the sums with those on duty elsewhere and spreads the total in its
zone. The traffic of a host grows with the upstreams of its region.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, TypeVar

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._choice import REPORT_SECONDS, is_doubted
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, Part, Record, SendPeer
from lycheedeal.relay._events import (
    DutyChanged,
    Event,
    LoadReport,
    NeighboursKnown,
    PeerSpoke,
    SpreadWanted,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._neighbours import Neighbours
from lycheedeal.relay._records import (
    LAST_TOKEN,
    Load,
    Loads,
    LoadScope,
    Peer,
    ReportedLoad,
    Token,
    Upstream,
)
from lycheedeal.relay._table import UpstreamTable

_REPORT_SECONDS: Final = 1.0
# Reports that a collecting host takes in a second; beyond that they come rarer.
_REPORTS_PER_SECOND: Final = 35
# Keeps a datagram below 1,400 bytes; a row takes 14.
_ROWS_PER_REPORT: Final = 75
# A host vouches for an upstream this long after an answer; longer, and a crash
# would show later.
_VOUCHING_SECONDS: Final = 1.5
# A host doubts an upstream this long after an opening without an answer, unless
# it has one before.
_DOUBT_SECONDS: Final = 6.4
# Part of each new sample in the mean, ten samples a second.
_MEAN_WEIGHT: Final = 0.1
_SAMPLE_SECONDS: Final = 0.1

_KeyT = TypeVar('_KeyT')


@dataclass(slots=True, eq=False, repr=False)
class _Told:
    """Loads last told by a host or a zone, and when."""

    at: float = float('-inf')
    loads: Loads = field(default_factory=dict)

    def take(self, report: LoadReport, now: float) -> None:
        """Replace what was told of the upstreams in the report's range."""
        self.at = now
        self.loads = {
            token: load
            for token, load in self.loads.items()
            if not report.first <= token <= report.last
        }
        self.loads.update(report.loads)


class LoadsPlugin:
    """Measures the own load, and adds up that of a zone while collecting."""

    def __init__(self, context: RelayContext) -> None:
        """Start off duty, without upstreams or other hosts."""
        self._context = context
        self._own = context.settings.own_peer
        self._table = UpstreamTable()
        self._neighbours = Neighbours(self._own, context.clock)
        self._active = False
        self._told_by_host: dict[HostId, _Told] = {}
        self._told_by_zone: dict[Zone, _Told] = {}
        self._next_report = 0.0
        self._next_sample = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event."""
        match event:
            case UpstreamsChanged(table=table):
                self._table = table
            case NeighboursKnown(neighbours=neighbours):
                self._neighbours = neighbours
            case DutyChanged(active=active):
                self._active = self._own.on_duty = active
            case PeerSpoke(message=LoadReport() as report):
                yield from self._reported(report)
            case Tick(now=now):
                self._sample(now)
                yield from self._report(now)

    def _sample(self, now: float) -> None:
        if now < self._next_sample:
            return
        self._next_sample = now + _SAMPLE_SECONDS
        for upstream in self._table.by_token.values():
            upstream.busy_mean += _MEAN_WEIGHT * (upstream.busy - upstream.busy_mean)

    def _report(self, now: float) -> Iterator[Effect]:
        if now < self._next_report:
            return
        collector = self._collector()
        if collector is None:
            self._next_report = now + _REPORT_SECONDS
            yield from self._report_total(now)
            return
        self._next_report = now + self._host_pause()
        for report in self._split(LoadScope.HOST, (self._own.zone,), self._own_loads()):
            yield SendPeer(collector.endpoint, report)

    def _host_pause(self) -> float:
        """Return the seconds between two reports of a host to the collector."""
        crowd = len(self._neighbours) / _REPORTS_PER_SECOND
        return max(_REPORT_SECONDS, crowd)

    def _collector(self) -> Peer | None:
        """Return the host that adds up this zone's reports; None if it is this one.

        While the store is away several hosts are on duty; the first collects.
        """
        if not self._active:
            return self._neighbours.find(self._neighbours.keeper)
        return self._neighbours.first_on_duty()

    def _own_loads(self) -> Loads:
        now = self._context.clock.monotonic()
        loads = {
            token: _own_load(upstream, now)
            for token, upstream in self._table.by_token.items()
        }
        return {
            token: load
            for token, load in loads.items()
            if load.open_flows or load.doubting or load.vouching
        }

    def _report_total(self, now: float) -> Iterator[Effect]:
        oldest = now - REPORT_SECONDS * self._host_pause() / _REPORT_SECONDS
        self._told_by_host = _newer(self._told_by_host, oldest)
        self._told_by_zone = _newer(self._told_by_zone, now - REPORT_SECONDS)
        own_zone = self._own_loads()
        for told in self._told_by_host.values():
            _add_up(own_zone, told.loads)
        region = dict(own_zone)
        for told in self._told_by_zone.values():
            _add_up(region, _without_judgement(told.loads))
        zones = self._own.zone, *self._told_by_zone
        for report in self._split(LoadScope.REGION, zones, region):
            yield from self._apply(report)
            yield Publish(SpreadWanted(report))
        for report in self._split(LoadScope.ZONE, (self._own.zone,), own_zone):
            for collector in self._neighbours.keepers_elsewhere():
                yield SendPeer(collector.endpoint, report)

    def _split(
        self,
        scope: LoadScope,
        zones: tuple[Zone, ...],
        loads: Loads,
    ) -> Iterator[LoadReport]:
        """Yield reports small enough for a datagram each, that cover all tokens."""
        first = Token(0)
        tokens = sorted(loads)
        for start in range(0, max(len(tokens), 1), _ROWS_PER_REPORT):
            end = start + _ROWS_PER_REPORT
            last = tokens[end - 1] if end < len(tokens) else LAST_TOKEN
            rows = {token: loads[token] for token in tokens[start:end]}
            yield LoadReport(self._own, scope, zones, first, last, rows)
            first = Token(last + 1)

    def _reported(self, report: LoadReport) -> Iterator[Effect]:
        self._neighbours.heard(report.peer)
        now = self._context.clock.monotonic()
        is_own_zone = report.peer.zone == self._own.zone
        match report.scope:
            case LoadScope.HOST if is_own_zone:
                host_id = report.peer.host_id
                self._told_by_host.setdefault(host_id, _Told()).take(report, now)
            case LoadScope.ZONE if not is_own_zone:
                zone = report.peer.zone
                self._told_by_zone.setdefault(zone, _Told()).take(report, now)
            case LoadScope.REGION if is_own_zone:
                yield from self._apply(report)

    def _apply(self, report: LoadReport) -> Iterator[Effect]:
        now = self._context.clock.monotonic()
        for token, upstream in self._table.by_token.items():
            if not report.first <= token <= report.last:
                continue
            was_doubted = is_doubted(upstream, now)
            load = report.loads.get(token, Load(0, 0))
            by_own_zone = upstream.listing.zone in report.zones
            upstream.reported = ReportedLoad(now, load, by_own_zone)
            if is_doubted(upstream, now) is not was_doubted:
                yield self._judged(upstream, load, report.peer)

    def _judged(self, upstream: Upstream, load: Load, collector: Peer) -> Record:
        doubted = load.doubting > load.vouching
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


def _newer(told_by_key: dict[_KeyT, _Told], oldest: float) -> dict[_KeyT, _Told]:
    return {key: told for key, told in told_by_key.items() if told.at >= oldest}


def _own_load(upstream: Upstream, now: float) -> Load:
    return Load(
        upstream.busy_mean,
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
                NeighboursKnown,
                DutyChanged,
                PeerSpoke,
                Tick,
            ),
        ),
    ),
)
