"""What log lines cost at the usual load of a host and at ten times as much."""

import json
import tempfile
import time
from dataclasses import dataclass
from typing import Final

from bench.relay import opening_packets, relay_kernel
from lycheedeal import relay
from lycheedeal.hosting import LogWriter
from lycheedeal.ids import Endpoint

# New flows a second of a host at the size expected in two years.
_USUAL_OPENINGS: Final = 100
_LOADS: Final = (_USUAL_OPENINGS, 10 * _USUAL_OPENINGS)
_SECONDS = 10
_STEP_SECONDS = 0.1


@dataclass
class Cost:
    """Figures of one run; ``core`` is a share of a processor."""

    core: float
    lines: float
    bytes: float
    left_out: float


def measure(openings: int, logging: bool) -> Cost:
    """Forward openings for some seconds, with or without log lines."""
    kernel = relay_kernel(Endpoint('127.0.0.1', 9))
    packets = opening_packets(openings * _SECONDS)
    with tempfile.TemporaryFile() as output:
        logs = LogWriter(output.fileno(), 'host-1')
        logs.start()
        started, spent = time.monotonic(), time.process_time()
        for step in range(round(_SECONDS / _STEP_SECONDS)):
            for _ in range(round(openings * _STEP_SECONDS)):
                for effect in kernel.dispatch(relay.PacketArrived(next(packets))):
                    if logging and isinstance(effect, relay.LogRecord):
                        logs.write(effect)
            logs.tick(time.monotonic())
            due = started + (step + 1) * _STEP_SECONDS
            time.sleep(max(due - time.monotonic(), 0))
        logs.close()
        spent = time.process_time() - spent
        output.seek(0)
        text = output.read()
    return Cost(
        core=round(spent / _SECONDS, 4),
        lines=text.count(b'\n') / _SECONDS,
        bytes=len(text) / _SECONDS,
        left_out=logs.dropped_lines / _SECONDS,
    )


def main() -> None:
    """Print one JSON line for each load; all figures are a second."""
    for openings in _LOADS:
        silent = measure(openings, logging=False)
        logged = measure(openings, logging=True)
        figures = {
            'bench': 'relay_logs',
            'openings_per_second': openings,
            'core_without_logs': silent.core,
            'core_with_logs': logged.core,
            'lines_per_second': logged.lines,
            'bytes_per_second': logged.bytes,
            'left_out_per_second': logged.left_out,
        }
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
