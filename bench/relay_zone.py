"""Messages and store calls of the relay by size of a zone, on virtual time."""

import json
import time
from collections import Counter

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from tests.relay_world import RelayHost, World, listing

_SIZES = (7, 35, 105)
_UPSTREAMS_PER_HOST = 0.6
_SETTLE_SECONDS = 8
_SECONDS = 10


class _CountingWorld(World):
    """Counts the bytes that each host sends."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_host: Counter[str] = Counter()

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        self.bytes_by_host[sender.context.settings.host_id] += len(datagram)
        super().send(sender, endpoint, datagram)


def measure(hosts: int) -> dict[str, object]:
    """Return figures for one idle zone."""
    world = _CountingWorld()
    upstreams = max(int(hosts * _UPSTREAMS_PER_HOST), 2)
    world.store.put(*(listing(f'i-{one:x}') for one in range(1, upstreams + 1)))
    for one in range(hosts):
        host = RelayHost(world, f'host-{one}', 'south', tuple(world.hosts)[:1])
        world.hosts[host.endpoint] = host
    for host in world.hosts.values():
        host.dispatch(relay.Started())
    world.run(_SETTLE_SECONDS)
    world.bytes_by_host.clear()
    world.store.calls.clear()
    started = time.process_time()
    world.run(_SECONDS)
    spent = time.process_time() - started
    busiest = max(world.bytes_by_host.values())
    return {
        'bench': 'relay_zone',
        'hosts': hosts,
        'upstreams': upstreams,
        'on_duty': len(world.on_duty()),
        'store_calls_per_second': len(world.store.calls) / _SECONDS,
        'bytes_per_second_mean': sum(world.bytes_by_host.values()) / hosts / _SECONDS,
        'bytes_per_second_on_duty': busiest / _SECONDS,
        'core_percent_mean': round(spent / hosts / _SECONDS * 100, 3),
    }


def main() -> None:
    """Print one JSON line for each size."""
    for size in _SIZES:
        print(json.dumps(measure(size)))


if __name__ == '__main__':
    main()
