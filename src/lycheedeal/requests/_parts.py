"""Splits bodies into parts that fit a message, and reassembles them."""

from collections.abc import Iterator
from typing import Final

MAX_PARTS: Final = 64
MAX_REQUEST_BYTES: Final = 256 * 1024
MAX_ANSWER_BYTES: Final = 1024 * 1024
CHUNK_BYTES: Final = 32 * 1024


class ByteBudget:
    """Limits the bytes of request bodies and answers that one host holds."""

    def __init__(self, limit: int) -> None:
        """Create a budget; ``limit`` is in bytes."""
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False, without effect, if they exceed the limit."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.reserved -= size


class PartBuffer:
    """Collects the parts of one body.

    ``parts`` is the expected number of parts, ``size`` the bytes received.
    Callers must add each part only once.
    """

    __slots__ = ('_bodies', 'parts', 'size')

    def __init__(self, parts: int) -> None:
        """Create an empty buffer for a body of this number of parts."""
        self.parts = parts
        self.size = 0
        self._bodies: dict[int, bytes] = {}

    @property
    def complete(self) -> bool:
        """Whether every part has been received."""
        return len(self._bodies) == self.parts

    def has_part(self, part: int) -> bool:
        """Return whether a part has been received."""
        return part in self._bodies

    def add(self, part: int, body: bytes) -> None:
        """Store a part that has not been received before."""
        self._bodies[part] = body
        self.size += len(body)

    def join(self) -> bytes:
        """Return the body; raises KeyError if a part is missing."""
        return b''.join(self._bodies[part] for part in range(self.parts))


def split_body(body: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yield part number, number of parts and chunk for each part of a body.

    An empty body has one empty part.
    """
    parts = max(1, -(-len(body) // CHUNK_BYTES))
    for part in range(parts):
        start = part * CHUNK_BYTES
        yield part, parts, body[start : start + CHUNK_BYTES]
