"""Command of ``lycheectl``: sends statements, explains flows and placements."""

import asyncio
import sys
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from lycheedeal.cli import _options as shared_options
from lycheedeal.cli._client import Answered, Rejected
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._output import (
    OutputForm,
    format_cell,
    format_time,
    json_lines,
    object_lines,
    table_lines,
    write_lines,
)
from lycheedeal.cli._statement import Outcome, send_statement
from lycheedeal.cli._where import ask, parse_question, placement_lines
from lycheedeal.exceptions import UsageError
from lycheedeal.explaining import explain, format_explanation, parse_query

_HELP: Final = """\
Statements:

  show services | show service NAME | show upstreams [of NAME]
  show flows [of NAME] | show hosts | show config
  show refusals [since DURATION]                     DURATION as in 30s, 5m, 1h

  create service NAME at IP:PORT [spill never|when-down|balanced]
  create kind NAME of SERVICE priority N [floor P%] [idempotent] [long]
  create upstream NAME of SERVICE at IP:PORT in ZONE [slots N] [connections N]
  drain upstream NAME of SERVICE | undrain upstream NAME of SERVICE
  delete service NAME | delete kind NAME of SERVICE
  delete upstream NAME of SERVICE
  restore configuration of SERVICE

  explain flow IP:PORT [--log FILE]
  explain request IP:PORT at UNIX-SECONDS [--log FILE]

  where ROUTE --host http://IP:PORT [--caller IP:PORT] [--json]

Priority 0 is the most urgent. The floor is the share of slots that a kind keeps
while other kinds are overloaded. "dry run" before a change validates it and
shows what it would affect, without making it.

Queries about hosts, config, flows, upstreams and refusals are sent to up to 16
hosts concurrently, and the rows of all are shown; hosts that did not answer are
listed. Other statements are sent to the first host, and to the next ones if it
does not answer. A change has one change id, so it is made at most once however
often it is sent.

"explain" contacts no host: it reads log lines of lychee-relay, of one or several
hosts, and shows the decisions about a caller's flow and the related events.

"where" asks one lychee-relay, at its metrics address, where an opening of a route
would go now and why; nothing is sent to an upstream. ROUTE is the name of the
route or its IP:PORT. With --caller, the service of a route with several is the one
that this caller gets. The daemon of our own protocol, lycheedeald, cannot be asked.

Examples:

  lycheectl --host 10.0.0.1:9002,10.0.0.2:9002 show config
  lycheectl dry run drain upstream api-3 of bitacora-api
  lycheectl where r-api --host http://10.0.0.1:9109 --caller 100.64.0.7:40001

Exit codes: 0 done, 1 refused or nothing found, 2 usage, 3 conflict with another
change, 4 unknown whether the change was made, 5 no host reachable.
"""


class CtlCommand(Command):
    """Sends a statement to hosts, or explains a flow, and shows the answer."""

    help = _HELP
    arguments: ClassVar[list[Argument]] = [
        argument('statement', 'words of one statement', multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        *shared_options.host_options('15'),
        option(
            'log', None, 'file with log lines for "explain"; - is standard input', False
        ),
        option('caller', None, 'IP:PORT of the caller for "where"', False),
        option('json', None, 'short for --output json'),
    ]

    def handle(self) -> int:
        """Run the command and return the exit code."""
        match self.argument('statement'):
            case ['explain', *words]:
                return self._explain(words)
            case ['where', *words]:
                return self._ask_where(words)
            case _:
                return self._send()

    def _explain(self, words: list[str]) -> int:
        path = self.option('log')
        try:
            query = parse_query(words)
            with _open_log(path) as texts:
                explanation = explain(texts, query)
        except (UsageError, OSError) as error:
            self.line_error(f'lycheectl: {error}')
            return ExitCode.USAGE
        write_lines(self.io, format_explanation(explanation))
        return ExitCode.DONE if explanation.flow else ExitCode.REFUSED

    def _ask_where(self, words: list[str]) -> int:
        try:
            form = self._parse_form()
            question = parse_question(words, self.option('host'), self.option('caller'))
            timeout = shared_options.parse_timeout(self.option('timeout'))
        except UsageError as error:
            self.line_error(f'lycheectl: {error}')
            return ExitCode.USAGE
        result = asyncio.run(ask(question, timeout))
        match result:
            case Answered(document=document):
                lines = json_lines if form is OutputForm.JSON else placement_lines
                write_lines(self.io, lines(document))
                return ExitCode.DONE
            case Rejected():
                exit_code = ExitCode.REFUSED
            case _:
                exit_code = ExitCode.UNREACHABLE
        reason = format_cell(result.reason)
        self.io.write_error_line(f'lycheectl: {result.host}: {reason}', type=Type.RAW)
        return exit_code

    def _parse_form(self) -> OutputForm:
        form = shared_options.parse_form(self.option('output'))
        return OutputForm.JSON if self.option('json') else form

    def _send(self) -> int:
        try:
            form = self._parse_form()
            call = send_statement(
                shared_options.parse_hosts(self.option('host')),
                ' '.join(self.argument('statement')),
                shared_options.parse_timeout(self.option('timeout')),
            )
        except UsageError as error:
            self.line_error(f'lycheectl: {error}')
            return ExitCode.USAGE
        try:
            outcome = asyncio.run(call)
        except KeyboardInterrupt:
            self.line_error(
                'lycheectl: interrupted before the answer; the outcome is unknown'
            )
            return ExitCode.UNKNOWN
        lines = json_lines if form is OutputForm.JSON else text_lines
        write_lines(self.io, lines(_document(outcome)))
        return outcome.exit_code


def _open_log(path: str | None) -> AbstractContextManager[Iterable[str]]:
    if path is None or path == '-':
        return nullcontext(sys.stdin)
    return Path(path).open(encoding='utf-8', errors='replace')


def text_lines(document: dict[str, Any]) -> Iterator[str]:
    """Yield an answer as text lines.

    The table or the fields come first, then the hosts and times they are from.
    """
    content = dict(document)
    content.pop('exit_code', None)
    rows = content.pop('rows', None)
    answers = content.pop('answers', ())
    not_answered = content.pop('not_answered', ())
    as_of = content.pop('as_of', None)
    if rows or answers:
        yield from table_lines(rows or ())
    yield from object_lines(content.pop('object', {}))
    yield from object_lines(content)
    if as_of is not None:
        yield f'as of {format_time(as_of)}'
    for answer in answers:
        age = answer['age_seconds']
        yield f'{answer["host"]}: as of {format_time(answer["as_of"])}, {age} s ago'
    for entry in not_answered:
        yield f'{entry["address"]}: did not answer: {entry["reason"]}'


def _document(outcome: Outcome) -> dict[str, Any]:
    return {'exit_code': int(outcome.exit_code), **outcome.content}
