"""Sends one statement to the right hosts."""

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final

from lycheedeal.cli._client import AdminClient, Answered, Attempt, Lost, Rejected
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._merge import merge_answers, unanswered
from lycheedeal.errors import ErrorKind
from lycheedeal.model import ChangeId, Endpoint

# A query asks at most this many hosts, whatever the size of the fleet.
_MAX_HOSTS: Final = 16
_MERGED_QUERIES: Final = frozenset(
    ('hosts', 'config', 'flows', 'upstreams', 'refusals'),
)
# Another host may do better; nothing says that the change is invalid.
_TRY_ELSEWHERE: Final = frozenset(
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
                attempts = await client.state_all(hosts[:_MAX_HOSTS], text)
                return Outcome(*merge_answers(attempts, time.time()))
            case StatementClass.QUERY:
                return await _try_in_turn(client, hosts, text, is_change=False)
            case StatementClass.CHANGE:
                return await _try_in_turn(client, hosts, text, is_change=True)


async def _try_in_turn(
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
    attempts: list[Attempt] = []
    for host in hosts[:_MAX_HOSTS]:
        attempt = await client.state(host, text, change_id)
        attempts.append(attempt)
        if _is_final(attempt):
            return _outcome(attempt, attempts[:-1])
    if is_change and any(map(_is_uncertain, attempts)):
        return _unknown(change_id, attempts)
    return _outcome(attempts[-1], attempts[:-1])


def _is_final(attempt: Attempt) -> bool:
    match attempt:
        case Answered(_, document):
            return _error(document) not in _TRY_ELSEWHERE
        case Rejected():
            return True
    return False


def _is_uncertain(attempt: Attempt) -> bool:
    """Tell whether a change may have been made without our knowledge."""
    match attempt:
        case Answered(_, document):
            return _error(document) == ErrorKind.CHANGE_UNKNOWN.name
        case Lost():
            return True
    return False


def _outcome(attempt: Attempt, earlier: Sequence[Attempt]) -> Outcome:
    not_answered = list(unanswered(earlier))
    match attempt:
        case Answered(_, document):
            exit_code = int(document.get('exit_code', ExitCode.UNKNOWN))
            content = dict(document.get('content') or {})
        case Rejected(_, reason):
            exit_code = ExitCode.USAGE
            content = {'error': 'rejected', 'detail': reason}
        case _:
            exit_code = ExitCode.UNREACHABLE
            content = {'error': 'not reachable', 'detail': 'no host answered'}
            not_answered.extend(unanswered((attempt,)))
    if not_answered:
        content['not_answered'] = not_answered
    return Outcome(exit_code, content)


def _unknown(change_id: ChangeId, attempts: Sequence[Attempt]) -> Outcome:
    content = {
        'error': ErrorKind.CHANGE_UNKNOWN.name,
        'detail': 'the change may have been made; query before you repeat it',
        'change_id': change_id,
        'not_answered': list(unanswered(attempts)),
    }
    return Outcome(ExitCode.UNKNOWN, content)


def _error(document: dict[str, Any]) -> str:
    content = document.get('content')
    return str(content.get('error', '')) if isinstance(content, dict) else ''
