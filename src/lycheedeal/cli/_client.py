"""HTTP client for the admin servers of entry hosts."""

import asyncio
import os
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

import aiohttp

from lycheedeal.model import ChangeId, Endpoint

# A host that is up accepts a connection within milliseconds.
_CONNECT_SECONDS: Final = 2
_OK: Final = 200
_UNAVAILABLE: Final = 503


@dataclass(frozen=True, slots=True)
class Answered:
    """A host answered; ``document`` is its JSON object."""

    host: Endpoint
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Rejected:
    """A host could not use the request, which it did not carry out."""

    host: Endpoint
    reason: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing reached the core of the host."""

    host: Endpoint
    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have reached the host, but no answer came."""

    host: Endpoint
    reason: str


Attempt = Answered | Rejected | NotSent | Lost


class AdminClient:
    """Talks to admin servers; use as an asynchronous context manager."""

    def __init__(self, timeout: float) -> None:
        """Take the longest wait for one answer, in seconds."""
        self._timeout = aiohttp.ClientTimeout(
            total=timeout,
            connect=min(timeout, _CONNECT_SECONDS),
        )
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'AdminClient':
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def state(self, host: Endpoint, text: str, change_id: ChangeId) -> Attempt:
        """Send a statement to one host."""
        body = {'text': text, 'change_id': change_id}
        return await self._call(host, 'POST', '/v1/statement', body)

    async def burn(self, host: Endpoint) -> Attempt:
        """Ask one host for its burn rates."""
        return await self._call(host, 'GET', '/v1/burn', None)

    async def state_all(
        self,
        hosts: Iterable[Endpoint],
        text: str,
    ) -> Sequence[Attempt]:
        """Send a query to several hosts at the same time."""
        no_change = ChangeId('')
        calls = (self.state(host, text, no_change) for host in hosts)
        return await asyncio.gather(*calls)

    async def burn_all(self, hosts: Iterable[Endpoint]) -> Sequence[Attempt]:
        """Ask several hosts for burn rates at the same time."""
        return await asyncio.gather(*(self.burn(host) for host in hosts))

    async def _call(
        self,
        host: Endpoint,
        method: str,
        path: str,
        body: dict[str, str] | None,
    ) -> Attempt:
        if self._session is None:
            raise RuntimeError('client is not open')
        try:
            async with self._session.request(
                method,
                f'http://{host}{path}',
                json=body,
            ) as response:
                return _read(host, response.status, await response.json())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(host, _reason(error))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Lost(host, _reason(error))


def _read(host: Endpoint, status: int, document: Any) -> Attempt:
    if not isinstance(document, dict):
        return Lost(host, 'answer is not a JSON object')
    if status == _OK:
        return Answered(host, document)
    reason = str(document.get('reason', f'HTTP status {status}'))
    return NotSent(host, reason) if status == _UNAVAILABLE else Rejected(host, reason)


def _reason(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectorError) and error.errno:
        return os.strerror(error.errno).lower()
    return str(error) or type(error).__name__
