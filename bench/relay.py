"""Processor time per relayed packet, compared with a forwarder without logic.

Both use the same event loop and sockets.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable, Iterator

from lycheedeal import relay
from lycheedeal.datagrams import bind_datagrams, read_batch
from lycheedeal.hosting import SystemClock
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.platform._packets import (
    MAX_PACKET_BYTES,
    decode_packet,
    encode_forwarded,
)
from soak._packets import ACK, SYN, End, Segment

_PACKET_COUNT = 20_000
_BATCH_DATAGRAMS = 32
_LOOPBACK = '127.0.0.1'
_ROUTE_ADDRESS = End('198.18.0.1', 443)
_CALLER_ADDRESS = End('100.64.0.7', 40001)

PacketForwarder = Callable[[bytes], bytes]


def relay_kernel(target: Endpoint) -> relay.RelayKernel:
    """Return the kernel of a relay host with one route and one upstream."""
    peer = Endpoint(_LOOPBACK, 7720)
    settings = relay.RelaySettings(HostId('a'), Zone('z'), peer, 1, (), 6)
    context = relay.RelayContext(settings, SystemClock(), random.Random(1))
    kernel = relay.build_kernel(context)
    service = ServiceName('api')
    key = relay.route_key(_ROUTE_ADDRESS.ip, _ROUTE_ADDRESS.port)
    route = relay.Route(relay.RouteName('r'), key, ((service, 1),))
    listing = relay.Listing(
        UpstreamId('i-1'), service, target, Zone('z'), 2, False, 0, 1
    )
    kinds = relay.StoreKind
    version = relay.ConfigurationVersion(1)
    position = relay.Position(relay.Era(1), relay.Revision(1))
    kernel.dispatch(
        relay.ListAnswered(kinds.CONFIGURATION, position, (route,), version=version)
    )
    kernel.dispatch(relay.ListAnswered(kinds.UPSTREAMS, position, (listing,)))
    return kernel


def opening_packets(count: int) -> Iterator[relay.Packet]:
    """Yield the first packet of each of ``count`` different flows."""
    for one in range(count):
        caller = End(f'100.64.{one // 250 % 250}.{one % 250 + 1}', 40001 + one // 62500)
        yield decode_packet(Segment(caller, _ROUTE_ADDRESS, SYN).encode())


def _relay_forwarder(kernel: relay.RelayKernel) -> PacketForwarder:
    def forward(raw: bytes) -> bytes:
        for effect in kernel.dispatch(relay.PacketArrived(decode_packet(raw))):
            if isinstance(effect, relay.Forward):
                return encode_forwarded(effect.packet.raw, effect.token, 1)
        raise RuntimeError('the relay kernel did not forward the packet')

    return forward


async def _measure_microseconds(forward: PacketForwarder, raw: bytes) -> float:
    """Return processor time per packet in microseconds, including the sockets."""
    loop = asyncio.get_running_loop()
    ingress = bind_datagrams(Endpoint(_LOOPBACK, 0))
    sink = bind_datagrams(Endpoint(_LOOPBACK, 0))
    target = sink.getsockname()
    forwarded = 0

    def read() -> None:
        nonlocal forwarded
        for datagram in read_batch(ingress, MAX_PACKET_BYTES + 1):
            ingress.sendto(forward(datagram), target)
            forwarded += 1

    loop.add_reader(ingress, read)
    loop.add_reader(sink, lambda: list(read_batch(sink, MAX_PACKET_BYTES + 9)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        started = time.process_time()
        while forwarded < _PACKET_COUNT:
            for _ in range(_BATCH_DATAGRAMS):
                caller.sendto(raw, ingress.getsockname())
            await asyncio.sleep(0)
        cpu_seconds = time.process_time() - started
    for bound in (ingress, sink):
        loop.remove_reader(bound)
        bound.close()
    return cpu_seconds / forwarded * 1e6


def main() -> None:
    """Measure both forwarders and print one JSON line."""
    kernel = relay_kernel(Endpoint(_LOOPBACK, 9))
    forward = _relay_forwarder(kernel)
    opening = Segment(_CALLER_ADDRESS, _ROUTE_ADDRESS, SYN).encode()
    token = int.from_bytes(forward(opening)[-4:], 'little')
    data = Segment(
        _CALLER_ADDRESS, _ROUTE_ADDRESS, ACK, 1, 1, token, content=b'x' * 200
    ).encode()
    bare = asyncio.run(_measure_microseconds(lambda raw: raw, data))
    relayed = asyncio.run(_measure_microseconds(forward, data))
    figures = {
        'bench': 'relay',
        'packets': _PACKET_COUNT,
        'bare_microseconds': round(bare, 1),
        'relayed_microseconds': round(relayed, 1),
        'ratio': round(relayed / bare, 2),
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
