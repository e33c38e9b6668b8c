"""HTTP server for statements of operators, metrics and burn rates."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web

from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.kernel import Reply, StatementReceived
from lycheedeal.model import Endpoint, QueryId
from lycheedeal.runtime._metrics import MetricsSink

_MAX_BODY_BYTES: Final = 64 * 1024
# Statements that wait for their reply at the same time; more are refused.
_MAX_WAITING_STATEMENTS: Final = 64
# Longer than the 10 s after which the operators plug-in answers a change that is
# not decided.
_ANSWER_TIMEOUT_SECONDS: Final = 12
# Waiting statements are answered before the server shuts down, so its handlers
# end soon.
_SHUTDOWN_TIMEOUT_SECONDS: Final = 1

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminServer:
    """Accepts statements over HTTP and serves metrics and burn rates.

    ``submit`` passes a statement to the kernel; the resulting ``Reply`` is
    passed to ``answer``. ``burn_report`` returns JSON types. ``begin_stop``
    starts a planned stop of the daemon.
    """

    def __init__(
        self,
        listen: Endpoint,
        submit: Callable[[StatementReceived], None],
        metrics: MetricsSink,
        burn_report: Callable[[], Any],
        begin_stop: Callable[[], None],
    ) -> None:
        """Create the server without listening.

        Port 0 in ``listen`` lets the system choose a port.
        """
        self._listen = listen
        self._submit = submit
        self._metrics = metrics
        self._burn_report = burn_report
        self._begin_stop = begin_stop
        self._reply_futures_by_id: dict[QueryId, asyncio.Future[Reply]] = {}
        self._last_id = 0
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> Endpoint:
        """The address to listen on; after the start with the actual port."""
        return self._listen

    async def start(self, listener: socket.socket | None = None) -> None:
        """Serve on a listening socket, or on a new one for the address.

        Raises OSError if the address cannot be bound.
        """
        app = web.Application(
            client_max_size=_MAX_BODY_BYTES,
            middlewares=(_errors_as_json,),
        )
        app.router.add_post('/v1/statement', self._post_statement)
        app.router.add_post('/v1/stop', self._post_stop)
        app.router.add_get('/v1/burn', self._get_burn)
        app.router.add_get('/metrics', self._get_metrics)
        app.router.add_get('/healthz', self._get_health)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        # A socket is passed instead of an address, for which uvloop would start
        # four threads for name resolution.
        listener = listener or socket.create_server(self._listen)
        self._listen = Endpoint(*listener.getsockname())
        await web.SockSite(self._runner, listener).start()

    async def close(self) -> None:
        """Answer waiting statements as unknown and close the server."""
        for query_id in tuple(self._reply_futures_by_id):
            self.answer(
                _unknown_reply(
                    query_id, 'host stopped before it answered the statement'
                )
            )
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def answer(self, reply: Reply) -> None:
        """Answer a waiting statement; does nothing if it no longer waits."""
        reply_future = self._reply_futures_by_id.pop(reply.query_id, None)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(reply)

    async def _post_statement(self, request: web.Request) -> web.Response:
        text, change_id = _statement_fields(await request.read())
        if len(self._reply_futures_by_id) >= _MAX_WAITING_STATEMENTS:
            return _error_response(503, 'too many waiting statements; not executed')
        reply = await self._submit_and_wait(text, change_id)
        return web.json_response(
            {'exit_code': reply.exit_code, 'content': reply.content},
        )

    async def _submit_and_wait(self, text: str, change_id: str) -> Reply:
        self._last_id += 1
        query_id = QueryId(self._last_id)
        reply_future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._reply_futures_by_id[query_id] = reply_future
        try:
            self._submit(StatementReceived(query_id, text, change_id))
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                return await reply_future
        except TimeoutError:
            return _unknown_reply(
                query_id, 'kernel did not answer within the time limit'
            )
        finally:
            self._reply_futures_by_id.pop(query_id, None)

    async def _post_stop(self, request: web.Request) -> web.Response:
        self._begin_stop()
        return web.json_response({'stopping': True}, status=202)

    async def _get_burn(self, request: web.Request) -> web.Response:
        return web.json_response(self._burn_report())

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.expose(),
            headers={'Content-Type': self._metrics.content_type},
        )

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.Response(text='ok\n')


@web.middleware
async def _errors_as_json(
    request: web.Request,
    handler: _Handler,
) -> web.StreamResponse:
    """Answer HTTP errors of aiohttp with a JSON object that holds the reason."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _error_response(error.status, error.text or error.reason)


def _statement_fields(body: bytes) -> tuple[str, str]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise web.HTTPBadRequest(text=f'body is not valid JSON: {error}') from error
    if not isinstance(document, dict):
        raise web.HTTPBadRequest(text='body is not a JSON object')
    text = document.get('text')
    change_id = document.get('change_id', '')
    if not isinstance(text, str):
        raise web.HTTPBadRequest(text='field text must be a string')
    if not isinstance(change_id, str):
        raise web.HTTPBadRequest(text='field change_id must be a string')
    return text, change_id


def _error_response(status: int, reason: str) -> web.Response:
    return web.json_response({'reason': reason}, status=status)


def _unknown_reply(query_id: QueryId, detail: str) -> Reply:
    kind = ErrorKind.CHANGE_UNKNOWN
    return Reply(
        query_id,
        answer_for(kind).exit_code,
        {'error': kind.name, 'detail': detail},
    )
