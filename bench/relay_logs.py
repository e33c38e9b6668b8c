"""Cost of log lines of a relay host at the expected load, and at ten times that load.

The expected load is that of the system size in two years.
"""

import json
import tempfile
import time
from dataclasses import dataclass
from typing import Final

from bench.relay import opening_packets, relay_kernel
from lycheedeal import relay
from lycheedeal.hosting import LogWriter
from lycheedeal.ids import Endpoint

# Flows opened per second on a host at that system size.
_EXPECTED_OPENINGS_PER_SECOND: Final = 100
_LOADS: Final = (_EXPECTED_OPENINGS_PER_SECOND, 10 * _EXPECTED_OPENINGS_PER_SECOND)
_MEASUREMENT_SECONDS = 10
_STEP_SECONDS = 0.1


@dataclass
class Cost:
    """Cost of one run; ``cpu_share`` is processor time per second of wall time."""

    cpu_share: float
    lines_per_second: float
    bytes_per_second: float
    dropped_per_second: float


def measure(openings_per_second: int, logging: bool) -> Cost:
    """Open flows for some seconds, with or without writing log lines."""
    kernel = relay_kernel(Endpoint('127.0.0.1', 9))
    packets = opening_packets(openings_per_second * _MEASUREMENT_SECONDS)
    with tempfile.TemporaryFile() as output:
        logs = LogWriter(output.fileno(), 'host-1')
        logs.start()
        started, cpu_seconds = time.monotonic(), time.process_time()
        for step in range(round(_MEASUREMENT_SECONDS / _STEP_SECONDS)):
            for _ in range(round(openings_per_second * _STEP_SECONDS)):
                for effect in kernel.dispatch(relay.PacketArrived(next(packets))):
                    if logging and isinstance(effect, relay.LogRecord):
                        logs.write(effect)
            logs.tick(time.monotonic())
            due = started + (step + 1) * _STEP_SECONDS
            time.sleep(max(due - time.monotonic(), 0))
        logs.close()
        cpu_seconds = time.process_time() - cpu_seconds
        output.seek(0)
        text = output.read()
    return Cost(
        cpu_share=round(cpu_seconds / _MEASUREMENT_SECONDS, 4),
        lines_per_second=text.count(b'\n') / _MEASUREMENT_SECONDS,
        bytes_per_second=len(text) / _MEASUREMENT_SECONDS,
        dropped_per_second=logs.dropped_lines / _MEASUREMENT_SECONDS,
    )


def main() -> None:
    """Print one JSON line for each load; all figures are per second."""
    for openings_per_second in _LOADS:
        without_logs = measure(openings_per_second, logging=False)
        with_logs = measure(openings_per_second, logging=True)
        figures = {
            'bench': 'relay_logs',
            'openings_per_second': openings_per_second,
            'core_without_logs': without_logs.cpu_share,
            'core_with_logs': with_logs.cpu_share,
            'lines_per_second': with_logs.lines_per_second,
            'bytes_per_second': with_logs.bytes_per_second,
            'left_out_per_second': with_logs.dropped_per_second,
        }
        print(json.dumps(figures))


if __name__ == '__main__':
    main()
