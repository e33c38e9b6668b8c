"""Loopback proxy between one relay and the store, with faults."""

import asyncio
from enum import Enum, unique

from lycheedeal.ids import Endpoint

_CHUNK = 65536
_DELAY_SECONDS = 0.25


@unique
class LinkFault(Enum):
    """What a link does to the bytes of its connections."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    NO_ANSWERS = 'no answers'
    NO_QUESTIONS = 'no questions'


class Proxy:
    """Accepts connections and passes their bytes on."""

    def __init__(self, target: Endpoint) -> None:
        self.endpoint = Endpoint('127.0.0.1', 0)
        self.fault = LinkFault.NONE
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connect, '127.0.0.1', 0)
        ip, port = self._server.sockets[0].getsockname()
        self.endpoint = Endpoint(ip, port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, target[1]))
        questions = self._pass(reader, target[1], LinkFault.NO_QUESTIONS)
        answers = self._pass(target[0], writer, LinkFault.NO_ANSWERS)
        await asyncio.gather(questions, answers)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkFault,
    ) -> None:
        # A connection that went silent stays so, as behind a lost state table.
        silent = False
        try:
            while chunk := await reader.read(_CHUNK):
                silent = silent or self.fault in {LinkFault.SILENT, cut}
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_SECONDS)
                if not silent:
                    writer.write(chunk)
        except OSError:
            writer.transport.abort()
        else:
            writer.close()
