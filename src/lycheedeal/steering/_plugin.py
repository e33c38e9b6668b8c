"""Plug-in that opens flows and forwards their packets."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.kernel import (
    CallerMessage,
    CallerPacket,
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    HostsListed,
    MembersChanged,
    OpenAdmitted,
    OwnedServicesChanged,
    PeerMessage,
    Publish,
    SendToPeer,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    UpstreamPacket,
    UpstreamsInUse,
    WorkRemaining,
)
from lycheedeal.messages import (
    CloseFlow,
    FlowAccepted,
    FlowCounts,
    FlowRejected,
    RelayedClose,
)
from lycheedeal.model import FlowIdCodec, ServiceNumber, SpillRule
from lycheedeal.steering._counts import FlowCounter
from lycheedeal.steering._forwarding import Forwarder
from lycheedeal.steering._opening import FlowOpener
from lycheedeal.steering._routes import ROTATION_INTERVAL_SECONDS, RouteTable
from lycheedeal.steering._state import SteeringState
from lycheedeal.steering._upstream_loss import UpstreamLossMonitor
from lycheedeal.steering._zones import ZoneBalancer

_REPORT_INTERVAL_SECONDS: Final = 5
# Owners in different zones take each other's flow counts into account when they
# select an upstream, so these reports must be recent.
_ZONE_REPORT_INTERVAL_SECONDS: Final = 1
# The owner and one standby, which observes the upstreams of the service so that
# it can open flows at once when the owner is gone.
_OWNERS_PER_SERVICE: Final = 2
# Requests that were queued here still run after another host has become the
# owner, so the upstreams of the service stay observed for this long.
_OWNERSHIP_HOLD_SECONDS: Final = 60


class SteeringPlugin:
    """Selects upstreams for new flows and forwards established ones.

    Also determines which services this host owns, exchanges flow counts with
    peers and reports the work that a planned stop must wait for.
    """

    def __init__(self, context: Context) -> None:
        """Create the plug-in with an empty route table and without members."""
        self.routes = RouteTable(context.settings.max_flows)
        codec = FlowIdCodec(context.settings.flow_key)
        counter = FlowCounter(context.settings.zone)
        self._state = SteeringState(context, codec, self.routes, counter)
        self._zone_balancer = ZoneBalancer(self._state)
        self._opener = FlowOpener(self._state, self._zone_balancer)
        self._forwarder = Forwarder(self._state)
        self._loss_monitor = UpstreamLossMonitor(self._state)
        self._owned_services: frozenset[ServiceNumber] = frozenset()
        self._owned_until_by_service: dict[ServiceNumber, float] = {}
        self._next_report = 0.0
        self._next_zone_report = 0.0
        self._next_rotation = context.clock.monotonic() + ROTATION_INTERVAL_SECONDS

    def handle(self, event: Event) -> Iterator[Effect]:
        """Handle one event and yield the resulting effects."""
        match event:
            case CallerPacket():
                yield from self._forwarder.from_caller(event)
            case UpstreamPacket():
                yield from self._forwarder.from_upstream(event)
            case CallerMessage(message=CloseFlow() as message):
                yield from self._forwarder.handle_close(message)
            case OpenAdmitted():
                yield from self._opener.open_or_relay(event)
            case UpstreamMessage():
                yield from self._handle_upstream_message(event)
            case PeerMessage():
                yield from self._handle_peer_message(event)
            case Tick(now=now):
                yield from self._handle_tick(now)
            case _:
                yield from self._handle_environment(event)

    def _handle_environment(self, event: Event) -> Iterator[Effect]:
        match event:
            case ConfigurationChanged(view=view):
                self._state.set_view(view)
                yield from self._update_owned_services()
            case MembersChanged(members=members):
                self._state.set_members(members)
                yield from self._update_owned_services()
            case UpstreamChanged():
                self._state.set_upstream(event)
                yield from self._loss_monitor.handle_upstream_changed(event)
            case HostsListed(members=members):
                self._zone_balancer.set_hosts(members)
            case StopStarted():
                self._state.stopping = True

    def _handle_upstream_message(self, event: UpstreamMessage) -> Iterator[Effect]:
        match event.message:
            case FlowAccepted() as accepted:
                yield from self._opener.handle_accepted(event.upstream, accepted)
            case FlowRejected(flow_id=flow_id) as rejected:
                if self._opener.is_opening(flow_id):
                    yield from self._opener.handle_rejected(event.upstream, rejected)
                else:
                    yield from self._forwarder.handle_rejected(event.upstream, rejected)

    def _handle_peer_message(self, event: PeerMessage) -> Iterator[Effect]:
        match event.message:
            case RelayedClose() as relayed_close:
                yield from self._forwarder.handle_relayed_close(relayed_close)
            case FlowCounts() as report:
                now = self._state.context.clock.monotonic()
                self._state.counter.store_report(event.peer, report, now)
                if report.zone != self._state.context.settings.zone:
                    self._zone_balancer.store_report(event.peer, report, now)

    def _handle_tick(self, now: float) -> Iterator[Effect]:
        if now >= self._next_rotation:
            self._next_rotation = now + ROTATION_INTERVAL_SECONDS
            self.routes.rotate()
        if now >= self._next_report:
            self._next_report = now + _REPORT_INTERVAL_SECONDS
            self._opener.drop_expired(now)
            self._state.counter.drop_expired_reports(now)
            self._state.count_orphaned_flows()
            yield from self._report_to_owners()
            yield Publish(self._upstreams_in_use())
            yield from self._loss_monitor.close_lost_flows(now)
            yield from self._update_owned_services()
        if now >= self._next_zone_report:
            self._next_zone_report = now + _ZONE_REPORT_INTERVAL_SECONDS
            yield from self._report_to_zones()
        if self._state.stopping:
            yield Publish(WorkRemaining('steering', self._opener.remaining_work))

    def _report_to_owners(self) -> Iterator[Effect]:
        for service in self._state.counter.services():
            for member in self._state.owner_candidates(service)[:_OWNERS_PER_SERVICE]:
                if member.peer != self._state.own_endpoint:
                    yield SendToPeer(
                        member.peer, self._state.counter.owner_report(service)
                    )

    def _upstreams_in_use(self) -> UpstreamsInUse:
        counts = self._state.routes.counts(frozenset())
        # Busiest upstreams first, because health observes only a bounded number.
        return UpstreamsInUse(tuple(upstream for upstream, _ in counts.most_common()))

    def _report_to_zones(self) -> Iterator[Effect]:
        self._zone_balancer.update_rates(self._owned_services)
        for number in sorted(self._owned_services):
            service = self._state.view.services_by_number[number]
            first = next(iter(self._state.owner_candidates(number)), None)
            if service.spill is not SpillRule.BALANCED or first is None:
                continue
            if first.peer != self._state.own_endpoint:
                continue
            arrivals = self._zone_balancer.arrival_rate(number)
            report = self._state.counter.zone_report(number, arrivals)
            for owner in self._zone_balancer.report_recipients(service):
                yield SendToPeer(owner, report)

    def _update_owned_services(self) -> Iterator[Effect]:
        now = self._state.context.clock.monotonic()
        services = self._state.view.services_by_number
        current = filter(self._is_owner_or_standby, services)
        self._owned_until_by_service.update(
            dict.fromkeys(current, now + _OWNERSHIP_HOLD_SECONDS)
        )
        self._owned_until_by_service = {
            number: held_until
            for number, held_until in self._owned_until_by_service.items()
            if held_until > now and number in services
        }
        owned = frozenset(self._owned_until_by_service)
        if owned != self._owned_services:
            self._owned_services = owned
            yield Publish(OwnedServicesChanged(tuple(sorted(owned))))

    def _is_owner_or_standby(self, service: ServiceNumber) -> bool:
        candidates = self._state.owner_candidates(service)[:_OWNERS_PER_SERVICE]
        return any(member.peer == self._state.own_endpoint for member in candidates)
