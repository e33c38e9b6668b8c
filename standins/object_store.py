"""Stand-in for the object store that relay hosts read, over HTTP/1.1.

Serves lists and watches of objects by kind. It runs inside a test and is
changed by method calls; faults can be set while it runs.
"""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lycheedeal.ids import Endpoint


class ObjectStoreServer:
    """Objects by kind and name; each change increments one common revision."""

    def __init__(self) -> None:
        self.endpoint = Endpoint('127.0.0.1', 0)
        self.revision = 1
        self.calls = 0
        # None: no fault; 'busy': status 503; 'silent': no response at all.
        self.fault: str | None = None
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
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
        await self._add_event(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; raises KeyError if it does not exist."""
        self.revision += 1
        item = self._objects[kind].pop(name)
        await self._add_event(kind, item, deleted=True)

    def compact(self) -> None:
        """Drop the history: watches from an earlier revision get status 410."""
        self._compacted_revision = self.revision
        self._events.clear()

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
            self._send_response(writer, 200, self._list(kind))
            return
        since = int(query['watch'][0])
        wait_seconds = int(query['wait_ms'][0]) / 1000
        answer = await self._watch(kind, since, wait_seconds)
        if since < self._compacted_revision:
            self._send_response(
                writer,
                410,
                {'error': 'events after the requested revision were dropped'},
            )
        else:
            self._send_response(writer, 200, answer)

    def _list(self, kind: str) -> dict[str, Any]:
        items = list(self._objects.get(kind, {}).values())
        return {'items': items, 'has_more': False, 'store_revision': self.revision}

    async def _watch(
        self, kind: str, since: int, wait_seconds: float
    ) -> dict[str, Any]:
        try:
            async with asyncio.timeout(wait_seconds), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        since < self._compacted_revision
                        or bool(self._events_after(kind, since))
                    ),
                )
        except TimeoutError:
            pass
        return {
            'events': self._events_after(kind, since),
            'store_revision': self.revision,
        }

    def _events_after(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': item, 'deleted': deleted}
            for revision, event_kind, item, deleted in self._events
            if event_kind == kind and revision > since
        ]

    def _send_response(
        self, writer: asyncio.StreamWriter, status: int, body: Any
    ) -> None:
        content = json.dumps(body).encode()
        head = f'HTTP/1.1 {status} -\r\nContent-Length: {len(content)}\r\n\r\n'
        writer.write(head.encode() + content)
