"""Encoding of messages and of the packets of established flows."""

from lycheedeal.wire._codec import MAX_DATAGRAM_BYTES, decode, encode
from lycheedeal.wire._packets import (
    CALLER_PACKET_HEADER_SIZE,
    FABRIC_HEADER_SIZE,
    PACKET_TYPE,
    UPSTREAM_PACKET_HEADER_SIZE,
    FabricHeader,
    caller_packet,
    pack_endpoint,
    pack_fabric_header,
    unpack_endpoint,
    unpack_fabric_header,
    upstream_packet,
)

__all__ = (
    'CALLER_PACKET_HEADER_SIZE',
    'FABRIC_HEADER_SIZE',
    'MAX_DATAGRAM_BYTES',
    'PACKET_TYPE',
    'UPSTREAM_PACKET_HEADER_SIZE',
    'FabricHeader',
    'caller_packet',
    'decode',
    'encode',
    'pack_endpoint',
    'pack_fabric_header',
    'unpack_endpoint',
    'unpack_fabric_header',
    'upstream_packet',
)
