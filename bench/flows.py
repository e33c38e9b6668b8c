"""Flows opened per second of processor time, and memory per open flow."""

import json
import random
import time
import tracemalloc
from types import MappingProxyType

from lycheedeal.kernel import (
    CallerMessage,
    ConfigurationChanged,
    Context,
    Kernel,
    MembersChanged,
    SendToCaller,
    SendToUpstream,
    Started,
    UpstreamChanged,
    UpstreamMessage,
    load_plugins,
)
from lycheedeal.messages import FlowAccepted, FlowOpen, Open
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowClass,
    FlowFields,
    HostId,
    HostSettings,
    Incarnation,
    KindId,
    Region,
    Service,
    ServiceName,
    ServiceNumber,
    Upstream,
    UpstreamId,
    UpstreamState,
    WorkKind,
    Zone,
)
from lycheedeal.runtime import SystemClock
from lycheedeal.steering import RouteTable
from lycheedeal.wire import decode, encode

ZONE = Zone('bench')
SERVICE_ADDRESS = Endpoint('192.0.2.1', 443)
SERVICE_NUMBER = ServiceNumber(17)
NEW_FLOWS = 10_000


def bench_settings() -> HostSettings:
    """Return settings of a host without peers; its endpoints are never bound."""
    loopback = '127.0.0.1'
    return HostSettings(
        host_id=HostId('bench-1'),
        region=Region('bench'),
        zone=ZONE,
        data=Endpoint(loopback, 1),
        peer=Endpoint(loopback, 2),
        gossip=Endpoint(loopback, 3),
        admin=Endpoint(loopback, 4),
        platform_url='http://127.0.0.1:5',
        flow_key=b'bench flow key 0',
    )


def _build_kernel() -> Kernel:
    """Return the kernel of a host that owns one service with seven ready upstreams."""
    context = Context(bench_settings(), SystemClock(), random.Random(1), Incarnation(1))
    kernel = Kernel(context, load_plugins())
    upstreams = tuple(
        Upstream(
            UpstreamId(f'u{one}'), Endpoint('127.0.0.2', one), ZONE, connections=9999
        )
        for one in range(1, 8)
    )
    kinds = (
        WorkKind(KindId(1), 'feed', 0, long=True),
        WorkKind(KindId(2), 'checkin', 0),
    )
    service = Service(
        SERVICE_NUMBER,
        ServiceName('api'),
        SERVICE_ADDRESS,
        kinds=kinds,
        upstreams=upstreams,
    )
    view = ConfigurationView(
        MappingProxyType({SERVICE_NUMBER: service}),
        MappingProxyType({SERVICE_ADDRESS: service}),
    )
    kernel.dispatch(Started())
    kernel.dispatch(ConfigurationChanged(view))
    kernel.dispatch(MembersChanged((context.member,)))
    for one in upstreams:
        kernel.dispatch(
            UpstreamChanged(
                SERVICE_NUMBER,
                one.upstream_id,
                one.endpoint,
                UpstreamState.READY,
                Incarnation(1),
                1,
            ),
        )
    return kernel


def _measure_open_rate(kind_id: int) -> float:
    """Return flows opened per second of processor time.

    The time includes encoding and decoding the messages.
    """
    kernel = _build_kernel()
    callers = [Endpoint('10.0.0.1', port) for port in range(1, NEW_FLOWS + 1)]
    opened = 0
    started = time.process_time()
    for caller in callers:
        message = decode(encode(Open(caller.port, KindId(kind_id))))
        pending = kernel.dispatch(CallerMessage(caller, SERVICE_ADDRESS, message))
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, SendToUpstream) and isinstance(
                effect.message, FlowOpen
            ):
                flow_open = decode(encode(effect.message))
                accepted = FlowAccepted(flow_open.flow_id)
                event = UpstreamMessage(effect.upstream, 0, decode(encode(accepted)))
                pending += kernel.dispatch(event)
            elif isinstance(effect, SendToCaller):
                encode(effect.message)
                opened += 1
    if opened != NEW_FLOWS:
        raise SystemExit(f'only {opened} of {NEW_FLOWS} flows were opened')
    return opened / (time.process_time() - started)


def _bytes_per_flow(count: int) -> float:
    """Return the memory of one entry in a route table that holds ``count`` flows."""
    fields = FlowFields(
        flow_class=FlowClass.LONG,
        kind_id=KindId(1),
        service=SERVICE_NUMBER,
        owner=Endpoint('127.0.0.1', 2),
        owner_incarnation=Incarnation(1),
        nonce=0,
        upstream=Endpoint('127.0.0.2', 1),
        upstream_incarnation=Incarnation(1),
    )
    rng = random.Random(1)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = RouteTable(count)
    for _ in range(count):
        table.add(rng.randbytes(52), fields)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if len(table) != count:
        raise SystemExit('route table dropped flows although it was not full')
    return (after - before) / count


def main() -> None:
    """Print one JSON line for each flow class and each table size."""
    for name, kind_id in (('long', 1), ('request', 2)):
        rate = round(_measure_open_rate(kind_id))
        line = {'bench': 'new_flows', 'class': name, 'flows_per_cpu_second': rate}
        print(json.dumps(line), flush=True)
    for count in (100_000, 200_000, 300_000):
        size = round(_bytes_per_flow(count), 1)
        line = {'bench': 'flow_memory', 'flows': count, 'bytes_per_flow': size}
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
