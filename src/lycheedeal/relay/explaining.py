"""Explains where an opening would go now, from the state of the plug-ins.

Nothing is changed: no packet is counted, no quota is used and no random number is
drawn. The module is loaded when somebody asks for the first time.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from lycheedeal.ids import ServiceName, Zone
from lycheedeal.placement import Candidate, Demand, Refused, RefusalReason
from lycheedeal.placement.explanation import explain
from lycheedeal.relay import RelayKernel
from lycheedeal.relay._choice import FlowCriteria
from lycheedeal.relay._copies import ContentCopy
from lycheedeal.relay._records import (
    ROUTE_BITS,
    ConfigurationVersion,
    FlowKey,
    Route,
    RouteKey,
    RouteName,
    Upstream,
)
from lycheedeal.relay.forwarding import ForwardingPlugin, pick_service
from lycheedeal.relay.lagging import LaggingPlugin
from lycheedeal.relay.routes import RoutesPlugin
from lycheedeal.relay.upstreams import UpstreamsPlugin
from lycheedeal.relay.zone import ZonePlugin


@dataclass(slots=True, eq=False, repr=False)
class PlacementQuery:
    """Opening to explain.

    ``route`` is the name of a route or its address. ``caller`` has the address and
    port of the caller as route keys have them; None means any caller.
    """

    route: RouteName | RouteKey
    caller: RouteKey | None


@dataclass(slots=True, eq=False, repr=False)
class UpstreamPlacement:
    """An upstream of a service.

    ``candidate`` is None if the upstream accepts no new flows. ``probability`` is that
    of its choice among the upstreams of the service.
    """

    upstream: Upstream
    candidate: Candidate | None
    probability: float


@dataclass(slots=True, eq=False, repr=False)
class ServicePlacement:
    """A service of the route; ``share`` is the part of the openings that it gets.

    ``refusal`` is None if one of its upstreams gets the opening.
    """

    service: ServiceName
    share: float
    upstreams: tuple[UpstreamPlacement, ...]
    refusal: RefusalReason | None


@dataclass(slots=True, eq=False, repr=False)
class Content:
    """Content of one kind of objects that the host has, and its age in seconds.

    ``lag`` is the time for which other hosts have announced later content; 0 if none.
    """

    copy: ContentCopy
    age: float
    lag: float


@dataclass(slots=True, eq=False, repr=False)
class LoadsState:
    """Last report of loads; ``age`` is None if the host has none.

    ``is_fresh`` tells whether the report counts.
    """

    age: float | None
    is_fresh: bool
    zones: tuple[Zone, ...]


@dataclass(slots=True, eq=False, repr=False)
class Placement:
    """Where an opening would go now, and the content that decides it.

    ``unanswered`` is the upstream that has not answered an earlier copy of the
    opening yet, if any.
    """

    route: Route
    services: tuple[ServicePlacement, ...]
    unanswered: Upstream | None
    contents: tuple[Content, ...]
    loads: LoadsState


@dataclass(slots=True, eq=False, repr=False)
class RouteUnknown:
    """The configuration has no such route; None stands for no configuration."""

    version: ConfigurationVersion | None


def explain_placement(
    kernel: RelayKernel, query: PlacementQuery
) -> Placement | RouteUnknown:
    """Return where an opening would go now."""
    routes = kernel.find(RoutesPlugin)
    route = _find_route(routes, query.route)
    if route is None:
        return RouteUnknown(routes.version)
    flow = None
    if query.caller is not None:
        flow = FlowKey(query.caller << ROUTE_BITS | route.key)
    unanswered = _unanswered(kernel.find(ForwardingPlugin), flow)
    services = (
        _explain_service(kernel, route, service, share, unanswered)
        for service, share in _shares(route, flow)
    )
    return Placement(
        route,
        tuple(services),
        unanswered,
        tuple(_contents(kernel)),
        _loads_state(kernel),
    )


def _find_route(routes: RoutesPlugin, wanted: RouteName | RouteKey) -> Route | None:
    by_key = {route.key: route for route in routes.routes_by_name.values()}
    if isinstance(wanted, int):
        return by_key.get(wanted)
    named = routes.routes_by_name.get(wanted)
    # Packets carry the address, which another route may have, too.
    return by_key[named.key] if named else None


def _contents(kernel: RelayKernel) -> Iterator[Content]:
    zone, lagging = kernel.find(ZonePlugin), kernel.find(LaggingPlugin)
    for kind, copy in zone.copies_by_kind.items():
        yield Content(copy, zone.freshness.age(kind), lagging.seconds(kind))


def _unanswered(forwarding: ForwardingPlugin, flow: FlowKey | None) -> Upstream | None:
    known = forwarding.flow_table.flows_by_key.get(flow) if flow else None
    return known.upstream if known and not known.confirmed else None


def _shares(route: Route, flow: FlowKey | None) -> Iterator[tuple[ServiceName, float]]:
    """Yield the services that may get the opening, each with its share."""
    if flow is not None:
        yield pick_service(route, flow), 1
        return
    total = sum(weight for _, weight in route.services)
    for service, weight in route.services:
        yield service, weight / total


def _explain_service(
    kernel: RelayKernel,
    route: Route,
    service: ServiceName,
    share: float,
    unanswered: Upstream | None,
) -> ServicePlacement:
    criteria = FlowCriteria(service, route.bulk, unanswered)
    upstreams_by_candidate = dict(
        kernel.find(ForwardingPlugin).candidates.upstreams(criteria)
    )
    explained = explain(upstreams_by_candidate, Demand(route.bulk))
    probabilities: dict[Candidate, float] = {}
    refusal = None
    match explained:
        case Refused(reason=reason):
            refusal = reason
        case dict():
            probabilities = explained
    candidates_by_id = {one.upstream_id: one for one in upstreams_by_candidate}
    table = kernel.find(UpstreamsPlugin).table
    upstreams_by_id = table.current_by_service.get(service, {})
    return ServicePlacement(
        service,
        share,
        tuple(
            _upstream_placement(
                upstream, candidates_by_id.get(upstream_id), probabilities
            )
            for upstream_id, upstream in upstreams_by_id.items()
        ),
        refusal,
    )


def _upstream_placement(
    upstream: Upstream,
    candidate: Candidate | None,
    probabilities: dict[Candidate, float],
) -> UpstreamPlacement:
    probability = probabilities.get(candidate, 0) if candidate else 0
    return UpstreamPlacement(upstream, candidate, probability)


def _loads_state(kernel: RelayKernel) -> LoadsState:
    loads = kernel.find(UpstreamsPlugin).table.region_loads
    now = kernel.context.clock.monotonic()
    age = now - loads.reported_at
    return LoadsState(
        None if math.isinf(age) else age, loads.is_fresh(now), loads.zones
    )
