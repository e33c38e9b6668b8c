"""UDP sockets of a host: from the fabric, from peers, to upstreams.

Packets of established flows are forwarded here by the route table; all
else becomes an event for the core.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from lycheedeal.datagrams import bind_datagrams
from lycheedeal.exceptions import DecodeError
from lycheedeal.kernel import (
    CallerInput,
    CallerMessage,
    CallerPacket,
    Event,
    PeerInput,
    PeerMessage,
    Refused,
    UpstreamInput,
    UpstreamMessage,
    UpstreamPacket,
)
from lycheedeal.model import Endpoint, FlowId
from lycheedeal.steering import RouteTable
from lycheedeal.wire import (
    CALLER_PACKET_HEADER_SIZE,
    FABRIC_HEADER_SIZE,
    PACKET_TYPE,
    UPSTREAM_PACKET_HEADER_SIZE,
    decode,
    unpack_endpoint,
    unpack_fabric_header,
)

# Local ports towards upstreams; a pair of port and upstream is a path.
PATH_COUNT: Final = 4
_CALLER_SIZE: Final = 6
_FLOW_START: Final = FABRIC_HEADER_SIZE + 1
_PAYLOAD_START: Final = FABRIC_HEADER_SIZE + CALLER_PACKET_HEADER_SIZE
_MAX_CACHED_CALLERS: Final = 50_000
# A burst of callers that all come back at once must fit in the socket.
_RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024

Deliver = Callable[[Event], None]


class _EventProtocol(asyncio.DatagramProtocol):
    """Base of the protocols: decodes datagrams and delivers events."""

    def __init__(self, deliver: Deliver) -> None:
        self._deliver = deliver

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; loss is found by time-outs."""

    def _refuse(self, error: DecodeError) -> None:
        self._deliver(Refused(error.kind, None, 'datagram'))

    def _decode(self, datagram: bytes, allowed: Any) -> Any:
        """Return the message, or None after counting a refusal."""
        try:
            message = decode(datagram)
        except DecodeError as error:
            self._refuse(error)
            return None
        if isinstance(message, allowed):
            return message
        self._refuse(DecodeError('message of another direction'))
        return None


class UpstreamPaths:
    """The sockets towards upstreams and the path that each upstream uses."""

    def __init__(self) -> None:
        """Create the table; ``transports`` are added at start."""
        self.transports: list[asyncio.DatagramTransport] = []
        self._by_upstream: dict[Endpoint, asyncio.DatagramTransport] = {}

    def switch(self, upstream: Endpoint, path: int) -> None:
        """Use another path for an upstream from now on."""
        self._by_upstream[upstream] = self.transports[path % PATH_COUNT]

    def send(self, datagram: bytes, upstream: Endpoint) -> None:
        """Send on the current path of the upstream."""
        transport = self._by_upstream.get(upstream, self.transports[0])
        transport.sendto(datagram, upstream)

    def send_on(self, path: int, datagram: bytes, upstream: Endpoint) -> None:
        """Send on a given path."""
        self.transports[path % PATH_COUNT].sendto(datagram, upstream)


