"""Memory of the kernel and plug-ins by number of services and zone members."""

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

UPSTREAMS_PER_SERVICE = 7
OWNED_SERVICES = 8
SERVICE_COUNTS = (100, 400, 1333)
MEMBER_COUNTS = (16, 64, 343)
ZONE = Zone('bench')


def _service(number: int) -> Service:
    """Return a service decoded from a stored shard, as a host has it in memory."""
    upstreams = tuple(
        Upstream(
            UpstreamId(f'service-{number}-{one}'),
            Endpoint(f'10.{number >> 8}.{number & 255}.{one + 1}', 80),
            ZONE,
        )
        for one in range(UPSTREAMS_PER_SERVICE)
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


def _build_kernel() -> Kernel:
    context = Context(bench_settings(), SystemClock(), random.Random(1), Incarnation(1))
    kernel = Kernel(context, load_plugins())
    kernel.dispatch(Started())
    return kernel


def _allocated_bytes(action: Callable[[], object]) -> int:
    """Return the bytes that an action and its result leave allocated."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = action()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return after - before


def _set_configuration(kernel: Kernel, count: int) -> object:
    services = [_service(number) for number in range(SHARD_COUNT, SHARD_COUNT + count)]
    view = ConfigurationView(
        MappingProxyType({one.number: one for one in services}),
        MappingProxyType({one.address: one for one in services}),
    )
    kernel.dispatch(ConfigurationChanged(view))
    return view


def _set_upstreams_ready(kernel: Kernel, count: int) -> None:
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


def _set_members(kernel: Kernel, count: int) -> None:
    kernel.dispatch(MembersChanged(tuple(map(_member, range(count)))))


def main() -> None:
    """Print one JSON line for each number of services and of members."""
    for count in SERVICE_COUNTS:
        kernel = _build_kernel()
        size = _allocated_bytes(partial(_set_configuration, kernel, count))
        owned = _allocated_bytes(partial(_set_upstreams_ready, kernel, OWNED_SERVICES))
        line = {
            'bench': 'memory',
            'services': count,
            'bytes_per_service': round(size / count),
            'bytes_per_owned_upstream': round(
                owned / OWNED_SERVICES / UPSTREAMS_PER_SERVICE
            ),
        }
        print(json.dumps(line), flush=True)
    for count in MEMBER_COUNTS:
        kernel = _build_kernel()
        size = _allocated_bytes(partial(_set_members, kernel, count))
        line = {
            'bench': 'memory',
            'members': count,
            'bytes_per_member': round(size / count),
        }
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
