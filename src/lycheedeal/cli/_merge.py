"""Merges the answers of several hosts to one query."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

from lycheedeal.cli._client import Answered, Attempt
from lycheedeal.cli._exit_codes import ExitCode

# Fields of an answer that the merged document shows in its own form.
_MERGED: Final = frozenset(('host', 'as_of', 'rows'))


def merge_answers(
    attempts: Sequence[Attempt],
    now: float,
) -> tuple[int, dict[str, Any]]:
    """Return exit code and merged content; ``now`` is Unix time.

    The exit code is 0 if any host gave the rows; hosts that did not answer
    are listed with the reason.
    """
    answers = [attempt for attempt in attempts if isinstance(attempt, Answered)]
    good = [answer for answer in answers if _exit_code(answer) == ExitCode.DONE]
    merged: dict[str, Any] = {
        'rows': list(_merged_rows(good)),
        'answers': [_describe(answer, now) for answer in good],
        'not_answered': list(unanswered(attempts)),
    }
    details = {str(answer.host): _details(answer) for answer in good}
    if any(details.values()):
        merged['details'] = details
    if good:
        return ExitCode.DONE, merged
    if answers:
        return _exit_code(answers[0]), _content(answers[0]) | {
            'not_answered': merged['not_answered'],
        }
    return ExitCode.UNREACHABLE, merged


def unanswered(attempts: Iterable[Attempt]) -> Iterator[dict[str, str]]:
    """Yield the hosts that gave no answer, with reasons."""
    for attempt in attempts:
        if not isinstance(attempt, Answered):
            yield {'address': str(attempt.host), 'reason': attempt.reason}


def _merged_rows(answers: Iterable[Answered]) -> Iterator[dict[str, Any]]:
    for answer in answers:
        content = _content(answer)
        for row in content.get('rows', ()):
            yield {'host': content.get('host', str(answer.host)), **row}


def _describe(answer: Answered, now: float) -> dict[str, Any]:
    content = _content(answer)
    as_of = content.get('as_of', now)
    return {
        'host': content.get('host'),
        'address': str(answer.host),
        'as_of': as_of,
        'age_seconds': round(max(now - as_of, 0), 3),
    }


def _details(answer: Answered) -> dict[str, Any]:
    return {
        key: content for key, content in _content(answer).items() if key not in _MERGED
    }


def _content(answer: Answered) -> dict[str, Any]:
    content = answer.document.get('content')
    return content if isinstance(content, dict) else {}


def _exit_code(answer: Answered) -> int:
    return int(answer.document.get('exit_code', ExitCode.UNKNOWN))
