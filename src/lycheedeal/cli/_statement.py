"""Chooses the hosts for a statement and sends it to them."""

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

# Bounds the calls of one statement, whatever the size of the fleet.
_MAX_HOSTS: Final = 16
_NOT_ASKED_REASON: Final = f'not asked: a query is sent to {_MAX_HOSTS} hosts at most'
_MERGED_QUERIES: Final = frozenset(
    ('hosts', 'config', 'flows', 'upstreams', 'refusals'),
)
# Errors of a host rather than of the statement, so another host may succeed.
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
    """Determines the hosts that get a statement and how a lost answer counts."""

    MERGED_QUERY = 'merged query'
    QUERY = 'query'
    CHANGE = 'change'


@dataclass(frozen=True, slots=True)
class Outcome:
    """Exit code of the program and content of the answer to show."""

    exit_code: int
    content: dict[str, Any]


def classify(text: str) -> StatementClass:
    """Return the class of a statement.

    Only the first words are examined, because the hosts check the syntax.
    """
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
    """Send a statement and return its outcome; ``timeout`` is seconds for each call.

    At most 16 hosts are called: for a merged query concurrently, otherwise one
    after the other until one gives a final answer.
    """
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
    """Send to one host after the other, with the same change id.

    Hosts make a change with one id at most once, so the next host may be tried
    even if the answer of the previous one was lost.
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
    """Return whether a change may have been made although no host confirmed it."""
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
        'detail': 'the change may have been made; run a query before repeating it',
        'change_id': change_id,
        'not_answered': list(describe_unanswered(results)),
    }
    return Outcome(ExitCode.UNKNOWN, content)


def _error_name(document: dict[str, Any]) -> str:
    content = document.get('content')
    return str(content.get('error', '')) if isinstance(content, dict) else ''
