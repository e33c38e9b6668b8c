"""Client of the platform's store: lists and watches over HTTP/1.1."""

import asyncio
import json
import time
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any, Final

import httptools

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from lycheedeal.platform._objects import Objects

# A list answers in milliseconds; the store may be sixty times slower.
_LIST_SECONDS: Final = 1.0
# Beyond the wait of a watch.
_WATCH_EXTRA_SECONDS: Final = 0.4
# Pages of a list that are followed; a page holds about 500 objects.
_MAX_PAGES: Final = 400
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_PATHS: Final = MappingProxyType(
    {
        relay.StoreKind.CONFIGURATION: '/objects/config',
        relay.StoreKind.UPSTREAMS: '/objects/servers',
    },
)
_OK: Final = 200
_GONE: Final = 410

Report = Callable[[relay.Event], None]


class _CallError(Exception):
    """A call failed; carries the fault that the core is told."""

    def __init__(self, fault: relay.StoreFault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault
        self.detail = detail


class StoreClient:
    """One connection for each kind; one call at a time on each."""

    def __init__(
        self,
        endpoint: Endpoint,
        report: Report,
        metrics: relay.Metrics,
    ) -> None:
        """Report answers and failures as events."""
        self._metrics = metrics
        self.endpoint = endpoint
        self._report = report
        self._tasks_by_kind: dict[relay.StoreKind, asyncio.Task[None]] = {}
        self._connections_by_kind: dict[relay.StoreKind, _Connection] = {}

    def list_objects(self, kind: relay.StoreKind) -> None:
        """Read all objects of a kind."""
        self._begin(kind, None, 0)

    def watch_objects(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision,
        wait_seconds: float,
    ) -> None:
        """Wait for changes of a kind after a revision."""
        self._begin(kind, revision, wait_seconds)

    def stop(self, kind: relay.StoreKind) -> None:
        """Give up the call in progress; nothing is reported for it."""
        task = self._tasks_by_kind.pop(kind, None)
        if task is not None and not task.done():
            task.cancel()
            self._drop(kind)

    def close(self) -> None:
        """Close all connections."""
        for kind in relay.StoreKind:
            self.stop(kind)
            self._drop(kind)

    def _begin(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision | None,
        wait_seconds: float,
    ) -> None:
        self.stop(kind)
        call = self._call(kind, revision, wait_seconds)
        self._tasks_by_kind[kind] = asyncio.get_running_loop().create_task(call)

    async def _call(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision | None,
        wait_seconds: float,
    ) -> None:
        event: relay.Event
        started = time.perf_counter()
        try:
            if revision is None:
                async with asyncio.timeout(_LIST_SECONDS):
                    event = await self._list(kind)
            else:
                async with asyncio.timeout(wait_seconds + _WATCH_EXTRA_SECONDS):
                    event = await self._watch(kind, revision, wait_seconds)
        except _CallError as error:
            if error.fault is not relay.StoreFault.HISTORY_LOST:
                self._drop(kind)
            event = relay.CallFailed(kind, error.fault, error.detail)
        except TimeoutError:
            self._drop(kind)
            event = relay.CallFailed(kind, relay.StoreFault.SILENT, 'no answer in time')
        except OSError as error:
            self._drop(kind)
            event = relay.CallFailed(kind, relay.StoreFault.UNREACHABLE, str(error))
        self._tasks_by_kind.pop(kind, None)
        outcome = 'failed' if isinstance(event, relay.CallFailed) else 'answered'
        label = f'{"watch" if revision else "list"} {kind.value} {outcome}'
        self._metrics.observe('store_seconds', label, time.perf_counter() - started)
        self._report(event)

    async def _list(self, kind: relay.StoreKind) -> relay.ListAnswered:
        objects = Objects()
        revision, after = 0, ''
        for _ in range(_MAX_PAGES):
            answer = await self._get(kind, f'?after={after}' if after else '')
            items = _field(answer, 'items', list)
            for item in items:
                objects.add(kind, item)
            # The first page is the oldest; a watch from there misses nothing.
            revision = revision or _field(answer, 'store_revision', int)
            if not answer.get('has_more'):
                break
            after = _last_name(items)
        return relay.ListAnswered(
            kind,
            relay.Revision(revision),
            tuple(objects.entries),
            tuple(objects.unusable),
            objects.version,
        )

    async def _watch(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision,
        wait_seconds: float,
    ) -> relay.WatchAnswered:
        wait_ms = int(wait_seconds * 1000)
        answer = await self._get(kind, f'?watch={revision}&wait_ms={wait_ms}')
        objects = Objects()
        for item, deleted in _events(_field(answer, 'events', list)):
            objects.add(kind, item, deleted)
        return relay.WatchAnswered(
            kind,
            relay.Revision(_field(answer, 'store_revision', int)),
            tuple(objects.entries),
            tuple(objects.removed),
            tuple(objects.unusable),
            objects.version,
        )

    async def _get(self, kind: relay.StoreKind, query: str) -> dict[str, Any]:
        connection = await self._connect(kind)
        status, body = await connection.get(_PATHS[kind] + query)
        if status == _GONE:
            raise _CallError(relay.StoreFault.HISTORY_LOST, 'history is gone')
        if status != _OK:
            raise _CallError(relay.StoreFault.REFUSED, f'status {status}')
        try:
            answer = json.loads(body)
        except ValueError as error:
            raise _CallError(relay.StoreFault.MALFORMED, str(error)) from error
        if not isinstance(answer, dict):
            raise _CallError(relay.StoreFault.MALFORMED, 'answer is not an object')
        return answer

    async def _connect(self, kind: relay.StoreKind) -> '_Connection':
        connection = self._connections_by_kind.get(kind)
        if connection is None or connection.is_closed:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: _Connection(str(self.endpoint)),
                self.endpoint.ip,
                self.endpoint.port,
            )
            self._connections_by_kind[kind] = connection
        return connection

    def _drop(self, kind: relay.StoreKind) -> None:
        connection = self._connections_by_kind.pop(kind, None)
        if connection is not None:
            connection.close()


