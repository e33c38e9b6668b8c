"""Tests of the admin server, the programs that call it and the log output."""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from io import StringIO
from itertools import repeat
from typing import Any

import pytest
import uvloop
from aiohttp import ClientSession

from lycheedeal.cli._burn_command import sum_reports
from lycheedeal.cli._client import Answered
from lycheedeal.cli._ctl_command import text_lines
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._program import run_program
from lycheedeal.cli._registry import COMMANDS
from lycheedeal.cli._statement import send_statement
from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.kernel import Log, LogLevel, Observe, Reply, StatementReceived
from lycheedeal.model import Endpoint
from lycheedeal.runtime import _admin
from lycheedeal.runtime._admin import AdminServer
from lycheedeal.runtime._logs import LogSink
from lycheedeal.runtime._metrics import MetricsSink


@dataclass
class ServerHarness:
    """A running admin server, a client session and the received statements."""

    server: AdminServer
    session: ClientSession
    received: list[StatementReceived]


Body = Callable[[ServerHarness], Awaitable[None]]


async def serve(
    body: Body,
    replies: Iterator[dict[str, Any]] | None = None,
) -> list[str]:
    """Run ``body`` against a server; return the calls of its stop callback.

    The server answers statements with the given replies in turn, and with none
    once these are used up. Without ``replies`` it echoes the statement with
    exit code 3.
    """
    received: list[StatementReceived] = []
    stop_calls: list[str] = []

    def submit(event: StatementReceived) -> None:
        received.append(event)
        content: dict[str, Any] = {'exit_code': 3, 'echo': event.text}
        if replies is not None:
            content = dict(next(replies, {}))
        if content:
            exit_code = int(content.pop('exit_code'))
            server.answer(Reply(event.query_id, exit_code, content))

    metrics = MetricsSink()
    metrics.observe(Observe('statements_total', 2, (('exit_code', '0'),)))
    server = AdminServer(
        Endpoint('127.0.0.1', 0),
        submit,
        metrics,
        lambda: {'rows': []},
        lambda: stop_calls.append('stop'),
    )
    await server.start()
    try:
        async with ClientSession(f'http://{server.address}') as session:
            await body(ServerHarness(server, session, received))
    finally:
        await server.close()
    return stop_calls


def with_server(body: Body, answer: bool = True) -> list[str]:
    """Run ``body`` against a server that echoes statements, or never answers."""
    return asyncio.run(serve(body, None if answer else iter(())))


async def post(session: ClientSession, document: Any) -> tuple[int, Any]:
    """Post a statement and return the HTTP status and the answer."""
    async with session.post('/v1/statement', json=document) as response:
        return response.status, await response.json()


def test_each_endpoint_answers() -> None:
    """Guards against a statement without answer, and against unreadable pages."""

    async def body(harness: ServerHarness) -> None:
        status, answer = await post(
            harness.session, {'text': 'show hosts', 'change_id': 'c1'}
        )
        assert (status, answer) == (
            200,
            {'exit_code': 3, 'content': {'echo': 'show hosts'}},
        )
        assert harness.received[0].change_id == 'c1'
        async with harness.session.get('/metrics') as response:
            assert 'lycheedeal_statements_total{exit_code="0"} 2.0' in (
                await response.text()
            )
        async with harness.session.get('/v1/burn') as response:
            assert await response.json() == {'rows': []}
        async with harness.session.get('/healthz') as response:
            assert response.status == 200
        async with harness.session.post('/v1/stop') as response:
            assert response.status == 202

    assert with_server(body) == ['stop']


def test_invalid_bodies_are_refused_with_a_reason() -> None:
    """Guards against an internal error or a statement executed from a bad body."""

    async def body(harness: ServerHarness) -> None:
        for raw, expected in (
            (b'{', 400),
            (b'\xff', 400),
            (b'[' * 60_000, 400),
            (b'[]', 400),
            (b'{}', 400),
            (b'{"text": 1}', 400),
            (b'{"text": "show hosts", "change_id": 1}', 400),
            (b'x' * 70_000, 413),
        ):
            async with harness.session.post('/v1/statement', data=raw) as response:
                assert response.status == expected
                assert (await response.json())['reason']
        assert not harness.received

    with_server(body)


def test_waiting_statements_are_bounded_and_answered_at_close() -> None:
    """Guards against unbounded memory, and clients left waiting after a stop."""

    async def body(harness: ServerHarness) -> None:
        limit = _admin._MAX_WAITING_STATEMENTS
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(post(harness.session, {'text': 'drain'}))
                for _ in range(limit + 1)
            ]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            assert [task.result()[0] for task in done] == [503]
            assert len(harness.received) == limit
            await harness.server.close()
        answers = [task.result() for task in tasks if task not in done]
        assert {(status, answer['exit_code']) for status, answer in answers} == {
            (200, 4),
        }

    with_server(body, answer=False)


def test_server_starts_no_threads() -> None:
    """Guards against the threads that uvloop starts for name resolution."""

    async def body(harness: ServerHarness) -> None:
        assert len(os.listdir('/proc/self/task')) == before

    before = len(os.listdir('/proc/self/task'))
    uvloop.run(serve(body))


async def unused_endpoint() -> Endpoint:
    """Return an address on which nothing listens."""
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return Endpoint('127.0.0.1', port)


