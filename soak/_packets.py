"""Codec of the platform's packets as used by callers and targets.

It shares no code with lycheedeal.platform, whose codec it is checked against.
"""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

_HEADER = struct.Struct('<IIIHIHIHBBI')
SYN, ACK, FIN, RST = 16, 2, 32, 4
# Stands for the checksum that only callers and targets can compute; a reset by a
# relay has 0 instead.
KEYED_SUM = 0x5EA1


@dataclass(frozen=True, slots=True)
class End:
    """Address and port of one end of a flow.

    Its representation is hashed to choose relays, so a changed name of the
    class or of a field changes the course of a seed.
    """

    ip: str
    port: int


@dataclass(slots=True)
class Segment:
    """A decoded packet; positions count bytes of the flow."""

    source: End
    destination: End
    flags: int
    position: int = 0
    acknowledged: int = 0
    token: int = 0
    keyed_sum: int = KEYED_SUM
    content: bytes = b''

    def encode(self) -> bytes:
        """Return the packet as bytes."""
        head = _HEADER.pack(
            self.position,
            self.acknowledged,
            self.keyed_sum,
            len(self.content),
            int(IPv4Address(self.destination.ip)),
            self.source.port,
            int(IPv4Address(self.source.ip)),
            self.destination.port,
            self.flags,
            0,
            self.token,
        )
        return head + self.content


def decode(raw: bytes) -> Segment:
    """Return the segment in a packet; its length field is not checked."""
    fields = _HEADER.unpack_from(raw)
    position, acknowledged, keyed_sum, _, *ends, flags, _, token = fields
    destination_ip, source_port, source_ip, destination_port = ends
    return Segment(
        End(str(IPv4Address(source_ip)), source_port),
        End(str(IPv4Address(destination_ip)), destination_port),
        flags,
        position,
        acknowledged,
        token,
        keyed_sum,
        raw[_HEADER.size :],
    )
