"""UDP echo server, the baseline for the packet rate of the daemon.

Run as ``python -m bench._echo``. The port that the system chose is the first line
of its output.
"""

import asyncio
from typing import Any

import uvloop


class _EchoProtocol(asyncio.DatagramProtocol):
    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._transport.sendto(data, addr)


async def _main() -> None:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        _EchoProtocol, local_addr=('127.0.0.1', 0)
    )
    print(transport.get_extra_info('sockname')[1], flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    uvloop.run(_main())
