"""Identifier types shared by all parts; importing them costs almost nothing."""

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
    """IPv4 address and port; usable as a socket address."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the usual ``ip:port`` form."""
        return f'{self.ip}:{self.port}'
