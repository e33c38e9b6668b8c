"""Codec of the platform's packets: a little-endian header of 32 bytes, then data."""

import struct
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError

# Sequence position, acknowledged position, keyed checksum, data length in bytes,
# route address, caller port, caller address, route port, flags, padding, token.
_HEADER: Final = struct.Struct('<IIIHIHIHBBI')
HEADER_BYTES: Final = _HEADER.size
# A packet carries at most 1200 bytes of data.
MAX_PACKET_BYTES: Final = HEADER_BYTES + 1200
# Offset of the token in the header, in bytes.
_TOKEN_OFFSET: Final = 28
_TOKEN: Final = struct.Struct('<I')
# Numeric id of the upstream in front of a forwarded packet, big-endian.
_ID_PREFIX: Final = struct.Struct('>Q')

# Bits of the flags field.
_SYN: Final = 16
_ACK: Final = 2
_FIN: Final = 32
_RST: Final = 4
# Width of the port below the address in one number.
_PORT_BITS: Final = 16


def decode_packet(raw: bytes) -> relay.Packet:
    """Return a decoded packet of a caller.

    Raises DecodeError if it is shorter than its header or its length differs
    from the one in the header.
    """
    if len(raw) < HEADER_BYTES:
        raise DecodeError('packet is shorter than its header of 32 bytes')
    fields = _HEADER.unpack_from(raw)
    # Position, checksum and padding concern only the caller and the upstream.
    _, acknowledged, _, length, *addresses, flags, _, token = fields
    if length != len(raw) - HEADER_BYTES:
        raise DecodeError('data length in the packet header does not match the packet')
    route_address, caller_port, caller_address, route_port = addresses
    route = route_address << _PORT_BITS | route_port
    caller = caller_address << _PORT_BITS | caller_port
    return relay.Packet(
        flow=relay.FlowKey(caller << 48 | route),
        route=relay.RouteKey(route),
        kind=_classify(flags, length),
        # An opening carries its retransmission count in this field.
        attempt=acknowledged if flags & _SYN else 0,
        token=relay.Token(token),
        acknowledged=acknowledged,
        raw=raw,
    )


def _classify(flags: int, length: int) -> relay.PacketKind:
    if flags & _SYN:
        # Only upstreams send SYN with ACK, and they answer callers directly
        # instead of through a host.
        return relay.PacketKind.FORGED if flags & _ACK else relay.PacketKind.OPENING
    if flags & _RST:
        return relay.PacketKind.RESET
    if flags & _FIN:
        return relay.PacketKind.FINISH
    return relay.PacketKind.DATA if length else relay.PacketKind.ACKNOWLEDGEMENT


def encode_forwarded(raw: bytes, token: relay.Token, numeric_id: int) -> bytes:
    """Return the datagram for an upstream.

    It is the numeric upstream id followed by the packet with its token replaced.
    """
    return b''.join(
        (
            _ID_PREFIX.pack(numeric_id),
            raw[:_TOKEN_OFFSET],
            _TOKEN.pack(token),
            raw[HEADER_BYTES:],
        ),
    )


def encode_reset(packet: relay.Packet) -> bytes:
    """Return a reset of a packet's flow, from the route's address to the caller."""
    route, caller = packet.route, packet.flow >> 48
    opening = packet.kind is relay.PacketKind.OPENING
    return _HEADER.pack(
        0 if opening else packet.acknowledged,
        0,
        0,
        0,
        caller >> _PORT_BITS,
        route & 0xFFFF,
        route >> _PORT_BITS,
        caller & 0xFFFF,
        _RST,
        0,
        0,
    )


def caller_ip(packet: relay.Packet) -> str:
    """Return the IPv4 address of the caller in dotted notation."""
    address = packet.flow >> 64
    return '.'.join(str(address >> shift & 0xFF) for shift in (24, 16, 8, 0))
