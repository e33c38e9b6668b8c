"""Persistent HTTP/1.1 connection to the platform's object store."""

import asyncio
import time
from collections.abc import Callable
from typing import Final, NamedTuple

import httptools

from lycheedeal import relay

# An unused connection may have gone silent, which only a timeout would show. A host
# that watches pauses for 0.25 s at most.
MAX_IDLE_SECONDS: Final = 1.0


class Answer(NamedTuple):
    """Answer of the store; its era is 0 if the answer names none."""

    status: int
    era: relay.Era
    body: bytes


class CallError(Exception):
    """A store call failed; carries the fault reported to the relay kernel."""

    def __init__(self, fault: relay.StoreFault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault
        self.detail = detail


def _ignore() -> None:
    """Do nothing."""


class Connection(asyncio.Protocol):
    """A persistent HTTP connection with at most one call in progress.

    An answer that no call waits for ends the connection: what comes after it could
    be taken for the answer to a later call. ``latest_position`` is that of the last
    answer.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._era = relay.Era(0)
        self._response: asyncio.Future[Answer] | None = None
        self._max_bytes = 0
        self._part_bytes = 1
        self._progressed: Callable[[], None] = _ignore
        self._reported_bytes = 0
        self._used_at = time.monotonic()
        self.is_closed = False
        # Whether the answer to the last request has begun.
        self.has_begun = False
        self.latest_position = relay.START_POSITION

    @property
    def received_bytes(self) -> int:
        """Bytes of the body of the last answer, or of that in progress."""
        return len(self._body)

    @property
    def is_idle(self) -> bool:
        """Whether the connection has not been used for long."""
        return time.monotonic() - self._used_at > MAX_IDLE_SECONDS

    async def get(
        self,
        path: str,
        max_bytes: int,
        part_bytes: int,
        progressed: Callable[[], None],
    ) -> Answer:
        """Return the answer to a GET request.

        ``progressed`` is called for each ``part_bytes`` of its body that arrive.
        Raises OSError if the connection fails, and CallError if the answer is
        malformed or its body longer than ``max_bytes``.
        """
        self._max_bytes = max_bytes
        self._part_bytes = part_bytes
        self._progressed = progressed
        self.has_begun = False
        if self._transport is None or self.is_closed:
            raise ConnectionResetError('connection to the store is closed')
        self._response = asyncio.get_running_loop().create_future()
        request = f'GET {path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n'
        self._transport.write(request.encode())
        return await self._response

    def close(self) -> None:
        """Abort the connection without waiting for an answer in progress."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        if exc is None:
            exc = ConnectionResetError('store closed the connection')
        self._fail(exc)

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser; data without a call ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(CallError(relay.StoreFault.MALFORMED, str(error)))
            self.close()
        self._check_length(len(self._body))

    def on_message_begin(self) -> None:
        self.has_begun = True
        self._body.clear()
        self._reported_bytes = 0
        self._era = relay.Era(0)
        if self._response is None or self._response.done():
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        match name.lower(), value.isdigit():
            case b'content-length', True:
                self._check_length(int(value))
            case b'store-era', True:
                self._era = relay.Era(int(value))
            case b'store-era', False:
                detail = f'header Store-Era is not a number: {value!r}'
                self._fail(CallError(relay.StoreFault.MALFORMED, detail))

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) >= self._reported_bytes + self._part_bytes:
            self._reported_bytes = len(self._body)
            self._progressed()

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.is_closed = True
        if self._response is not None and not self._response.done():
            self._used_at = time.monotonic()
            status = self._parser.get_status_code()
            self._response.set_result(Answer(status, self._era, bytes(self._body)))

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            detail = f'answer is longer than {self._max_bytes} bytes'
            self._fail(CallError(relay.StoreFault.TOO_LONG, detail))

    def _fail(self, error: Exception) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)
