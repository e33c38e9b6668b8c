"""Cost of membership by zone size, as JSON lines.

Run as ``python -m bench.membership [SIZE...]``. Hosts run on virtual time. There
is one line for each size and phase: start, all hosts joined, a quiet zone, a
zone with 20% packet loss, the 10 s after a crash, and one more host joining.
Processor time is that of the kernel with the membership plug-in alone, without
sockets and codec.
"""

import json
import sys
import time
from collections.abc import Iterator

from bench.zone_network import ZoneNetwork, endpoint_of

ZONE_SIZES = (8, 16, 64, 343)
SEED = 1
CONVERGENCE_TIMEOUT_SECONDS = 120.0
HOST_LIST_LAG_SECONDS = 30.0


def measure(zone: ZoneNetwork, seconds: float) -> dict[str, float]:
    """Run for some virtual seconds; return the mean cost per host and second.

    ``false_deaths`` counts from the start of the zone.
    """
    for host in zone.hosts.values():
        host.sent_messages = 0
        host.sent_bytes = 0
        host.cpu_seconds = 0.0
    zone.run(seconds)
    hosts = zone.live_hosts()
    host_seconds = len(hosts) * seconds
    return {
        'messages_per_second': round(
            sum(one.sent_messages for one in hosts) / host_seconds, 2
        ),
        'bytes_per_second': round(sum(one.sent_bytes for one in hosts) / host_seconds),
        'max_bytes_per_second': round(max(one.sent_bytes for one in hosts) / seconds),
        'cpu_percent': round(
            100 * sum(one.cpu_seconds for one in hosts) / host_seconds, 3
        ),
        'false_deaths': sum(one.deaths for one in hosts),
    }


def measure_phases(count: int) -> Iterator[dict[str, object]]:
    """Yield one result for each phase of a zone of ``count`` hosts."""
    zone = ZoneNetwork(SEED, count_bytes=True)
    zone.host_list_lag_seconds = HOST_LIST_LAG_SECONDS
    zone.start_zone(count)
    yield {'phase': 'start', **measure(zone, 10)}
    joined = zone.seconds_until(
        lambda: zone.agree(zone.hosts), CONVERGENCE_TIMEOUT_SECONDS
    )
    yield {'phase': 'joined', 'seconds': round(10 + joined, 1)}
    zone.run(60)
    yield {'phase': 'quiet', **measure(zone, 30)}
    zone.loss = 0.2
    yield {'phase': 'loss', 'loss': zone.loss, **measure(zone, 60)}
    zone.loss = 0.0
    zone.run(30)
    yield {'phase': 'crash', **measure_crash(zone)}
    zone.run(30)
    yield {'phase': 'join', **measure_join(zone)}


def measure_crash(zone: ZoneNetwork) -> dict[str, float]:
    """Kill one host; return the seconds until no live host lists it, and the cost."""
    crashed = next(iter(zone.hosts))
    zone.kill(crashed)
    remaining = [name for name in zone.hosts if name != crashed]
    started = zone.clock.now
    cost = measure(zone, 10)
    cost.pop('false_deaths')
    extra = zone.seconds_until(
        lambda: zone.agree(remaining), CONVERGENCE_TIMEOUT_SECONDS
    )
    last = max(host.member_list_times[-1] for host in zone.live_hosts())
    return {'seconds': round(last - started, 1) if extra == 0 else 10 + extra, **cost}


def measure_join(zone: ZoneNetwork) -> dict[str, float]:
    """Start one more host; return seconds until all lists agree, and its traffic."""
    zone.start('new', endpoint_of(len(zone.hosts)), (endpoint_of(1),))
    zone.hosts.pop(next(iter(zone.hosts)))
    newest = zone.hosts['new']
    seconds = zone.seconds_until(
        lambda: zone.agree(zone.hosts), CONVERGENCE_TIMEOUT_SECONDS
    )
    own = newest.sent_messages, newest.sent_bytes
    return {'seconds': round(seconds, 1), 'messages': own[0], 'bytes': own[1]}


def main() -> None:
    """Print one JSON line for each size and phase; progress goes to stderr."""
    sizes = [int(one) for one in sys.argv[1:]] or ZONE_SIZES
    for count in sizes:
        started = time.perf_counter()
        for result in measure_phases(count):
            print(json.dumps({'bench': 'membership', 'hosts': count, **result}))
            sys.stdout.flush()
        seconds = round(time.perf_counter() - started, 1)
        print(f'{count} hosts took {seconds} s', file=sys.stderr)


if __name__ == '__main__':
    main()
