"""Forwards packets of established flows and propagates their ends."""

from collections.abc import Generator, Iterator

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.kernel import (
    CallerPacket,
    Effect,
    FlowClosed,
    Publish,
    Refused,
    SendPacketToCaller,
    SendPacketToUpstream,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    UpstreamPacket,
)
from lycheedeal.messages import (
    CloseFlow,
    FlowBroken,
    FlowRejected,
    RelayedClose,
    UpstreamClose,
)
from lycheedeal.model import Endpoint, FlowClass, FlowFields, FlowId
from lycheedeal.steering._state import SteeringState


class Forwarder:
    """Forwards packets by the upstream named in their flow ids.

    Flow ids that fail authentication are refused without any state kept.
    """

    def __init__(self, state: SteeringState) -> None:
        """Create a forwarder that shares the state of the plug-in."""
        self._state = state

    def from_caller(self, event: CallerPacket) -> Iterator[Effect]:
        """Forward a packet that has no entry in the route table, and add one."""
        fields = yield from self._parse_flow_id(event.flow_id)
        if fields is None:
            return
        self._state.routes.add(event.flow_id, fields)
        yield SendPacketToUpstream(
            fields.upstream,
            event.flow_id,
            event.caller,
            event.payload,
        )

    def from_upstream(self, event: UpstreamPacket) -> Iterator[Effect]:
        """Forward a packet to the caller, and add its route to the table.

        A packet from any other upstream than the one named in the flow id is
        refused.
        """
        fields = yield from self._parse_flow_id(event.flow_id)
        if fields is None:
            return
        if fields.upstream != event.upstream:
            yield Publish(
                Refused(
                    ErrorKind.UNKNOWN_FLOW,
                    fields.service,
                    'packet from an upstream that does not hold the flow',
                )
            )
            return
        self._state.routes.add(event.flow_id, fields)
        yield SendPacketToCaller(event.caller, event.flow_id, event.payload)

    def handle_close(self, message: CloseFlow) -> Iterator[Effect]:
        """Notify the upstream and the owner that the caller closed a flow."""
        fields = yield from self._parse_flow_id(message.flow_id)
        if fields is None:
            return
        yield SendToUpstream(fields.upstream, UpstreamClose(message.flow_id))
        yield from self._end_flow(message.flow_id, fields, None)

    def handle_rejected(
        self, upstream: Endpoint, message: FlowRejected
    ) -> Iterator[Effect]:
        """Notify the caller and the owner that the upstream rejected a flow.

        Messages from any other upstream than that of the flow are ignored.
        """
        fields = yield from self._parse_flow_id(message.flow_id)
        if fields is None or fields.upstream != upstream:
            return
        yield SendToCaller(message.caller, FlowBroken(message.flow_id, message.error))
        yield Publish(
            Refused(message.error, fields.service, 'flow rejected by upstream')
        )
        yield from self._end_flow(message.flow_id, fields, message.error)

    def handle_relayed_close(self, message: RelayedClose) -> Iterator[Effect]:
        """Stop counting an own flow that ended on another host."""
        fields = yield from self._parse_flow_id(message.flow_id)
        if fields is not None:
            yield from self._publish_closed(message.flow_id, fields, message.error)

    def _end_flow(
        self,
        flow_id: FlowId,
        fields: FlowFields,
        error: ErrorKind | None,
    ) -> Iterator[Effect]:
        self._state.routes.remove(flow_id)
        if fields.owner == self._state.own_endpoint:
            yield from self._publish_closed(flow_id, fields, error)
        else:
            yield SendToPeer(fields.owner, RelayedClose(flow_id, error))

    def _publish_closed(
        self,
        flow_id: FlowId,
        fields: FlowFields,
        error: ErrorKind | None,
    ) -> Iterator[Effect]:
        """Publish that a flow ended, if this process still counts it.

        This keeps repeated messages and hosts that did not open the flow from
        publishing the event again.
        """
        if self._state.counter.remove_flow(fields.service, flow_id):
            yield Publish(FlowClosed(fields.service, flow_id, error))

    def _parse_flow_id(
        self,
        flow_id: FlowId,
    ) -> Generator[Effect, None, FlowFields | None]:
        try:
            fields = self._state.codec.decode(flow_id)
        except DecodeError as error:
            yield Publish(Refused(error.kind, None, 'invalid flow id'))
            return None
        if fields.flow_class is not FlowClass.LONG:
            yield Publish(
                Refused(
                    ErrorKind.MALFORMED,
                    fields.service,
                    'not a long flow',
                )
            )
            return None
        return fields
