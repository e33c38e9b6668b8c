"""Table of the answer that is given for each kind of error."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from lycheedeal.errors._kinds import ErrorKind


@unique
class Verdict(Enum):
    """What an error says about the work it concerns.

    NOT_RUN means that the work was not started, so that it can be submitted
    again; UNKNOWN that it may have run; BROKEN that a flow cannot continue; REFUSED
    that a message, statement or setting was not accepted.
    """

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Answer for one kind of error.

    ``retry_after_ms`` is the mean delay before a caller should try again, in
    milliseconds; senders add jitter of 50% either way, so that callers do not
    return all at once. ``exit_code`` is the exit status of ``lycheectl``.
    """

    verdict: Verdict
    retry_after_ms: int
    exit_code: int
    text: str


def _not_run(retry_after_ms: int, text: str) -> ErrorAnswer:
    return ErrorAnswer(Verdict.NOT_RUN, retry_after_ms, 1, text)


def _unknown(text: str, exit_code: int = 4) -> ErrorAnswer:
    return ErrorAnswer(Verdict.UNKNOWN, 0, exit_code, text)


def _broken(text: str) -> ErrorAnswer:
    return ErrorAnswer(Verdict.BROKEN, 0, 1, text)


def _refused(exit_code: int, text: str) -> ErrorAnswer:
    return ErrorAnswer(Verdict.REFUSED, 0, exit_code, text)


ANSWERS: Final[Mapping[ErrorKind, ErrorAnswer]] = MappingProxyType(
    {
        ErrorKind.MALFORMED: _refused(2, 'malformed message'),
        ErrorKind.UNSUPPORTED_VERSION: _refused(2, 'unsupported version'),
        ErrorKind.OVERSIZED: _refused(2, 'message too large'),
        ErrorKind.BAD_TAG: _refused(1, 'flow id failed authentication'),
        ErrorKind.UNKNOWN_SERVICE: _not_run(1000, 'no such service'),
        ErrorKind.UNKNOWN_KIND: _not_run(1000, 'no such kind of work'),
        ErrorKind.UNKNOWN_FLOW: _broken('flow is not known'),
        ErrorKind.NOT_READY: _not_run(500, 'host has no configuration yet'),
        ErrorKind.NO_UPSTREAM: _not_run(1000, 'no upstream is ready'),
        ErrorKind.FLOW_LIMIT: _not_run(2000, 'upstreams hold all the flows they can'),
        ErrorKind.QUEUE_FULL: _not_run(2000, 'queue is full'),
        ErrorKind.PUSHED_BACK: _not_run(2000, 'more urgent work comes first'),
        ErrorKind.DEADLINE_PASSED: _not_run(0, 'deadline passed before the start'),
        ErrorKind.UPSTREAM_REFUSED: _not_run(1000, 'upstream refused before the start'),
        ErrorKind.OWNER_LEAVING: _not_run(100, 'host is stopping'),
        ErrorKind.CANCELLED: _not_run(0, 'cancelled before the start'),
        ErrorKind.OWNER_LOST: _unknown('host that owned the request is gone'),
        ErrorKind.UPSTREAM_LOST: _unknown('upstream is gone'),
        ErrorKind.UPSTREAM_REPLACED: _broken('upstream was replaced'),
        ErrorKind.NO_ANSWER: _unknown('no answer before the deadline'),
        ErrorKind.RECORD_EXPIRED: _unknown('record of the request has expired'),
        ErrorKind.CONFLICT: _refused(3, 'another change came first'),
        ErrorKind.INVALID_CONFIGURATION: _refused(1, 'configuration is invalid'),
        ErrorKind.CONFIGURATION_REGRESSED: _refused(
            1,
            'stored configuration is older than the one in force',
        ),
        ErrorKind.PLATFORM_UNAVAILABLE: _refused(5, 'platform is not reachable'),
        ErrorKind.CHANGE_UNKNOWN: _unknown('outcome of the change is unknown'),
        ErrorKind.BAD_STATEMENT: _refused(2, 'statement not understood'),
        ErrorKind.INVALID_SETTINGS: _refused(2, 'settings are invalid'),
        ErrorKind.NOT_FOUND: _refused(1, 'no such object'),
        ErrorKind.RESOURCE_LIMIT: _refused(1, 'a resource limit was reached'),
    },
)


def answer_for(kind: ErrorKind) -> ErrorAnswer:
    """Return the answer for an error kind; the table covers every kind."""
    return ANSWERS[kind]
