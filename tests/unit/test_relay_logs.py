"""Log writer of the relay: rate limit, bounded buffer and non-blocking writes."""

import json
import os
import time
from collections.abc import Iterator

import pytest

from lycheedeal.hosting import LogWriter
from lycheedeal.relay import LogRecord, Part

LINES_PER_SECOND = 40
MAX_PENDING_BYTES = 256 * 1024
# A blocking write would never return, because nothing reads the pipe meanwhile.
MAX_BLOCKED_SECONDS = 1.0


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def record(kind: str, filler: str = '') -> LogRecord:
    return LogRecord(
        Part.FORWARDING, kind, 'Opening was forwarded.', {'filler': filler}
    )


def read(reader: int) -> bytes:
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b''


def lines(reader: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in read(reader).splitlines()]


def test_lines_of_each_kind_are_rate_limited(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    for _ in range(100):
        logs.write(record('opening'))
    logs.write(record('duty'))
    logs.tick(10)
    written = lines(reader)
    kinds = [line['kind'] for line in written]
    assert kinds.count('opening') == LINES_PER_SECOND
    assert kinds.count('duty') == 1
    (drop_report,) = (line for line in written if line['kind'] == 'left out')
    assert drop_report['kind_left_out'] == 'opening'
    assert drop_report['lines'] == 100 - LINES_PER_SECOND
    logs.write(record('opening'))
    logs.tick(11)
    assert [line['kind'] for line in lines(reader)] == ['opening']


def test_stalled_reader_does_not_block_the_writer(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    started = time.monotonic()
    written = 0
    for second in range(50):
        for _ in range(LINES_PER_SECOND):
            logs.write(record('opening', 'x' * 500))
            written += 1
        logs.tick(second * 2)
    assert time.monotonic() - started < MAX_BLOCKED_SECONDS
    assert logs.dropped_lines > 0
    text = read(reader)
    for second in range(50, 60):
        logs.tick(second * 2)
        text += read(reader)
    kinds = [json.loads(line)['kind'] for line in text.splitlines()]
    # Every line not counted as dropped arrives complete.
    assert kinds.count('opening') + logs.dropped_lines == written
    assert 'left out' in kinds
    assert len(text) < 2 * MAX_PENDING_BYTES


def test_lines_after_the_reader_closed_are_counted(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    os.close(reader)
    for _ in range(10):
        logs.write(record('opening'))
    logs.tick(10)
    assert logs.dropped_lines == 10


def test_close_flushes_pending_lines(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    logs.write(record('process'))
    logs.close()
    assert [line['kind'] for line in lines(reader)] == ['process']
