"""Structured log lines as JSON, rate-limited and written without blocking."""

import json
import os
import time
from collections import deque
from typing import Final

from lycheedeal.relay import LogRecord, Part

# Limit for each kind of line. Kinds with a line for each packet would otherwise
# flood the log.
_LINES_PER_SECOND: Final = 40
# Buffer for lines that a slow reader has not taken yet.
_MAX_PENDING_BYTES: Final = 256 * 1024


class LogWriter:
    """Writes one JSON object a line and never blocks the event loop.

    Lines over the rate limit of their kind, over the size of the buffer or
    after the reader has closed are dropped; ``dropped_lines`` counts them.
    """

    def __init__(self, descriptor: int, host_id: str) -> None:
        """Write to an open descriptor, which ``start`` sets to non-blocking.

        ``host_id`` is written to each line.
        """
        self._descriptor = descriptor
        self._host_id = host_id
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._lines_by_kind: dict[str, int] = {}
        self._dropped_by_kind: dict[str, int] = {}
        self._window_started_at = 0.0
        self.dropped_lines = 0

    def start(self) -> None:
        """Set the descriptor to non-blocking."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Write the remaining lines as far as the reader takes them."""
        self._report_dropped()
        self.flush()

    def write(self, record: LogRecord) -> None:
        """Queue a line, or drop it over the rate limit or if the buffer is full."""
        count = self._lines_by_kind.get(record.kind, 0)
        if count >= _LINES_PER_SECOND:
            self._drop(record.kind)
            return
        self._lines_by_kind[record.kind] = count + 1
        if not self._enqueue(record):
            self._drop(record.kind)

    def flush(self) -> None:
        """Write queued lines until all are written or the reader takes no more."""
        while self._pending:
            chunk = b''.join(self._pending)
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed: the lines are dropped and counted.
                self.dropped_lines += chunk.count(b'\n')
                written = len(chunk)
            self._pending.clear()
            self._pending_bytes = len(chunk) - written
            if written < len(chunk):
                self._pending.append(chunk[written:])
                return

    def tick(self, now: float) -> None:
        """Reset the rate limits once a second, report drops and flush.

        ``now`` is monotonic time in seconds.
        """
        if now >= self._window_started_at + 1:
            self._window_started_at = now
            self._report_dropped()
            self._lines_by_kind.clear()
        self.flush()

    def _report_dropped(self) -> None:
        reported = [
            kind
            for kind, count in self._dropped_by_kind.items()
            if self._enqueue(
                LogRecord(
                    Part.LOG,
                    'left out',
                    'Lines of one kind were dropped: rate limit or full output buffer.',
                    {'kind_left_out': kind, 'lines': count},
                ),
            )
        ]
        for kind in reported:
            self._dropped_by_kind.pop(kind)

    def _drop(self, kind: str) -> None:
        self.dropped_lines += 1
        self._dropped_by_kind[kind] = self._dropped_by_kind.get(kind, 0) + 1

    def _enqueue(self, record: LogRecord) -> bool:
        """Queue a line; return False if the buffer is full."""
        line = json.dumps(
            {
                'time': round(time.time(), 4),
                'host': self._host_id,
                'part': record.part.value,
                'kind': record.kind,
                'text': f'{record.part.value}: {record.text}',
                **record.details,
            },
            separators=(',', ':'),
        ).encode()
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            return False
        self._pending.extend((line, b'\n'))
        self._pending_bytes += len(line) + 1
        return True
