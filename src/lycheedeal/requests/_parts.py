"""Assembly of bodies that come in parts, and division into parts."""

from collections.abc import Iterator
from typing import Final

MAX_PARTS: Final = 64
MAX_REQUEST_BYTES: Final = 256 * 1024
MAX_ANSWER_BYTES: Final = 1024 * 1024
CHUNK_BYTES: Final = 32 * 1024


class ByteBudget:
    """Limit on the bytes of bodies and answers that one host holds."""

    def __init__(self, limit: int) -> None:
        """Start with nothing reserved."""
        self._limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; False and no effect if the limit would be passed."""
        if self.reserved + size > self._limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes."""
        self.reserved -= size


class PartBuffer:
    """Parts of one body; the first copy of each part counts."""

    __slots__ = ('_bodies', 'parts', 'size')

    def __init__(self, parts: int) -> None:
        """Expect this number of parts."""
        self.parts = parts
        self.size = 0
        self._bodies: dict[int, bytes] = {}

    @property
    def complete(self) -> bool:
        """Whether every part is there."""
        return len(self._bodies) == self.parts

    def has_part(self, part: int) -> bool:
        """Tell whether a part is there."""
        return part in self._bodies

    def add(self, part: int, body: bytes) -> None:
        """Store a part that is not there yet."""
        self._bodies[part] = body
        self.size += len(body)

    def join(self) -> bytes:
        """Return the complete body."""
        return b''.join(self._bodies[part] for part in range(self.parts))


def split_body(body: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yield part number, number of parts and chunk; one part if empty."""
    parts = max(1, -(-len(body) // CHUNK_BYTES))
    for part in range(parts):
        start = part * CHUNK_BYTES
        yield part, parts, body[start : start + CHUNK_BYTES]
