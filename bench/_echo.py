"""UDP echo server, the baseline for the packet rate of the daemon.

Run as ``python -m bench._echo PORT``.
"""

import asyncio
import sys
from typing import Any

import uvloop


class _EchoProtocol(asyncio.DatagramProtocol):
    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._transport.sendto(data, addr)


async def _main(port: int) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(_EchoProtocol, local_addr=('127.0.0.1', port))
    await asyncio.Event().wait()


if __name__ == '__main__':
    uvloop.run(_main(int(sys.argv[1])))
