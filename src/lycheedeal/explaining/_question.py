"""Questions about flows and requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from lycheedeal.exceptions import UsageError

# Of a request whose time is known, in seconds; longer than any time budget of
# the platform's routes.
_REQUEST_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class FlowQuestion:
    """All decisions about the flows of a caller's address and port."""

    caller: str


@dataclass(frozen=True, slots=True)
class RequestQuestion:
    """Decisions about a flow around one request, at Unix seconds."""

    caller: str
    at: float


Question = FlowQuestion | RequestQuestion


def parse_question(words: Sequence[str]) -> Question:
    """Return the question of a command line; raises UsageError."""
    match words:
        case ['flow', caller]:
            return FlowQuestion(_parse_caller(caller))
        case ['request', caller, 'at', at]:
            return RequestQuestion(_parse_caller(caller), _parse_time(at))
        case _:
            raise UsageError(
                'expected "explain flow IP:PORT" or '
                '"explain request IP:PORT at UNIX-SECONDS"',
            )


def covers(question: Question, at: float) -> bool:
    """Tell whether a decision at a time belongs to the answer."""
    match question:
        case FlowQuestion():
            return True
        case RequestQuestion(at=asked):
            return asked - _REQUEST_SECONDS <= at <= asked + _REQUEST_SECONDS


def _parse_caller(text: str) -> str:
    ip, _, port = text.rpartition(':')
    if ip.count('.') != 3 or not port.isdigit():
        raise UsageError(f'{text!r} is not the IP:PORT of a caller')
    return text


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise UsageError(f'{text!r} is not a time in Unix seconds') from error
