"""Plug-in that runs each request at most once and sends its result."""

from collections.abc import Iterator
from dataclasses import replace

from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    CallerMessage,
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    MembersChanged,
    OwnedServicesChanged,
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
from lycheedeal.requests._ownership import (
    Owned,
    OwnedElsewhere,
    OwnerLost,
    OwnerResolver,
    Unauthenticated,
    WrongFlowClass,
)

_Message = Request | CancelRequest


class RequestsPlugin:
    """Handles requests on own flows and relays others to their owner."""

    def __init__(self, context: Context) -> None:
        """Create the plug-in without requests."""
        self._context = context
        self._owner_resolver = OwnerResolver(context)
        self._owner = RequestOwner(context)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Handle one event and yield the resulting effects."""
        match event:
            case CallerMessage(caller, address, Request() | CancelRequest() as message):
                yield from self._handle_caller_message(caller, message, address)
            case PeerMessage(
                _,
                RelayedRequest(caller, message) | RelayedCancel(caller, message),
            ):
                yield from self._handle_caller_message(caller, message, None)
            case UpstreamMessage(upstream, _, RunAnswer() as answer):
                yield from self._owner.replies.handle_answer(upstream, answer)
            case UpstreamMessage(upstream, _, RunRefused() as refusal):
                yield from self._owner.replies.handle_refusal(upstream, refusal)
            case UpstreamMessage(upstream, _, RunCancelled() as cancellation):
                yield from self._owner.replies.handle_cancelled(upstream, cancellation)
            case _:
                yield from self._handle_change(event)

    def _handle_change(self, event: Event) -> Iterator[Effect]:
        match event:
            case Tick():
                yield from self._handle_tick()
            case Resumed():
                yield from self._owner.run_due()
            case UpstreamChanged():
                yield from self._handle_upstream_changed(event)
            case ConfigurationChanged(view):
                yield from self._handle_configuration_changed(view)
            case MembersChanged(members):
                self._owner_resolver.set_members(members)
            case OwnedServicesChanged(services):
                self._owner.observed_services = frozenset(services)
            case StopStarted():
                self._owner.stopping = True

    def _handle_caller_message(
        self,
        caller: Endpoint,
        message: _Message,
        address: Endpoint | None,
    ) -> Iterator[Effect]:
        """Handle a message from a caller by the ownership of its flow.

        ``address`` is the service address that received it; None if another host
        relayed the message.
        """
        match self._owner_resolver.resolve(message.flow_id):
            case Owned(fields) | OwnedElsewhere(fields) if self._is_wrong_address(
                fields,
                address,
            ):
                detail = 'request sent to the address of another service'
                yield Publish(Refused(ErrorKind.MALFORMED, fields.service, detail))
            case Owned(fields):
                yield from self._handle_owned(caller, message, fields)
            case OwnedElsewhere(fields) if address is not None:
                yield SendToPeer(fields.owner, _relayed(caller, message))
            case OwnedElsewhere():
                detail = 'request relayed to a host that is not its owner'
                yield Publish(Refused(ErrorKind.UNKNOWN_FLOW, None, detail))
            case OwnerLost():
                yield self._send_outcome(caller, message, ErrorKind.OWNER_LOST)
                detail = 'request of an owner that is gone'
                yield Publish(Refused(ErrorKind.OWNER_LOST, None, detail))
            case WrongFlowClass():
                yield self._send_outcome(caller, message, ErrorKind.MALFORMED)
                detail = 'request on a long flow'
                yield Publish(Refused(ErrorKind.MALFORMED, None, detail))
            case Unauthenticated(error):
                yield Publish(Refused(error, None, 'invalid flow id of a request'))

    def _handle_owned(
        self,
        caller: Endpoint,
        message: _Message,
        fields: FlowFields,
    ) -> Iterator[Effect]:
        match message:
            case Request():
                yield from self._owner.handle_request(caller, message, fields)
            case CancelRequest():
                yield from self._owner.handle_cancel(caller, message)

    def _is_wrong_address(self, fields: FlowFields, address: Endpoint | None) -> bool:
        """Return whether a message was sent to the address of another service."""
        view = self._owner.view
        if view is None or address is None:
            return False
        service = view.services_by_number.get(fields.service)
        return service is not None and service.address != address

    def _send_outcome(
        self,
        caller: Endpoint,
        message: _Message,
        error: ErrorKind,
    ) -> SendToCaller:
        return SendToCaller(
            caller,
            Outcome(message.flow_id, message.number, error, retry_after_ms=0),
        )

    def _handle_tick(self) -> Iterator[Effect]:
        yield from self._owner.run_due()
        yield from self._owner.dispatcher.publish_load()
        if self._owner.stopping:
            remaining = self._owner.results.table.active_count
            yield Publish(WorkRemaining('requests', remaining))

    def _handle_upstream_changed(self, event: UpstreamChanged) -> Iterator[Effect]:
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
        yield from self._owner.replies.handle_upstream_changed(event)
        yield from dispatcher.dispatch_queue(service.number)

    def _handle_configuration_changed(
        self, view: ConfigurationView
    ) -> Iterator[Effect]:
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
        yield from dispatcher.dispatch_all()


def _relayed(caller: Endpoint, message: _Message) -> RelayedRequest | RelayedCancel:
    match message:
        case Request():
            return RelayedRequest(caller, message)
        case CancelRequest():
            return RelayedCancel(caller, message)
