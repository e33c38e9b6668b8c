"""Structured log lines on standard output, bounded and never blocking."""

import json
import os
import time
from collections import deque
from typing import Final

from lycheedeal.relay import LogRecord, Part

# Lines a second of each kind; kinds that report one packet each are the ones
# that can flood.
_LINES_PER_SECOND: Final = 40
# Lines that wait for a slow reader, in bytes.
_MAX_PENDING_BYTES: Final = 256 * 1024


class LogWriter:
    """Writes one JSON object a line; what does not fit is counted."""

    def __init__(self, descriptor: int, host_id: str) -> None:
        """Write to an open descriptor, which is set to non-blocking."""
        self._descriptor = descriptor
        self._host_id = host_id
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._lines_by_kind: dict[str, int] = {}
        self._left_out_by_kind: dict[str, int] = {}
        self._window_at = 0.0
        self.left_out = 0

    def start(self) -> None:
        """Prepare the descriptor."""
        os.set_blocking(self._descriptor, False)

    def close(self) -> None:
        """Write what the reader still takes."""
        self._report_left_out()
        self.flush()

    def write(self, record: LogRecord) -> None:
        """Queue a line, unless its kind has used up its budget."""
        count = self._lines_by_kind.get(record.kind, 0)
        if count >= _LINES_PER_SECOND:
            self._leave_out(record.kind)
            return
        self._lines_by_kind[record.kind] = count + 1
        if not self._queue(record):
            self._leave_out(record.kind)

    def flush(self) -> None:
        """Write queued lines until the reader takes no more."""
        while self._pending:
            chunk = b''.join(self._pending)
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the count of lost lines remains.
                self.left_out += chunk.count(b'\n')
                written = len(chunk)
            self._pending.clear()
            self._pending_bytes = len(chunk) - written
            if written < len(chunk):
                self._pending.append(chunk[written:])
                return

    def tick(self, now: float) -> None:
        """Start a new second of the budgets, and flush."""
        if now >= self._window_at + 1:
            self._window_at = now
            self._report_left_out()
            self._lines_by_kind.clear()
        self.flush()

    def _report_left_out(self) -> None:
        reported = [
            kind
            for kind, count in self._left_out_by_kind.items()
            if self._queue(
                LogRecord(
                    Part.LOG,
                    'left out',
                    'Lines were left out.',
                    {'kind_left_out': kind, 'lines': count},
                ),
            )
        ]
        for kind in reported:
            self._left_out_by_kind.pop(kind)

    def _leave_out(self, kind: str) -> None:
        self.left_out += 1
        self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + 1

    def _queue(self, record: LogRecord) -> bool:
        """Queue a line; False if too much is waiting."""
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
