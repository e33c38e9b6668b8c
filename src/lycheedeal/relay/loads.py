"""Tells hosts how busy the upstreams are, by way of the hosts on duty.

Each host reports to the host on duty of its zone, which adds the reports up,
passes the sums on in its zone and exchanges its own with those on duty
elsewhere. The traffic of a host grows with the upstreams of its region.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, register
from lycheedeal.ids import HostId, Zone
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
from lycheedeal.relay._records import Load, Loads, Peer, ZoneLoad
from lycheedeal.relay._table import UpstreamTable

_REPORT_SECONDS: Final = 1.0
# Reports that a collecting host takes in a second; beyond that they come rarer.
_REPORTS_PER_SECOND: Final = 35
# Part of each new sample in the mean, ten samples a second.
_MEAN_WEIGHT: Final = 0.1
_SAMPLE_SECONDS: Final = 0.1


class LoadsPlugin:
    """Measures the own load, and adds up that of a zone while collecting."""

    def __init__(self, context: RelayContext) -> None:
        """Start off duty, without upstreams or other hosts."""
        self._context = context
        self._own = context.settings.own_peer
        self._table = UpstreamTable()
        self._neighbours = Neighbours(self._own, context.clock)
        self._active = False
        self._report_by_host: dict[HostId, tuple[float, LoadReport]] = {}
        self._loads_elsewhere: dict[Zone, tuple[float, Loads]] = {}
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
                self._reported(report)
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
        collector = self._collector()
        if collector is None:
            yield from self._report_total(now)
            return
        loads = {self._own.zone: self._own_loads()}
        yield SendPeer(collector.endpoint, LoadReport(self._own, False, loads))

    def _collector(self) -> Peer | None:
        """Return the host that adds up this zone's reports; None if it is this one.

        While the store is away several hosts are on duty; the first collects.
        """
        if not self._active:
            return self._neighbours.find(self._neighbours.keeper)
        return self._neighbours.first_on_duty()

    def _own_loads(self) -> Loads:
        return {
            token: Load(upstream.busy_mean, upstream.open_flows)
            for token, upstream in self._table.by_token.items()
            if upstream.open_flows
        }

    def _report_total(self, now: float) -> Iterator[Effect]:
        totals = self._own_loads()
        oldest = now - REPORT_SECONDS
        for heard_at, report in self._report_by_host.values():
            if heard_at >= oldest:
                _add_up(totals, report.loads_by_zone.get(self._own.zone, {}))
        own = {self._own.zone: totals}
        fresh = {
            zone: told[1]
            for zone, told in self._loads_elsewhere.items()
            if told[0] >= oldest
        }
        known = LoadReport(self._own, True, {**fresh, **own})
        self._apply(self._own.zone, totals)
        for peer in self._neighbours.of_own_zone():
            yield SendPeer(peer.endpoint, known)
        told = LoadReport(self._own, True, own)
        for collector in self._neighbours.keepers_elsewhere():
            yield SendPeer(collector.endpoint, told)

    def _reported(self, report: LoadReport) -> None:
        now = self._context.clock.monotonic()
        is_own_zone = report.peer.zone == self._own.zone
        if not report.total:
            if is_own_zone:
                self._report_by_host[report.peer.host_id] = now, report
            return
        self._neighbours.heard(report.peer)
        for zone, loads in report.loads_by_zone.items():
            self._apply(zone, loads)
            if not is_own_zone:
                self._loads_elsewhere[zone] = now, loads

    def _apply(self, zone: Zone, loads: Loads) -> None:
        now = self._context.clock.monotonic()
        for token, upstream in self._table.by_token.items():
            load = loads.get(token, Load(0, 0))
            upstream.load_by_zone[zone] = ZoneLoad(now, load)


def _add_up(totals: Loads, loads: Loads) -> None:
    for token, load in loads.items():
        known = totals.get(token, Load(0, 0))
        open_flows = known.open_flows + load.open_flows
        totals[token] = Load(known.busy + load.busy, open_flows)


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
