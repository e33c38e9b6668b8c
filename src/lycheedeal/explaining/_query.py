"""Questions about flows and requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from lycheedeal.exceptions import UsageError

# Of a request whose time is known, in seconds; longer than any time budget of
# the platform's routes.
_REQUEST_WINDOW_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class FlowQuery:
    """All decisions about the flows of a caller's address and port."""

    caller: str


@dataclass(frozen=True, slots=True)
class RequestQuery:
    """Decisions about a flow around one request, at Unix seconds."""

    caller: str
    time: float


Query = FlowQuery | RequestQuery


def parse_query(words: Sequence[str]) -> Query:
    """Return the question of a command line; raises UsageError."""
    match words:
        case ['flow', caller]:
            return FlowQuery(_parse_caller(caller))
        case ['request', caller, 'at', time]:
            return RequestQuery(_parse_caller(caller), _parse_time(time))
        case _:
            raise UsageError(
                'expected "explain flow IP:PORT" or '
                '"explain request IP:PORT at UNIX-SECONDS"',
            )


def is_in_range(query: Query, time: float) -> bool:
    """Tell whether a decision at a time belongs to the answer."""
    match query:
        case FlowQuery():
            return True
        case RequestQuery(time=requested_at):
            return (
                requested_at - _REQUEST_WINDOW_SECONDS
                <= time
                <= requested_at + _REQUEST_WINDOW_SECONDS
            )


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
