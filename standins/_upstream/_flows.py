"""Long flows of the upstream stand-in: feeds of numbered entries."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal import messages, wire
from lycheedeal.errors import ErrorKind
from lycheedeal.model import Endpoint, FlowId, Incarnation
from standins import _bodies
from standins._core import (
    DispatchLater,
    Effect,
    LogRecord,
    MessageReceived,
    PacketReceived,
    PluginSpec,
    Send,
    SendPacket,
    register,
)
from standins._upstream._state import PROGRAM, Context

# Offset of the upstream incarnation in a flow id. Upstreams do not have the
# key of the hosts, so the field is read without checking the tag.
_INCARNATION_FIELD: Final = struct.Struct('!28xQ')
# Encoded address of the caller, in front of the payload of a packet.
_ENDPOINT_BYTES: Final = 6
# Limit for one keepalive; further entries are resent after the next keepalive.
_MAX_RESENT_ENTRIES: Final = 100


@dataclass(frozen=True, slots=True)
class EntryDue:
    """It is time to push the next entry of a feed."""

    flow_id: FlowId


@dataclass(slots=True)
class Feed:
    """An open flow.

    ``host`` is the sender of the last packet and receives the entries;
    ``last_number`` is the number of the last entry pushed.
    """

    host: Endpoint
    caller: Endpoint
    last_number: int = 0


class FlowsPlugin:
    """Accepts long flows, pushes entries and resends lost ones."""

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the upstream's plug-ins."""
        self._context = context
        self._feeds_by_flow: dict[FlowId, Feed] = {}

    def handle(
        self,
        event: MessageReceived | PacketReceived | EntryDue,
    ) -> Iterator[Effect]:
        """Open and close flows, answer keepalives and push entries."""
        match event:
            case MessageReceived(source, messages.FlowOpen() as message):
                yield from self._open(source, message)
            case MessageReceived(_, messages.UpstreamClose(flow_id)):
                yield from self._close(flow_id)
            case PacketReceived(source, flow_id, rest):
                yield from self._handle_packet(source, flow_id, rest)
            case EntryDue(flow_id):
                yield from self._push_entry(flow_id)
        self._context.flows = len(self._feeds_by_flow)

    def _open(
        self,
        source: Endpoint,
        message: messages.FlowOpen,
    ) -> Iterator[Effect]:
        flow_id = message.flow_id
        if message.service != self._context.settings.service:
            yield LogRecord(
                'misrouted', _misrouted_fields('flow', message.service, flow_id)
            )
        error = self._refusal(message)
        if error is not None:
            yield Send(source, messages.FlowRejected(flow_id, error, message.caller))
            return
        if flow_id not in self._feeds_by_flow:
            self._feeds_by_flow[flow_id] = Feed(source, message.caller)
            yield LogRecord(
                'flow_opened',
                {'flow_id': flow_id.hex(), 'draining': self._context.draining},
            )
            # The first entry is pushed at a random time of the interval, so that
            # feeds opened together do not push at the same moment.
            interval = self._context.settings.entry_interval
            yield DispatchLater(
                self._context.clock.rng.random() * interval, EntryDue(flow_id)
            )
        yield Send(source, messages.FlowAccepted(flow_id))

    def _refusal(self, message: messages.FlowOpen) -> ErrorKind | None:
        context = self._context
        if not context.has_identity(message.service, message.incarnation):
            return ErrorKind.UPSTREAM_REPLACED
        if message.flow_id in self._feeds_by_flow:
            return None
        if context.draining or context.failing:
            return ErrorKind.UPSTREAM_REFUSED
        if len(self._feeds_by_flow) >= context.settings.connections:
            return ErrorKind.FLOW_LIMIT
        return None

    def _close(self, flow_id: FlowId) -> Iterator[Effect]:
        if self._feeds_by_flow.pop(flow_id, None) is not None:
            yield LogRecord('flow_closed', {'flow_id': flow_id.hex()})

    def _handle_packet(
        self,
        source: Endpoint,
        flow_id: FlowId,
        rest: bytes,
    ) -> Iterator[Effect]:
        if len(rest) < _ENDPOINT_BYTES:
            yield LogRecord(
                'undecodable',
                {'detail': 'packet is too short for the address of its caller'},
            )
            return
        caller = wire.unpack_endpoint(rest[:_ENDPOINT_BYTES])
        keepalive = _bodies.read_keepalive(rest[_ENDPOINT_BYTES:])
        feed = self._feeds_by_flow.get(flow_id)
        if keepalive is not None and self._names_other_service(keepalive):
            yield LogRecord(
                'misrouted',
                _misrouted_fields('packet', keepalive.service, flow_id),
            )
        if feed is None:
            error = self._unknown_flow_error(flow_id)
            yield LogRecord(
                'packet_rejected',
                {'flow_id': flow_id.hex(), 'error': error.name},
            )
            yield Send(source, messages.FlowRejected(flow_id, error, caller))
            return
        feed.host = source
        feed.caller = caller
        if keepalive is not None:
            yield from self._resend(flow_id, feed, keepalive.last_number)

    def _names_other_service(self, keepalive: _bodies.Keepalive) -> bool:
        own = self._context.settings.service
        return bool(keepalive.service) and keepalive.service != own

    def _unknown_flow_error(self, flow_id: FlowId) -> ErrorKind:
        (named,) = _INCARNATION_FIELD.unpack_from(flow_id)
        if Incarnation(named) != self._context.settings.incarnation:
            return ErrorKind.UPSTREAM_REPLACED
        return ErrorKind.UNKNOWN_FLOW

    def _push_entry(self, flow_id: FlowId) -> Iterator[Effect]:
        feed = self._feeds_by_flow.get(flow_id)
        if feed is None:
            return
        feed.last_number += 1
        yield _entry_packet(flow_id, feed, feed.last_number)
        yield DispatchLater(self._context.settings.entry_interval, EntryDue(flow_id))

    def _resend(
        self,
        flow_id: FlowId,
        feed: Feed,
        last_number: int,
    ) -> Iterator[Effect]:
        last_due = min(feed.last_number, last_number + _MAX_RESENT_ENTRIES)
        for number in range(last_number + 1, last_due + 1):
            yield _entry_packet(flow_id, feed, number)
        if last_due <= last_number:
            echo = _bodies.build_entry(_bodies.Entry(feed.last_number, b''))
            yield SendPacket(feed.host, flow_id, echo, feed.caller)


def _entry_packet(flow_id: FlowId, feed: Feed, number: int) -> SendPacket:
    text = f'entry {number}'.encode()
    payload = _bodies.build_entry(_bodies.Entry(number, text))
    return SendPacket(feed.host, flow_id, payload, feed.caller)


def _misrouted_fields(what: str, named: str, flow_id: FlowId) -> dict[str, str]:
    return {'what': what, 'named': named, 'flow_id': flow_id.hex()}


register(
    PluginSpec(
        PROGRAM,
        'flows',
        FlowsPlugin,
        frozenset((MessageReceived, PacketReceived, EntryDue)),
    ),
)
