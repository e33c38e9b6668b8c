"""Encoding of messages and of packets of established flows."""

from lycheedeal.wire._codec import MAX_DATAGRAM, decode, encode
from lycheedeal.wire._packets import (
    CALLER_PACKET_HEADER,
    FABRIC_HEADER_SIZE,
    PACKET,
    UPSTREAM_PACKET_HEADER,
    FabricHeader,
    caller_packet,
    pack_endpoint,
    pack_fabric_header,
    unpack_endpoint,
    unpack_fabric_header,
    upstream_packet,
)

__all__ = (
    'CALLER_PACKET_HEADER',
    'FABRIC_HEADER_SIZE',
    'MAX_DATAGRAM',
    'PACKET',
    'UPSTREAM_PACKET_HEADER',
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
