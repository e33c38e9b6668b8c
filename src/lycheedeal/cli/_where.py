"""Asks a relay where an opening would go, and formats the answer."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

from lycheedeal.cli._client import AdminClient, Answered, AnswerLost, CallResult
from lycheedeal.cli._options import parse_hosts
from lycheedeal.cli._output import format_cell, object_lines, table_lines
from lycheedeal.exceptions import UsageError
from lycheedeal.model import Endpoint
from lycheedeal.settings import parse_endpoints

_SCHEME: Final = 'http://'
_FIELDS: Final = frozenset(('host', 'route', 'services', 'contents', 'loads'))
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Question:
    """An opening, and the relay to ask about it; ``caller`` is None for any."""

    host: Endpoint
    route: str
    caller: Endpoint | None


def parse_question(
    words: Sequence[str], host: str | None, caller: str | None
) -> Question:
    """Return the question of a command line; raises UsageError if it is invalid."""
    match words:
        case [route] if route:
            return Question(_parse_host(host), route, _parse_caller(caller))
        case _:
            raise UsageError(
                'expected "where ROUTE", with the name of a route or its IP:PORT'
            )


async def ask(question: Question, timeout: float) -> CallResult:
    """Return the answer of the relay; ``timeout`` is in seconds."""
    fields = {'route': question.route}
    if question.caller is not None:
        fields['caller'] = str(question.caller)
    async with AdminClient(timeout) as client:
        result = await client.get_placement(question.host, fields)
    if isinstance(result, Answered) and not _FIELDS <= result.document.keys():
        return AnswerLost(result.host, 'answer does not explain a placement')
    return result


def placement_lines(document: dict[str, Any]) -> Iterator[str]:
    """Yield an answer as text lines: the services first, then the host's content."""
    head = ('host', 'zone', 'at', 'route', 'caller', 'unanswered')
    yield from object_lines({name: document.get(name) for name in head})
    for service in document['services']:
        yield ''
        yield from _service_lines(service)
    yield ''
    yield from table_lines(document['contents'])
    loads = document['loads']
    if loads['age_s'] is None:
        yield 'loads: no report yet'
        return
    use = 'in use' if loads['in_use'] else 'too old to be used'
    zones = format_cell(loads['zones'])
    yield f'loads: reported {loads["age_s"]} s ago by {zones}; {use}'


def _service_lines(service: dict[str, Any]) -> Iterator[str]:
    name = format_cell(service['service'])
    share = format_cell(service['share'] * _PERCENT)
    refusal = service['refusal']
    outcome = 'would be forwarded'
    if refusal is not None:
        outcome = f'would be reset: {format_cell(refusal)}'
    yield f'service {name}, share {share}%: {outcome}'
    yield from table_lines(service['upstreams'])


def _parse_host(text: str | None) -> Endpoint:
    # The environment names admin addresses of another program.
    if not text:
        raise UsageError('--host is required: the metrics address of one lychee-relay')
    hosts = parse_hosts(text.removeprefix(_SCHEME).removesuffix('/'))
    if len(hosts) > 1:
        raise UsageError('--host: "where" asks one host, found several')
    return hosts[0]


def _parse_caller(text: str | None) -> Endpoint | None:
    if text is None:
        return None
    try:
        callers = parse_endpoints(text)
    except ValueError as error:
        raise UsageError(f'--caller: {error}') from error
    if len(callers) != 1:
        raise UsageError(f'--caller: expected one IP:PORT, found {text!r}')
    return callers[0]
