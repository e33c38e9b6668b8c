"""The steering plug-in."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.kernel import (
    CallerMessage,
    CallerPacket,
    Context,
    Effect,
    Event,
    HostsListed,
    MembersChanged,
    OpenAdmitted,
    OwnerReady,
    PeerMessage,
    Publish,
    SendToPeer,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    UpstreamPacket,
    UpstreamsInUse,
    ViewChanged,
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
from lycheedeal.steering._losses import LossWatcher
from lycheedeal.steering._opening import FlowOpener
from lycheedeal.steering._routes import ROTATION_SECONDS, RouteTable
from lycheedeal.steering._state import SteeringState
from lycheedeal.steering._zones import ZoneBalance

_REPORT_SECONDS: Final = 5
# Zones that share a service open flows by each other's counts.
_ZONE_REPORT_SECONDS: Final = 1
# The second in the order stands ready to open flows when the first is gone.
_OWNER_CANDIDATES: Final = 2
# Requests queued here run on after another host has become the owner.
_LINGER_SECONDS: Final = 60


class SteeringPlugin:
    """Chooses upstreams for new flows and routes established ones."""

    def __init__(self, context: Context) -> None:
        """Create the plug-in with an empty route table."""
        self.routes = RouteTable(context.settings.max_flows)
        codec = FlowIdCodec(context.settings.flow_key)
        counter = FlowCounter(context.settings.zone)
        self._state = SteeringState(context, codec, self.routes, counter)
        self._zones = ZoneBalance(self._state)
        self._opener = FlowOpener(self._state, self._zones)
        self._forwarder = Forwarder(self._state)
        self._losses = LossWatcher(self._state)
        self._owned: frozenset[ServiceNumber] = frozenset()
        self._owned_until: dict[ServiceNumber, float] = {}
        self._next_report = 0.0
        self._next_zone_report = 0.0
        self._next_rotation = context.clock.monotonic() + ROTATION_SECONDS

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event; see the design page for the cases."""
        match event:
            case CallerPacket():
                yield from self._forwarder.from_caller(event)
            case UpstreamPacket():
                yield from self._forwarder.from_upstream(event)
            case CallerMessage(message=CloseFlow() as message):
                yield from self._forwarder.close(message)
            case OpenAdmitted():
                yield from self._opener.admit(event)
            case UpstreamMessage():
                yield from self._upstream_message(event)
            case PeerMessage():
                yield from self._peer_message(event)
            case Tick(now=now):
                yield from self._tick(now)
            case _:
                yield from self._environment(event)

    def _environment(self, event: Event) -> Iterator[Effect]:
        match event:
            case ViewChanged(view=view):
                self._state.set_view(view)
                yield from self._claim_services()
            case MembersChanged(members=members):
                self._state.set_members(members)
                yield from self._claim_services()
            case UpstreamChanged():
                self._state.set_upstream(event)
                yield from self._losses.upstream_changed(event)
            case HostsListed(members=members):
                self._zones.hosts_listed(members)
            case StopStarted():
                self._state.stopping = True

    def _upstream_message(self, event: UpstreamMessage) -> Iterator[Effect]:
        match event.message:
            case FlowAccepted() as accepted:
                yield from self._opener.accepted(event.upstream, accepted)
            case FlowRejected(flow_id=flow_id) as rejected:
                if self._opener.is_opening(flow_id):
                    yield from self._opener.rejected(event.upstream, rejected)
                else:
                    yield from self._forwarder.rejected(event.upstream, rejected)

    def _peer_message(self, event: PeerMessage) -> Iterator[Effect]:
        match event.message:
            case RelayedClose() as closed:
                yield from self._forwarder.closed_elsewhere(closed)
            case FlowCounts() as report:
                now = self._state.context.clock.monotonic()
                self._state.counter.reported(event.peer, report, now)
                if report.zone != self._state.context.settings.zone:
                    self._zones.reported(event.peer, report, now)

    def _tick(self, now: float) -> Iterator[Effect]:
        if now >= self._next_rotation:
            self._next_rotation = now + ROTATION_SECONDS
            self.routes.rotate()
        if now >= self._next_report:
            self._next_report = now + _REPORT_SECONDS
            self._opener.expire(now)
            self._state.counter.expire(now)
            self._state.count_orphans()
            yield from self._report_counts()
            yield Publish(self._upstreams_in_use())
            yield from self._losses.tick(now)
            yield from self._claim_services()
        if now >= self._next_zone_report:
            self._next_zone_report = now + _ZONE_REPORT_SECONDS
            yield from self._report_to_zones()
        if self._state.stopping:
            yield Publish(WorkRemaining('steering', self._opener.unfinished))

    def _report_counts(self) -> Iterator[Effect]:
        for service in self._state.counter.services():
            for member in self._state.ranked(service)[:_OWNER_CANDIDATES]:
                if member.peer != self._state.own:
                    yield SendToPeer(member.peer, self._state.counter.report(service))

    def _upstreams_in_use(self) -> UpstreamsInUse:
        counts = self._state.routes.counts(frozenset())
        # Busier upstreams first, since health watches a bounded number.
        return UpstreamsInUse(tuple(one for one, _ in counts.most_common()))

    def _report_to_zones(self) -> Iterator[Effect]:
        self._zones.second_passed(self._owned)
        for number in sorted(self._owned):
            service = self._state.view.services_by_number[number]
            first = next(iter(self._state.ranked(number)), None)
            if service.spill is not SpillRule.BALANCED or first is None:
                continue
            if first.peer != self._state.own:
                continue
            arrivals = self._zones.arrivals(number)
            report = self._state.counter.zone_report(number, arrivals)
            for owner in self._zones.report_targets(service):
                yield SendToPeer(owner, report)

    def _claim_services(self) -> Iterator[Effect]:
        now = self._state.context.clock.monotonic()
        services = self._state.view.services_by_number
        claimed = filter(self._is_candidate, services)
        self._owned_until.update(dict.fromkeys(claimed, now + _LINGER_SECONDS))
        self._owned_until = {
            number: until
            for number, until in self._owned_until.items()
            if until > now and number in services
        }
        owned = frozenset(self._owned_until)
        if owned != self._owned:
            self._owned = owned
            yield Publish(OwnerReady(tuple(sorted(owned))))

    def _is_candidate(self, service: ServiceNumber) -> bool:
        candidates = self._state.ranked(service)[:_OWNER_CANDIDATES]
        return any(member.peer == self._state.own for member in candidates)
