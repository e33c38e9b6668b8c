"""UDP sockets.

The module imports little, so a process can bind its sockets early in its start.
"""

import socket
from collections.abc import Iterator
from typing import Final

from lycheedeal.ids import Endpoint

# Datagrams that are read before the event loop serves other sockets.
_MAX_BATCH: Final = 64
_RECEIVE_BUFFER_BYTES: Final = 1024 * 1024


def bind_datagrams(
    endpoint: Endpoint,
    buffer_bytes: int = _RECEIVE_BUFFER_BYTES,
) -> socket.socket:
    """Return a bound, non-blocking UDP socket; raises OSError."""
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
    """Yield the datagrams that have arrived, at most a batch of them.

    Datagrams are cut to ``max_bytes``.
    """
    for _ in range(_MAX_BATCH):
        try:
            yield datagrams.recv(max_bytes)
        except (BlockingIOError, ConnectionError):
            # A connection error only reports that an earlier datagram of this socket
            # found no listener.
            return
