"""Minimal HTTP/1.1 server for readiness probes and metrics scrapes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Final

import httptools

from lycheedeal.ids import Endpoint

# The connection of a longer request is closed; those of the platform are far shorter.
_MAX_REQUEST_BYTES: Final = 8192


@unique
class HttpStatus(IntEnum):
    """The status codes in use.

    http.HTTPStatus is avoided because its import takes 2 ms.
    """

    OK = 200
    BAD_REQUEST = 400
    NOT_FOUND = 404
    SERVICE_UNAVAILABLE = 503


@dataclass(slots=True, eq=False, repr=False)
class HttpResponse:
    """Response to one request."""

    status: HttpStatus
    body: bytes = b''
    content_type: str = 'text/plain'


# Called with the path and the query of a request.
RequestHandler = Callable[[str, str], HttpResponse]


class HttpServer:
    """Answers HTTP requests at one address."""

    def __init__(self, endpoint: Endpoint, handler: RequestHandler) -> None:
        """Answer each request with the response of ``handler``.

        The path and its query are passed apart, the query as it was encoded.
        """
        self._endpoint = endpoint
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at the address; raises OSError if it is in use."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self._handler),
            self._endpoint.ip,
            self._endpoint.port,
        )

    def close(self) -> None:
        """Stop listening; open connections are not closed."""
        if self._server is not None:
            self._server.close()


class _Connection(asyncio.Protocol):
    """One connection, kept alive as the client asks; answers are in order."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._transport is None:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.close()
        if self._received_bytes > _MAX_REQUEST_BYTES:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._target = b''

    def on_url(self, url: bytes) -> None:
        # Called for each piece of a target that arrives in several.
        self._target += url

    def on_message_complete(self) -> None:
        if self._transport is None:
            return
        self._received_bytes = 0
        path, _, query = self._target.decode('latin-1').partition('?')
        response = self._handler(path, query)
        keep_alive = self._parser.should_keep_alive()
        head = (
            f'HTTP/1.1 {response.status.value} {response.status.name}\r\n'
            f'Content-Type: {response.content_type}\r\n'
            f'Content-Length: {len(response.body)}\r\n'
            f'Connection: {"keep-alive" if keep_alive else "close"}\r\n\r\n'
        )
        self._transport.write(head.encode() + response.body)
        if not keep_alive:
            self._transport.close()
