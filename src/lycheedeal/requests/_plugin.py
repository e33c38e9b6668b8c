"""Plug-in that runs each request at most once and answers for it."""

from collections.abc import Iterator
from dataclasses import replace

from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    CallerMessage,
    Context,
    Effect,
    Event,
    MembersChanged,
    OwnerReady,
    PeerMessage,
    Publish,
    Refused,
    Resumed,
    SendToCaller,
    SendToPeer,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    ViewChanged,
    WorkRemaining,
)
from lycheedeal.messages import (
    CancelRequest,
    Outcome,
    RelayedCancel,
    RelayedRequest,
    Request,
    RunAnswer,
    RunCancelled,
    RunRefused,
)
from lycheedeal.model import ConfigurationView, Endpoint, FlowFields
from lycheedeal.requests._owner import RequestOwner
from lycheedeal.requests._routing import (
    Owned,
    OwnedElsewhere,
    OwnerLost,
    Router,
    Unauthentic,
    WrongClass,
)

_Message = Request | CancelRequest


class Requests:
    """Relays requests to their owner, and owns those of its own flows."""

    def __init__(self, context: Context) -> None:
        """Start without requests."""
        self._context = context
        self._router = Router(context)
        self._owner = RequestOwner(context)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        match event:
            case CallerMessage(caller, address, Request() | CancelRequest() as message):
                yield from self._received(caller, message, address)
            case PeerMessage(
                _,
                RelayedRequest(caller, message) | RelayedCancel(caller, message),
            ):
                yield from self._received(caller, message, None)
            case UpstreamMessage(upstream, _, RunAnswer() as answer):
                yield from self._owner.replies.answered(upstream, answer)
            case UpstreamMessage(upstream, _, RunRefused() as refusal):
                yield from self._owner.replies.refused(upstream, refusal)
            case UpstreamMessage(upstream, _, RunCancelled() as cancellation):
                yield from self._owner.replies.cancelled(upstream, cancellation)
            case _:
                yield from self._handle_change(event)

    def _handle_change(self, event: Event) -> Iterator[Effect]:
        match event:
            case Tick():
                yield from self._tick()
            case Resumed():
                yield from self._owner.advance()
            case UpstreamChanged():
                yield from self._upstream_changed(event)
            case ViewChanged(view):
                yield from self._view_changed(view)
            case MembersChanged(members):
                self._router.change_members(members)
            case OwnerReady(services):
                self._owner.observed = frozenset(services)
            case StopStarted():
                self._owner.stopping = True

    def _received(
        self,
        caller: Endpoint,
        message: _Message,
        address: Endpoint | None,
    ) -> Iterator[Effect]:
        """Take a message; ``address`` None means that another host relayed it."""
        match self._router.route(message.flow_id):
            case Owned(fields) | OwnedElsewhere(fields) if self._is_stray(
                fields,
                address,
            ):
                detail = 'request for another service address'
                yield Publish(Refused(ErrorKind.MALFORMED, fields.service, detail))
            case Owned(fields):
                yield from self._owned(caller, message, fields)
            case OwnedElsewhere(fields) if address is not None:
                yield SendToPeer(fields.owner, _relay(caller, message))
            case OwnedElsewhere():
                detail = 'relayed to a host that is not the owner'
                yield Publish(Refused(ErrorKind.UNKNOWN_FLOW, None, detail))
            case OwnerLost():
                yield self._outcome(caller, message, ErrorKind.OWNER_LOST)
                detail = 'owner of a request is gone'
                yield Publish(Refused(ErrorKind.OWNER_LOST, None, detail))
            case WrongClass():
                yield self._outcome(caller, message, ErrorKind.MALFORMED)
                detail = 'request on a long flow'
                yield Publish(Refused(ErrorKind.MALFORMED, None, detail))
            case Unauthentic(error):
                yield Publish(Refused(error, None, 'flow id of a request'))

    def _owned(
        self,
        caller: Endpoint,
        message: _Message,
        fields: FlowFields,
    ) -> Iterator[Effect]:
        match message:
            case Request():
                yield from self._owner.request(caller, message, fields)
            case CancelRequest():
                yield from self._owner.cancel(caller, message)

    def _is_stray(self, fields: FlowFields, address: Endpoint | None) -> bool:
        """Tell whether a message came to the address of another service."""
        view = self._owner.view
        if view is None or address is None:
            return False
        service = view.services_by_number.get(fields.service)
        return service is not None and service.address != address

    def _outcome(
        self,
        caller: Endpoint,
        message: _Message,
        error: ErrorKind,
    ) -> SendToCaller:
        return SendToCaller(
            caller,
            Outcome(message.flow_id, message.number, error, retry_after_ms=0),
        )

    def _tick(self) -> Iterator[Effect]:
        yield from self._owner.advance()
        yield from self._owner.dispatcher.measure()
        if self._owner.stopping:
            remaining = self._owner.ledger.table.active
            yield Publish(WorkRemaining('requests', remaining))

    def _upstream_changed(self, event: UpstreamChanged) -> Iterator[Effect]:
        view = self._owner.view
        service = None if view is None else view.services_by_number.get(event.service)
        if service is None:
            return
        dispatcher = self._owner.dispatcher
        dispatcher.queue(service).pool.update_state(
            event.endpoint,
            event.state,
            event.incarnation,
            event.weight,
        )
        yield from self._owner.replies.upstream_changed(event)
        yield from dispatcher.pump(service.number)

    def _view_changed(self, view: ConfigurationView) -> Iterator[Effect]:
        previous = self._owner.view
        self._owner.view = view
        dispatcher = self._owner.dispatcher
        for number, queue in dispatcher.queues_by_service.items():
            service = view.services_by_number.get(number)
            if service is None and previous is not None:
                removed = previous.services_by_number.get(number)
                service = removed and replace(removed, upstreams=())
            if service is not None:
                queue.reconfigure(service)
        yield from dispatcher.pump_all()


def _relay(caller: Endpoint, message: _Message) -> RelayedRequest | RelayedCancel:
    match message:
        case Request():
            return RelayedRequest(caller, message)
        case CancelRequest():
            return RelayedCancel(caller, message)
