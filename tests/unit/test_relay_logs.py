"""Log lines of the relay: bounded, and never in the way of the loop."""

import json
import os
import time
from collections.abc import Iterator

import pytest

from lycheedeal.hosting import LogWriter
from lycheedeal.relay import LogRecord, Part

LINES_PER_SECOND = 40
MAX_PENDING_BYTES = 256 * 1024
# A write that waits for the reader would wait for ever.
PROMPT_SECONDS = 1.0


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


def test_each_kind_has_its_budget(pipe: tuple[int, int]) -> None:
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
    (left_out,) = (line for line in written if line['kind'] == 'left out')
    assert left_out['kind_left_out'] == 'opening'
    assert left_out['lines'] == 100 - LINES_PER_SECOND
    logs.write(record('opening'))
    logs.tick(11)
    assert [line['kind'] for line in lines(reader)] == ['opening']


def test_reader_that_stops_holds_nothing_up(pipe: tuple[int, int]) -> None:
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
    assert time.monotonic() - started < PROMPT_SECONDS
    assert logs.left_out > 0
    text = read(reader)
    for second in range(50, 60):
        logs.tick(second * 2)
        text += read(reader)
    kinds = [json.loads(line)['kind'] for line in text.splitlines()]
    # All that was not counted as lost arrives, each line whole.
    assert kinds.count('opening') + logs.left_out == written
    assert 'left out' in kinds
    assert len(text) < 2 * MAX_PENDING_BYTES


def test_lines_for_a_reader_that_is_gone_are_counted(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    os.close(reader)
    for _ in range(10):
        logs.write(record('opening'))
    logs.tick(10)
    assert logs.left_out == 10


def test_close_writes_what_is_left(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    logs = LogWriter(writer, 'a')
    logs.start()
    logs.write(record('process'))
    logs.close()
    assert [line['kind'] for line in lines(reader)] == ['process']
