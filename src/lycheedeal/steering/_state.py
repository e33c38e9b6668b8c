"""State shared by the modules of the steering plug-in."""

from collections import Counter
from dataclasses import dataclass, field

from lycheedeal.kernel import Context, UpstreamChanged
from lycheedeal.membership import HostRanking
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowIdCodec,
    Member,
    ServiceNumber,
    UpstreamState,
)
from lycheedeal.steering._counts import FlowCounter
from lycheedeal.steering._routes import FlowOwner, RouteTable

_ACCEPTING_STATES = frozenset((UpstreamState.READY, UpstreamState.STARTING))


@dataclass(slots=True)
class SteeringState:
    """Configuration, members, upstreams and flow tables of the plug-in.

    ``orphaned_flows`` estimates, by upstream, the flows whose owner is gone.
    """

    context: Context
    codec: FlowIdCodec
    routes: RouteTable
    counter: FlowCounter
    view: ConfigurationView = field(default_factory=ConfigurationView)
    members: tuple[Member, ...] = ()
    stopping: bool = False
    orphaned_flows: Counter[Endpoint] = field(default_factory=Counter)
    _upstreams_by_service: dict[ServiceNumber, dict[Endpoint, UpstreamChanged]] = field(
        default_factory=dict,
    )
    _ranking: HostRanking = field(default_factory=HostRanking)

    @property
    def own_endpoint(self) -> Endpoint:
        """Return the peer endpoint of this host."""
        return self.context.settings.peer

    def owner_candidates(self, service: ServiceNumber) -> list[Member]:
        """Return at most four hosts of the zone, the owner of the service first."""
        return self._ranking.candidates(service)

    def set_view(self, view: ConfigurationView) -> None:
        """Replace the configuration and drop upstreams that it does not list."""
        self.view = view
        for number, known in tuple(self._upstreams_by_service.items()):
            service = view.services_by_number.get(number)
            named = (
                {upstream.endpoint for upstream in service.upstreams}
                if service
                else set()
            )
            kept = {
                endpoint: change
                for endpoint, change in known.items()
                if endpoint in named
            }
            self._upstreams_by_service[number] = kept
            if not kept:
                del self._upstreams_by_service[number]

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Replace the hosts of the zone that may own services."""
        self.members = members
        self._ranking.update(members)

    def count_orphaned_flows(self) -> None:
        """Estimate the flows whose owner is gone from the route table.

        Their owner no longer reports them.
        """
        live = {FlowOwner(member.peer, member.incarnation) for member in self.members}
        live.add(FlowOwner(self.own_endpoint, self.context.incarnation))
        self.orphaned_flows = self.routes.counts(live)

    def set_upstream(self, change: UpstreamChanged) -> None:
        """Store the state that health published for an upstream."""
        by_endpoint = self._upstreams_by_service.setdefault(change.service, {})
        if change.state is UpstreamState.GONE:
            by_endpoint.pop(change.endpoint, None)
        else:
            by_endpoint[change.endpoint] = change

    def accepting_upstreams(self, service: ServiceNumber) -> list[UpstreamChanged]:
        """Return the upstreams of a service that accept new flows."""
        known = self._upstreams_by_service.get(service, {})
        return [
            change for change in known.values() if change.state in _ACCEPTING_STATES
        ]
