"""UDP sockets of a host towards the fabric, other hosts and upstreams.

Packets of established flows are forwarded here by the route table; all other
datagrams become events of the kernel.
"""

import asyncio
import socket
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

# Local ports towards upstreams. A pair of local port and upstream is a path.
PATH_COUNT: Final = 4
# Bytes of an encoded IPv4 address and port.
_PACKED_CALLER_SIZE: Final = 6
_FLOW_ID_START: Final = FABRIC_HEADER_SIZE + 1
_PAYLOAD_START: Final = FABRIC_HEADER_SIZE + CALLER_PACKET_HEADER_SIZE
# Decoded caller addresses; the cache is cleared when it is full.
_MAX_CACHED_CALLERS: Final = 50_000
# Holds a burst of datagrams from callers that all reconnect at once.
RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024

Deliver = Callable[[Event], None]


class _EventProtocol(asyncio.DatagramProtocol):
    """Base class that decodes datagrams and delivers events to the kernel."""

    def __init__(self, deliver: Deliver) -> None:
        self._deliver = deliver

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors, because lost datagrams are detected by timeouts."""

    def _refuse(self, error: DecodeError) -> None:
        self._deliver(Refused(error.kind, None, 'invalid datagram'))

    def _decode(self, datagram: bytes, allowed: Any) -> Any:
        """Return the message, or None if it is invalid or of a type not allowed.

        Publishes ``Refused`` for those.
        """
        try:
            message = decode(datagram)
        except DecodeError as error:
            self._refuse(error)
            return None
        if isinstance(message, allowed):
            return message
        self._refuse(DecodeError('message type is not allowed on this socket'))
        return None


class UpstreamPaths:
    """The sockets towards upstreams and the current path to each upstream."""

    def __init__(self) -> None:
        """Create the table without sockets; the daemon adds ``transports``."""
        self.transports: list[asyncio.DatagramTransport] = []
        self._by_upstream: dict[Endpoint, asyncio.DatagramTransport] = {}

    def switch(self, upstream: Endpoint, path: int) -> None:
        """Make a path the current one of an upstream."""
        self._by_upstream[upstream] = self.transports[path % PATH_COUNT]

    def send(self, datagram: bytes, upstream: Endpoint) -> None:
        """Send on the current path of an upstream, at first path 0."""
        transport = self._by_upstream.get(upstream, self.transports[0])
        transport.sendto(datagram, upstream)

    def send_on(self, path: int, datagram: bytes, upstream: Endpoint) -> None:
        """Send on a path that need not be the current one."""
        self.transports[path % PATH_COUNT].sendto(datagram, upstream)


class FabricProtocol(_EventProtocol):
    """Receives datagrams of callers, which the fabric sends to this host."""

    def __init__(
        self,
        deliver: Deliver,
        routes: RouteTable,
        paths: UpstreamPaths,
    ) -> None:
        """Forward by ``routes`` over ``paths``; deliver all else to the kernel."""
        super().__init__(deliver)
        self._lookup = routes.lookup
        self._send = paths.send

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a packet of an established flow; deliver all else as an event."""
        if len(data) >= _PAYLOAD_START and data[FABRIC_HEADER_SIZE] == PACKET_TYPE:
            upstream = self._lookup(data[_FLOW_ID_START:_PAYLOAD_START])
            if upstream is None:
                self._deliver_unrouted(data)
            else:
                self._send(
                    data[FABRIC_HEADER_SIZE:_PAYLOAD_START]
                    + data[:_PACKED_CALLER_SIZE]
                    + data[_PAYLOAD_START:],
                    upstream,
                )
        else:
            self._deliver_message(data)

    def _deliver_unrouted(self, datagram: bytes) -> None:
        flow_id = FlowId(datagram[_FLOW_ID_START:_PAYLOAD_START])
        caller = unpack_endpoint(datagram[:_PACKED_CALLER_SIZE])
        self._deliver(CallerPacket(caller, flow_id, datagram[_PAYLOAD_START:]))

    def _deliver_message(self, datagram: bytes) -> None:
        try:
            header = unpack_fabric_header(datagram)
        except DecodeError as error:
            self._refuse(error)
            return
        message = self._decode(datagram[FABRIC_HEADER_SIZE:], CallerInput)
        if message is not None:
            self._deliver(CallerMessage(header.caller, header.service, message))


class CallerSender:
    """Sends to callers from the socket towards the fabric."""

    def __init__(self) -> None:
        """Create the sender without a socket; the daemon sets ``transport``."""
        self.transport: asyncio.DatagramTransport | None = None
        self._callers_by_packed: dict[bytes, Endpoint] = {}

    def send(self, datagram: bytes, caller: Endpoint) -> None:
        """Send a datagram to a caller; it is dropped before the socket is open."""
        if self.transport is not None:
            self.transport.sendto(datagram, caller)

    def send_packed(self, datagram: bytes, packed_caller: bytes) -> None:
        """Send to a caller whose address is encoded in 6 bytes."""
        caller = self._callers_by_packed.get(packed_caller)
        if caller is None:
            if len(self._callers_by_packed) >= _MAX_CACHED_CALLERS:
                self._callers_by_packed.clear()
            caller = unpack_endpoint(packed_caller)
            self._callers_by_packed[packed_caller] = caller
        self.send(datagram, caller)


class UpstreamProtocol(_EventProtocol):
    """Receives datagrams of upstreams on one path."""

    def __init__(
        self,
        deliver: Deliver,
        path: int,
        routes: RouteTable,
        callers: CallerSender,
    ) -> None:
        """Forward packets of routed flows to ``callers``; deliver all else."""
        super().__init__(deliver)
        self._path = path
        self._lookup = routes.lookup
        self._send_packed = callers.send_packed

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a packet of an established flow; deliver all else as an event."""
        if len(data) >= UPSTREAM_PACKET_HEADER_SIZE and data[0] == PACKET_TYPE:
            routed_upstream = self._lookup(data[1:CALLER_PACKET_HEADER_SIZE])
            if routed_upstream == addr:
                self._send_packed(
                    data[:CALLER_PACKET_HEADER_SIZE]
                    + data[UPSTREAM_PACKET_HEADER_SIZE:],
                    data[CALLER_PACKET_HEADER_SIZE:UPSTREAM_PACKET_HEADER_SIZE],
                )
            else:
                self._deliver_unrouted(data, Endpoint(*addr))
            return
        message = self._decode(data, UpstreamInput)
        if message is not None:
            self._deliver(UpstreamMessage(Endpoint(*addr), self._path, message))

    def _deliver_unrouted(self, datagram: bytes, upstream: Endpoint) -> None:
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
    """Receives relayed messages and probes of other hosts."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver a message of another host."""
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
    return await serve_socket(protocol, bind_datagrams(local, RECEIVE_BUFFER_BYTES))


async def serve_socket(
    protocol: asyncio.DatagramProtocol,
    bound: socket.socket,
) -> asyncio.DatagramTransport:
    """Deliver the datagrams of a bound UDP socket to a protocol."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: protocol, sock=bound)
    return transport
