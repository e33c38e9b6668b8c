"""Queries about flows and requests, parsed from the command line."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from lycheedeal.exceptions import UsageError

# Lines this long before and after the time of a request belong to it; longer than
# any request timeout of the platform's routes.
_REQUEST_WINDOW_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class FlowQuery:
    """Selects all decisions about flows from a caller's ``IP:PORT``."""

    caller: str


@dataclass(frozen=True, slots=True)
class RequestQuery:
    """Selects decisions about a caller's flow around a request.

    ``time`` is that of the request in Unix seconds.
    """

    caller: str
    time: float


Query = FlowQuery | RequestQuery


def parse_query(words: Sequence[str]) -> Query:
    """Return the query in the words of a command line.

    Raises UsageError if the words are not a valid query.
    """
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
    """Return whether a decision at ``time``, in Unix seconds, matches the query."""
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
        raise UsageError(f'expected the IP:PORT of a caller, found {text!r}')
    return text


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise UsageError(f'expected a time in Unix seconds, found {text!r}') from error
