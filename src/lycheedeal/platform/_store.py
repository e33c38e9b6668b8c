"""Client of the platform's object store: lists and watches over HTTP/1.1."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint
from lycheedeal.platform._answers import decode_answer
from lycheedeal.platform._connection import CallError, Connection
from lycheedeal.platform._list_cursor import cursors_after
from lycheedeal.platform._objects import DecodedObjects

# Pages read of one list at most; a page holds about 500 objects.
_MAX_PAGES: Final = 400
_PATHS: Final = MappingProxyType(
    {
        relay.StoreKind.CONFIGURATION: '/objects/config',
        relay.StoreKind.UPSTREAMS: '/objects/servers',
        relay.StoreKind.EVACUATIONS: '/objects/evacuations',
    },
)
# Part of an answer that has to come within the time for one: a thirtieth of what the
# narrowest links of the platform carry in the shortest of these times.
_PART_BYTES: Final = 8192
# Part of its wait that a watch takes at least if nothing changes.
_MIN_WAIT_SHARE: Final = 0.5
_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
# Bad request, URI too long, unprocessable content, header fields too large.
_REJECTED_STATUSES: Final = frozenset((400, 414, 422, 431))

EventCallback = Callable[[relay.Event], None]


class _RequestRejectedError(CallError):
    """The store cannot read a request."""


class _Page(NamedTuple):
    """Fields of an answer with status 200, and the position of the store."""

    fields: dict[str, Any]
    position: relay.Position

    @property
    def items(self) -> list[Any]:
        """Return the objects of a list; raises CallError if there are none."""
        items: list[Any] = _required_field(self.fields, 'items', list)
        return items


@dataclass(slots=True, eq=False, repr=False)
class _List:
    """A list; ``query`` is that of its first page."""

    query: str


@dataclass(slots=True, eq=False, repr=False)
class _Watch:
    """A watch for changes after a position."""

    position: relay.Position
    wait_seconds: float


_Call = _List | _Watch


class StoreClient:
    """Store client with one connection and at most one call for each kind.

    A new call for a kind cancels the one in progress.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        report: EventCallback,
        metrics: relay.Metrics,
    ) -> None:
        """Pass answers and failures to ``report`` as events.

        A changed ``endpoint`` takes effect with the next connection.
        """
        self._metrics = metrics
        self.endpoint = endpoint
        self._report = report
        self._tasks_by_kind: dict[relay.StoreKind, asyncio.Task[None]] = {}
        self._connections_by_kind: dict[relay.StoreKind, Connection] = {}
        # Size of the parts of an answer after answers that came too slowly.
        self._part_bytes_by_kind: dict[relay.StoreKind, int] = {}

    def list_objects(self, kind: relay.StoreKind, may_lag: bool = False) -> None:
        """Start a list of all objects of a kind.

        A list that ``may_lag`` is cheaper and may be seconds old.
        """
        self._start_call(kind, _List('?serializable=1' if may_lag else ''))

    def watch_objects(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
    ) -> None:
        """Start a watch for changes of a kind after a position.

        The store answers after ``wait_seconds`` at the latest.
        """
        self._start_call(kind, _Watch(position, wait_seconds))

    def cancel(self, kind: relay.StoreKind) -> None:
        """Cancel the call in progress for a kind; no event is reported for it."""
        task = self._tasks_by_kind.pop(kind, None)
        if task is not None and not task.done():
            task.cancel()
            self._drop_connection(kind)

    def close(self) -> None:
        """Cancel all calls and close all connections."""
        for kind in relay.StoreKind:
            self.cancel(kind)
            self._drop_connection(kind)

    def _start_call(self, kind: relay.StoreKind, call: _Call) -> None:
        self.cancel(kind)
        task = asyncio.get_running_loop().create_task(self._run_call(kind, call))
        self._tasks_by_kind[kind] = task

    async def _run_call(self, kind: relay.StoreKind, call: _Call) -> None:
        event: relay.Event
        started = time.perf_counter()
        try:
            match call:
                case _List(query=query):
                    event = await self._list(kind, query)
                case _Watch(position=position, wait_seconds=wait_seconds):
                    event = await self._watch(kind, position, wait_seconds)
        except Exception as error:  # The reader waits until the call reports its end.
            event = _failed(kind, error)
            if event.fault is not relay.StoreFault.HISTORY_LOST:
                self._drop_connection(kind)
        self._tasks_by_kind.pop(kind, None)
        outcome = 'failed' if isinstance(event, relay.CallFailed) else 'answered'
        name = 'watch' if isinstance(call, _Watch) else 'list'
        label = f'{name} {kind.value} {outcome}'
        self._metrics.observe('store_seconds', label, time.perf_counter() - started)
        self._report(event)

    async def _list(self, kind: relay.StoreKind, query: str) -> relay.ListAnswered:
        objects = DecodedObjects()
        position: relay.Position | None = None
        async for page in self._pages(kind, query):
            # A watch from the position of the first page misses no change made while
            # the others are read.
            position = position or page.position
            if page.position.era != position.era:
                raise CallError(
                    relay.StoreFault.HISTORY_LOST,
                    'store came back from an older copy between two pages',
                )
            for item in page.items:
                objects.add(kind, item)
        return relay.ListAnswered(
            kind,
            position or relay.START_POSITION,
            tuple(objects.entries),
            tuple(objects.unusable),
            objects.version,
        )

    async def _pages(
        self, kind: relay.StoreKind, first_query: str
    ) -> AsyncIterator[_Page]:
        """Yield the pages of a list; raises CallError if the list does not end."""
        page = await self._list_page(kind, first_query)
        yield page
        used = {''}
        for _ in range(_MAX_PAGES):
            if not page.fields.get('has_more'):
                return
            self._report(relay.CallProgressed(kind))
            page = await self._next_page(kind, first_query, page, used)
            yield page
        raise CallError(
            relay.StoreFault.MALFORMED, f'list has more than {_MAX_PAGES} pages'
        )

    async def _next_page(
        self, kind: relay.StoreKind, first_query: str, page: _Page, used: set[str]
    ) -> _Page:
        """Return the page that follows another one.

        Cursors in ``used`` led to the same page again, or were refused.
        """
        separator = '&' if first_query else '?'
        for cursor in cursors_after(page.items):
            if cursor not in used:
                used.add(cursor)
                with contextlib.suppress(_RequestRejectedError):
                    return await self._list_page(
                        kind, f'{first_query}{separator}after={cursor}'
                    )
        raise CallError(
            relay.StoreFault.MALFORMED,
            f'list does not go on after a page of {len(page.items)} objects',
        )

    async def _list_page(self, kind: relay.StoreKind, query: str) -> _Page:
        timeout = relay.PAGE_TIMEOUT_SECONDS
        return await self._get(kind, query, timeout, timeout)

    async def _watch(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
    ) -> relay.WatchAnswered:
        query = f'?watch={position.revision}&wait_ms={int(wait_seconds * 1000)}'
        timeout = relay.ANSWER_TIMEOUT_SECONDS
        started = time.perf_counter()
        page = await self._get(kind, query, wait_seconds + timeout, timeout)
        waited = time.perf_counter() - started
        objects = DecodedObjects()
        events = _required_field(page.fields, 'events', list)
        for item, deleted in _decode_events(events):
            if page.position.era == position.era:
                _check_event(item, position.revision)
            objects.add(kind, item, deleted)
        if not events and waited < wait_seconds * _MIN_WAIT_SHARE:
            raise CallError(
                relay.StoreFault.MALFORMED,
                f'watch without changes ended after {waited:.3f} s',
            )
        return relay.WatchAnswered(
            kind,
            page.position,
            tuple(objects.entries),
            tuple(objects.removed),
            tuple(objects.unusable),
            objects.version,
        )

    async def _get(
        self,
        kind: relay.StoreKind,
        query: str,
        begin_seconds: float,
        part_seconds: float,
    ) -> _Page:
        """Return a decoded answer.

        It has to begin within a time, and each of its parts has to come within a time
        after the one before; how long the whole answer takes is not limited.
        """
        part_bytes = self._part_bytes_by_kind.get(kind, _PART_BYTES)
        limit = asyncio.timeout(begin_seconds)
        try:
            async with limit:
                connection = await self._connect(kind)
                status, era, body = await connection.get(
                    _PATHS[kind] + query,
                    part_bytes,
                    lambda: self._call_progressed(kind, limit, part_seconds),
                )
        except TimeoutError as error:
            raise self._timeout_error(kind, part_bytes) from error
        self._part_bytes_by_kind.pop(kind, None)
        _check_status(status)
        try:
            fields = await decode_answer(
                body, lambda: self._report(relay.CallProgressed(kind))
            )
        except DecodeError as error:
            raise CallError(relay.StoreFault.MALFORMED, error.detail) from error
        if not isinstance(fields, dict):
            raise CallError(
                relay.StoreFault.MALFORMED, 'store answer is not a JSON object'
            )
        revision = relay.Revision(_required_field(fields, 'store_revision', int))
        page = _Page(fields, relay.Position(era, revision))
        _check_order(connection, page.position)
        return page

    def _call_progressed(
        self, kind: relay.StoreKind, limit: asyncio.Timeout, part_seconds: float
    ) -> None:
        if not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time() + part_seconds)
        self._report(relay.CallProgressed(kind))

    def _timeout_error(self, kind: relay.StoreKind, part_bytes: int) -> CallError:
        connection = self._connections_by_kind.get(kind)
        if connection is None or not connection.has_begun:
            return CallError(
                relay.StoreFault.SILENT, 'store did not answer before the timeout'
            )
        # Many hosts that read at once may leave each of them less than usual.
        self._part_bytes_by_kind[kind] = max(part_bytes // 2, 1)
        received = connection.received_bytes
        return CallError(
            relay.StoreFault.SLOW,
            f'answer was given up after {received} bytes, which came too slowly',
        )

    async def _connect(self, kind: relay.StoreKind) -> Connection:
        connection = self._connections_by_kind.get(kind)
        if connection is None or connection.is_closed or connection.is_idle:
            self._drop_connection(kind)
            self._metrics.add('store_connections', 'opened')
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: Connection(str(self.endpoint)),
                self.endpoint.ip,
                self.endpoint.port,
            )
            self._connections_by_kind[kind] = connection
        return connection

    def _drop_connection(self, kind: relay.StoreKind) -> None:
        connection = self._connections_by_kind.pop(kind, None)
        if connection is not None:
            connection.close()