class _Connection(asyncio.Protocol):
    """A kept connection with at most one call in progress."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._waiting: asyncio.Future[tuple[int, bytes]] | None = None
        self.is_closed = False

    async def get(self, path: str) -> tuple[int, bytes]:
        """Return status and body of a GET; raises OSError, _CallError."""
        if self._transport is None or self.is_closed:
            raise ConnectionResetError('connection is closed')
        self._waiting = asyncio.get_running_loop().create_future()
        request = f'GET {path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n'
        self._transport.write(request.encode())
        return await self._waiting

    def close(self) -> None:
        """Reset the connection; an answer in progress is not awaited."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        if exc is None:
            exc = ConnectionResetError('connection was closed')
        self._fail(exc)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(_CallError(relay.StoreFault.MALFORMED, str(error)))
        if len(self._body) > _MAX_BODY_BYTES:
            self._fail(_CallError(relay.StoreFault.MALFORMED, 'answer is too long'))

    def on_message_begin(self) -> None:
        self._body.clear()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.is_closed = True
        if self._waiting is not None and not self._waiting.done():
            answer = self._parser.get_status_code(), bytes(self._body)
            self._waiting.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(error)


def _field(answer: dict[str, Any], name: str, expected: type) -> Any:
    content = answer.get(name)
    if not isinstance(content, expected):
        raise _CallError(relay.StoreFault.MALFORMED, f'answer lacks {name}')
    return content


def _events(events: list[Any]) -> Iterator[tuple[Any, bool]]:
    for event in events:
        match event:
            case {'object': item, 'deleted': bool() as deleted}:
                yield item, deleted
            case {'object': item}:
                yield item, False


def _last_name(items: list[Any]) -> str:
    match items[-1:]:
        case [{'meta': {'name': str() as name}}]:
            return name
        case _:
            raise _CallError(relay.StoreFault.MALFORMED, 'page without a last name')
