"""The admin server must answer each statement once, and stay bounded."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import ClientSession

from lycheedeal.kernel import Observe, Reply, StatementReceived
from lycheedeal.model import Endpoint
from lycheedeal.runtime import _admin
from lycheedeal.runtime._admin import AdminServer
from lycheedeal.runtime._metrics import MetricsSink

Body = Callable[[AdminServer, ClientSession, list[StatementReceived]], Awaitable[None]]


def with_server(body: Body, answer: bool = True) -> list[str]:
    """Run ``body`` against a server; return the calls of its stop callback."""
    received: list[StatementReceived] = []
    stops: list[str] = []

    async def run() -> None:
        def submit(event: StatementReceived) -> None:
            received.append(event)
            if answer:
                server.answer(Reply(event.query_id, 3, {'echo': event.text}))

        metrics = MetricsSink()
        metrics.observe(Observe('statements_total', 2, (('exit_code', '0'),)))
        server = AdminServer(
            Endpoint('127.0.0.1', 0),
            submit,
            metrics,
            lambda: {'rows': []},
            lambda: stops.append('stop'),
        )
        await server.start()
        try:
            async with ClientSession(f'http://{server.address}') as session:
                await body(server, session, received)
        finally:
            await server.close()

    asyncio.run(run())
    return stops


async def post(session: ClientSession, document: Any) -> tuple[int, Any]:
    """Post a statement and return status and answer."""
    async with session.post('/v1/statement', json=document) as response:
        return response.status, await response.json()


def test_statement_and_pages() -> None:
    """Guards against a lost answer and a page that cannot be read."""

    async def body(
        server: AdminServer,
        session: ClientSession,
        received: list[StatementReceived],
    ) -> None:
        status, answer = await post(session, {'text': 'show hosts', 'change_id': 'c1'})
        assert (status, answer) == (
            200,
            {'exit_code': 3, 'content': {'echo': 'show hosts'}},
        )
        assert received[0].change_id == 'c1'
        async with session.get('/metrics') as response:
            assert 'lycheedeal_statements_total{exit_code="0"} 2.0' in (
                await response.text()
            )
        async with session.get('/v1/burn') as response:
            assert await response.json() == {'rows': []}
        async with session.get('/healthz') as response:
            assert response.status == 200
        async with session.post('/v1/stop') as response:
            assert response.status == 202

    assert with_server(body) == ['stop']


def test_bad_bodies_get_a_reason() -> None:
    """Guards against an internal error, or a statement run from a bad body."""

    async def body(
        server: AdminServer,
        session: ClientSession,
        received: list[StatementReceived],
    ) -> None:
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
            async with session.post('/v1/statement', data=raw) as response:
                assert response.status == expected
                assert (await response.json())['reason']
        assert not received

    with_server(body)


def test_waiting_statements_are_bounded_and_end_with_the_server() -> None:
    """Guards against unbounded waiting, and a stop that leaves callers hanging."""

    async def body(
        server: AdminServer,
        session: ClientSession,
        received: list[StatementReceived],
    ) -> None:
        limit = _admin._MAX_WAITING
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(post(session, {'text': 'drain'}))
                for _ in range(limit + 1)
            ]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            assert [task.result()[0] for task in done] == [503]
            assert len(received) == limit
            await server.close()
        answers = [task.result() for task in tasks if task not in done]
        assert {(status, answer['exit_code']) for status, answer in answers} == {
            (200, 4),
        }

    with_server(body, answer=False)
