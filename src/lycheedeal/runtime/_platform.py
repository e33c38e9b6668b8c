"""Client of the platform's object API."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final
from urllib.parse import quote

import aiohttp
import msgspec

from lycheedeal.kernel import (
    ApiCall,
    ApiReplied,
    ApiStatus,
    CallApi,
    Event,
    ObjectChanged,
)

_CALL_SECONDS: Final = 2.0
_WATCH_SECONDS: Final = 25
# A watch reply may be late by a slow platform.
_WATCH_SLACK_SECONDS: Final = 5
_MAX_CALLS: Final = 256
_MIN_BACKOFF: Final = 0.2
_MAX_BACKOFF: Final = 10.0
# Bounds the rate of polls if the platform answers a watch at once each time.
_POLL_PAUSE: Final = 0.05
_STATUS_OK: Final = 200
_SERVER_ERROR: Final = 500
_STATUS_UNAVAILABLE: Final = 503


class _Object(msgspec.Struct):
    key: str
    version: int
    body: bytes


class _Listing(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _AnswerLostError(aiohttp.ClientError):
    """The connection ended after the request was sent."""


class _ClosedError(aiohttp.ClientError):
    """Nothing was sent, since the client is not open."""


_CALL_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
)
# Nothing was sent if there was no connection.
_NOT_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    _ClosedError,
)

_decode_listing: Final = msgspec.json.Decoder(_Listing).decode
_decode_object: Final = msgspec.json.Decoder(_Object).decode


class PlatformClient:
    """Carries out ``CallApi`` effects; every call but a watch gets one reply."""

    def __init__(self, base_url: str, deliver: Callable[[Event], None]) -> None:
        """Take the URL of the API and the receiver of replies and changes."""
        self._base_url = base_url.rstrip('/')
        self._deliver = deliver
        self._rng = random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._watches_by_prefix: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Open the HTTP session; connections are made on demand."""
        timeout = aiohttp.ClientTimeout(total=_CALL_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """End all calls without a reply and close the session."""
        tasks = (*self._calls, *self._watches_by_prefix.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._watches_by_prefix.clear()
        if self._session is not None:
            await self._session.close()
            self._session = None

    def submit(self, call: CallApi) -> None:
        """Start a call; its outcome is delivered later from the loop."""
        match call.operation:
            case ApiCall.WATCH:
                self._start_watch(call.key)
            case ApiCall.UNWATCH:
                watch = self._watches_by_prefix.pop(call.key, None)
                if watch is not None:
                    watch.cancel()
            case ApiCall.READ:
                self._start_call(call, self._read(call))
            case ApiCall.LIST:
                self._start_call(call, self._list(call))
            case ApiCall.WRITE:
                self._start_call(call, self._write(call))
            case ApiCall.HOSTS:
                self._start_call(call, self._hosts(call))

    def _start_watch(self, prefix: str) -> None:
        if prefix not in self._watches_by_prefix:
            self._watches_by_prefix[prefix] = asyncio.get_running_loop().create_task(
                self._watch(prefix),
            )

    def _start_call(
        self,
        call: CallApi,
        work: Coroutine[Any, Any, list[Event]],
    ) -> None:
        loop = asyncio.get_running_loop()
        if len(self._calls) >= _MAX_CALLS:
            work.close()
            loop.call_soon(self._deliver, _failed(call, ApiStatus.UNAVAILABLE))
            return
        task = loop.create_task(self._finish(call, work))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _finish(
        self,
        call: CallApi,
        work: Coroutine[Any, Any, list[Event]],
    ) -> None:
        try:
            events = await work
        except _CALL_ERRORS as error:
            events = [_failed(call, _status_of_error(call, error))]
        for event in events:
            self._deliver(event)

    async def _read(self, call: CallApi) -> list[Event]:
        async with self._open().get(self._url('objects', call.key)) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        found = _decode_object(content)
        return [_succeeded(call, found.version, found.body)]

    async def _list(self, call: CallApi) -> list[Event]:
        async with self._open().get(
            self._url('objects'),
            params={'prefix': call.key},
        ) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [*_changes(_decode_listing(content)), _succeeded(call)]

    async def _write(self, call: CallApi) -> list[Event]:
        async with self._open().put(
            self._url('objects', call.key),
            data=call.body,
            headers={'If-Match': str(call.version)},
            middlewares=(_send_once,),
        ) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [_succeeded(call, _decode_object(content).version)]

    async def _hosts(self, call: CallApi) -> list[Event]:
        async with self._open().get(self._url('hosts')) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [_succeeded(call, body=content)]

    async def _watch(self, prefix: str) -> None:
        since = 0
        failures = 0
        while True:
            try:
                listing = await self._poll(prefix, since)
            except _CALL_ERRORS:
                failures += 1
                await asyncio.sleep(self._backoff(failures))
                continue
            failures = 0
            since = listing.revision
            for event in _changes(listing):
                self._deliver(event)
            await asyncio.sleep(_POLL_PAUSE)

    async def _poll(self, prefix: str, since: int) -> _Listing:
        options = {
            'prefix': prefix,
            'since': str(since),
            'timeout': str(_WATCH_SECONDS),
        }
        timeout = aiohttp.ClientTimeout(
            total=_WATCH_SECONDS + _WATCH_SLACK_SECONDS,
            sock_connect=_CALL_SECONDS,
        )
        async with self._open().get(
            self._url('watch'),
            params=options,
            timeout=timeout,
            raise_for_status=True,
        ) as response:
            return _decode_listing(await response.read())

    def _backoff(self, failures: int) -> float:
        delay: float = min(_MAX_BACKOFF, _MIN_BACKOFF * 2**failures)
        return delay * self._rng.uniform(0.5, 1)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise _ClosedError('the client is closed')
        return self._session

    def _url(self, *parts: str) -> str:
        return '/'.join((self._base_url, *(quote(one) for one in parts)))


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    # aiohttp repeats a PUT whose connection ends without an answer. If the
    # first one took effect, the second one is answered as a conflict, and the
    # change would be reported as not written. It repeats no other errors.
    try:
        return await handler(request)
    except _NOT_SENT:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLostError(str(error)) from error


def _changes(listing: _Listing) -> list[Event]:
    return [ObjectChanged(one.key, one.version, one.body) for one in listing.objects]


def _succeeded(call: CallApi, version: int = 0, body: bytes = b'') -> ApiReplied:
    return ApiReplied(call.call_id, ApiStatus.OK, call.key, version, body)


def _failed(call: CallApi, status: ApiStatus) -> ApiReplied:
    return ApiReplied(call.call_id, status, call.key)


def _status_of_error(call: CallApi, error: Exception) -> ApiStatus:
    # A read changes nothing.
    if call.operation is not ApiCall.WRITE or isinstance(error, _NOT_SENT):
        return ApiStatus.UNAVAILABLE
    return ApiStatus.UNKNOWN


def _status_of_answer(call: CallApi, status: int) -> ApiStatus:
    match status:
        case 404:
            return ApiStatus.NOT_FOUND
        case 409 | 412:
            return ApiStatus.CONFLICT
        case _:
            # 503 and 4xx say that the call was refused; another server error
            # may come from a proxy after the write took effect.
            refused = status < _SERVER_ERROR or status == _STATUS_UNAVAILABLE
            if refused or call.operation is not ApiCall.WRITE:
                return ApiStatus.UNAVAILABLE
            return ApiStatus.UNKNOWN
