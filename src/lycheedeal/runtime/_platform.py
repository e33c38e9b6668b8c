"""HTTP client of the platform's object API."""

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

# Time without a byte of an answer after which a call fails. How long a whole answer
# takes depends on its length and on the link.
_SILENCE_TIMEOUT_SECONDS: Final = 2.0
# Rate at which the body of a write is sent at least, in bytes a second: that of the
# narrowest links of the platform.
_MIN_UPLOAD_RATE: Final = 625_000
# The platform answers a watch after this time if nothing has changed.
_WATCH_WAIT_SECONDS: Final = 25
# Added to the timeout of a watch, because a slow platform may answer late.
_WATCH_MARGIN_SECONDS: Final = 5
_MAX_CONCURRENT_CALLS: Final = 256
_MIN_BACKOFF_SECONDS: Final = 0.2
_MAX_BACKOFF_SECONDS: Final = 10.0
# Bounds the rate of watch calls if the platform answers each one at once.
_POLL_PAUSE_SECONDS: Final = 0.05
# Rises when the store comes back from an older copy and gives out revisions again.
_ERA_HEADER: Final = 'Store-Era'
_STATUS_OK: Final = 200
_MIN_SERVER_ERROR_STATUS: Final = 500
_STATUS_UNAVAILABLE: Final = 503


class _Object(msgspec.Struct):
    key: str
    version: int
    body: bytes


class _Listing(msgspec.Struct):
    revision: int
    objects: list[_Object]


class _AnswerLostError(aiohttp.ClientError):
    """The connection ended after the request was sent and before the answer."""


class _ClientClosedError(aiohttp.ClientError):
    """The client is closed, so nothing was sent."""


# Errors before there was a connection, so that nothing was sent.
_NOT_SENT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    _ClientClosedError,
)

_decode_listing: Final = msgspec.json.Decoder(_Listing).decode
_decode_object: Final = msgspec.json.Decoder(_Object).decode


