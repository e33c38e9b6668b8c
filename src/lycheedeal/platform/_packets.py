"""The platform's packets: a header of 32 bytes, little-endian, then data."""

import struct
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError

# Position, acknowledged position, keyed sum, length of the data, route address,
# caller port, caller address, route port, flags, padding, token.
_HEADER: Final = struct.Struct('<IIIHIHIHBBI')
HEADER_BYTES: Final = _HEADER.size
MAX_PACKET_BYTES: Final = HEADER_BYTES + 1200
_TOKEN_OFFSET: Final = 28
_TOKEN: Final = struct.Struct('<I')
# Names the intended upstream, before the packet itself.
_ID_PREFIX: Final = struct.Struct('>Q')

_SYN: Final = 16
_ACK: Final = 2
_FIN: Final = 32
_RST: Final = 4
_PORT_BITS: Final = 16


def decode_packet(raw: bytes) -> relay.Packet:
    """Return a caller's packet; raises DecodeError."""
    if len(raw) < HEADER_BYTES:
        raise DecodeError('packet is shorter than its header')
    fields = _HEADER.unpack_from(raw)
    # Position, keyed sum and padding are for the two ends only.
    _, acknowledged, _, length, *addresses, flags, _, token = fields
    if length != len(raw) - HEADER_BYTES:
        raise DecodeError('length of the packet differs from its header')
    route_address, caller_port, caller_address, route_port = addresses
    route = route_address << _PORT_BITS | route_port
    caller = caller_address << _PORT_BITS | caller_port
    return relay.Packet(
        flow=relay.FlowKey(caller << 48 | route),
        route=relay.RouteKey(route),
        kind=_classify(flags, length),
        # On an opening the field counts the copies.
        attempt=acknowledged if flags & _SYN else 0,
        token=relay.Token(token),
        acknowledged=acknowledged,
        raw=raw,
    )


def _classify(flags: int, length: int) -> relay.PacketKind:
    if flags & _SYN:
        # Only upstreams send a SYN with an ACK, and never through a host.
        return relay.PacketKind.FORGED if flags & _ACK else relay.PacketKind.OPENING
    if flags & _RST:
        return relay.PacketKind.RESET
    if flags & _FIN:
        return relay.PacketKind.FINISH
    return relay.PacketKind.DATA if length else relay.PacketKind.ACKNOWLEDGEMENT


def encode_forwarded(raw: bytes, token: relay.Token, numeric_id: int) -> bytes:
    """Return the datagram for an upstream; only the token is replaced."""
    return b''.join(
        (
            _ID_PREFIX.pack(numeric_id),
            raw[:_TOKEN_OFFSET],
            _TOKEN.pack(token),
            raw[HEADER_BYTES:],
        ),
    )


def encode_reset(packet: relay.Packet) -> bytes:
    """Return a reset from the route's address to the caller's."""
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
    """Return the address of the caller as text."""
    address = packet.flow >> 64
    return '.'.join(str(address >> shift & 0xFF) for shift in (24, 16, 8, 0))
