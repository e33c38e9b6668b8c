"""Peer traffic and store calls of the relay by zone size, on virtual time."""

import json
import time

from tests.relay_simulation import CountingSimulation, listing

_ZONE_SIZES = (7, 35, 105)
_UPSTREAMS_PER_HOST = 0.6
_SETTLE_SECONDS = 8
_MEASUREMENT_SECONDS = 10


def measure(hosts: int) -> dict[str, object]:
    """Return the cost of one idle zone as a line of the report."""
    simulation = CountingSimulation()
    upstreams = max(int(hosts * _UPSTREAMS_PER_HOST), 2)
    simulation.store.put(*(listing(f'i-{one:x}') for one in range(1, upstreams + 1)))
    simulation.add_together(hosts, _SETTLE_SECONDS)
    simulation.bytes_by_host.clear()
    simulation.store.calls.clear()
    started = time.process_time()
    simulation.run(_MEASUREMENT_SECONDS)
    cpu_seconds = time.process_time() - started
    max_bytes = max(simulation.bytes_by_host.values())
    return {
        'bench': 'relay_zone',
        'hosts': hosts,
        'upstreams': upstreams,
        'on_duty': len(simulation.leaders()),
        'store_calls_per_second': len(simulation.store.calls) / _MEASUREMENT_SECONDS,
        'bytes_per_second_mean': sum(simulation.bytes_by_host.values())
        / hosts
        / _MEASUREMENT_SECONDS,
        'bytes_per_second_on_duty': max_bytes / _MEASUREMENT_SECONDS,
        'core_percent_mean': round(cpu_seconds / hosts / _MEASUREMENT_SECONDS * 100, 3),
    }


def main() -> None:
    """Print one JSON line for each zone size."""
    for size in _ZONE_SIZES:
        print(json.dumps(measure(size)))


if __name__ == '__main__':
    main()
