"""UDP sockets; loads nothing else, so that a process can bind them first."""

import socket
from collections.abc import Iterator
from typing import Final

from lycheedeal.ids import Endpoint

# Datagrams read before the loop looks at other sockets again.
_MAX_BATCH: Final = 64
_RECEIVE_BUFFER_BYTES: Final = 1024 * 1024


def bind_datagrams(
    endpoint: Endpoint,
    buffer_bytes: int = _RECEIVE_BUFFER_BYTES,
) -> socket.socket:
    """Return a non-blocking UDP socket; raises OSError."""
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.setblocking(False)
    datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    try:
        datagrams.bind(endpoint)
    except OSError:
        datagrams.close()
        raise
    return datagrams


def read_batch(datagrams: socket.socket, max_bytes: int) -> Iterator[bytes]:
    """Yield datagrams that have arrived, at most a batch of them."""
    for _ in range(_MAX_BATCH):
        try:
            yield datagrams.recv(max_bytes)
        except (BlockingIOError, ConnectionError):
            # A reset only tells that an earlier datagram found no listener.
            return
