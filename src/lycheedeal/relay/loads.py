"""Tells hosts how busy the upstreams are, by way of the hosts on duty.

Each host reports to the host on duty of its zone, which adds the reports up,
passes the sum on in its zone and exchanges it with those on duty elsewhere. The
traffic of a host grows with the upstreams of its region, not with the fleet.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, register
from lycheedeal.ids import HostId
from lycheedeal.relay._choice import REPORT_SECONDS
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, SendPeer
from lycheedeal.relay._events import (
    DutyChanged,
    Event,
    LoadReport,
    NeighboursKnown,
    PeerSpoke,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._neighbours import Neighbours
from lycheedeal.relay._records import Load, Token, ZoneLoad
from lycheedeal.relay._table import UpstreamTable

_REPORT_SECONDS: Final = 0.5
# Reports that a host on duty takes in a second; beyond that they come rarer.
_REPORTS_PER_SECOND: Final = 70
# Part of each new sample in the mean, ten samples a second.
_MEAN_WEIGHT: Final = 0.12
_SAMPLE_SECONDS: Final = 0.1


class LoadsPlugin:
    """Measures the own load, and adds up that of a zone while on duty."""

    def __init__(self, context: RelayContext) -> None:
        """Start on duty, without upstreams or other hosts."""
        self._context = context
        self._own = context.settings.own_peer
        self._own.on_duty = True
        self._table = UpstreamTable()
        self._neighbours = Neighbours(self._own, context.clock)
        self._active = True
        self._report_by_host: dict[HostId, tuple[float, LoadReport]] = {}
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
                self._report_by_host.clear()
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
        crowd = len(self._neighbours) / _REPORTS_PER_SECOND
        self._next_report = now + max(_REPORT_SECONDS, crowd)
        if self._active:
            yield from self._report_total(now)
            return
        keeper = self._neighbours.find(self._neighbours.keeper)
        if keeper is not None:
            own = LoadReport(self._own, total=False, load_by_token=self._own_loads())
            yield SendPeer(keeper.endpoint, own)

    def _own_loads(self) -> dict[Token, Load]:
        return {
            token: Load(upstream.busy_mean, upstream.open_flows)
            for token, upstream in self._table.by_token.items()
            if upstream.open_flows
        }

    def _report_total(self, now: float) -> Iterator[Effect]:
        totals = self._own_loads()
        for reported_at, report in self._report_by_host.values():
            if reported_at + REPORT_SECONDS < now:
                continue
            for token, load in report.load_by_token.items():
                known = totals.get(token, Load(0, 0))
                busy = known.busy + load.busy
                totals[token] = Load(busy, known.open_flows + load.open_flows)
        total = LoadReport(self._own, total=True, load_by_token=totals)
        self._apply(total)
        yield from self._tell_zone(total)
        for keeper in self._neighbours.keepers_elsewhere():
            yield SendPeer(keeper.endpoint, total)

    def _tell_zone(self, report: LoadReport) -> Iterator[Effect]:
        for peer in self._neighbours.of_own_zone():
            yield SendPeer(peer.endpoint, report)

    def _reported(self, report: LoadReport) -> Iterator[Effect]:
        is_own_zone = report.peer.zone == self._own.zone
        if not report.total:
            if is_own_zone and self._active:
                now = self._context.clock.monotonic()
                self._report_by_host[report.peer.host_id] = now, report
            return
        self._apply(report)
        if self._active and not is_own_zone:
            self._neighbours.heard(report.peer)
            yield from self._tell_zone(report)

    def _apply(self, report: LoadReport) -> None:
        now = self._context.clock.monotonic()
        zone = report.peer.zone
        for token, upstream in self._table.by_token.items():
            load = report.load_by_token.get(token, Load(0, 0))
            upstream.load_by_zone[zone] = ZoneLoad(now, load)


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
