"""Enumerations of flow classes, upstream states and spill rules."""

from enum import Enum, IntEnum, unique


@unique
class FlowClass(IntEnum):
    """What a flow carries; the value is part of the flow id.

    A LONG flow carries packets to one upstream, a REQUEST flow requests.
    """

    LONG = 1
    REQUEST = 2


@unique
class UpstreamState(Enum):
    """State of an upstream as one host sees it.

    STARTING means that its share of the load is still rising after a start,
    EJECTED that it is avoided for a time because of failures, GONE that it no
    longer answers or serves another service.
    """

    UNKNOWN = 'unknown'
    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    EJECTED = 'ejected'
    GONE = 'gone'


@unique
class SpillRule(Enum):
    """When a service may use upstreams of other availability zones.

    With BALANCED, each zone gets a share of new requests that equals its share
    of the service's slots.
    """

    NEVER = 'never'
    WHEN_DOWN = 'when-down'
    BALANCED = 'balanced'
