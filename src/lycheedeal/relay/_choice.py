"""Describes upstreams to the placement of new flows, as this host knows them."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import HostId, ServiceName, Zone
from lycheedeal.placement import (
    NOT_EXCLUDED,
    Candidate,
    Exclusion,
    WarmupLimit,
    WarmupQuota,
    apply_paces,
    taper,
)
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import LogRecord
from lycheedeal.relay._events import (
    EvacuationsChanged,
    Event,
    PeerTableReady,
    RoutesChanged,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._flows import mean_in_flight
from lycheedeal.relay._ramps import RampUps
from lycheedeal.relay._records import Load, ServiceTerms, Upstream
from lycheedeal.relay._reported_loads import ReportedLoads
from lycheedeal.relay._sharing_hosts import SharingHosts
from lycheedeal.relay._upstream_conditions import connection_room
from lycheedeal.relay._upstream_table import UpstreamTable

# Requests in flight that an open flow adds to the estimate of load: on average a
# caller sends a request each second or two, and it takes 30 ms.
_LOAD_PER_FLOW: Final = 0.02
# Factor by which the answers of an upstream take longer while it warms up, unless its
# answer times are known.
_WARMUP_FACTOR: Final = 1.6
_NO_LOAD: Final = Load(0, 0)
# Upstreams that are considered for a flow: of a larger service, a random part. More
# would cost milliseconds for each opening and hardly improve the choice.
_MAX_LOCAL: Final = 96
_MAX_REMOTE: Final = 48
# How long upstreams are cold where the configuration does not tell.
_WARMUP_SECONDS: Final = 2.0


@dataclass(slots=True, eq=False, repr=False)
class FlowCriteria:
    """What a new flow needs.

    ``excluded`` is the upstream that did not answer an earlier attempt, if any.
    """

    service: ServiceName
    bulk: bool
    excluded: Upstream | None


class CandidateList:
    """What this host knows of the upstreams that may get a new flow."""

    def __init__(self, context: RelayContext) -> None:
        """Start without upstreams, routes and other hosts."""
        self._context = context
        self._zone = context.settings.zone
        self._table = UpstreamTable()
        self._terms_by_service: Mapping[ServiceName, ServiceTerms] = {}
        self._evacuated: frozenset[Zone] = frozenset()
        # When each zone was resumed after an evacuation.
        self._resumed_at_by_zone: dict[Zone, float] = {}
        self._sharing_hosts = SharingHosts(context)
        self._quota = WarmupQuota(context.settings.host_id)
        self._ramps = RampUps(context)

    def follow(self, event: Event) -> None:
        """Take in what an event tells."""
        match event:
            case UpstreamsChanged(table=table):
                self._table = table
                self._ramps.follow_table(table)
            case RoutesChanged(terms_by_service=terms):
                self._terms_by_service = terms
            case EvacuationsChanged(evacuated=evacuated, resumed=resumed):
                now = self._context.clock.monotonic()
                self._evacuated = evacuated
                self._resumed_at_by_zone.update(dict.fromkeys(resumed, now))
                self._ramps.resume(resumed)
            case PeerTableReady() | Tick():
                self._sharing_hosts.follow(event)

    def advance(self, now: float) -> Iterator[LogRecord]:
        """Adapt the paces of upstreams that ramp up; yield their changes."""
        yield from self._ramps.advance(now, self._load_when_warm)

    def sampled_upstreams(
        self, criteria: FlowCriteria
    ) -> Iterator[tuple[Candidate, Upstream]]:
        """Yield upstreams of a service that accept new flows; some, if it has many."""
        ready = list(self._table.ready(criteria.service))
        if len(ready) > _MAX_LOCAL + _MAX_REMOTE:
            local = [one for one in ready if one.listing.zone == self._zone]
            remote = [one for one in ready if one.listing.zone != self._zone]
            rng = self._context.rng
            ready = [
                *rng.sample(local, min(len(local), _MAX_LOCAL)),
                *rng.sample(remote, min(len(remote), _MAX_REMOTE)),
            ]
        yield from self._described(ready, criteria)

    def upstreams(self, criteria: FlowCriteria) -> Iterator[tuple[Candidate, Upstream]]:
        """Yield the upstreams of a service that accept new flows."""
        yield from self._described(self._table.ready(criteria.service), criteria)

    def _described(
        self, ready: Iterable[Upstream], criteria: FlowCriteria
    ) -> Iterator[tuple[Candidate, Upstream]]:
        now = self._context.clock.monotonic()
        hosts = self._sharing_hosts.ids(now) if self._has_warmup_limit() else ()
        upstreams_by_candidate = {
            self._candidate(upstream, criteria, now): upstream for upstream in ready
        }
        paces_by_id = self._ramps.paces_by_id(now)
        if paces_by_id:
            apply_paces(upstreams_by_candidate, paces_by_id)
        for candidate, upstream in upstreams_by_candidate.items():
            self._apply_connection_limit(candidate, upstream, now)
            if self._is_limited(upstream, now):
                self._apply_limit(candidate, upstream, hosts, now)
            yield candidate, upstream

    def record_opening(self, upstream: Upstream) -> None:
        """Note that an opening is sent to an upstream."""
        now = self._context.clock.monotonic()
        self._ramps.probes.record(upstream.listing.upstream_id, now)
        if self._is_limited(upstream, now):
            self._quota.record(upstream.listing.upstream_id, now)

    def record_unanswered(self, upstream: Upstream) -> None:
        """Note that an upstream left an opening unanswered."""
        self._ramps.note_unanswered(upstream)

    def expire(self, now: float) -> None:
        """Forget what has no effect any more, and count the hosts of the zone."""
        self._ramps.probes.set_hosts(self._sharing_hosts.count())
        self._quota.expire(now)

    def _candidate(
        self, upstream: Upstream, criteria: FlowCriteria, now: float
    ) -> Candidate:
        factor = self._ramps.warmup_factor(upstream) or _WARMUP_FACTOR
        return Candidate(
            upstream.listing.upstream_id,
            upstream.listing.zone == self._zone,
            load_of(self._table.region_loads, upstream, now, factor),
            speed=1 / upstream.slowness,
            exclusions=self._exclusions(upstream, criteria, now),
        )

    def _load_when_warm(self, upstream: Upstream, now: float) -> float:
        return load_of(self._table.region_loads, upstream, now, warmup_factor=1)

    def _exclusions(
        self, upstream: Upstream, criteria: FlowCriteria, now: float
    ) -> frozenset[Exclusion]:
        region_loads = self._table.region_loads
        zone = upstream.listing.zone
        is_remote = zone != self._zone
        is_repeated = criteria.excluded is not None
        is_tried = self._ramps.is_tried(upstream, is_repeated, now)
        found = [
            exclusion
            for exclusion, applies in (
                (Exclusion.EVACUATED, zone in self._evacuated),
                (Exclusion.UNANSWERED, upstream is criteria.excluded),
                (Exclusion.AVOIDED, not is_tried and upstream.avoided_until > now),
                (
                    Exclusion.SUSPECTED,
                    not is_tried and region_loads.is_suspected(upstream, now),
                ),
                (
                    Exclusion.UNREPORTED,
                    is_remote and not _is_reported(region_loads, zone, now),
                ),
            )
            if applies
        ]
        return frozenset(found) if found else NOT_EXCLUDED

    def _has_warmup_limit(self) -> bool:
        settings = self._context.settings
        return settings.warmup_overage is not None and settings.warmup_slack is not None

    def _is_limited(self, upstream: Upstream, now: float) -> bool:
        return self._has_warmup_limit() and self._cold_until(upstream) > now

    def _cold_until(self, upstream: Upstream) -> float:
        """Return the end of a warm-up.

        Upstreams of a zone may have become cold shortly before it was resumed, and
        their entries tell it up to a heartbeat later.
        """
        resumed_at = self._resumed_at_by_zone.get(upstream.listing.zone)
        if resumed_at is None:
            return upstream.warm_at
        terms = self._terms_by_service.get(upstream.listing.service)
        seconds = terms.warmup_seconds if terms else None
        if seconds is None:
            seconds = _WARMUP_SECONDS
        return max(upstream.warm_at, resumed_at + seconds)

    def _apply_limit(
        self,
        candidate: Candidate,
        upstream: Upstream,
        hosts: tuple[HostId, ...],
        now: float,
    ) -> None:
        weight = 0.0
        if candidate.is_local and hosts:
            limit = self._limit(upstream.listing.service)
            weight = self._quota.weight(candidate.upstream_id, limit, hosts, now)
        if weight:
            candidate.share *= weight
        else:
            candidate.exclusions |= {Exclusion.WARMING_UP}

    def _apply_connection_limit(
        self, candidate: Candidate, upstream: Upstream, now: float
    ) -> None:
        terms = self._terms_by_service.get(upstream.listing.service)
        if terms is None or not terms.max_connections:
            return
        room = connection_room(
            self._table.region_loads,
            upstream,
            terms.max_connections,
            self._sharing_hosts.known_hosts,
            now,
        )
        if room > 0:
            candidate.share *= taper(room)
        else:
            candidate.exclusions |= {Exclusion.FULL}

    def _limit(self, service: ServiceName) -> WarmupLimit:
        settings = self._context.settings
        terms = self._terms_by_service.get(service)
        rate = terms.warmup_rate if terms else None
        return WarmupLimit(
            rate or 0, settings.warmup_overage or 0, settings.warmup_slack or 0
        )


def _is_reported(region_loads: ReportedLoads, zone: Zone, now: float) -> bool:
    """Return whether a zone, which uses its upstreams most, has reported."""
    return zone in region_loads.zones and region_loads.is_fresh(now)


def load_of(
    region_loads: ReportedLoads,
    upstream: Upstream,
    now: float,
    warmup_factor: float = _WARMUP_FACTOR,
) -> float:
    """Return the expected wait in requests for each slot, including one more request.

    The unit is the time that a usual upstream of the service takes for a request.
    Requests in flight and the estimate from open flows count half each: a flow
    that was just opened has not caused its load yet.
    """
    in_flight, flows = float(upstream.in_flight), upstream.open_flows
    if region_loads.is_fresh(now):
        reported = region_loads.find(upstream.token) or _NO_LOAD
        # The report contains the mean that this host reported; its current count
        # is newer, so the difference is added.
        newer = upstream.in_flight - mean_in_flight(upstream, now)
        in_flight = max(reported.in_flight + newer, 0)
        flows = reported.open_flows
    load = (1 + (in_flight + _LOAD_PER_FLOW * flows) / 2) * upstream.slowness
    if upstream.warm_at > now:
        load *= warmup_factor
    return load / max(upstream.listing.slots, 1)
