"""Enumerations of states and rules."""

from enum import Enum, IntEnum, unique


@unique
class FlowClass(IntEnum):
    """What a flow carries; the value is part of the flow id."""

    LONG = 1
    REQUEST = 2


@unique
class UpstreamState(Enum):
    """State of an upstream as one host sees it."""

    UNKNOWN = 'unknown'
    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    EJECTED = 'ejected'
    GONE = 'gone'


@unique
class SpillRule(Enum):
    """When a service may use upstreams of other availability zones.

    BALANCED sends a zone the share of new work that its share of slots is.
    """

    NEVER = 'never'
    WHEN_DOWN = 'when-down'
    BALANCED = 'balanced'
