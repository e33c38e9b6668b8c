"""TCP proxy on loopback between one relay and the store; it can inject faults."""

import asyncio
import math
import time
from enum import Enum, unique

from lycheedeal.ids import Endpoint

_CHUNK_BYTES = 65536
# Chunks of a link with a limited rate, so that its connections take turns.
_NARROW_CHUNK_BYTES = 8192
# Added to each chunk while the fault is DELAYED.
_DELAY_SECONDS = 0.25


@unique
class LinkFault(Enum):
    """What the proxy does to the bytes of its connections."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    RESPONSES_DROPPED = 'responses dropped'
    REQUESTS_DROPPED = 'requests dropped'


class Proxy:
    """Accepts connections and forwards their bytes to one destination.

    All connections share a link of ``bytes_per_second`` for what comes back from there.
    """

    def __init__(
        self, destination: Endpoint, bytes_per_second: float = math.inf
    ) -> None:
        self.endpoint = Endpoint('127.0.0.1', 0)
        self.fault = LinkFault.NONE
        self.bytes_per_second = bytes_per_second
        self._link_free_at = 0.0
        self._destination = destination
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, which ``endpoint`` then holds."""
        self._server = await asyncio.start_server(self._connect, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()
        self.endpoint = Endpoint(ip, port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Abort all connections; new ones are accepted."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            destination = await asyncio.open_connection(*self._destination)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, destination[1]))
        requests = self._forward_bytes(
            reader, destination[1], LinkFault.REQUESTS_DROPPED
        )
        responses = self._forward_bytes(
            destination[0], writer, LinkFault.RESPONSES_DROPPED
        )
        await asyncio.gather(requests, responses)

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_fault: LinkFault,
    ) -> None:
        # A connection that was silent once stays silent after the fault, like one
        # whose state a firewall has lost.
        silent = False
        try:
            while chunk := await reader.read(self._chunk_bytes()):
                if dropping_fault is LinkFault.RESPONSES_DROPPED:
                    await self._pass_link(len(chunk))
                silent = silent or self.fault in {LinkFault.SILENT, dropping_fault}
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_SECONDS)
                if not silent:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
        else:
            writer.close()

    def _chunk_bytes(self) -> int:
        return (
            _CHUNK_BYTES if math.isinf(self.bytes_per_second) else _NARROW_CHUNK_BYTES
        )

    async def _pass_link(self, size: int) -> None:
        now = time.monotonic()
        self._link_free_at = max(self._link_free_at, now) + size / self.bytes_per_second
        if self._link_free_at > now:
            await asyncio.sleep(self._link_free_at - now)
