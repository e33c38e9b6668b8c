"""Enumeration of all kinds of errors."""

from enum import IntEnum, unique


@unique
class ErrorKind(IntEnum):
    """Why a message or work was refused, lost or broken.

    Values are part of the protocol and names are metric labels, so neither may
    change. ``ANSWERS`` explains each kind.
    """

    MALFORMED = 1
    UNSUPPORTED_VERSION = 2
    OVERSIZED = 3
    BAD_TAG = 4
    UNKNOWN_SERVICE = 5
    UNKNOWN_KIND = 6
    UNKNOWN_FLOW = 7
    NOT_READY = 8
    NO_UPSTREAM = 9
    FLOW_LIMIT = 10
    QUEUE_FULL = 11
    PUSHED_BACK = 12
    DEADLINE_PASSED = 13
    UPSTREAM_REFUSED = 14
    OWNER_LEAVING = 15
    CANCELLED = 16
    OWNER_LOST = 17
    UPSTREAM_LOST = 18
    UPSTREAM_REPLACED = 19
    NO_ANSWER = 20
    RECORD_EXPIRED = 21
    CONFLICT = 22
    INVALID_CONFIGURATION = 23
    CONFIGURATION_REGRESSED = 24
    PLATFORM_UNAVAILABLE = 25
    CHANGE_UNKNOWN = 26
    BAD_STATEMENT = 27
    INVALID_SETTINGS = 28
    NOT_FOUND = 29
    RESOURCE_LIMIT = 30
