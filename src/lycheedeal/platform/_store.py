"""Client of the platform's object store: lists and watches over HTTP/1.1."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint
from lycheedeal.platform._answers import decode_answer
from lycheedeal.platform._connection import CallError, Connection
from lycheedeal.platform._list_cursor import cursors_after
from lycheedeal.platform._objects import DecodedObjects
from lycheedeal.platform._store_answers import (
    EndlessListError,
    Page,
    RequestRejectedError,
    as_list,
    check_era,
    check_event,
    check_order,
    check_status,
    decode_events,
    failed_call,
    required_field,
)

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
# Longest answer. Its objects take several times as much memory.
_MAX_BYTES: Final = 4 * 1024 * 1024
# A longer answer of a watch of the configuration has several versions of an object of
# 1 MiB at most, of which a list has the last one only.
_MAX_CONFIGURATION_WATCH_BYTES: Final = 5 * 256 * 1024
# Time after which a list that goes on reads what has changed since it began. The store
# may forget changes after 20 s.
_CATCH_UP_SECONDS: Final = 5.0
# Part of its wait that a watch takes at least if nothing changes.
_MIN_WAIT_SHARE: Final = 0.5

EventCallback = Callable[[relay.Event], None]


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
            event = failed_call(kind, error)
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
        caught_up_at = time.monotonic()
        try:
            async for page in self._pages(kind, query):
                # A watch from the position of the first page misses no change made
                # while the others are read.
                position = position or page.position
                check_era(page.position, position)
                for item in page.items:
                    objects.add(kind, item)
                if time.monotonic() - caught_up_at > _CATCH_UP_SECONDS:
                    answer = await self._read_changes(kind, position, 0, objects)
                    check_era(answer.position, position)
                    position = answer.position
                    caught_up_at = time.monotonic()
        except EndlessListError as error:
            # What the rest of the list has is not known.
            objects.add(kind, None)
            error.readable = as_list(kind, position, objects)
            raise
        return as_list(kind, position, objects)

    async def _pages(
        self, kind: relay.StoreKind, first_query: str
    ) -> AsyncIterator[Page]:
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
        raise EndlessListError(f'list has more than {_MAX_PAGES} pages')

    async def _next_page(
        self, kind: relay.StoreKind, first_query: str, page: Page, used: set[str]
    ) -> Page:
        """Return the page that follows another one.

        Cursors in ``used`` led to the same page again, or were refused.
        """
        separator = '&' if first_query else '?'
        for cursor in cursors_after(page.items):
            if cursor not in used:
                used.add(cursor)
                with contextlib.suppress(RequestRejectedError):
                    return await self._list_page(
                        kind, f'{first_query}{separator}after={cursor}'
                    )
        raise EndlessListError(
            f'list does not go on after a page of {len(page.items)} objects'
        )

    async def _list_page(self, kind: relay.StoreKind, query: str) -> Page:
        timeout = relay.PAGE_TIMEOUT_SECONDS
        return await self._get(kind, query, timeout, timeout)

    async def _watch(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
    ) -> relay.WatchAnswered:
        started = time.perf_counter()
        objects = DecodedObjects()
        page = await self._read_changes(kind, position, wait_seconds, objects)
        waited = time.perf_counter() - started
        if not page.fields['events'] and waited < wait_seconds * _MIN_WAIT_SHARE:
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

    async def _read_changes(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
        objects: DecodedObjects,
    ) -> Page:
        """Wait for changes after a position, and add them to ``objects``."""
        query = f'?watch={position.revision}&wait_ms={int(wait_seconds * 1000)}'
        timeout = relay.ANSWER_TIMEOUT_SECONDS
        is_configuration = kind is relay.StoreKind.CONFIGURATION
        page = await self._get(
            kind,
            query,
            wait_seconds + timeout,
            timeout,
            _MAX_CONFIGURATION_WATCH_BYTES if is_configuration else _MAX_BYTES,
        )
        for item, deleted in decode_events(required_field(page.fields, 'events', list)):
            if page.position.era == position.era:
                check_event(item, position.revision)
            objects.add(kind, item, deleted)
        return page

    async def _get(
        self,
        kind: relay.StoreKind,
        query: str,
        begin_seconds: float,
        part_seconds: float,
        max_bytes: int = _MAX_BYTES,
    ) -> Page:
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
                    max_bytes,
                    part_bytes,
                    lambda: self._call_progressed(kind, limit, part_seconds),
                )
        except TimeoutError as error:
            raise self._timeout_error(kind, part_bytes) from error
        self._part_bytes_by_kind.pop(kind, None)
        check_status(status)
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
        revision = relay.Revision(required_field(fields, 'store_revision', int))
        page = Page(fields, relay.Position(era, revision))
        check_order(connection, page.position)
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
