"""Selects the upstream of a new long flow by weighted least connections."""

from collections import Counter
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from typing import Final

from lycheedeal.kernel import UpstreamChanged
from lycheedeal.model import Endpoint, Service, SpillRule, Upstream, Zone
from lycheedeal.steering._state import SteeringState

# The load of upstreams of other zones is raised by 2% plus half a flow, so that
# a caller leaves its zone only for an upstream that is clearly less loaded.
_REMOTE_LOAD_FACTOR: Final = 1.02


def choose_upstream(
    state: SteeringState,
    service: Service,
    excluded: frozenset[Endpoint],
) -> UpstreamChanged | None:
    """Return the upstream with the fewest open flows relative to its weight.

    The spill rule of the service decides whether upstreams of other zones are
    considered: ``never``, only while no upstream of the own zone accepts flows,
    or always (``balanced``). ``excluded`` upstreams are skipped. Returns None if
    every upstream is unavailable, excluded or at its connection limit.
    """
    counts = flow_counts(state, service)
    local = _zone_upstreams(service, state.context.settings.zone).keys()
    return min(
        _candidates(state, service, excluded, counts),
        key=lambda candidate: _relative_load(state, candidate, counts, local),
        default=None,
    )


def flow_counts(state: SteeringState, service: Service) -> Counter[Endpoint]:
    """Return the number of open flows by upstream.

    Adds the flows of crashed owners, estimated from the route table: no host
    reports them, but their packets still pass through this host.
    """
    counts = state.counter.totals(service.number)
    for upstream in service.upstreams:
        counts[upstream.endpoint] += state.orphaned_flows[upstream.endpoint]
    return counts


def _candidates(
    state: SteeringState,
    service: Service,
    excluded: frozenset[Endpoint],
    counts: Counter[Endpoint],
) -> Iterator[UpstreamChanged]:
    eligible = _eligible_upstreams(state, service)
    for candidate in state.accepting_upstreams(service.number):
        upstream = eligible.get(candidate.endpoint)
        if upstream is None or candidate.endpoint in excluded:
            continue
        if counts[candidate.endpoint] < upstream.connections:
            yield candidate


def _eligible_upstreams(
    state: SteeringState,
    service: Service,
) -> dict[Endpoint, Upstream]:
    own_zone = state.context.settings.zone
    if service.spill is SpillRule.BALANCED:
        return {
            upstream.endpoint: upstream
            for upstream in service.upstreams
            if not upstream.drained
        }
    local = _zone_upstreams(service, own_zone)
    accepting = {
        upstream.endpoint for upstream in state.accepting_upstreams(service.number)
    }
    if service.spill is SpillRule.NEVER or accepting & local.keys():
        return local
    return {
        upstream.endpoint: upstream
        for upstream in service.upstreams
        if not upstream.drained and upstream.zone != own_zone
    }


def _zone_upstreams(service: Service, zone: Zone) -> dict[Endpoint, Upstream]:
    return {
        upstream.endpoint: upstream
        for upstream in service.upstreams
        if upstream.zone == zone and not upstream.drained
    }


def _relative_load(
    state: SteeringState,
    upstream: UpstreamChanged,
    counts: Counter[Endpoint],
    local: AbstractSet[Endpoint],
) -> tuple[float, float]:
    weight = max(upstream.weight, 0.01)
    load = (counts[upstream.endpoint] + 1) / weight
    if upstream.endpoint not in local:
        load = load * _REMOTE_LOAD_FACTOR + 0.5
    return load, state.context.rng.random()
