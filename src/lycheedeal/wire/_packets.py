"""Layout of the packets of established flows and of the fabric's header.

Every packet of a flow passes through this code, so the layouts are fixed
instead of encoded like messages.
"""

import socket
import struct
from typing import Final, NamedTuple

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.model import FLOW_ID_SIZE, Endpoint

# First byte of a packet: version 1, datagram type 1.
PACKET_TYPE: Final = 0x11
_PACKET_BYTE: Final = bytes((PACKET_TYPE,))
# IPv4 address and port in network byte order.
_ENDPOINT: Final = struct.Struct('!4sH')
_FABRIC: Final = struct.Struct('!4sH4sH')
# Sizes are in bytes. A packet between host and upstream also names the caller.
FABRIC_HEADER_SIZE: Final = _FABRIC.size
CALLER_PACKET_HEADER_SIZE: Final = 1 + FLOW_ID_SIZE
UPSTREAM_PACKET_HEADER_SIZE: Final = CALLER_PACKET_HEADER_SIZE + _ENDPOINT.size


class FabricHeader(NamedTuple):
    """Source and destination that the fabric prepends to a caller's datagram."""

    caller: Endpoint
    service: Endpoint


def pack_endpoint(endpoint: Endpoint) -> bytes:
    """Return the 6-byte form of an endpoint."""
    return _ENDPOINT.pack(socket.inet_aton(endpoint.ip), endpoint.port)


def unpack_endpoint(packed: bytes) -> Endpoint:
    """Return the endpoint of its 6-byte form; raises struct.error for other sizes."""
    ip, port = _ENDPOINT.unpack(packed)
    return Endpoint(socket.inet_ntoa(ip), port)


def pack_fabric_header(header: FabricHeader) -> bytes:
    """Return the 12-byte header that the fabric prepends to a datagram."""
    return pack_endpoint(header.caller) + pack_endpoint(header.service)


def unpack_fabric_header(datagram: bytes) -> FabricHeader:
    """Return the addresses at the start of a datagram from the fabric.

    Raises DecodeError with kind MALFORMED if the datagram holds nothing
    after the header.
    """
    if len(datagram) <= FABRIC_HEADER_SIZE:
        raise DecodeError(
            'datagram from the fabric holds nothing after its header',
            ErrorKind.MALFORMED,
        )
    caller_ip, caller_port, service_ip, service_port = _FABRIC.unpack_from(datagram)
    return FabricHeader(
        Endpoint(socket.inet_ntoa(caller_ip), caller_port),
        Endpoint(socket.inet_ntoa(service_ip), service_port),
    )


def caller_packet(flow_id: bytes, payload: bytes) -> bytes:
    """Return a packet of a flow in its layout between caller and host."""
    return _PACKET_BYTE + flow_id + payload


def upstream_packet(flow_id: bytes, packed_caller: bytes, payload: bytes) -> bytes:
    """Return a packet of a flow in its layout between host and upstream.

    ``packed_caller`` is the endpoint of the caller in its 6-byte form.
    """
    return _PACKET_BYTE + flow_id + packed_caller + payload
