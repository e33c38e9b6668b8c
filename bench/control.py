"""Control traffic, processor time and API calls by zone size, as JSON lines.

Runs hosts with the real kernel and plug-ins on virtual time (see ``scenarios``).
Bytes are those of encoded messages without UDP and IP headers; processor time
is that of the kernel, without sockets and codec. The cases vary one quantity at
a time, so that the cost of each can be derived: hosts in the zone, services
(with three upstreams each) in the zone, and configuration changes per second.
"""

import itertools
import json
import sys
import time
from collections import Counter
from typing import Any

from lycheedeal.configuration import encode_shard
from lycheedeal.model import (
    SHARD_COUNT,
    Endpoint,
    Generation,
    KindId,
    Service,
    ServiceName,
    ServiceNumber,
    Shard,
    ShardIndex,
    SpillRule,
    Upstream,
    UpstreamId,
    WorkKind,
    Zone,
    shard_of,
)
from scenarios import Simulation

ZONE = Zone('bench')
UPSTREAMS_PER_SERVICE = 3
# Longer than former owners of a service keep observing its upstreams.
SETTLE_SECONDS = 80.0
MEASUREMENT_SECONDS = 30.0
# Hosts, services, configuration changes per second.
CASES = (
    (8, 16, 0.0),
    (16, 16, 0.0),
    (64, 16, 0.0),
    (128, 16, 0.0),
    (16, 64, 0.0),
    (16, 160, 0.0),
    (16, 16, 0.2),
    (64, 16, 0.2),
    (64, 64, 0.0),
)


def _service_name(number: int) -> ServiceName:
    """Return a service name that hashes to the shard of this service number."""
    names = (ServiceName(f'service-{number}-{one}') for one in itertools.count())
    return next(name for name in names if shard_of(name) == number % SHARD_COUNT)


def _service(number: int) -> Service:
    upstreams = tuple(
        Upstream(
            UpstreamId(f'service-{number}-{one}'),
            Endpoint(f'10.{100 + number // 250}.{number % 250}.{one + 1}', 80),
            ZONE,
        )
        for one in range(UPSTREAMS_PER_SERVICE)
    )
    kinds = (
        WorkKind(KindId(1), 'checkin', 0),
        WorkKind(KindId(2), 'feed', 1, long=True),
    )
    address = Endpoint(f'192.0.{number // 250}.{number % 250 + 1}', 443)
    name = _service_name(number)
    return Service(
        number=ServiceNumber(number),
        name=name,
        address=address,
        spill=SpillRule.NEVER,
        kinds=kinds,
        upstreams=upstreams,
        next_kind=3,
    )


def _store_shards(simulation: Simulation, services: int) -> None:
    """Store services and start their upstreams, as if operators had created them."""
    for index in range(SHARD_COUNT):
        numbers = range(index + SHARD_COUNT, (services + 1) * SHARD_COUNT, SHARD_COUNT)
        shard_services = tuple(
            _service(number) for number in numbers if number < services + SHARD_COUNT
        )
        shard = Shard(
            ShardIndex(index),
            Generation(1),
            next_counter=len(shard_services) + 2,
            services=shard_services,
        )
        key = f'config/south/{index}'
        simulation.platform.objects[key] = (1, encode_shard(shard))
        for service in shard_services:
            for one in service.upstreams:
                simulation.add_upstream(
                    str(one.upstream_id), str(service.name), ZONE, one.endpoint
                )


def _toggle_drain(simulation: Simulation, rate: float, count: int) -> None:
    """Drain or undrain one upstream of the first service, then schedule the next.

    ``rate`` is in changes per second; ``count`` is the number of earlier changes.
    """
    service = _service_name(SHARD_COUNT)
    verb = 'undrain' if count % 2 else 'drain'
    simulation.send_statement(f'{verb} upstream service-{SHARD_COUNT}-0 of {service}')
    simulation.time.call_later(
        1 / rate, lambda: _toggle_drain(simulation, rate, count + 1)
    )


def measure(hosts: int, services: int, rate: float) -> dict[str, Any]:
    """Return the cost of control traffic in one case as a line of the report.

    ``rate`` is in configuration changes per second.
    """
    simulation = Simulation(seed=1)
    _store_shards(simulation, services)
    for number in range(hosts):
        simulation.add_host(f'host-{number}', ZONE)
    simulation.time.run_until(SETTLE_SECONDS)
    for host in simulation.hosts_by_name.values():
        host.trace.control_bytes = 0
        host.trace.control_bytes_by_type = Counter()
        host.cpu_seconds = 0
    calls = simulation.platform.calls.copy()
    if rate:
        simulation.time.call_later(0, lambda: _toggle_drain(simulation, rate, 0))
    started = time.process_time()
    simulation.time.run_until(SETTLE_SECONDS + MEASUREMENT_SECONDS)
    traces = [host.trace for host in simulation.live_hosts()]
    by_type: Counter[str] = Counter()
    for trace in traces:
        by_type.update(trace.control_bytes_by_type)
    total = sum(trace.control_bytes for trace in traces)
    cpu = sum(host.cpu_seconds for host in simulation.live_hosts())
    new_calls = simulation.platform.calls - calls
    return {
        'bench': 'control',
        'hosts': hosts,
        'services': services,
        'changes_per_second': rate,
        'bytes_per_host_second_mean': round(total / hosts / MEASUREMENT_SECONDS, 1),
        'bytes_per_host_second_max': round(
            max(trace.control_bytes for trace in traces) / MEASUREMENT_SECONDS, 1
        ),
        'core_percent_per_host': round(100 * cpu / hosts / MEASUREMENT_SECONDS, 3),
        'api_calls_per_second': round(sum(new_calls.values()) / MEASUREMENT_SECONDS, 2),
        'waiting_watches': simulation.platform.waiting_watches,
        'bytes_by_message': {
            name: round(size / hosts / MEASUREMENT_SECONDS, 1)
            for name, size in by_type.most_common()
        },
        'wall_seconds': round(time.process_time() - started, 1),
    }


def main() -> None:
    """Print one JSON line for each case.

    Each command-line argument adds a case with that many hosts.
    """
    extra_cases = tuple((int(size), 16, 0.0) for size in sys.argv[1:])
    for case in CASES + extra_cases:
        print(json.dumps(measure(*case)), flush=True)


if __name__ == '__main__':
    main()
