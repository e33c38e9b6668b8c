"""Follows from report to report which upstreams are slow, and which are full."""

from collections.abc import Iterator, Mapping
from typing import Final

from lycheedeal.ids import ServiceName, UpstreamId
from lycheedeal.placement import Answered, SpeedEstimates
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import LogRecord, Part
from lycheedeal.relay._records import (
    Load,
    Loads,
    ServiceTerms,
    Token,
    Upstream,
    UpstreamState,
)
from lycheedeal.relay._reported_loads import ReportedLoads
from lycheedeal.relay._upstream_table import UpstreamTable

# Slowness from which an upstream is recorded as slow, and below which no longer.
_SLOW_FROM: Final = 1.25
_SLOW_UNTIL: Final = 1.1
# Room, as part of its limit, from which an upstream is no longer recorded as full.
_FULL_UNTIL: Final = 0.02
# Answers of a warm-up are not measured; a report tells them this much later at most.
_REPORT_LAG_SECONDS: Final = 3.0
# Time after which estimates fade without a report.
_FADE_INTERVAL_SECONDS: Final = 1.0
_NO_LOAD: Final = Load(0, 0)


class UpstreamConditions:
    """Slowness and open flows of upstreams, kept in their records."""

    def __init__(self, context: RelayContext) -> None:
        """Start without estimates and limits."""
        self._context = context
        self.terms_by_service: Mapping[ServiceName, ServiceTerms] = {}
        self._speeds_by_service: dict[ServiceName, SpeedEstimates] = {}
        self._slow: set[UpstreamId] = set()
        self._full: set[UpstreamId] = set()
        # Upstreams with a slowness other than 1.
        self._different: frozenset[UpstreamId] = frozenset()
        # Upstreams that had flows in the last report.
        self._counted: set[Token] = set()
        self._next_fading = 0.0

    def update(
        self, table: UpstreamTable, interval: float, now: float
    ) -> Iterator[LogRecord]:
        """Take in a complete report, to which each host adds once an ``interval``."""
        loads = table.region_loads.all_loads()
        for service, answered_by_id in _answers_by_service(
            table, loads, interval, now
        ).items():
            speeds = self._speeds_by_service.setdefault(service, SpeedEstimates())
            speeds.update(answered_by_id, now)
        yield from self._set_slowness(table, now)
        if any(one.max_connections for one in self.terms_by_service.values()):
            yield from self._count_flows(table, interval, now)

    def tick(self, table: UpstreamTable, now: float) -> Iterator[LogRecord]:
        """Let the estimates fade."""
        if now >= self._next_fading:
            yield from self._set_slowness(table, now)

    def _set_slowness(self, table: UpstreamTable, now: float) -> Iterator[LogRecord]:
        """Set the slowness of the upstreams whose answers prove that they differ."""
        self._next_fading = now + _FADE_INTERVAL_SECONDS
        slow: set[UpstreamId] = set()
        slowness_by_id = dict(self._differing(table, now))
        for upstream_id in self._different | slowness_by_id.keys():
            upstream = table.current_by_id.get(upstream_id)
            if upstream is None:
                continue
            upstream.slowness = slowness_by_id.get(upstream_id, 1)
            bound = _SLOW_UNTIL if upstream_id in self._slow else _SLOW_FROM
            if upstream.slowness >= bound:
                slow.add(upstream_id)
        for upstream_id in sorted(slow ^ self._slow):
            yield self._speed_record(table, upstream_id, upstream_id in slow)
        self._slow = slow
        self._different = frozenset(slowness_by_id)
        self._context.metrics.set_gauge('upstream_conditions', 'slow', len(slow))

    def _differing(
        self, table: UpstreamTable, now: float
    ) -> Iterator[tuple[UpstreamId, float]]:
        for service, speeds in tuple(self._speeds_by_service.items()):
            if not speeds.forget(now):
                self._speeds_by_service.pop(service)
            current_by_id = table.current_by_service.get(service, {})
            for upstream_id, slowness in speeds.differing(now):
                if upstream_id in current_by_id:
                    yield upstream_id, slowness

    def _count_flows(
        self, table: UpstreamTable, interval: float, now: float
    ) -> Iterator[LogRecord]:
        loads = table.region_loads.all_loads()
        full: set[UpstreamId] = set()
        no_loads = dict.fromkeys(self._counted - loads.keys(), _NO_LOAD)
        self._counted = set(loads)
        for upstream, load in _loads_in_use(table, {**loads, **no_loads}):
            limit = self._limit_of(upstream)
            if not limit:
                continue
            # The sum contains the last report of this host, or the one before.
            own = min(upstream.reported_flows, upstream.earlier_reported_flows)
            upstream.flow_count.interval = interval
            upstream.flow_count.update(load.open_flows, own, limit, now)
            if upstream.flow_count.flows:
                self._counted.add(upstream.token)
            upstream_id = upstream.listing.upstream_id
            bound = _FULL_UNTIL if upstream_id in self._full else 0
            # Alike on all hosts: without what other hosts may have opened since.
            room = connection_room(table.region_loads, upstream, limit, 1, now)
            if room <= bound:
                full.add(upstream_id)
        for upstream_id in sorted(full ^ self._full):
            yield self._full_record(table, upstream_id, upstream_id in full)
        self._full = full
        self._context.metrics.set_gauge('upstream_conditions', 'full', len(full))

    def _limit_of(self, upstream: Upstream) -> int | None:
        terms = self.terms_by_service.get(upstream.listing.service)
        return terms.max_connections if terms else None

    def _speed_record(
        self, table: UpstreamTable, upstream_id: UpstreamId, is_slow: bool
    ) -> LogRecord:
        self._context.metrics.add('upstreams', 'slow' if is_slow else 'not slow')
        upstream = table.current_by_id.get(upstream_id)
        return LogRecord(
            Part.LOADS,
            'speed',
            'Upstream is slower than others of its service; it gets fewer new flows.'
            if is_slow
            else 'Upstream is no longer slower than others of its service.',
            {
                'upstream': upstream_id,
                'slowness': round(upstream.slowness, 2) if upstream else None,
            },
        )

    def _full_record(
        self, table: UpstreamTable, upstream_id: UpstreamId, is_full: bool
    ) -> LogRecord:
        self._context.metrics.add('upstreams', 'full' if is_full else 'not full')
        upstream = table.current_by_id.get(upstream_id)
        return LogRecord(
            Part.LOADS,
            'full',
            'Upstream has no room for new flows.'
            if is_full
            else 'Upstream has room for new flows again.',
            {
                'upstream': upstream_id,
                'flows': round(upstream.flow_count.flows) if upstream else None,
                'limit': self._limit_of(upstream) if upstream else None,
            },
        )