class PlatformClient:
    """Executes ``CallApi`` effects; every call but a watch gets one reply.

    Watches run until they are cancelled and repeat failed calls with
    exponential backoff.
    """

    def __init__(self, base_url: str, deliver: Callable[[Event], None]) -> None:
        """Create a closed client; ``deliver`` gets replies and changed objects."""
        self._base_url = base_url.rstrip('/')
        self._deliver = deliver
        self._rng = random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._watches_by_prefix: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Open the HTTP session; each call opens a connection of its own."""
        # On a connection in use again, a late copy of an earlier answer would be
        # taken for the answer to the next call.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=_SILENCE_TIMEOUT_SECONDS,
                sock_read=_SILENCE_TIMEOUT_SECONDS,
            ),
        )

    async def close(self) -> None:
        """Cancel all calls and watches without a reply and close the session."""
        tasks = (*self._calls, *self._watches_by_prefix.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._watches_by_prefix.clear()
        if self._session is not None:
            await self._session.close()
            self._session = None

    def submit(self, call: CallApi) -> None:
        """Start a call; its reply is delivered later by the event loop.

        Calls over the limit of concurrent calls fail as unavailable.
        """
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
        call_coroutine: Coroutine[Any, Any, list[Event]],
    ) -> None:
        loop = asyncio.get_running_loop()
        if len(self._calls) >= _MAX_CONCURRENT_CALLS:
            call_coroutine.close()
            loop.call_soon(self._deliver, _failed(call, ApiStatus.UNAVAILABLE))
            return
        task = loop.create_task(self._run_call(call, call_coroutine))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _run_call(
        self,
        call: CallApi,
        call_coroutine: Coroutine[Any, Any, list[Event]],
    ) -> None:
        try:
            events = await call_coroutine
        except Exception as error:  # Each call needs a reply, whatever its answer was.
            events = [_failed(call, _status_of_error(call, error))]
        for event in events:
            self._deliver(event)

    async def _read(self, call: CallApi) -> list[Event]:
        async with self._require_session().get(
            self._url('objects', call.key)
        ) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        found = _decode_object(content)
        return [_succeeded(call, found.version, found.body)]

    async def _list(self, call: CallApi) -> list[Event]:
        async with self._require_session().get(
            self._url('objects'),
            params={'prefix': call.key},
        ) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [*_change_events(_decode_listing(content)), _succeeded(call)]

    async def _write(self, call: CallApi) -> list[Event]:
        upload_seconds = len(call.body) / _MIN_UPLOAD_RATE
        async with self._require_session().put(
            self._url('objects', call.key),
            data=call.body,
            headers={'If-Match': str(call.version)},
            timeout=aiohttp.ClientTimeout(
                total=_SILENCE_TIMEOUT_SECONDS + upload_seconds
            ),
            middlewares=(_send_once,),
        ) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [_succeeded(call, _decode_object(content).version)]

    async def _hosts(self, call: CallApi) -> list[Event]:
        async with self._require_session().get(self._url('hosts')) as response:
            content = await response.read()
            if response.status != _STATUS_OK:
                return [_failed(call, _status_of_answer(call, response.status))]
        return [_succeeded(call, body=content)]

    async def _watch(self, prefix: str) -> None:
        since = 0
        failures = 0
        era: str | None = None
        while True:
            try:
                answer_era, listing = await self._poll(prefix, since)
            except Exception:  # No answer may end the watch.
                failures += 1
                # The store may have come back from an older copy meanwhile, where a
                # watch from a revision given out again would wait without an answer.
                since = 0
                await asyncio.sleep(self._backoff(failures))
                continue
            failures = 0
            # In another era the answer lacks changes up to the watched revision; the
            # next one has all objects.
            since = listing.revision if era in {None, answer_era} else 0
            era = answer_era
            for event in _change_events(listing):
                self._deliver(event)
            await asyncio.sleep(_POLL_PAUSE_SECONDS)

    async def _poll(self, prefix: str, since: int) -> tuple[str, _Listing]:
        parameters = {
            'prefix': prefix,
            'since': str(since),
            'timeout': str(_WATCH_WAIT_SECONDS),
        }
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_SILENCE_TIMEOUT_SECONDS,
            sock_read=_WATCH_WAIT_SECONDS + _WATCH_MARGIN_SECONDS,
        )
        async with self._require_session().get(
            self._url('watch'),
            params=parameters,
            timeout=timeout,
            raise_for_status=True,
        ) as response:
            era = response.headers.get(_ERA_HEADER, '')
            return era, _decode_listing(await response.read())

    def _backoff(self, failures: int) -> float:
        delay: float = min(_MAX_BACKOFF_SECONDS, _MIN_BACKOFF_SECONDS * 2**failures)
        return delay * self._rng.uniform(0.5, 1)

    def _require_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            raise _ClientClosedError('client of the object API is not open')
        return self._session

    def _url(self, *parts: str) -> str:
        return '/'.join((self._base_url, *(quote(one) for one in parts)))


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    # aiohttp sends a PUT again if its connection ends without an answer. If the
    # first one took effect, the second one fails with a conflict, and the write
    # would be reported as not made. aiohttp repeats requests after no other
    # errors.
    try:
        return await handler(request)
    except _NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLostError(str(error)) from error


def _change_events(listing: _Listing) -> list[Event]:
    return [ObjectChanged(one.key, one.version, one.body) for one in listing.objects]


def _succeeded(call: CallApi, version: int = 0, body: bytes = b'') -> ApiReplied:
    return ApiReplied(call.call_id, ApiStatus.OK, call.key, version, body)


def _failed(call: CallApi, status: ApiStatus) -> ApiReplied:
    return ApiReplied(call.call_id, status, call.key)


def _status_of_error(call: CallApi, error: Exception) -> ApiStatus:
    # Only a write that was sent may have taken effect.
    if call.operation is not ApiCall.WRITE or isinstance(error, _NOT_SENT_ERRORS):
        return ApiStatus.UNAVAILABLE
    return ApiStatus.UNKNOWN


def _status_of_answer(call: CallApi, status: int) -> ApiStatus:
    match status:
        case 404:
            return ApiStatus.NOT_FOUND
        case 409 | 412:
            return ApiStatus.CONFLICT
        case _:
            # 503 and 4xx mean that the call was refused. Any other server error
            # may be that of a proxy after the write took effect.
            refused = status < _MIN_SERVER_ERROR_STATUS or status == _STATUS_UNAVAILABLE
            if refused or call.operation is not ApiCall.WRITE:
                return ApiStatus.UNAVAILABLE
            return ApiStatus.UNKNOWN
