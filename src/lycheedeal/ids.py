"""Identifier types that all packages share.

The module imports only ``typing``, so a process can load it early in its start.
"""

from typing import NamedTuple, NewType

HostId = NewType('HostId', str)
Zone = NewType('Zone', str)
Region = NewType('Region', str)
ServiceName = NewType('ServiceName', str)
ServiceNumber = NewType('ServiceNumber', int)
UpstreamId = NewType('UpstreamId', str)
KindId = NewType('KindId', int)
ShardIndex = NewType('ShardIndex', int)
Generation = NewType('Generation', int)
Incarnation = NewType('Incarnation', int)
FlowId = NewType('FlowId', bytes)
RequestNumber = NewType('RequestNumber', int)
AttemptId = NewType('AttemptId', int)
ChangeId = NewType('ChangeId', str)
QueryId = NewType('QueryId', int)


class Endpoint(NamedTuple):
    """IPv4 address and port; can be passed to sockets as an address."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the text ``ip:port``."""
        return f'{self.ip}:{self.port}'
