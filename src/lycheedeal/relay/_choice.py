"""Selection of the upstream for a new flow.

Flows go to upstreams of the own zone unless these are so loaded that a part of
the flows is better served in another zone. Within a group, upstreams are drawn at
random, with weights that fall with their load.
"""

import random
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import ServiceName, Zone
from lycheedeal.relay._flows import mean_in_flight
from lycheedeal.relay._records import Load, Upstream
from lycheedeal.relay._reported_loads import ReportedLoads
from lycheedeal.relay._upstream_table import UpstreamTable

# Requests in flight that an open flow adds to the estimate of load: on average a
# caller sends a request each second or two, and it takes 30 ms.
_LOAD_PER_FLOW: Final = 0.02
# Factor by which the answers of an upstream take longer while it warms up.
_WARMUP_FACTOR: Final = 1.6
# Difference in load for each slot from which flows go to other zones. Traffic
# between zones is paid by the byte, so the margin is larger for bulk requests.
_SPILL_MARGIN: Final = 0.1
_BULK_SPILL_MARGIN: Final = 0.8
# Suspected upstreams are avoided only while at least this share of their group is
# not suspected.
_MIN_UNSUSPECTED_SHARE: Final = 0.5
# Share of the flows that also go to suspected upstreams, so that one that answers
# again is noticed.
_PROBE_SHARE: Final = 0.05
# The weight of an upstream is its load to the power of minus this. A random draw
# keeps hosts with the same reports from all choosing the same upstream.
_WEIGHT_EXPONENT: Final = 2
_NO_LOAD: Final = Load(0, 0)


@dataclass(slots=True, eq=False, repr=False)
class FlowCriteria:
    """What a new flow needs.

    ``excluded`` is the upstream that did not answer an earlier attempt, if any.
    """

    service: ServiceName
    zone: Zone
    bulk: bool
    excluded: Upstream | None


@dataclass(slots=True, eq=False, repr=False)
class Choice:
    """The selected upstream.

    ``load`` is its expected requests for each slot, ``candidates`` the number of
    upstreams that it was drawn from, and ``local`` whether its zone is the own one.
    """

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
    """Return the upstream for a new flow, preferably one with little load.

    None means that no upstream of the service accepts new flows.
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
    """Return the upstreams that hosts of this zone do not suspect.

    Upstreams of the own zone and of the others are separate groups. If much of a
    group is suspected, the fault is more likely elsewhere, and the rest could not
    carry the load, so the whole group is returned.
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
    """Return the group of upstreams for one flow.

    A zone with more load than the others sends a share of its flows to them.
    """
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
    """Return whether the upstream's zone, which uses it most, has reported."""
    return upstream.listing.zone in region_loads.zones and region_loads.is_fresh(now)


def load_of(region_loads: ReportedLoads, upstream: Upstream, now: float) -> float:
    """Return the expected requests for each slot, including one more request.

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
    load = 1 + (in_flight + _LOAD_PER_FLOW * flows) / 2
    if upstream.warm_at > now:
        load *= _WARMUP_FACTOR
    return load / max(upstream.listing.slots, 1)
