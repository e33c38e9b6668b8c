"""Forwards packets: openings to a chosen upstream, all others by their token.

A packet after the opening carries the token of its upstream, so any host can
forward it. The flow table of a host serves to measure load and to notice
unanswered openings, and is not needed to forward.
"""

import zlib
from collections.abc import Generator, Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import ServiceName
from lycheedeal.placement import Demand, Refused, Selected, select
from lycheedeal.relay._choice import CandidateList, FlowCriteria
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, Forward, LogRecord, Part, Reset
from lycheedeal.relay._events import (
    ContentConfirmed,
    EvacuationsChanged,
    Event,
    PacketArrived,
    PeerTableReady,
    RefreshRequested,
    RoutesChanged,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._flows import FlowTable, record_unanswered
from lycheedeal.relay._records import (
    START_POSITION,
    ConfigurationVersion,
    FlowKey,
    Packet,
    PacketKind,
    Route,
    RouteKey,
    Source,
    StoreKind,
    Token,
    Upstream,
    UpstreamState,
    endpoint_text,
    flow_text,
)
from lycheedeal.relay._upstream_table import UpstreamTable

# Time between two removals of idle flows.
_EXPIRY_INTERVAL_SECONDS: Final = 1.0
# Shortest time between reads of the upstreams because of unknown tokens: such a
# packet shows that the table may be stale.
_REFRESH_INTERVAL_SECONDS: Final = 1.0
_FLOW_KEY_BYTES: Final = 12
# All remembered unknown tokens are dropped when there are this many.
_MAX_UNKNOWN_TOKENS: Final = 1024
# Full lists within this time of the start do not prove that an upstream is gone.
# The host does not know whether the store failed before, and entries that expired
# meanwhile may be back up to 2 s later.
_STARTUP_GRACE_SECONDS: Final = 3.0
# Callers give an opening up after 1.4 s. A host reads those that waited in its socket
# once it is ready, which takes less than a second.
_OPENING_SECONDS: Final = 2.4
# Ticks come each 0.1 s. After a longer gap the process was paused: openings that
# waited meanwhile are older than their callers wait, and the table is old, too.
_MAX_TICK_GAP_SECONDS: Final = 1.5


class ForwardingPlugin:
    """Decides for each packet whether it is forwarded, dropped or reset."""

    def __init__(self, context: RelayContext) -> None:
        """Start without routes and upstreams."""
        self._context = context
        self._routes_by_key: dict[RouteKey, Route] = {}
        self._removed: frozenset[RouteKey] = frozenset()
        self._version = ConfigurationVersion(0)
        self._table = UpstreamTable()
        self._position = START_POSITION
        self._table_changed_at = 0.0
        self.flow_table = FlowTable(
            context.settings.max_flows,
            context.settings.flow_idle_seconds,
        )
        self._candidates = CandidateList(context)
        self._next_expiry = 0.0
        self._last_tick = context.clock.monotonic()
        self._next_refresh = 0.0
        # When each token without an upstream was first seen.
        self._unknown_since: dict[Token, float] = {}
        self._confirmed_at = float('-inf')
        self._full_list_at = float('-inf')
        started_at = context.clock.monotonic()
        self._full_lists_valid_from = started_at + _STARTUP_GRACE_SECONDS
        self._resets_from = started_at + _OPENING_SECONDS

    @property
    def candidates(self) -> CandidateList:
        """What this host knows of the upstreams that may get a new flow."""
        return self._candidates

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        self._candidates.follow(event)
        match event:
            case PacketArrived(packet=packet):
                yield from self._handle_packet(packet)
            case RoutesChanged():
                self._routes_by_key = event.routes_by_key
                self._removed = event.removed
                self._version = event.version
            case UpstreamsChanged():
                self._table = event.table
                self._position = event.position
                self._table_changed_at = self._context.clock.monotonic()
                if (
                    event.is_full_list
                    and self._table_changed_at >= self._full_lists_valid_from
                ):
                    self._full_list_at = self._confirmed_at
            case ContentConfirmed(StoreKind.UPSTREAMS, at, Source.STORE):
                self._confirmed_at = at
            case Tick(now=now):
                self._last_tick = now
                yield from self._candidates.advance(now)
                if now >= self._next_expiry:
                    self._next_expiry = now + _EXPIRY_INTERVAL_SECONDS
                    self.flow_table.expire(now)
                    self._candidates.expire(now)

    def _handle_packet(self, packet: Packet) -> Iterator[Effect]:
        match packet.kind:
            case PacketKind.OPENING:
                yield from self._handle_opening(packet)
            case PacketKind.FORGED:
                self._count('forged')
            case _:
                yield from self._handle_established(packet)

    def _handle_established(self, packet: Packet) -> Iterator[Effect]:
        upstream = self._table.find_on_route(packet.token, packet.route)
        was_opened_here = upstream is not None
        if upstream is None:
            # Hosts of an older build write the token of the upstream itself.
            upstream = self._table.find(packet.token)
        if upstream is None:
            yield from self._handle_unknown_token(packet)
        elif packet.route in self._removed:
            yield from self._reset(packet, 'route was removed', upstream)
        elif not was_opened_here and self._is_foreign(packet.route, upstream):
            self._count('foreign service')
            yield self._drop(packet, 'token is of another service', upstream)
        elif upstream.state is UpstreamState.GONE:
            yield from self._reset(packet, 'upstream is gone', upstream)
        else:
            self.flow_table.update(packet, upstream, self._context.clock.monotonic())
            self._count('forwarded')
            yield self._forward(packet, upstream)

    def _forward(self, packet: Packet, upstream: Upstream) -> Forward:
        token = self._table.flow_token(upstream, packet.route)
        return Forward(packet, upstream, token)

    def _is_foreign(self, key: RouteKey, upstream: Upstream) -> bool:
        route = self._routes_by_key.get(key)
        # If the route is unknown here, the host that forwarded the opening knew it.
        return route is not None and upstream.listing.service not in route

    def _handle_unknown_token(self, packet: Packet) -> Iterator[Effect]:
        if not packet.token:
            self._count('no token')
            yield self._drop(packet, 'no token', None)
            return
        now = self._context.clock.monotonic()
        if self._is_unlisted(packet.token, now):
            yield from self._reset(packet, 'upstream is not listed', None)
            return
        self._count('unknown token')
        yield self._drop(packet, 'no upstream for the token', None)
        if now >= self._next_refresh:
            self._next_refresh = now + _REFRESH_INTERVAL_SECONDS
            yield Publish(RefreshRequested(StoreKind.UPSTREAMS))

    def _is_unlisted(self, token: Token, now: float) -> bool:
        """Return whether a full list, confirmed since the token was seen, lacks it."""
        if len(self._unknown_since) >= _MAX_UNKNOWN_TOKENS:
            self._unknown_since.clear()
        since = self._unknown_since.setdefault(token, now)
        return since <= self._full_list_at

    def _handle_opening(self, packet: Packet) -> Iterator[Effect]:
        route = self._routes_by_key.get(packet.route)
        if route is None:
            yield from self._refuse_opening(packet, 'no route')
            return
        now = self._context.clock.monotonic()
        if now - self._last_tick > _MAX_TICK_GAP_SECONDS:
            self._count('waited during a pause')
            yield self._drop(packet, 'host was paused', None)
            return
        previous = yield from self._check_previous(packet, now)
        service = pick_service(route, packet.flow)
        criteria = FlowCriteria(service, route.bulk, previous)
        upstreams_by_candidate = dict(self._candidates.sampled_upstreams(criteria))
        match select(upstreams_by_candidate, Demand(route.bulk), self._context.rng):
            case Refused(reason=reason):
                yield from self._refuse_opening(packet, reason.value)
            case Selected() as selected:
                upstream = upstreams_by_candidate[selected.candidate]
                yield from self._open(packet, route, upstream, selected)

    def _open(
        self,
        packet: Packet,
        route: Route,
        upstream: Upstream,
        selected: Selected,
    ) -> Iterator[Effect]:
        now = self._context.clock.monotonic()
        self.flow_table.add(packet, upstream, now)
        self._candidates.record_opening(upstream)
        is_local = selected.candidate.is_local
        self._count('opened' if is_local else 'opened in another zone')
        yield self._forward(packet, upstream)
        yield LogRecord(
            Part.FORWARDING,
            'opening',
            'Opening was forwarded.',
            {
                'flow': flow_text(packet.flow),
                'attempt': packet.attempt,
                'route': route.name,
                'service': upstream.listing.service,
                'upstream': upstream.listing.upstream_id,
                'zone': upstream.listing.zone,
                'load': round(selected.candidate.load, 2),
                'candidates': selected.candidates,
                **self._state_details(now),
            },
        )

    def _check_previous(
        self,
        packet: Packet,
        now: float,
    ) -> Generator[Effect, None, Upstream | None]:
        """Return the upstream that left an earlier attempt of the opening unanswered.

        The failure is recorded with the upstream. None means that there was no
        earlier attempt, or that it was answered.
        """
        flow = self.flow_table.flows_by_key.get(packet.flow)
        if flow is None or flow.confirmed:
            return None
        self._candidates.record_unanswered(flow.upstream)
        if record_unanswered(flow.upstream, now):
            self._count('upstream avoided')
            yield LogRecord(
                Part.FORWARDING,
                'avoided',
                'Upstream is avoided: it did not answer an opening.',
                {
                    'flow': flow_text(packet.flow),
                    'upstream': flow.upstream.listing.upstream_id,
                    'strikes': flow.upstream.unanswered_openings,
                    'for_s': round(flow.upstream.avoided_until - now, 2),
                    'asked_s_ago': round(now - flow.opened_at, 3),
                },
            )
        return flow.upstream

    def _refuse_opening(self, packet: Packet, reason: str) -> Iterator[Effect]:
        """Reset the flow of an opening, unless another host may have opened it.

        That may be so if this host does not know the first copy of the opening, or if
        the opening waited in the socket while the process started.
        """
        now = self._context.clock.monotonic()
        is_known = packet.flow in self.flow_table.flows_by_key
        if now < self._resets_from or (packet.attempt and not is_known):
            yield self._drop(packet, reason, None)
        else:
            yield from self._reset(packet, reason, None)

    def _reset(
        self,
        packet: Packet,
        reason: str,
        upstream: Upstream | None,
    ) -> Iterator[Effect]:
        self.flow_table.remove(packet.flow, self._context.clock.monotonic())
        self._count('reset')
        self._context.metrics.add('refusals', reason)
        if packet.kind is not PacketKind.RESET:
            yield Reset(packet)
        yield self._refusal_record(
            packet,
            'Flow was reset; the caller may open a new one.',
            reason,
            upstream,
        )

    def _drop(
        self,
        packet: Packet,
        reason: str,
        upstream: Upstream | None,
    ) -> LogRecord:
        self._context.metrics.add('refusals', reason)
        return self._refusal_record(
            packet, 'Packet was dropped without an answer.', reason, upstream
        )

    def _refusal_record(
        self,
        packet: Packet,
        text: str,
        reason: str,
        upstream: Upstream | None,
    ) -> LogRecord:
        listing = upstream.listing if upstream else None
        return LogRecord(
            Part.FORWARDING,
            'turned away',
            text,
            {
                'flow': flow_text(packet.flow),
                'packet': packet.kind.value,
                'attempt': packet.attempt,
                'reason': reason,
                'token': packet.token,
                'route': endpoint_text(packet.route),
                'upstream': listing.upstream_id if listing else None,
                **self._state_details(self._context.clock.monotonic()),
            },
        )

    def _state_details(self, now: float) -> dict[str, str | int | float | bool | None]:
        return {
            'version': self._version,
            'era': self._position.era,
            'revision': self._position.revision,
            'upstreams_age_s': round(now - self._table_changed_at, 2),
        }

    def _count(self, outcome: str) -> None:
        self._context.metrics.add('packets', outcome)


def pick_service(route: Route, flow: FlowKey) -> ServiceName:
    """Return the service of a flow: by weight, and the same on every host."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = zlib.crc32(flow.to_bytes(_FLOW_KEY_BYTES, 'big')) % total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]


register(
    PluginSpec(
        'forwarding',
        ForwardingPlugin,
        frozenset(
            (
                PacketArrived,
                RoutesChanged,
                UpstreamsChanged,
                EvacuationsChanged,
                PeerTableReady,
                ContentConfirmed,
                Tick,
            ),
        ),
    ),
)
