"""Stand-in for the platform's object API and host list.

Run as ``python -m standins.platform --port 0 --port-file FILE``.

Objects:  GET, PUT, DELETE /objects/KEY; If-Match carries the version, and 0
means that the object must not exist. An object that is created again after
its deletion starts at version 1. GET /objects?prefix= lists. GET
/watch?prefix=&since=&timeout= waits, at most ``timeout`` seconds, for a change
after revision ``since``; a deleted object is reported with version 0. Bodies
are base64 in JSON.

Hosts:  POST /hosts registers a JSON object with ``host_id``, DELETE
/hosts/ID removes it, GET /hosts returns the list with a delay.

Faults:  POST /control/outage?seconds=&mode=refuse|hang|reset,
/control/slow?ms=, /control/lose-answer?count=, /control/stale-reads?seconds=.
GET /control/stats returns counts of calls. Calls above the rate limits get
status 429. Each answer has the header Store-Era, which rises with each restore
of the store from an older copy.
"""

import argparse
import asyncio
import base64
import json
import os
import signal
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 30.0
RATE_WINDOW_SECONDS = 10.0
# Rate limits of the platform, for all clients together.
MAX_READS_PER_SECOND = 2000
MAX_WRITES_PER_SECOND = 400
WRITE_OPERATIONS = frozenset(('write', 'register'))


@dataclass(frozen=True)
class StoredObject:
    """A stored object; version 0 marks one that was deleted."""

    version: int
    revision: int
    body: bytes = b''


class VersionMismatch(Exception):
    """A conditional change named a version other than the stored one."""

    def __init__(self, version: int) -> None:
        """Keep the current version, which is 0 if the object does not exist."""
        super().__init__(f'the current version of the object is {version}')
        self.version = version


class ObjectStore:
    """Versioned objects; each change increments the revision of the store."""

    def __init__(self, revision: int = 0) -> None:
        """Create an empty store.

        ``revision`` must be higher than that of a store it replaces.
        """
        self.revision = revision
        self.objects_by_key: dict[str, StoredObject] = {}

    def get(self, key: str) -> StoredObject | None:
        """Return an object; None if it does not exist or was deleted."""
        stored = self.objects_by_key.get(key)
        return stored if stored and stored.version else None

    def put(self, key: str, body: bytes, expected: int | None) -> int:
        """Store a body and return its version.

        ``expected`` None stores unconditionally; otherwise VersionMismatch is
        raised if the current version differs.
        """
        version = self._check(key, expected) + 1
        self._set(key, version, body)
        return version

    def delete(self, key: str, expected: int | None) -> None:
        """Delete an object, on the same condition as ``put``."""
        self._check(key, expected)
        self._set(key, 0, b'')

    def select(self, prefix: str, since: int = 0) -> dict[str, StoredObject]:
        """Return the objects changed after a revision, deleted ones included.

        0, or a revision that this store has not reached, selects all existing
        objects.
        """
        if since > self.revision:
            since = 0
        return {
            key: stored
            for key, stored in sorted(self.objects_by_key.items())
            if key.startswith(prefix)
            and stored.revision > since
            and (since or stored.version)
        }

    def copy(self) -> 'ObjectStore':
        """Return an independent copy."""
        other = ObjectStore(self.revision)
        other.objects_by_key = dict(self.objects_by_key)
        return other

    def _check(self, key: str, expected: int | None) -> int:
        stored = self.get(key)
        version = stored.version if stored else 0
        if expected is not None and expected != version:
            raise VersionMismatch(version)
        return version

    def _set(self, key: str, version: int, body: bytes) -> None:
        self.revision += 1
        self.objects_by_key[key] = StoredObject(version, self.revision, body)


