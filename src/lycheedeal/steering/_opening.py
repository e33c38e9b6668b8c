"""Opens flows on the owner of a service."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Final

from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.kernel import (
    Effect,
    FlowOpened,
    OpenAdmitted,
    Publish,
    Refused,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    UpstreamChanged,
)
from lycheedeal.messages import (
    FlowAccepted,
    FlowOpen,
    FlowRejected,
    Opened,
    OpenRefused,
    RelayedOpen,
)
from lycheedeal.model import (
    Endpoint,
    FlowClass,
    FlowFields,
    FlowId,
    Incarnation,
    ServiceNumber,
)
from lycheedeal.steering._choice import choose_upstream
from lycheedeal.steering._state import SteeringState
from lycheedeal.steering._zones import ATTEMPTS_PER_OWNER, ZoneBalancer

_MAX_UPSTREAM_TRIES: Final = 3
_MAX_PENDING_OPENS: Final = 20_000
# Callers may retransmit an ``Open`` within this time; the retransmission must
# get the same flow id.
_PENDING_OPEN_SECONDS: Final = 10
_NONCE_BITS: Final = 64
# Callers may submit requests on a request flow for this long. A planned stop
# waits for it, so it must fit in the drain time together with the last request.
REQUEST_FLOW_LIFETIME_SECONDS: Final = 5
_MS_PER_SECOND: Final = 1000


@dataclass(slots=True)
class _PendingOpen:
    """A long flow that is being opened, kept for retransmissions.

    ``expires_at`` is monotonic time in seconds. ``tried`` holds the upstreams
    that rejected the flow.
    """

    admitted: OpenAdmitted
    flow_id: FlowId
    upstream: UpstreamChanged
    expires_at: float
    tried: frozenset[Endpoint]
    accepted: bool = False

    @property
    def key(self) -> 'OpenKey':
        return _open_key(self.admitted)


OpenKey = tuple[Endpoint, ServiceNumber, int]


class FlowOpener:
    """Opens flows of own services and relays other ``Open`` messages.

    A long flow is offered to one upstream at a time, at most three in all. A
    request flow is open at once, because it is not bound to an upstream.
    """

    def __init__(self, state: SteeringState, zone_balancer: ZoneBalancer) -> None:
        """Create an opener that shares the state of the plug-in."""
        self._state = state
        self._zone_balancer = zone_balancer
        self._pending_by_key: dict[OpenKey, _PendingOpen] = {}
        self._keys_by_flow: dict[FlowId, OpenKey] = {}
        self._request_flows_until = 0.0

    @property
    def remaining_work(self) -> int:
        """Return the amount of work that a planned stop must wait for.

        Counts each flow that waits for its upstream, plus one while callers
        may still submit requests on any request flow of this process.
        """
        opening = sum(not pending.accepted for pending in self._pending_by_key.values())
        now = self._state.context.clock.monotonic()
        return opening + (now < self._request_flows_until)

    def open_or_relay(self, event: OpenAdmitted) -> Iterator[Effect]:
        """Open the flow if this host owns the service, else relay the ``Open``.

        An ``Open`` that was relayed to this host is not relayed again in the zone.
        """
        if not self._state.members and event.relayed_by is None:
            # Without members, a host that is starting would consider itself the
            # owner of every service.
            yield from self._refuse(event, ErrorKind.NOT_READY)
            return
        owner = self._owner(event)
        if owner is None:
            yield from self._open(event)
            return
        relayed = RelayedOpen(event.caller, event.service.number, event.message)
        yield SendToPeer(owner, relayed)

    def handle_accepted(
        self, upstream: Endpoint, message: FlowAccepted
    ) -> Iterator[Effect]:
        """Notify the caller that its flow is open.

        Repeated messages are answered again; the event is published once.
        """
        pending = self._find_pending(message.flow_id)
        if pending is None or pending.upstream.endpoint != upstream:
            return
        if not pending.accepted:
            pending.accepted = True
            yield from self._publish_opened(pending)
        yield _send_opened(pending.admitted, pending.flow_id)

    def handle_rejected(
        self, upstream: Endpoint, message: FlowRejected
    ) -> Iterator[Effect]:
        """Offer a flow that is not open yet to another upstream."""
        pending = self._find_pending(message.flow_id)
        if pending is None or pending.upstream.endpoint != upstream:
            return
        self._remove_pending(pending)
        yield from self._open_long_flow(pending.admitted, pending.tried | {upstream})

    def is_opening(self, flow_id: FlowId) -> bool:
        """Return whether a flow still waits for its upstream to accept it."""
        pending = self._find_pending(flow_id)
        return pending is not None and not pending.accepted

    def drop_expired(self, now: float) -> None:
        """Drop the entries of flows whose callers no longer retransmit.

        Flows that no upstream accepted are no longer counted. ``now`` is
        monotonic time in seconds.
        """
        expired = [
            entry for entry in self._pending_by_key.values() if entry.expires_at <= now
        ]
        for pending in expired:
            self._remove_pending(pending)

    def _owner(self, event: OpenAdmitted) -> Endpoint | None:
        if event.relayed_by is not None:
            return None
        attempt = event.message.attempt
        candidates = self._state.owner_candidates(event.service.number)
        if not candidates:
            return None
        owner = candidates[attempt // ATTEMPTS_PER_OWNER % len(candidates)].peer
        return None if owner == self._state.own_endpoint else owner

    def _open(self, event: OpenAdmitted) -> Iterator[Effect]:
        kind = event.service.kind(event.message.kind_id)
        if self._state.stopping:
            yield from self._refuse(event, ErrorKind.OWNER_LEAVING)
            return
        if kind is not None and kind.long:
            pending = self._pending_by_key.get(_open_key(event))
            if pending is None:
                yield from self._open_long_flow(event, frozenset())
            elif pending.accepted:
                yield _send_opened(event, pending.flow_id)
            else:
                yield self._send_flow_open(pending)
            return
        remote_owner = self._zone_balancer.choose_remote_owner(event)
        if remote_owner is None:
            yield self._open_request_flow(event)
            return
        number = event.service.number
        yield SendToPeer(
            remote_owner,
            RelayedOpen(event.caller, number, event.message, final=True),
        )

    def _open_request_flow(self, event: OpenAdmitted) -> Effect:
        now = self._state.context.clock.monotonic()
        self._request_flows_until = now + REQUEST_FLOW_LIFETIME_SECONDS
        flow_id = self._create_flow_id(event, FlowClass.REQUEST, None)
        ttl_ms = REQUEST_FLOW_LIFETIME_SECONDS * _MS_PER_SECOND
        return SendToCaller(event.caller, Opened(event.message.nonce, flow_id, ttl_ms))

    def _open_long_flow(
        self,
        event: OpenAdmitted,
        tried: frozenset[Endpoint],
    ) -> Iterator[Effect]:
        full = len(self._pending_by_key) >= _MAX_PENDING_OPENS
        if full or len(tried) >= _MAX_UPSTREAM_TRIES:
            yield from self._refuse(event, ErrorKind.FLOW_LIMIT)
            return
        upstream = choose_upstream(self._state, event.service, tried)
        if upstream is None:
            yield from self._refuse(event, ErrorKind.NO_UPSTREAM)
            return
        pending = _PendingOpen(
            admitted=event,
            flow_id=self._create_flow_id(event, FlowClass.LONG, upstream),
            upstream=upstream,
            expires_at=self._state.context.clock.monotonic() + _PENDING_OPEN_SECONDS,
            tried=tried,
        )
        self._pending_by_key[pending.key] = pending
        self._keys_by_flow[pending.flow_id] = pending.key
        # Counted before the upstream accepts the flow, so that a burst of new
        # flows is spread evenly over the upstreams.
        self._state.counter.add_flow(
            event.service.number,
            pending.flow_id,
            upstream.endpoint,
        )
        yield self._send_flow_open(pending)

    def _send_flow_open(self, pending: _PendingOpen) -> Effect:
        message = FlowOpen(
            flow_id=pending.flow_id,
            service=pending.admitted.service.name,
            incarnation=pending.upstream.incarnation,
            kind_id=pending.admitted.message.kind_id,
            caller=pending.admitted.caller,
        )
        return SendToUpstream(pending.upstream.endpoint, message)

    def _publish_opened(self, pending: _PendingOpen) -> Iterator[Effect]:
        fields = self._state.codec.decode(pending.flow_id)
        self._state.routes.add(pending.flow_id, fields)
        service = pending.admitted.service.number
        kind_id = pending.admitted.message.kind_id
        yield Publish(FlowOpened(service, kind_id, pending.flow_id))

    def _refuse(self, event: OpenAdmitted, error: ErrorKind) -> Iterator[Effect]:
        mean_ms = answer_for(error).retry_after_ms
        # Callers that were refused together must not retry together.
        retry_after_ms = round(mean_ms * self._state.context.rng.uniform(0.5, 1.5))
        yield SendToCaller(
            event.caller, OpenRefused(event.message.nonce, error, retry_after_ms)
        )
        kind_id = event.message.kind_id
        yield Publish(
            Refused(error, event.service.number, 'new flow was refused', kind_id)
        )

    def _create_flow_id(
        self,
        event: OpenAdmitted,
        flow_class: FlowClass,
        upstream: UpstreamChanged | None,
    ) -> FlowId:
        context = self._state.context
        fields = FlowFields(
            flow_class=flow_class,
            kind_id=event.message.kind_id,
            service=event.service.number,
            owner=self._state.own_endpoint,
            owner_incarnation=Incarnation(context.incarnation),
            nonce=context.rng.getrandbits(_NONCE_BITS),
        )
        if upstream is not None:
            fields = replace(
                fields,
                upstream=upstream.endpoint,
                upstream_incarnation=upstream.incarnation,
            )
        return self._state.codec.encode(fields)

    def _find_pending(self, flow_id: FlowId) -> _PendingOpen | None:
        key = self._keys_by_flow.get(flow_id)
        return None if key is None else self._pending_by_key.get(key)

    def _remove_pending(self, pending: _PendingOpen) -> None:
        self._pending_by_key.pop(pending.key, None)
        self._keys_by_flow.pop(pending.flow_id, None)
        if not pending.accepted:
            service = pending.admitted.service.number
            self._state.counter.remove_flow(service, pending.flow_id)


def _open_key(event: OpenAdmitted) -> OpenKey:
    return event.caller, event.service.number, event.message.nonce


def _send_opened(event: OpenAdmitted, flow_id: FlowId) -> Effect:
    return SendToCaller(event.caller, Opened(event.message.nonce, flow_id))
