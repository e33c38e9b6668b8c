"""The command behind ``lychee-burn``."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from lycheedeal.cli import _hosts as hosts
from lycheedeal.cli._client import AdminClient, Answered, Attempt, Lost
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._merge import unanswered
from lycheedeal.cli._output import (
    OutputForm,
    json_lines,
    table_lines,
    write_lines,
)
from lycheedeal.exceptions import UsageError
from lycheedeal.model import Endpoint
from lycheedeal.telemetry import burn_rate

_HELP: Final = """\
Adds up the service-level counts of the given hosts. A burn of 1 uses up the
error budget exactly; 14 over an hour uses up two percent of a 30-day budget.
Requests that were answered and flows that were opened are good; requests not
answered because of the system and broken flows are bad. What callers cancelled
does not count.

Exit codes: 0 done, 2 usage, 5 no host reachable. Hosts that did not answer are
listed, and their counts are missing from the sums.
"""

_FIELDS: Final = frozenset(('host', 'objective', 'rows'))

_Key = tuple[str, str, str]


class BurnCommand(Command):
    """Collects burn rates and shows a table."""

    help = _HELP
    options: ClassVar[list[Option]] = hosts.host_options('5')

    def handle(self) -> int:
        """Return the exit code."""
        try:
            form = hosts.parse_form(self.option('output'))
            collecting = _collect(
                hosts.parse_hosts(self.option('host')),
                hosts.parse_timeout(self.option('timeout')),
            )
        except UsageError as error:
            self.line_error(f'lychee-burn: {error}')
            return ExitCode.USAGE
        attempts = asyncio.run(collecting)
        report = add_up(attempts)
        lines = json_lines if form is OutputForm.JSON else _text_lines
        write_lines(self.io, lines(report))
        return ExitCode.DONE if report['hosts'] else ExitCode.UNREACHABLE


def add_up(attempts: Sequence[Attempt]) -> dict[str, Any]:
    """Return the sums of all answers, by service, kind and window."""
    answers = [one.document for one in attempts if isinstance(one, Answered)]
    # Hosts may differ while an objective is being changed; the strictest counts.
    objective = max((answer['objective'] for answer in answers), default=0)
    good: Counter[_Key] = Counter()
    bad: Counter[_Key] = Counter()
    for row in _all_rows(answers):
        key = (row['service'], row['kind'], row['window'])
        good[key] += row['good']
        bad[key] += row['bad']
    return {
        'objective': objective,
        'hosts': [answer['host'] for answer in answers],
        'not_answered': list(unanswered(attempts)),
        'rows': [
            {
                'service': key[0],
                'kind': key[1],
                'window': key[2],
                'good': good[key],
                'bad': bad[key],
                'burn': burn_rate(good[key], bad[key], objective),
            }
            for key in good
        ],
    }


async def _collect(
    addresses: Sequence[Endpoint],
    timeout: float,
) -> Sequence[Attempt]:
    async with AdminClient(timeout) as client:
        return [_checked(one) for one in await client.burn_all(addresses)]


def _checked(attempt: Attempt) -> Attempt:
    if isinstance(attempt, Answered) and not _FIELDS <= attempt.document.keys():
        return Lost(attempt.host, 'answer is not a burn report')
    return attempt


def _all_rows(answers: Iterable[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for answer in answers:
        yield from answer['rows']


def _text_lines(report: dict[str, Any]) -> Iterator[str]:
    yield from table_lines(report['rows'])
    yield f'objective {report["objective"]}, {len(report["hosts"])} hosts answered'
    for missing in report['not_answered']:
        yield f'{missing["address"]}: did not answer: {missing["reason"]}'
