"""Merges the answers of several hosts to one query into one document."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

from lycheedeal.cli._client import Answered, CallResult
from lycheedeal.cli._exit_codes import ExitCode

# Fields of an answer that the merged document contains in another form.
_MERGED_FIELDS: Final = frozenset(('host', 'as_of', 'rows'))


def merge_answers(
    results: Sequence[CallResult],
    now: float,
) -> tuple[int, dict[str, Any]]:
    """Return the exit code and the merged content.

    ``now`` is Unix time in seconds, from which the age of answers is computed.
    The exit code is 0 if any host returned rows. Hosts that did not answer are
    listed with the reason, hosts that refused the query with the error.
    """
    answers = [result for result in results if isinstance(result, Answered)]
    successful = [answer for answer in answers if _exit_code(answer) == ExitCode.DONE]
    failed = [answer for answer in answers if _exit_code(answer) != ExitCode.DONE]
    merged: dict[str, Any] = {
        'rows': list(_rows_with_host(successful)),
        'answers': [_describe_answer(answer, now) for answer in successful],
        'not_answered': list(describe_unanswered(results)),
    }
    details = {_host_name(answer): _remaining_fields(answer) for answer in successful}
    if any(details.values()):
        merged['details'] = details
    if failed:
        merged['errors'] = [_describe_error(answer) for answer in failed]
    if successful:
        return ExitCode.DONE, merged
    exit_code = _exit_code(failed[0]) if failed else ExitCode.UNREACHABLE
    return exit_code, merged


def describe_unanswered(results: Iterable[CallResult]) -> Iterator[dict[str, str]]:
    """Yield the address of each host that did not answer, with the reason."""
    for result in results:
        if not isinstance(result, Answered):
            yield {'address': str(result.host), 'reason': result.reason}


def _rows_with_host(answers: Iterable[Answered]) -> Iterator[dict[str, Any]]:
    for answer in answers:
        for row in _content(answer).get('rows', ()):
            yield {'host': _host_name(answer), **row}


def _describe_answer(answer: Answered, now: float) -> dict[str, Any]:
    content = _content(answer)
    as_of = content.get('as_of', now)
    return {
        'host': _host_name(answer),
        'address': str(answer.host),
        'as_of': as_of,
        'age_seconds': round(max(now - as_of, 0), 3),
    }


def _describe_error(answer: Answered) -> dict[str, Any]:
    content = _content(answer)
    return {
        'host': _host_name(answer),
        'error': content.get('error'),
        'detail': content.get('detail'),
    }


def _remaining_fields(answer: Answered) -> dict[str, Any]:
    return {
        key: content
        for key, content in _content(answer).items()
        if key not in _MERGED_FIELDS
    }


def _host_name(answer: Answered) -> str:
    return str(_content(answer).get('host', answer.host))


def _content(answer: Answered) -> dict[str, Any]:
    content = answer.document.get('content')
    return content if isinstance(content, dict) else {}


def _exit_code(answer: Answered) -> int:
    return int(answer.document.get('exit_code', ExitCode.UNKNOWN))
