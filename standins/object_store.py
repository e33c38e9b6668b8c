"""Stand-in for the object store that relay hosts read, over HTTP/1.1.

Serves lists and watches of objects by kind. It runs inside a test and is
changed by method calls; faults can be set while it runs.
"""

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lycheedeal.ids import Endpoint


# Largest page of a list on the platform.
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000

Objects = dict[str, dict[str, dict[str, Any]]]


@dataclass(frozen=True)
class RawValue:
    """Bytes that the store gives out in place of a JSON value."""

    content: bytes


@dataclass(frozen=True)
class StoreCopy:
    """Content of a store, and the changes that led to it."""

    revision: int
    objects: Objects
    events: list[tuple[int, str, dict[str, Any], bool]]
    compacted_revision: int


class ObjectStoreServer:
    """Objects by kind and name; each change increments one common revision.

    ``era`` counts the histories: when the store comes back from a copy, a new one
    begins.
    """

    def __init__(
        self,
        page_objects: int = PAGE_OBJECTS,
        page_bytes: int = PAGE_BYTES,
    ) -> None:
        """Create a closed store, whose lists have pages of at most this size.

        An object that is larger than a page is on one of its own.
        """
        self._page_objects = page_objects
        self._page_bytes = page_bytes
        self.endpoint = Endpoint('127.0.0.1', 0)
        self.revision = 1
        self.era = 1
        self.calls = 0
        # None: no fault; 'busy': status 503; 'silent': no response at all.
        self.fault: str | None = None
        # Whether lists that continue after an unprintable or long name get status 400.
        self.rejects_odd_names = False
        self._objects: Objects = {}
        # What writers have put and not deleted, by kind and name.
        self._wanted: dict[str, dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port and set ``endpoint``."""
        self._server = await asyncio.start_server(
            self._serve_connection, '127.0.0.1', 0
        )
        ip, port = self._server.sockets[0].getsockname()
        self.endpoint = Endpoint(ip, port)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self.revision += 1
        item = {'meta': {'name': name, 'revision': self.revision}, 'spec': spec}
        self._objects.setdefault(kind, {})[name] = item
        self._wanted.setdefault(kind, {})[name] = spec
        await self._add_event(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; raises KeyError if its writer has deleted it before."""
        self._wanted[kind].pop(name)
        await self._remove(kind, name)

    async def _remove(self, kind: str, name: str) -> None:
        item = self._objects.get(kind, {}).pop(name, None)
        # A restored store may lack the object.
        if item is not None:
            self.revision += 1
            # The deletion is the last change of the object.
            meta = {**item['meta'], 'revision': self.revision}
            await self._add_event(kind, {**item, 'meta': meta}, deleted=True)

    def compact(self) -> None:
        """Drop the history: watches from an earlier revision get status 410."""
        self._compacted_revision = self.revision
        self._events.clear()

    def copy(self) -> StoreCopy:
        """Return a copy for ``restore``."""
        objects = {kind: dict(by_name) for kind, by_name in self._objects.items()}
        return StoreCopy(
            self.revision, objects, list(self._events), self._compacted_revision
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; later changes are lost, and their revisions free again.

        Watches that wait are cut off.
        """
        self.era += 1
        self.revision = copy.revision
        self._objects = {kind: dict(items) for kind, items in copy.objects.items()}
        self._events = list(copy.events)
        self._compacted_revision = copy.compacted_revision
        async with self._changed:
            self._changed.notify_all()

    async def write_again(self) -> None:
        """Write what the last restore lost, and delete what it brought back."""
        for kind, wanted in tuple(self._wanted.items()):
            present = self._objects.get(kind, {})
            lost = [
                (name, spec)
                for name, spec in wanted.items()
                if name not in present or present[name]['spec'] != spec
            ]
            for name, spec in lost:
                await self.put(kind, name, spec)
            for name in present.keys() - wanted.keys():
                await self._remove(kind, name)

    async def _add_event(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._handle_request(head.split(b' ', 2)[1].decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The client disconnected or the test ended; the task has no awaiter.
            return
        finally:
            writer.close()

    async def _handle_request(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        match self.fault:
            case 'silent':
                return
            case 'busy':
                self._send_response(writer, 503, {'error': 'busy'})
                return
        url = urlsplit(target)
        kind = url.path.rpartition('/')[2]
        query = parse_qs(url.query)
        if 'watch' not in query:
            after = parse_qs(url.query, errors='surrogateescape').get('after', [''])[0]
            if self.rejects_odd_names and not (
                after.isprintable() and len(after) < 200
            ):
                self._send_response(writer, 400, {'error': 'invalid name'})
            else:
                self._send_response(writer, 200, self._list(kind, after))
            return
        since = int(query['watch'][0])
        wait_seconds = int(query['wait_ms'][0]) / 1000
        era = self.era
        answer = await self._watch(kind, since, wait_seconds)
        if era != self.era:
            writer.close()
        elif self._is_unknown(since):
            self._send_response(
                writer,
                410,
                {'error': 'events after the requested revision were dropped'},
            )
        else:
            self._send_response(writer, 200, answer)

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        items: list[dict[str, Any]] = []
        size = 0
        objects = self._objects.get(kind, {})
        after_bytes = _as_bytes(after)
        following = sorted(
            (name for name in objects if not after or _as_bytes(name) > after_bytes),
            key=_as_bytes,
        )
        for name in following:
            size += len(_encode(objects[name]))
            if items and (size > self._page_bytes or len(items) == self._page_objects):
                break
            items.append(objects[name])
        return {
            'items': items,
            'has_more': len(items) < len(following),
            'store_revision': self.revision,
        }

    async def _watch(
        self, kind: str, since: int, wait_seconds: float
    ) -> dict[str, Any]:
        era = self.era
        try:
            async with asyncio.timeout(wait_seconds), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        era != self.era
                        or self._is_unknown(since)
                        or bool(self._events_after(kind, since))
                    ),
                )
        except TimeoutError:
            pass
        return {
            'events': self._events_after(kind, since),
            'store_revision': self.revision,
        }

    def _is_unknown(self, since: int) -> bool:
        """Return whether the changes since a revision are not known."""
        return not self._compacted_revision <= since <= self.revision

    def _events_after(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': item, 'deleted': deleted}
            for revision, event_kind, item, deleted in self._events
            if event_kind == kind and revision > since
        ]

    def _send_response(
        self, writer: asyncio.StreamWriter, status: int, body: Any
    ) -> None:
        content = _encode(body)
        head = (
            f'HTTP/1.1 {status} -\r\nStore-Era: {self.era}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)


def _as_bytes(text: str) -> bytes:
    """Return a text as the store keeps it; it may have bytes that are not UTF-8."""
    return text.encode(errors='surrogateescape')


def _encode(body: Any) -> bytes:
    """Return a body as JSON, with the content of raw values as it is."""
    raw_values: dict[str, bytes] = {}

    def keep_raw(value: RawValue) -> str:
        mark = f'raw value {len(raw_values)}'
        raw_values[mark] = value.content
        return mark

    content = _as_bytes(json.dumps(body, default=keep_raw, ensure_ascii=False))
    for mark, raw in raw_values.items():
        content = content.replace(f'"{mark}"'.encode(), raw)
    return content
