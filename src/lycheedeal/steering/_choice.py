"""Choice of the upstream for a new long flow."""

from collections import Counter
from collections.abc import Iterator

from lycheedeal.kernel import UpstreamChanged
from lycheedeal.model import Endpoint, Service, SpillRule, Upstream, Zone
from lycheedeal.steering._state import SteeringState


def choose_upstream(
    state: SteeringState,
    service: Service,
    excluded: frozenset[Endpoint],
) -> UpstreamChanged | None:
    """Return the upstream with the fewest open flows for its weight.

    Upstreams of the own zone come first; others only if the service allows
    it and none of the zone takes flows. None means that no upstream can.
    """
    counts = flow_counts(state, service)
    best = min(
        _candidates(state, service, excluded, counts),
        key=lambda one: _load(state, one, counts),
        default=None,
    )
    return best


def flow_counts(state: SteeringState, service: Service) -> Counter[Endpoint]:
    """Return open flows by upstream, counted and observed ones.

    Flows of an owner that crashed are in nobody's count; the route table
    still sees their packets.
    """
    counts = state.counter.totals(service.number)
    for upstream in service.upstreams:
        counts[upstream.endpoint] += state.orphans[upstream.endpoint]
    return counts


def _candidates(
    state: SteeringState,
    service: Service,
    excluded: frozenset[Endpoint],
    counts: Counter[Endpoint],
) -> Iterator[UpstreamChanged]:
    usable = _usable_endpoints(state, service)
    for one in state.open_upstreams(service.number):
        upstream = usable.get(one.endpoint)
        if upstream is None or one.endpoint in excluded:
            continue
        if counts[one.endpoint] < upstream.connections:
            yield one


def _usable_endpoints(
    state: SteeringState,
    service: Service,
) -> dict[Endpoint, Upstream]:
    own_zone = state.context.settings.zone
    local = _in_zone(service, own_zone)
    open_endpoints = {one.endpoint for one in state.open_upstreams(service.number)}
    if service.spill is SpillRule.NEVER or open_endpoints & local.keys():
        return local
    return {
        one.endpoint: one
        for one in service.upstreams
        if not one.drained and one.zone != own_zone
    }


def _in_zone(service: Service, zone: Zone) -> dict[Endpoint, Upstream]:
    return {
        one.endpoint: one
        for one in service.upstreams
        if one.zone == zone and not one.drained
    }


def _load(
    state: SteeringState,
    upstream: UpstreamChanged,
    counts: Counter[Endpoint],
) -> tuple[float, float]:
    weight = max(upstream.weight, 0.01)
    return (counts[upstream.endpoint] + 1) / weight, state.context.rng.random()
