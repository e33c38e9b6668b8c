"""Command of ``lychee-burn``: burn rates of several hosts in one table."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.io.inputs.option import Option

from lycheedeal.cli import _options as shared_options
from lycheedeal.cli._client import AdminClient, Answered, AnswerLost, CallResult
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._merge import describe_unanswered
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
Sums the service-level counts of the given hosts and shows burn rates. A burn
rate of 1 uses up the error budget exactly in its period; a rate of 14 for an
hour uses up two percent of a 30-day budget. Answered requests and opened flows
are good; requests that the system failed to answer and broken flows are bad.
Work that callers cancelled does not count.

Exit codes: 0 done, 2 usage, 5 no host reachable. Hosts that did not answer are
listed, and their counts are missing from the sums.
"""

_REPORT_FIELDS: Final = frozenset(('host', 'objective', 'rows'))

_RowKey = tuple[str, str, str]


class BurnCommand(Command):
    """Sums the counts of several hosts and shows burn rates as table or JSON."""

    help = _HELP
    options: ClassVar[list[Option]] = shared_options.host_options('5')

    def handle(self) -> int:
        """Run the command and return the exit code."""
        try:
            form = shared_options.parse_form(self.option('output'))
            call = _collect(
                shared_options.parse_hosts(self.option('host')),
                shared_options.parse_timeout(self.option('timeout')),
            )
        except UsageError as error:
            self.line_error(f'lychee-burn: {error}')
            return ExitCode.USAGE
        results = asyncio.run(call)
        report = sum_reports(results)
        lines = json_lines if form is OutputForm.JSON else _text_lines
        write_lines(self.io, lines(report))
        return ExitCode.DONE if report['hosts'] else ExitCode.UNREACHABLE


def sum_reports(results: Sequence[CallResult]) -> dict[str, Any]:
    """Return the sums of all answers and the burn rate of each sum.

    Counts are summed by service, kind and window. Hosts that did not answer are
    listed with the reason.
    """
    answers = [one.document for one in results if isinstance(one, Answered)]
    # While a new objective is rolled out, hosts may report different ones; the
    # strictest is used.
    objective = max((answer['objective'] for answer in answers), default=0)
    good: Counter[_RowKey] = Counter()
    bad: Counter[_RowKey] = Counter()
    for row in _all_rows(answers):
        key = (row['service'], row['kind'], row['window'])
        good[key] += row['good']
        bad[key] += row['bad']
    return {
        'objective': objective,
        'hosts': [answer['host'] for answer in answers],
        'not_answered': list(describe_unanswered(results)),
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
) -> Sequence[CallResult]:
    async with AdminClient(timeout) as client:
        return [
            _check_report(one) for one in await client.get_all_burn_rates(addresses)
        ]


def _check_report(result: CallResult) -> CallResult:
    if isinstance(result, Answered) and not _REPORT_FIELDS <= result.document.keys():
        return AnswerLost(result.host, 'answer is not a burn report')
    return result


def _all_rows(answers: Iterable[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for answer in answers:
        yield from answer['rows']


def _text_lines(report: dict[str, Any]) -> Iterator[str]:
    yield from table_lines(report['rows'])
    yield f'objective {report["objective"]}, {len(report["hosts"])} hosts answered'
    for entry in report['not_answered']:
        yield f'{entry["address"]}: did not answer: {entry["reason"]}'
