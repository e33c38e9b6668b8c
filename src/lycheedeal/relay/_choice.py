"""Choice of the upstream for a new flow."""

import random
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import ServiceName, Zone
from lycheedeal.relay._flows import mean_in_flight
from lycheedeal.relay._records import Load, Upstream
from lycheedeal.relay._reported_loads import ReportedLoads
from lycheedeal.relay._upstream_table import UpstreamTable

# Requests in flight that an open flow stands for, until it is measured: on
# average a caller sends a request each second or two that takes 30 ms.
_LOAD_PER_FLOW: Final = 0.02
# How much slower an upstream answers while it warms up.
_WARMUP_FACTOR: Final = 1.6
# Load a slot by which other zones must be better before flows go there. Bytes
# between zones have a price, which is that of the data for a bulky request.
_SPILL_MARGIN: Final = 0.1
_BULK_SPILL_MARGIN: Final = 0.8
# Part of the upstreams of a group that is not avoided on the word of others.
_MIN_UNSUSPECTED_SHARE: Final = 0.5
# Part of the flows that are dealt as if nobody doubted an upstream, so that one
# that answers again is found.
_PROBE_SHARE: Final = 0.05
# Flows are dealt by this power of the load, so that hosts with the same news
# do not all choose the same upstream.
_WEIGHT_EXPONENT: Final = 2
_NO_LOAD: Final = Load(0, 0)


@dataclass(slots=True, eq=False, repr=False)
class FlowCriteria:
    """What a new flow needs; ``excluded`` did not answer its opening."""

    service: ServiceName
    zone: Zone
    bulk: bool
    excluded: Upstream | None


@dataclass(slots=True, eq=False, repr=False)
class Choice:
    """The upstream chosen, its load a slot, and how many were considered."""

    upstream: Upstream
    load: float
    candidates: int
    local: bool


def choose(
    table: UpstreamTable,
    criteria: FlowCriteria,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Return an upstream with little load, of the own zone as a rule.

    None means that the service has no upstream that takes new flows.
    """
    ready = list(table.ready(criteria.service))
    if not ready:
        return None
    others = [one for one in ready if one is not criteria.excluded]
    usable = [one for one in others if one.avoided_until <= now]
    if rng.random() >= _PROBE_SHARE:
        usable = _without_suspected(table, usable, criteria.zone, now)
    local = [one for one in usable if one.listing.zone == criteria.zone]
    remote = [one for one in usable if one.listing.zone != criteria.zone]
    if local:
        known = [one for one in remote if _is_reported(table.region_loads, one, now)]
        group = _local_or_remote(table.region_loads, (local, known), criteria, now, rng)
    else:
        group = remote or others or ready
    loads = [load_of(table.region_loads, one, now) for one in group]
    weights = [load**-_WEIGHT_EXPONENT for load in loads]
    index = rng.choices(range(len(group)), weights)[0]
    upstream = group[index]
    is_local = upstream.listing.zone == criteria.zone
    return Choice(upstream, loads[index], len(group), is_local)


def _without_suspected(
    table: UpstreamTable,
    usable: list[Upstream],
    zone: Zone,
    now: float,
) -> list[Upstream]:
    """Return the upstreams that answer the hosts of this zone.

    When it is many of the zone or of the others, the fault is more likely
    elsewhere, and the rest could not carry their load.
    """
    accepted: list[Upstream] = []
    for is_local in (True, False):
        group = [one for one in usable if (one.listing.zone == zone) is is_local]
        kept = [one for one in group if not table.region_loads.is_suspected(one, now)]
        enough = len(kept) >= len(group) * _MIN_UNSUSPECTED_SHARE
        accepted.extend(kept if enough else group)
    return accepted


def _local_or_remote(
    region_loads: ReportedLoads,
    groups: tuple[list[Upstream], list[Upstream]],
    criteria: FlowCriteria,
    now: float,
    rng: random.Random,
) -> list[Upstream]:
    """Return the group for one flow; hot zones give a part of theirs away."""
    local, remote = groups
    if not remote:
        return local
    margin = _BULK_SPILL_MARGIN if criteria.bulk else _SPILL_MARGIN
    here = _mean_load(region_loads, local, now)
    there = _mean_load(region_loads, remote, now) + margin
    return remote if rng.random() < 1 - there / here else local


def _mean_load(region_loads: ReportedLoads, group: list[Upstream], now: float) -> float:
    return sum(load_of(region_loads, one, now) for one in group) / len(group)


def _is_reported(region_loads: ReportedLoads, upstream: Upstream, now: float) -> bool:
    """Tell whether the upstream's own zone, which uses it most, has reported."""
    return upstream.listing.zone in region_loads.zones and region_loads.is_fresh(now)


def load_of(region_loads: ReportedLoads, upstream: Upstream, now: float) -> float:
    """Return expected requests for each slot, with one more request.

    Half of it is what was measured lately, half what open flows stand for:
    a flow that was opened a moment ago has not caused its load yet.
    """
    in_flight, flows = float(upstream.in_flight), upstream.open_flows
    if region_loads.is_fresh(now):
        reported = region_loads.find(upstream.token) or _NO_LOAD
        # The own count is newer than the part of the report that it replaces.
        newer = upstream.in_flight - mean_in_flight(upstream, now)
        in_flight = max(reported.in_flight + newer, 0)
        flows = reported.open_flows
    load = 1 + (in_flight + _LOAD_PER_FLOW * flows) / 2
    if upstream.warm_at > now:
        load *= _WARMUP_FACTOR
    return load / max(upstream.listing.slots, 1)
