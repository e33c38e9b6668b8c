"""Reports of the load of upstreams, collected by the leaders of the zones.

Each host reports to the leader of its zone. The leader adds the reports up,
exchanges the sums with the leaders of the other zones, and spreads the total in
its zone. The traffic of a host grows with the upstreams of its region.

Reports also carry votes. A host votes for the failure of an upstream that did not
answer its openings, and for the success of one that did; an upstream is suspected
while the failure votes of its zone outnumber the success votes.
"""

from collections.abc import Iterator
from itertools import islice
from typing import Final, TypeVar

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, LogRecord, Part, SendPeer
from lycheedeal.relay._events import (
    Event,
    LeadershipChanged,
    PeerMessageReceived,
    PeerTableReady,
    RoutesChanged,
    SpreadRequested,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._flows import mean_in_flight
from lycheedeal.relay._messages import LoadReport
from lycheedeal.relay._peer_table import PeerTable
from lycheedeal.relay._records import (
    Load,
    Loads,
    LoadScope,
    Peer,
    Token,
    Upstream,
)
from lycheedeal.relay._reported_loads import REPORT_VALID_SECONDS, ReportedLoads
from lycheedeal.relay._upstream_conditions import UpstreamConditions
from lycheedeal.relay._upstream_table import UpstreamTable

# Time between two reports of a host; longer in a zone of many hosts.
_REPORT_INTERVAL_SECONDS: Final = 1.0
# Reports that the collecting host receives in a second; with more hosts the
# interval between their reports grows.
_REPORTS_PER_SECOND: Final = 35
# Keeps a datagram below 1,400 bytes: a row takes 22 bytes.
_ROWS_PER_PART: Final = 54
# A success vote counts for this long after an answer; with a longer time, a crash
# of the upstream would be noticed later.
_SUCCESS_VOTE_SECONDS: Final = 1.5
# A failure vote counts for this long after an unanswered opening, unless the
# upstream answers another one before.
_FAILURE_VOTE_SECONDS: Final = 6.4

_KeyT = TypeVar('_KeyT')


class LoadsPlugin:
    """Reports the load caused by this host; a leader adds up that of its zone."""

    def __init__(self, context: RelayContext) -> None:
        """Start as a follower, without upstreams or other hosts."""
        self._context = context
        self._own = context.settings.own_peer
        self._table = UpstreamTable()
        self._suspected: set[Token] = set()
        self._last_number = 0
        self._peer_table = PeerTable(self._own, context.clock)
        self._is_leader = False
        self._reports_by_host: dict[HostId, ReportedLoads] = {}
        self._reports_by_zone: dict[Zone, ReportedLoads] = {}
        self._next_report = 0.0
        self._conditions = UpstreamConditions(context)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case UpstreamsChanged(table=table):
                self._table = table
            case PeerTableReady(peer_table=peer_table):
                self._peer_table = peer_table
            case LeadershipChanged(is_leader=is_leader):
                self._is_leader = self._own.is_leader = is_leader
            case PeerMessageReceived(message=LoadReport() as report):
                yield from self._report_received(report)
            case RoutesChanged(terms_by_service=terms):
                self._conditions.terms_by_service = terms
            case Tick(now=now):
                yield from self._send_due_report(now)
                yield from self._conditions.tick(self._table, now)

    def _send_due_report(self, now: float) -> Iterator[Effect]:
        if now < self._next_report:
            return
        collector = self._collector()
        if collector is self._peer_table.own:
            self._next_report = now + _REPORT_INTERVAL_SECONDS
            yield from self._report_totals(now)
        elif collector is not None:
            self._next_report = now + self._report_interval()
            zones = (self._own.zone,)
            for report in self._split(LoadScope.HOST, zones, self._take_own_loads()):
                yield SendPeer(collector.endpoint, report)

    def _report_interval(self) -> float:
        """Return the seconds between two reports of a host to the collecting one."""
        interval = len(self._peer_table) / _REPORTS_PER_SECOND
        return max(_REPORT_INTERVAL_SECONDS, interval)

    def _collector(self) -> Peer | None:
        """Return the host that collects the reports of the zone.

        While the store does not answer, several hosts are leaders; the first one
        collects. None means that no leader is known.
        """
        if not self._is_leader:
            return self._peer_table.find(self._peer_table.leader_id)
        return self._peer_table.first_leader()

    def _take_own_loads(self) -> Loads:
        """Return the loads that this host causes; its answers count anew from now."""
        loads = self._own_loads()
        for upstream in self._table.by_token.values():
            upstream.answers = 0
            upstream.answer_seconds = 0
            upstream.earlier_reported_flows = upstream.reported_flows
            upstream.reported_flows = upstream.open_flows
        return loads

    def _own_loads(self) -> Loads:
        now = self._context.clock.monotonic()
        oldest_answer = now - _SUCCESS_VOTE_SECONDS
        return {
            token: _load_of(upstream, now)
            for token, upstream in self._table.by_token.items()
            if upstream.open_flows
            or upstream.unanswered_openings
            or upstream.answers
            or upstream.answered_at > oldest_answer
        }

    def _report_totals(self, now: float) -> Iterator[Effect]:
        oldest = (
            now
            - REPORT_VALID_SECONDS * self._report_interval() / _REPORT_INTERVAL_SECONDS
        )
        self._reports_by_host = _still_valid(self._reports_by_host, oldest)
        self._reports_by_zone = _still_valid(
            self._reports_by_zone, now - REPORT_VALID_SECONDS
        )
        own_zone = self._take_own_loads()
        for reported in self._reports_by_host.values():
            _add_loads(own_zone, reported.all_loads())
        region = dict(own_zone)
        for reported in self._reports_by_zone.values():
            _add_loads(region, _without_votes(reported.all_loads()))
        zones = self._own.zone, *self._reports_by_zone
        for report in self._split(LoadScope.REGION, zones, region):
            yield from self._apply(report)
            yield Publish(SpreadRequested(report))
        for report in self._split(LoadScope.ZONE, (self._own.zone,), own_zone):
            for collector in self._peer_table.other_zone_leaders():
                yield SendPeer(collector.endpoint, report)

    def _split(
        self,
        scope: LoadScope,
        zones: tuple[Zone, ...],
        loads: Loads,
    ) -> Iterator[LoadReport]:
        """Yield the parts of a report, each of which fits into a datagram."""
        self._last_number += 1
        rows = iter(loads.items())
        parts = max(-(-len(loads) // _ROWS_PER_PART), 1)
        for part in range(parts):
            part_loads = dict(islice(rows, _ROWS_PER_PART))
            yield LoadReport(
                self._own, scope, zones, self._last_number, part, parts, part_loads
            )

    def _report_received(self, report: LoadReport) -> Iterator[Effect]:
        self._peer_table.record_heard(report.peer)
        now = self._context.clock.monotonic()
        is_own_zone = report.peer.zone == self._own.zone
        match report.scope:
            case LoadScope.HOST if is_own_zone:
                host_id = report.peer.host_id
                self._reports_by_host.setdefault(host_id, ReportedLoads()).apply(
                    report, now
                )
            case LoadScope.ZONE if not is_own_zone:
                zone = report.peer.zone
                self._reports_by_zone.setdefault(zone, ReportedLoads()).apply(
                    report, now
                )
            case LoadScope.REGION if is_own_zone:
                yield from self._apply(report)

    def _apply(self, report: LoadReport) -> Iterator[Effect]:
        now = self._context.clock.monotonic()
        region = self._table.region_loads
        if region.apply(report, now):
            interval = self._report_interval()
            yield from self._conditions.update(self._table, interval, now)
        for token in (*report.loads, *self._suspected):
            upstream = self._table.by_token.get(token)
            suspected = upstream is not None and region.is_suspected(upstream, now)
            if suspected is (token in self._suspected):
                continue
            self._suspected.symmetric_difference_update((token,))
            if upstream is not None:
                load = region.find(token) or Load(0, 0)
                yield self._suspicion_record(upstream, load, suspected, report.peer)

    def _suspicion_record(
        self,
        upstream: Upstream,
        load: Load,
        suspected: bool,
        collector: Peer,
    ) -> LogRecord:
        self._context.metrics.add('upstreams', 'doubted' if suspected else 'trusted')
        return LogRecord(
            Part.LOADS,
            'doubt',
            'Upstream is suspected by hosts of the zone; new flows avoid it.'
            if suspected
            else 'Upstream is no longer suspected; it gets new flows again.',
            {
                'upstream': upstream.listing.upstream_id,
                'doubting': load.failure_votes,
                'vouching': load.success_votes,
                'keeper': collector.host_id,
                'state': upstream.state.value,
            },
        )


def _still_valid(
    reports_by_key: dict[_KeyT, ReportedLoads], oldest: float
) -> dict[_KeyT, ReportedLoads]:
    return {
        key: reported
        for key, reported in reports_by_key.items()
        if reported.reported_at >= oldest
    }


def _load_of(upstream: Upstream, now: float) -> Load:
    return Load(
        mean_in_flight(upstream, now),
        upstream.open_flows,
        failure_votes=int(_votes_failure(upstream, now)),
        success_votes=int(upstream.answered_at + _SUCCESS_VOTE_SECONDS > now),
        answers=upstream.answers,
        answer_seconds=upstream.answer_seconds,
    )


def _votes_failure(upstream: Upstream, now: float) -> bool:
    return (
        bool(upstream.unanswered_openings)
        and upstream.unanswered_at + _FAILURE_VOTE_SECONDS > now
    )


def _without_votes(loads: Loads) -> Loads:
    """Return loads without the votes of another zone.

    Its hosts reach the upstream over another network path.
    """
    return {
        token: Load(
            load.in_flight,
            load.open_flows,
            answers=load.answers,
            answer_seconds=load.answer_seconds,
        )
        for token, load in loads.items()
    }


def _add_loads(totals: Loads, loads: Loads) -> None:
    for token, load in loads.items():
        known = totals.get(token, Load(0, 0))
        totals[token] = Load(
            known.in_flight + load.in_flight,
            known.open_flows + load.open_flows,
            known.failure_votes + load.failure_votes,
            known.success_votes + load.success_votes,
            known.answers + load.answers,
            known.answer_seconds + load.answer_seconds,
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
                PeerMessageReceived,
                RoutesChanged,
                Tick,
            ),
        ),
    ),
)