async def answer_losing_endpoint(stack: AsyncExitStack) -> Endpoint:
    """Return the address of a server that closes the connection without answer."""

    async def hang_up(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.close()

    server = await stack.enter_async_context(
        await asyncio.start_server(hang_up, '127.0.0.1', 0),
    )
    return Endpoint('127.0.0.1', server.sockets[0].getsockname()[1])


def test_change_is_retried_with_one_change_id() -> None:
    """Guards against a change that is made twice or wrongly reported as not made.

    Hosts that refuse the connection or lose the answer are followed by the
    next one. If an answer was lost and no host gives a final one, the outcome
    is unknown.
    """

    async def body(harness: ServerHarness) -> None:
        async with AsyncExitStack() as stack:
            answer_losing = await answer_losing_endpoint(stack)
            unused = await unused_endpoint()
            text = 'drain upstream u1 of api'
            outcome = await send_statement(
                (unused, answer_losing, harness.server.address), text, 5
            )
            assert outcome.exit_code == 3
            assert outcome.content['echo'] == text
            assert len(outcome.content['not_answered']) == 2
            assert len(harness.received) == 1
            assert harness.received[0].change_id
            outcome = await send_statement((answer_losing, unused), text, 5)
            assert outcome.exit_code == ExitCode.UNKNOWN
            assert outcome.content['change_id'] != harness.received[0].change_id
            outcome = await send_statement((unused, unused), text, 5)
            assert outcome.exit_code == ExitCode.UNREACHABLE
            outcome = await send_statement((answer_losing,), 'show services', 5)
            assert outcome.exit_code == ExitCode.UNREACHABLE

    with_server(body)


def test_change_of_unknown_outcome_is_sent_to_the_next_host() -> None:
    """Guards against a change of unknown outcome reported as "not reachable"."""

    def reply(error: ErrorKind) -> dict[str, Any]:
        return {'exit_code': answer_for(error).exit_code, 'error': error.name}

    async def outcomes(*errors: ErrorKind) -> list[int]:
        replies = [reply(error) for error in errors]

        async def body(harness: ServerHarness) -> None:
            hosts = (harness.server.address,) * len(replies)
            outcome = await send_statement(hosts, 'delete service api', 5)
            codes.append(outcome.exit_code)
            assert len({event.change_id for event in harness.received}) == 1

        codes: list[int] = []
        await serve(body, iter(replies))
        return codes

    unknown, down = ErrorKind.CHANGE_UNKNOWN, ErrorKind.PLATFORM_UNAVAILABLE
    assert asyncio.run(outcomes(unknown, down)) == [4]
    assert asyncio.run(outcomes(down, unknown)) == [4]
    assert asyncio.run(outcomes(down, down)) == [5]
    assert asyncio.run(outcomes(unknown, ErrorKind.CONFLICT)) == [3]


def test_query_merges_hosts_and_lists_those_without_answer() -> None:
    """Guards against answers that omit silent hosts or the age of the rows."""
    content = {'host': 'h1', 'as_of': 0, 'rows': [{'shard': 1}], 'heard_from': []}

    async def body(harness: ServerHarness) -> None:
        unused = await unused_endpoint()
        hosts = (harness.server.address, unused) * 10
        outcome = await send_statement(hosts, 'show config', 5)
        assert outcome.exit_code == ExitCode.DONE
        assert len(harness.received) == 8
        assert outcome.content['rows'] == [{'host': 'h1', 'shard': 1}] * 8
        assert len(outcome.content['not_answered']) == 12
        assert outcome.content['answers'][0]['age_seconds'] > 0
        assert list(text_lines(outcome.content))[:2] == ['HOST  SHARD', 'h1    1']

    asyncio.run(serve(body, repeat({'exit_code': 0, **content})))


def test_burn_rate_is_computed_from_the_sums_of_all_hosts() -> None:
    """Guards against an average of burn rates instead of one over the sums."""

    def answer(good: int, bad: int) -> Answered:
        names = {'service': 'api', 'kind': 'feed', 'window': '5m'}
        row = {**names, 'good': good, 'bad': bad}
        document = {'host': 'h', 'objective': 0.9, 'rows': [row]}
        return Answered(Endpoint('127.0.0.1', 1), document)

    report = sum_reports([answer(10, 0), answer(0, 10), answer(20, 0)])
    (row,) = report['rows']
    assert (row['good'], row['bad']) == (30, 10)
    assert round(row['burn'], 6) == 2.5


def test_programs_report_usage_errors(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a traceback or exit code 0 for invalid arguments."""
    for name, arguments in (
        ('lycheedeald', ['--check-settings', '--data', 'x']),
        ('lycheedeald', ['--bogus']),
        ('lycheedeald', ['word']),
        ('lycheectl', []),
        ('lycheectl', ['--host', 'localhost:1', 'show', 'hosts']),
        ('lycheectl', ['--host', '127.0.0.1:1', '--timeout', 'x', 'show', 'hosts']),
        ('lychee-burn', ['--host', '127.0.0.1:1', '--output', 'xml']),
    ):
        assert run_program(name, arguments) == ExitCode.USAGE
        assert capsys.readouterr().err.startswith(f'{name}: ')
    for name in COMMANDS:
        assert run_program(name, ['--help']) == ExitCode.DONE
        assert '--help' in capsys.readouterr().out


def test_log_lines_cannot_be_forged() -> None:
    """Guards against log lines forged by line breaks, and against a wrong level."""
    lines = []
    for as_json in (False, True):
        stream = StringIO()
        sink = LogSink('INFO', as_json, stream)
        sink.write(Log('steering', LogLevel.WARNING, 'bad {x}\nforged: line'))
        sink.write(Log('steering', LogLevel.DEBUG, 'hidden'))
        lines.append(stream.getvalue().splitlines())
    assert [len(written) for written in lines] == [1, 1]
    assert lines[0][0].endswith('Z WARNING steering: bad {x} forged: line')
    assert json.loads(lines[1][0])['part'] == 'steering'
