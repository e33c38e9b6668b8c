"""Memory of the core by configured services, members and requests."""

import json
import random
import tracemalloc
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from bench.flows import bench_settings
from lycheedeal.configuration import decode_shard, encode_shard
from lycheedeal.kernel import (
    ConfigurationChanged,
    Context,
    Kernel,
    MembersChanged,
    Started,
    UpstreamChanged,
    load_plugins,
)
from lycheedeal.model import (
    SHARD_COUNT,
    ConfigurationView,
    Endpoint,
    Generation,
    HostId,
    Incarnation,
    KindId,
    Member,
    Service,
    ServiceName,
    ServiceNumber,
    Shard,
    ShardIndex,
    Upstream,
    UpstreamId,
    UpstreamState,
    WorkKind,
    Zone,
)
from lycheedeal.runtime import SystemClock

UPSTREAMS = 7
OWNED = 8
SERVICES = (100, 400, 1333)
MEMBERS = (16, 64, 343)
ZONE = Zone('bench')


def _service(number: int) -> Service:
    """Return a service as it comes out of the stored form."""
    upstreams = tuple(
        Upstream(
            UpstreamId(f'service-{number}-{one}'),
            Endpoint(f'10.{number >> 8}.{number & 255}.{one + 1}', 80),
            ZONE,
        )
        for one in range(UPSTREAMS)
    )
    service = Service(
        ServiceNumber(number),
        ServiceName(f'service-{number}'),
        Endpoint(f'192.0.{number >> 8}.{number & 255}', 443),
        kinds=tuple(
            WorkKind(KindId(one), f'kind-{one}', one, long=one == 1)
            for one in range(1, 4)
        ),
        upstreams=upstreams,
        next_kind=4,
    )
    index = ShardIndex(number % SHARD_COUNT)
    body = encode_shard(Shard(index, Generation(1), services=(service,)))
    return decode_shard(body, index).services[0]


def _member(number: int) -> Member:
    return Member(
        HostId(f'host-{number}'),
        ZONE,
        Endpoint(f'10.0.{number >> 8}.{number & 255}', 2),
        Endpoint(f'10.0.{number >> 8}.{number & 255}', 3),
        Endpoint(f'10.0.{number >> 8}.{number & 255}', 4),
        Incarnation(number),
    )


def _kernel() -> Kernel:
    context = Context(bench_settings(), SystemClock(), random.Random(1), Incarnation(1))
    kernel = Kernel(context, load_plugins())
    kernel.dispatch(Started())
    return kernel


def _grown(action: Callable[[], object]) -> int:
    """Return the bytes that stay allocated after an action."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = action()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def _configure(kernel: Kernel, count: int) -> object:
    services = [_service(number) for number in range(SHARD_COUNT, SHARD_COUNT + count)]
    view = ConfigurationView(
        MappingProxyType({one.number: one for one in services}),
        MappingProxyType({one.address: one for one in services}),
    )
    kernel.dispatch(ConfigurationChanged(view))
    return view


def _own(kernel: Kernel, count: int) -> None:
    for number in range(SHARD_COUNT, SHARD_COUNT + count):
        for one in _service(number).upstreams:
            kernel.dispatch(
                UpstreamChanged(
                    ServiceNumber(number),
                    one.upstream_id,
                    one.endpoint,
                    UpstreamState.READY,
                    Incarnation(1),
                    1,
                ),
            )


def _join(kernel: Kernel, count: int) -> None:
    kernel.dispatch(MembersChanged(tuple(map(_member, range(count)))))


def main() -> None:
    """Print JSON lines."""
    for count in SERVICES:
        kernel = _kernel()
        size = _grown(partial(_configure, kernel, count))
        owned = _grown(partial(_own, kernel, OWNED))
        line = {
            'bench': 'memory',
            'services': count,
            'bytes_per_service': round(size / count),
            'bytes_per_owned_upstream': round(owned / OWNED / UPSTREAMS),
        }
        print(json.dumps(line), flush=True)
    for count in MEMBERS:
        kernel = _kernel()
        size = _grown(partial(_join, kernel, count))
        line = {
            'bench': 'memory',
            'members': count,
            'bytes_per_member': round(size / count),
        }
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