class HostList:
    """Registered hosts; changes become visible after ``lag`` seconds."""

    def __init__(self, lag: float) -> None:
        """Create an empty list with a lag in seconds."""
        self._lag = lag
        self._visible: dict[str, dict[str, Any]] = {}
        self._pending: deque[tuple[float, str, dict[str, Any] | None]] = deque()

    def change(self, now: float, host_id: str, entry: dict[str, Any] | None) -> None:
        """Register a host, or remove it if ``entry`` is None.

        ``now`` is monotonic time.
        """
        self._pending.append((now, host_id, entry))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the entries that are visible at monotonic time ``now``."""
        while self._pending and self._pending[0][0] + self._lag <= now:
            _, host_id, entry = self._pending.popleft()
            if entry is None:
                self._visible.pop(host_id, None)
            else:
                self._visible[host_id] = entry
        return list(self._visible.values())


@dataclass
class Faults:
    """Faults in force; times are monotonic.

    ``lost_answers`` counts the next changes whose connection is dropped after
    the change took effect; ``stale_copy`` answers reads until ``stale_until``.
    """

    outage_until: float = 0
    outage_mode: str = 'refuse'
    slow_seconds: float = 0
    lost_answers: int = 0
    stale_until: float = 0
    stale_copy: ObjectStore = field(default_factory=ObjectStore)


class CallCounter:
    """Counts calls by operation, applies the rate limits, measures the rate."""

    def __init__(self) -> None:
        """Start with no calls."""
        self.calls_by_operation: Counter[str] = Counter()
        self.refused = 0
        self._current_second = 0
        self._calls_in_second: Counter[bool] = Counter()
        self._call_times: deque[float] = deque()

    def add(self, operation: str, now: float) -> bool:
        """Count a call and return whether the rate limits allow it."""
        self.calls_by_operation[operation] += 1
        self._call_times.append(now)
        self._drop_old(now)
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._calls_in_second.clear()
        is_write = operation in WRITE_OPERATIONS
        self._calls_in_second[is_write] += 1
        allowed = self._calls_in_second[is_write] <= (
            MAX_WRITES_PER_SECOND if is_write else MAX_READS_PER_SECOND
        )
        self.refused += not allowed
        return allowed

    def rate(self, now: float) -> float:
        """Return calls per second over the last RATE_WINDOW_SECONDS."""
        self._drop_old(now)
        return len(self._call_times) / RATE_WINDOW_SECONDS

    def _drop_old(self, now: float) -> None:
        while self._call_times and self._call_times[0] < now - RATE_WINDOW_SECONDS:
            self._call_times.popleft()


class PlatformServer:
    """HTTP server of the object store and the host list."""

    def __init__(
        self,
        host_lag: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
        first_revision: int = 0,
    ) -> None:
        """Create a server that does not listen yet.

        ``host_lag`` is the delay of the host list in seconds.
        """
        self.store = ObjectStore(first_revision)
        self._era = 1
        self.hosts = HostList(host_lag)
        self.faults = Faults()
        self.counter = CallCounter()
        self.port = 0
        self._clock = clock
        self._watch_events: set[asyncio.Event] = set()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 picks a free one and sets ``port``."""
        app = web.Application(client_max_size=MAX_VALUE_BYTES + 1)
        app.add_routes(
            [
                web.get('/objects', self._list),
                web.get('/objects/{key:.+}', self._get),
                web.put('/objects/{key:.+}', self._put),
                web.delete('/objects/{key:.+}', self._delete),
                web.get('/watch', self._watch),
                web.get('/hosts', self._get_hosts),
                web.post('/hosts', self._post_host),
                web.delete('/hosts/{host_id}', self._delete_host),
                web.get('/control/stats', self._stats),
                web.post('/control/{fault}', self._control),
            ],
        )
        app.middlewares.append(self._apply_faults)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening, end all watches and drop open connections."""
        if self._runner is not None:
            self._notify()
            await self._runner.cleanup()
            self._runner = None

    def restore(self, copy: ObjectStore) -> None:
        """Go back to a copy of the store; later revisions are given out again.

        Watches that wait fail.
        """
        self.store = copy
        self._era += 1
        self._notify()

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Any],
    ) -> web.StreamResponse:
        if request.path.startswith('/control/'):
            response: web.StreamResponse = await handler(request)
            return response
        if not self.counter.add(_operation(request), self._clock()):
            return web.Response(status=429)
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if self._is_in_outage():
            return await self._answer_in_outage(request)
        response = await handler(request)
        response.headers['Store-Era'] = str(self._era)
        return response

    async def _answer_in_outage(self, request: web.Request) -> web.Response:
        match self.faults.outage_mode:
            case 'hang':
                await asyncio.sleep(self.faults.outage_until - self._clock())
            case 'reset':
                _drop_connection(request)
        return web.Response(status=503)

    def _is_in_outage(self) -> bool:
        return self._clock() < self.faults.outage_until

    def _readable_store(self) -> ObjectStore:
        if self._clock() < self.faults.stale_until:
            return self.faults.stale_copy
        return self.store

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        stored = self._readable_store().get(key)
        if stored is None:
            return web.Response(status=404)
        return web.json_response(_object(key, stored))

    async def _list(self, request: web.Request) -> web.Response:
        store = self._readable_store()
        return web.json_response(_listing(store, request.query.get('prefix', '')))

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        try:
            version = self.store.put(key, body, _expected(request))
        except VersionMismatch as error:
            return web.json_response({'version': error.version}, status=412)
        return self._answer_change(request, key, version)

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        try:
            self.store.delete(key, _expected(request))
        except VersionMismatch as error:
            return web.json_response({'version': error.version}, status=412)
        return self._answer_change(request, key, 0)

    def _answer_change(
        self,
        request: web.Request,
        key: str,
        version: int,
    ) -> web.Response:
        self._notify()
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            _drop_connection(request)
        return web.json_response(
            _object(key, StoredObject(version, self.store.revision))
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('prefix', '')
        since = int(request.query.get('since', '0'))
        timeout = min(MAX_WATCH_SECONDS, float(request.query.get('timeout', '30')))
        era = self._era
        changed = asyncio.Event()
        self._watch_events.add(changed)
        try:
            async with asyncio.timeout(timeout):
                while since and not self.store.select(prefix, since):
                    await changed.wait()
                    changed.clear()
                    if self._has_ended(era):
                        return await self._answer_in_outage(request)
        except TimeoutError:
            pass
        finally:
            self._watch_events.discard(changed)
        return web.json_response(_listing(self.store, prefix, since))

    def _has_ended(self, era: int) -> bool:
        """Return whether the store that a watch of this era waits for is away."""
        return self._is_in_outage() or self._runner is None or era != self._era

    def _notify(self) -> None:
        for changed in self._watch_events:
            changed.set()

    async def _get_hosts(self, _: web.Request) -> web.Response:
        return web.json_response(self.hosts.visible(self._clock()))

    async def _post_host(self, request: web.Request) -> web.Response:
        entry = await request.json()
        self.hosts.change(self._clock(), entry['host_id'], entry)
        return web.json_response({})

    async def _delete_host(self, request: web.Request) -> web.Response:
        self.hosts.change(self._clock(), request.match_info['host_id'], None)
        return web.json_response({})

    async def _stats(self, _: web.Request) -> web.Response:
        calls = self.counter.calls_by_operation
        return web.json_response(
            {
                'calls': dict(calls),
                'total': calls.total(),
                'refused': self.counter.refused,
                'per_second': self.counter.rate(self._clock()),
                'pending_watches': len(self._watch_events),
                'objects': len(self.store.select('')),
            },
        )

    async def _control(self, request: web.Request) -> web.Response:
        now = self._clock()
        query = request.query
        faults = self.faults
        match request.match_info['fault']:
            case 'outage':
                faults.outage_until = now + float(query['seconds'])
                faults.outage_mode = query.get('mode', 'refuse')
                self._notify()
            case 'slow':
                faults.slow_seconds = float(query['ms']) / 1000
            case 'lose-answer':
                faults.lost_answers = int(query['count'])
            case 'stale-reads':
                faults.stale_until = now + float(query['seconds'])
                faults.stale_copy = self.store.copy()
            case _:
                return web.Response(status=404)
        return web.json_response({})


def _operation(request: web.Request) -> str:
    match request.method, request.path:
        case 'GET', '/objects':
            return 'list'
        case 'GET', '/watch':
            return 'watch'
        case method, path if path.startswith('/hosts'):
            return 'hosts' if method == 'GET' else 'register'
        case 'GET', _:
            return 'read'
        case _:
            return 'write'


def _expected(request: web.Request) -> int | None:
    header = request.headers.get('If-Match')
    return None if header is None else int(header)


def _object(key: str, stored: StoredObject) -> dict[str, Any]:
    body = base64.b64encode(stored.body).decode()
    return {'key': key, 'version': stored.version, 'body': body}


def _listing(store: ObjectStore, prefix: str, since: int = 0) -> dict[str, Any]:
    found = store.select(prefix, since)
    return {
        'revision': store.revision,
        'objects': [_object(key, stored) for key, stored in found.items()],
    }


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def serve(port: int, port_file: Path | None, host_lag: float) -> None:
    """Serve until SIGTERM or SIGINT.

    The port is written to ``port_file``, if given, once the server listens.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # Clients keep revisions over a restart of the server, so the new process
    # must start with a higher one: the Unix time in milliseconds.
    server = PlatformServer(host_lag, first_revision=int(time.time() * 1000))
    await server.start(port)
    if port_file is not None:
        temporary = port_file.with_suffix('.tmp')
        temporary.write_text(json.dumps(server.port))
        os.replace(temporary, port_file)
    print(f'platform: listening on 127.0.0.1:{server.port}', flush=True)
    await stopped.wait()
    await server.close()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(
        description='Stand-in for the object API and host list of the platform.'
    )
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--port-file', type=Path)
    parser.add_argument('--host-lag', type=float, default=2.0)
    args = parser.parse_args()
    asyncio.run(serve(args.port, args.port_file, args.host_lag))


if __name__ == '__main__':
    main()