def _failed(kind: relay.StoreKind, error: Exception) -> relay.CallFailed:
    match error:
        case CallError(fault=fault, detail=detail):
            return relay.CallFailed(kind, fault, detail)
        case TimeoutError():
            detail = 'store did not answer before the timeout'
            return relay.CallFailed(kind, relay.StoreFault.SILENT, detail)
        case OSError():
            return relay.CallFailed(kind, relay.StoreFault.UNREACHABLE, str(error))
        case _:
            detail = f'{type(error).__name__}: {error}'
            return relay.CallFailed(kind, relay.StoreFault.MALFORMED, detail)


def _check_status(status: int) -> None:
    """Raise CallError unless a status is that of an answer."""
    if status == _STATUS_GONE:
        raise CallError(
            relay.StoreFault.HISTORY_LOST,
            'store no longer has the history since the watched revision',
        )
    if status in _REJECTED_STATUSES:
        raise _RequestRejectedError(
            relay.StoreFault.REFUSED, f'request is rejected with status {status}'
        )
    if status != _STATUS_OK:
        raise CallError(
            relay.StoreFault.REFUSED, f'expected HTTP status 200, got {status}'
        )


def _check_order(connection: Connection, position: relay.Position) -> None:
    """Check the position of an answer against earlier ones on the connection.

    The store's position only increases, so an earlier one is that of a late copy of
    an answer. Raises CallError, which ends the connection.
    """
    if position < connection.latest_position:
        raise CallError(
            relay.StoreFault.MALFORMED,
            f'position {position} comes after {connection.latest_position}',
        )
    connection.latest_position = position


def _required_field(answer: dict[str, Any], name: str, expected: type) -> Any:
    content = answer.get(name)
    if not isinstance(content, expected):
        raise CallError(
            relay.StoreFault.MALFORMED, f'field {name} is missing or of another type'
        )
    return content


def _decode_events(events: list[Any]) -> Iterator[tuple[Any, bool]]:
    for event in events:
        match event:
            case {'object': item, 'deleted': bool() as deleted}:
                yield item, deleted
            case {'object': item}:
                yield item, False
            case _:
                # Of which object this is a change cannot be determined.
                yield None, False


def _check_event(item: Any, watched: relay.Revision) -> None:
    """Raise CallError for a change that a watch from this revision cannot report."""
    revision = _object_revision(item)
    if revision is not None and revision <= watched:
        raise CallError(
            relay.StoreFault.MALFORMED,
            f'watch from revision {watched} reports revision {revision}',
        )


def _object_revision(item: Any) -> int | None:
    match item:
        case {'meta': {'revision': int() as revision}}:
            return revision
        case _:
            return None
