"""Sends one statement to the right hosts."""

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final

from lycheedeal.cli._client import (
    AdminClient,
    Answered,
    AnswerLost,
    CallResult,
    NotSent,
    Rejected,
)
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._merge import describe_unanswered, merge_answers
from lycheedeal.errors import ErrorKind
from lycheedeal.model import ChangeId, Endpoint

# A query asks at most this many hosts, whatever the size of the fleet.
_MAX_HOSTS: Final = 16
_NOT_ASKED_REASON: Final = (
    f'not asked, since a query goes to {_MAX_HOSTS} hosts at most'
)
_MERGED_QUERIES: Final = frozenset(
    ('hosts', 'config', 'flows', 'upstreams', 'refusals'),
)
# Another host may do better; nothing says that the change is invalid.
_RETRYABLE_ERRORS: Final = frozenset(
    (
        ErrorKind.CHANGE_UNKNOWN.name,
        ErrorKind.PLATFORM_UNAVAILABLE.name,
        ErrorKind.RESOURCE_LIMIT.name,
        ErrorKind.NOT_READY.name,
    ),
)


@unique
class StatementClass(Enum):
    """Which hosts a statement goes to, and what a lost answer means."""

    MERGED_QUERY = 'merged query'
    QUERY = 'query'
    CHANGE = 'change'


@dataclass(frozen=True, slots=True)
class Outcome:
    """Exit code and content to show."""

    exit_code: int
    content: dict[str, Any]


def classify(text: str) -> StatementClass:
    """Return the class of a statement; its syntax is left to the hosts."""
    match text.split():
        case ['show', subject, *_] if subject in _MERGED_QUERIES:
            return StatementClass.MERGED_QUERY
        case ['show', *_] | ['dry', *_]:
            return StatementClass.QUERY
    return StatementClass.CHANGE


async def send_statement(
    hosts: Sequence[Endpoint],
    text: str,
    timeout: float,
) -> Outcome:
    """Send a statement and return what came of it."""
    async with AdminClient(timeout) as client:
        match classify(text):
            case StatementClass.MERGED_QUERY:
                results = await client.post_statement_to_all(hosts[:_MAX_HOSTS], text)
                not_asked = [
                    NotSent(host, _NOT_ASKED_REASON) for host in hosts[_MAX_HOSTS:]
                ]
                return Outcome(*merge_answers([*results, *not_asked], time.time()))
            case StatementClass.QUERY:
                return await _send_in_turn(client, hosts, text, is_change=False)
            case StatementClass.CHANGE:
                return await _send_in_turn(client, hosts, text, is_change=True)


async def _send_in_turn(
    client: AdminClient,
    hosts: Sequence[Endpoint],
    text: str,
    is_change: bool,
) -> Outcome:
    """Try one host after the other, with one change id.

    The change id makes a repeated change count once, so that the next host
    may be tried even if the answer of the last one was lost.
    """
    change_id = ChangeId(secrets.token_hex(16))
    results: list[CallResult] = []
    for host in hosts[:_MAX_HOSTS]:
        result = await client.post_statement(host, text, change_id)
        results.append(result)
        if _is_final(result):
            return _to_outcome(result, results[:-1])
    if is_change and any(map(_may_have_taken_effect, results)):
        return _unknown_outcome(change_id, results)
    return _to_outcome(results[-1], results[:-1])


def _is_final(result: CallResult) -> bool:
    match result:
        case Answered(_, document):
            return _error_name(document) not in _RETRYABLE_ERRORS
        case Rejected():
            return True
    return False


def _may_have_taken_effect(result: CallResult) -> bool:
    """Tell whether a change may have been made without our knowledge."""
    match result:
        case Answered(_, document):
            return _error_name(document) == ErrorKind.CHANGE_UNKNOWN.name
        case AnswerLost():
            return True
    return False


def _to_outcome(result: CallResult, earlier: Sequence[CallResult]) -> Outcome:
    not_answered = list(describe_unanswered(earlier))
    match result:
        case Answered(_, document):
            exit_code = int(document.get('exit_code', ExitCode.UNKNOWN))
            content = dict(document.get('content') or {})
        case Rejected(_, reason):
            exit_code = ExitCode.USAGE
            content = {'error': 'rejected', 'detail': reason}
        case _:
            exit_code = ExitCode.UNREACHABLE
            content = {'error': 'not reachable', 'detail': 'no host answered'}
            not_answered.extend(describe_unanswered((result,)))
    if not_answered:
        content['not_answered'] = not_answered
    return Outcome(exit_code, content)


def _unknown_outcome(change_id: ChangeId, results: Sequence[CallResult]) -> Outcome:
    content = {
        'error': ErrorKind.CHANGE_UNKNOWN.name,
        'detail': 'the change may have been made; query before you repeat it',
        'change_id': change_id,
        'not_answered': list(describe_unanswered(results)),
    }
    return Outcome(ExitCode.UNKNOWN, content)


def _error_name(document: dict[str, Any]) -> str:
    content = document.get('content')
    return str(content.get('error', '')) if isinstance(content, dict) else ''