class FabricProtocol(_EventProtocol):
    """Takes callers' datagrams that the fabric hands to this host."""

    def __init__(
        self,
        deliver: Deliver,
        routes: RouteTable,
        paths: UpstreamPaths,
    ) -> None:
        """Forward by ``routes`` over ``paths``; the rest goes to the core."""
        super().__init__(deliver)
        self._lookup = routes.lookup
        self._send = paths.send

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a packet or deliver a message."""
        if len(data) >= _PAYLOAD_START and data[FABRIC_HEADER_SIZE] == PACKET_TYPE:
            upstream = self._lookup(data[_FLOW_START:_PAYLOAD_START])
            if upstream is None:
                self._unrouted(data)
            else:
                self._send(
                    data[FABRIC_HEADER_SIZE:_PAYLOAD_START]
                    + data[:_CALLER_SIZE]
                    + data[_PAYLOAD_START:],
                    upstream,
                )
        else:
            self._message(data)

    def _unrouted(self, datagram: bytes) -> None:
        flow_id = FlowId(datagram[_FLOW_START:_PAYLOAD_START])
        caller = unpack_endpoint(datagram[:_CALLER_SIZE])
        self._deliver(CallerPacket(caller, flow_id, datagram[_PAYLOAD_START:]))

    def _message(self, datagram: bytes) -> None:
        try:
            header = unpack_fabric_header(datagram)
        except DecodeError as error:
            self._refuse(error)
            return
        message = self._decode(datagram[FABRIC_HEADER_SIZE:], CallerInput)
        if message is not None:
            self._deliver(CallerMessage(header.caller, header.service, message))


class CallerSender:
    """Sends to callers from the socket that faces the fabric."""

    def __init__(self) -> None:
        """Create the sender; ``transport`` is set at start."""
        self.transport: asyncio.DatagramTransport | None = None
        self._callers_by_packed: dict[bytes, Endpoint] = {}

    def send(self, datagram: bytes, caller: Endpoint) -> None:
        """Send a datagram to a caller."""
        if self.transport is not None:
            self.transport.sendto(datagram, caller)

    def send_packed(self, datagram: bytes, packed_caller: bytes) -> None:
        """Send to a caller given in its 6-byte form."""
        caller = self._callers_by_packed.get(packed_caller)
        if caller is None:
            if len(self._callers_by_packed) >= _MAX_CACHED_CALLERS:
                self._callers_by_packed.clear()
            caller = unpack_endpoint(packed_caller)
            self._callers_by_packed[packed_caller] = caller
        self.send(datagram, caller)


class UpstreamProtocol(_EventProtocol):
    """Takes what upstreams send on one path."""

    def __init__(
        self,
        deliver: Deliver,
        path: int,
        routes: RouteTable,
        callers: CallerSender,
    ) -> None:
        """Forward packets of known flows to ``callers``."""
        super().__init__(deliver)
        self._path = path
        self._lookup = routes.lookup
        self._send_packed = callers.send_packed

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a packet or deliver a message."""
        if len(data) >= UPSTREAM_PACKET_HEADER_SIZE and data[0] == PACKET_TYPE:
            known = self._lookup(data[1:CALLER_PACKET_HEADER_SIZE])
            if known == addr:
                self._send_packed(
                    data[:CALLER_PACKET_HEADER_SIZE]
                    + data[UPSTREAM_PACKET_HEADER_SIZE:],
                    data[CALLER_PACKET_HEADER_SIZE:UPSTREAM_PACKET_HEADER_SIZE],
                )
            else:
                self._unrouted(data, Endpoint(*addr))
            return
        message = self._decode(data, UpstreamInput)
        if message is not None:
            self._deliver(UpstreamMessage(Endpoint(*addr), self._path, message))

    def _unrouted(self, datagram: bytes, upstream: Endpoint) -> None:
        packed = datagram[CALLER_PACKET_HEADER_SIZE:UPSTREAM_PACKET_HEADER_SIZE]
        self._deliver(
            UpstreamPacket(
                upstream,
                unpack_endpoint(packed),
                FlowId(datagram[1:CALLER_PACKET_HEADER_SIZE]),
                datagram[UPSTREAM_PACKET_HEADER_SIZE:],
            ),
        )


class PeerProtocol(_EventProtocol):
    """Takes relays and probes of other hosts."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver a message of a peer."""
        message = self._decode(data, PeerInput)
        if message is not None:
            self._deliver(PeerMessage(Endpoint(*addr), message))


async def open_socket(
    protocol: asyncio.DatagramProtocol,
    local: Endpoint,
) -> asyncio.DatagramTransport:
    """Bind a UDP socket with a large receive buffer.

    Raises OSError if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    bound = bind_datagrams(local, _RECEIVE_BUFFER_BYTES)
    transport, _ = await loop.create_datagram_endpoint(lambda: protocol, sock=bound)
    return transport