def connection_room(
    region_loads: ReportedLoads,
    upstream: Upstream,
    limit: int,
    hosts: int,
    now: float,
) -> float:
    """Return the room of an upstream for new flows, as part of its limit.

    Without a recent report, only the flows of this host are known. ``hosts`` is the
    number of hosts that open flows.
    """
    if not region_loads.is_fresh(now):
        return 1 - upstream.open_flows / limit
    return upstream.flow_count.room(limit, upstream.open_flows, hosts, now)


def _answers_by_service(
    table: UpstreamTable, loads: Loads, interval: float, now: float
) -> dict[ServiceName, dict[UpstreamId, Answered]]:
    answers_by_service: dict[ServiceName, dict[UpstreamId, Answered]] = {}
    for upstream, load in _loads_in_use(table, loads):
        if not load.answers or upstream.warm_at + _REPORT_LAG_SECONDS > now:
            continue
        listing = upstream.listing
        answers_by_service.setdefault(listing.service, {})[listing.upstream_id] = (
            Answered(
                load.answers / interval, load.answer_seconds / interval, listing.slots
            )
        )
    return answers_by_service


def _loads_in_use(
    table: UpstreamTable, loads: Loads
) -> Iterator[tuple[Upstream, Load]]:
    """Yield the upstreams that accept new flows, with their loads."""
    for token, load in loads.items():
        upstream = table.by_token.get(token)
        if upstream is not None and upstream.state is UpstreamState.READY:
            yield upstream, load
