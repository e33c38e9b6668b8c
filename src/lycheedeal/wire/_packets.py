"""Layout of packets of established flows and of the fabric's header.

These are on the path of every packet, so they are fixed layouts instead of
encoded messages.
"""

import socket
import struct
from typing import Final, NamedTuple

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.model import FLOW_ID_SIZE, Endpoint

PACKET_TYPE: Final = 0x11
_PACKET_BYTE: Final = bytes((PACKET_TYPE,))
_ENDPOINT: Final = struct.Struct('!4sH')
_FABRIC: Final = struct.Struct('!4sH4sH')
FABRIC_HEADER_SIZE: Final = _FABRIC.size
CALLER_PACKET_HEADER_SIZE: Final = 1 + FLOW_ID_SIZE
UPSTREAM_PACKET_HEADER_SIZE: Final = CALLER_PACKET_HEADER_SIZE + _ENDPOINT.size


class FabricHeader(NamedTuple):
    """Addresses that the fabric puts in front of a caller's datagram."""

    caller: Endpoint
    service: Endpoint


def pack_endpoint(endpoint: Endpoint) -> bytes:
    """Return the 6-byte form of an endpoint."""
    return _ENDPOINT.pack(socket.inet_aton(endpoint.ip), endpoint.port)


def unpack_endpoint(packed: bytes) -> Endpoint:
    """Return the endpoint of a 6-byte form."""
    ip, port = _ENDPOINT.unpack(packed)
    return Endpoint(socket.inet_ntoa(ip), port)


def pack_fabric_header(header: FabricHeader) -> bytes:
    """Return the 12-byte header of the fabric."""
    return pack_endpoint(header.caller) + pack_endpoint(header.service)


def unpack_fabric_header(datagram: bytes) -> FabricHeader:
    """Return the addresses in front of a datagram from the fabric.

    Raises DecodeError with kind MALFORMED if the datagram is too short.
    """
    if len(datagram) <= FABRIC_HEADER_SIZE:
        raise DecodeError('no fabric header', ErrorKind.MALFORMED)
    caller_ip, caller_port, service_ip, service_port = _FABRIC.unpack_from(datagram)
    return FabricHeader(
        Endpoint(socket.inet_ntoa(caller_ip), caller_port),
        Endpoint(socket.inet_ntoa(service_ip), service_port),
    )


def caller_packet(flow_id: bytes, payload: bytes) -> bytes:
    """Return a packet as it travels between caller and host."""
    return _PACKET_BYTE + flow_id + payload


def upstream_packet(flow_id: bytes, packed_caller: bytes, payload: bytes) -> bytes:
    """Return a packet as it travels between host and upstream."""
    return _PACKET_BYTE + flow_id + packed_caller + payload
