"""Packets of the platform as its callers and targets write them."""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address

_HEADER = struct.Struct('<IIIHIHIHBBI')
SYN, ACK, FIN, RST = 16, 2, 32, 4
# What only the ends can write; a reset of the relay has 0 here.
KEYED_SUM = 0x5EA1


@dataclass(frozen=True, slots=True)
class End:
    """Address and port of one end of a flow."""

    ip: str
    port: int


@dataclass(slots=True)
class Segment:
    """A decoded packet."""

    source: End
    destination: End
    flags: int
    position: int = 0
    acknowledged: int = 0
    token: int = 0
    keyed_sum: int = KEYED_SUM
    content: bytes = b''

    def encode(self) -> bytes:
        """Return the packet."""
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
    """Return the segment of a packet."""
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
