"""HTTP client of the admin servers on entry hosts."""

import asyncio
import os
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import aiohttp

from lycheedeal.model import ChangeId, Endpoint

# A reachable host accepts connections within milliseconds.
_CONNECT_TIMEOUT_SECONDS: Final = 2
_STATUS_OK: Final = 200
_STATUS_UNAVAILABLE: Final = 503
_MIN_SERVER_ERROR_STATUS: Final = 500
# Stays below the usual limit of open files.
_MAX_CONCURRENT_CALLS: Final = 100


@dataclass(frozen=True, slots=True)
class Answered:
    """The host answered; ``document`` is the JSON object of the answer."""

    host: Endpoint
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Rejected:
    """The host refused the request as invalid and did not execute it."""

    host: Endpoint
    reason: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not reach the kernel of the host, so it had no effect."""

    host: Endpoint
    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """No valid answer arrived; the request may have been executed."""

    host: Endpoint
    reason: str


CallResult = Answered | Rejected | NotSent | AnswerLost


class AdminClient:
    """Calls admin servers; used as an asynchronous context manager.

    Failures of a call are returned as its result, not raised.
    """

    def __init__(self, timeout: float) -> None:
        """Create the client; ``timeout`` limits each call, in seconds."""
        self._timeout = aiohttp.ClientTimeout(
            total=timeout,
            sock_connect=min(timeout, _CONNECT_TIMEOUT_SECONDS),
        )
        self._call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'AdminClient':
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def post_statement(
        self, host: Endpoint, text: str, change_id: ChangeId
    ) -> CallResult:
        """Send a statement to one host.

        ``change_id`` identifies a change across hosts; queries ignore it.
        """
        body = {'text': text, 'change_id': change_id}
        return await self._call(host, 'POST', '/v1/statement', body)

    async def get_burn_rates(self, host: Endpoint) -> CallResult:
        """Get the service-level counts and burn rates of one host."""
        return await self._call(host, 'GET', '/v1/burn', None)

    async def get_placement(
        self, host: Endpoint, fields: Mapping[str, str]
    ) -> CallResult:
        """Get from a relay where an opening would go."""
        return await self._call(host, 'GET', f'/placement?{urlencode(fields)}', None)

    async def post_statement_to_all(
        self,
        hosts: Iterable[Endpoint],
        text: str,
    ) -> Sequence[CallResult]:
        """Send a query to several hosts concurrently; results are in their order."""
        no_change = ChangeId('')
        calls = (self.post_statement(host, text, no_change) for host in hosts)
        return await asyncio.gather(*calls)

    async def get_all_burn_rates(
        self, hosts: Iterable[Endpoint]
    ) -> Sequence[CallResult]:
        """Get burn rates of several hosts concurrently; results are in their order."""
        return await asyncio.gather(*(self.get_burn_rates(host) for host in hosts))

    async def _call(
        self,
        host: Endpoint,
        method: str,
        path: str,
        body: dict[str, str] | None,
    ) -> CallResult:
        if self._session is None:
            raise RuntimeError('admin client is used outside of its context manager')
        url = f'http://{host}{path}'
        try:
            # The timeout of a call starts only when it gets a slot, so calls to
            # many hosts do not time out in the queue.
            async with (
                self._call_slots,
                self._session.request(
                    method,
                    url,
                    json=body,
                ) as response,
            ):
                return _interpret(host, response.status, await response.json())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(host, _error_reason(error))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return AnswerLost(host, _error_reason(error))


def _interpret(host: Endpoint, status: int, document: Any) -> CallResult:
    if not isinstance(document, dict):
        return AnswerLost(host, 'answer is not a JSON object')
    if status == _STATUS_OK:
        return Answered(host, document)
    reason = str(document.get('reason', f'HTTP status {status}'))
    if status == _STATUS_UNAVAILABLE:
        return NotSent(host, reason)
    # The server may have passed the statement to the kernel before it failed.
    may_have_run = status >= _MIN_SERVER_ERROR_STATUS
    return AnswerLost(host, reason) if may_have_run else Rejected(host, reason)


def _error_reason(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectorError) and error.errno:
        return os.strerror(error.errno).lower()
    if isinstance(error, aiohttp.ContentTypeError):
        path = error.request_info.url.path
        status = f'HTTP status {error.status} without JSON'
        return f'{status}: another program, or a build without {path}'
    if isinstance(error, TimeoutError):
        return 'no answer within the timeout'
    return str(error) or type(error).__name__
