"""Opening of flows by the owner of a service."""

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
from lycheedeal.steering._zones import ATTEMPTS_PER_OWNER, ZoneBalance

_MAX_UPSTREAM_TRIES: Final = 3
_MAX_PENDING: Final = 20_000
# Callers retransmit an Open within this time, so its flow id must be found.
_PENDING_SECONDS: Final = 10
_NONCE_BITS: Final = 64
# Must fit in the drain time of a planned stop, with time for the last request.
REQUEST_FLOW_SECONDS: Final = 5
_MILLISECONDS: Final = 1000


@dataclass(slots=True)
class _Pending:
    admitted: OpenAdmitted
    flow_id: FlowId
    upstream: UpstreamChanged
    expires: float
    tried: frozenset[Endpoint]
    accepted: bool = False

    @property
    def key(self) -> 'OpenKey':
        return _open_key(self.admitted)


OpenKey = tuple[Endpoint, ServiceNumber, int]


class FlowOpener:
    """Opens flows here or relays the message to the owner."""

    def __init__(self, state: SteeringState, zones: ZoneBalance) -> None:
        """Share the state of the plug-in."""
        self._state = state
        self._zones = zones
        self._pending_by_key: dict[OpenKey, _Pending] = {}
        self._keys_by_flow: dict[FlowId, OpenKey] = {}
        self._request_flows_until = 0.0

    @property
    def unfinished(self) -> int:
        """Return the number of flows that still need this process.

        Those are flows that wait for an upstream, and one for all request
        flows on which callers may still submit.
        """
        opening = sum(not one.accepted for one in self._pending_by_key.values())
        now = self._state.context.clock.monotonic()
        return opening + (now < self._request_flows_until)

    def admit(self, event: OpenAdmitted) -> Iterator[Effect]:
        """Open the flow if this host owns the service, else relay once."""
        if not self._state.members and event.relayed_by is None:
            # A booting host would take itself for the owner of everything.
            yield from self._refuse(event, ErrorKind.NOT_READY)
            return
        owner = self._owner(event)
        if owner is None:
            yield from self._open(event)
            return
        relayed = RelayedOpen(event.caller, event.service.number, event.message)
        yield SendToPeer(owner, relayed)

    def accepted(self, upstream: Endpoint, message: FlowAccepted) -> Iterator[Effect]:
        """Tell the caller that its flow is open."""
        pending = self._find(message.flow_id)
        if pending is None or pending.upstream.endpoint != upstream:
            return
        if not pending.accepted:
            pending.accepted = True
            yield from self._established(pending)
        yield _opened(pending.admitted, pending.flow_id)

    def rejected(self, upstream: Endpoint, message: FlowRejected) -> Iterator[Effect]:
        """Try another upstream for a flow that was not opened yet."""
        pending = self._find(message.flow_id)
        if pending is None or pending.upstream.endpoint != upstream:
            return
        self._forget(pending)
        yield from self._open_long(pending.admitted, pending.tried | {upstream})

    def is_opening(self, flow_id: FlowId) -> bool:
        """Return whether a flow id waits for its upstream."""
        pending = self._find(flow_id)
        return pending is not None and not pending.accepted

    def expire(self, now: float) -> None:
        """Forget openings that callers no longer ask for."""
        expired = [one for one in self._pending_by_key.values() if one.expires <= now]
        for pending in expired:
            self._forget(pending)

    def _owner(self, event: OpenAdmitted) -> Endpoint | None:
        if event.relayed_by is not None:
            return None
        attempt = event.message.attempt
        ranked = self._state.ranked(event.service.number)
        if not ranked:
            return None
        owner = ranked[attempt // ATTEMPTS_PER_OWNER % len(ranked)].peer
        return None if owner == self._state.own else owner

    def _open(self, event: OpenAdmitted) -> Iterator[Effect]:
        kind = event.service.kind(event.message.kind_id)
        if self._state.stopping:
            yield from self._refuse(event, ErrorKind.OWNER_LEAVING)
            return
        if kind is not None and kind.long:
            known = self._pending_by_key.get(_open_key(event))
            if known is None:
                yield from self._open_long(event, frozenset())
            elif known.accepted:
                yield _opened(event, known.flow_id)
            else:
                yield self._ask_upstream(known)
            return
        elsewhere = self._zones.pick(event)
        if elsewhere is None:
            yield self._open_request_flow(event)
            return
        number = event.service.number
        yield SendToPeer(
            elsewhere,
            RelayedOpen(event.caller, number, event.message, final=True),
        )

    def _open_request_flow(self, event: OpenAdmitted) -> Effect:
        now = self._state.context.clock.monotonic()
        self._request_flows_until = now + REQUEST_FLOW_SECONDS
        flow_id = self._mint(event, FlowClass.REQUEST, None)
        ttl = REQUEST_FLOW_SECONDS * _MILLISECONDS
        return SendToCaller(event.caller, Opened(event.message.nonce, flow_id, ttl))

    def _open_long(
        self,
        event: OpenAdmitted,
        tried: frozenset[Endpoint],
    ) -> Iterator[Effect]:
        full = len(self._pending_by_key) >= _MAX_PENDING
        if full or len(tried) >= _MAX_UPSTREAM_TRIES:
            yield from self._refuse(event, ErrorKind.FLOW_LIMIT)
            return
        upstream = choose_upstream(self._state, event.service, tried)
        if upstream is None:
            yield from self._refuse(event, ErrorKind.NO_UPSTREAM)
            return
        pending = _Pending(
            admitted=event,
            flow_id=self._mint(event, FlowClass.LONG, upstream),
            upstream=upstream,
            expires=self._state.context.clock.monotonic() + _PENDING_SECONDS,
            tried=tried,
        )
        self._pending_by_key[pending.key] = pending
        self._keys_by_flow[pending.flow_id] = pending.key
        # Counted before the upstream accepts, so that a burst spreads evenly.
        self._state.counter.opened(
            event.service.number,
            pending.flow_id,
            upstream.endpoint,
        )
        yield self._ask_upstream(pending)

    def _ask_upstream(self, pending: _Pending) -> Effect:
        message = FlowOpen(
            flow_id=pending.flow_id,
            service=pending.admitted.service.name,
            incarnation=pending.upstream.incarnation,
            kind_id=pending.admitted.message.kind_id,
            caller=pending.admitted.caller,
        )
        return SendToUpstream(pending.upstream.endpoint, message)

    def _established(self, pending: _Pending) -> Iterator[Effect]:
        fields = self._state.codec.parse(pending.flow_id)
        self._state.routes.add(pending.flow_id, fields)
        service = pending.admitted.service.number
        kind_id = pending.admitted.message.kind_id
        yield Publish(FlowOpened(service, kind_id, pending.flow_id))

    def _refuse(self, event: OpenAdmitted, error: ErrorKind) -> Iterator[Effect]:
        delay = answer_for(error).retry_after_ms
        spread = round(delay * self._state.context.rng.uniform(0.5, 1.5))
        yield SendToCaller(
            event.caller, OpenRefused(event.message.nonce, error, spread)
        )
        kind_id = event.message.kind_id
        yield Publish(Refused(error, event.service.number, 'open', kind_id))

    def _mint(
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
            owner=self._state.own,
            owner_incarnation=Incarnation(context.incarnation),
            nonce=context.rng.getrandbits(_NONCE_BITS),
        )
        if upstream is not None:
            fields = replace(
                fields,
                upstream=upstream.endpoint,
                upstream_incarnation=upstream.incarnation,
            )
        return self._state.codec.mint(fields)

    def _find(self, flow_id: FlowId) -> _Pending | None:
        key = self._keys_by_flow.get(flow_id)
        return None if key is None else self._pending_by_key.get(key)

    def _forget(self, pending: _Pending) -> None:
        self._pending_by_key.pop(pending.key, None)
        self._keys_by_flow.pop(pending.flow_id, None)
        if not pending.accepted:
            service = pending.admitted.service.number
            self._state.counter.closed(service, pending.flow_id)


def _open_key(event: OpenAdmitted) -> OpenKey:
    return event.caller, event.service.number, event.message.nonce


def _opened(event: OpenAdmitted, flow_id: FlowId) -> Effect:
    return SendToCaller(event.caller, Opened(event.message.nonce, flow_id))
