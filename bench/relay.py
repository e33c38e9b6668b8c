"""Processor time of a relayed packet, beside a bare forwarder on the same loop."""

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

_PACKETS = 20_000
_BATCH = 32
_LOOPBACK = '127.0.0.1'
_ROUTE = End('198.18.0.1', 443)
_CALLER = End('100.64.0.7', 40001)

Forward = Callable[[bytes], bytes]


def relay_kernel(target: Endpoint) -> relay.RelayKernel:
    """Return the kernel of a host with one route and one upstream."""
    peer = Endpoint(_LOOPBACK, 7720)
    settings = relay.RelaySettings(HostId('a'), Zone('z'), peer, 1, (), 6)
    context = relay.RelayContext(settings, SystemClock(), random.Random(1))
    kernel = relay.build_kernel(context)
    service = ServiceName('api')
    key = relay.route_key(_ROUTE.ip, _ROUTE.port)
    route = relay.Route(relay.RouteName('r'), key, ((service, 1),))
    listing = relay.Listing(
        UpstreamId('i-1'), service, target, Zone('z'), 2, False, 0, 1
    )
    kinds = relay.StoreKind
    version = relay.ConfigurationVersion(1)
    revision = relay.Revision(1)
    kernel.dispatch(
        relay.ListAnswered(kinds.CONFIGURATION, revision, (route,), version=version)
    )
    kernel.dispatch(relay.ListAnswered(kinds.UPSTREAMS, revision, (listing,)))
    return kernel


def opening_packets(count: int) -> Iterator[relay.Packet]:
    """Yield the openings of different flows."""
    for one in range(count):
        caller = End(f'100.64.{one // 250 % 250}.{one % 250 + 1}', 40001 + one // 62500)
        yield decode_packet(Segment(caller, _ROUTE, SYN).encode())


def _relayed(kernel: relay.RelayKernel) -> Forward:
    def forward(raw: bytes) -> bytes:
        for effect in kernel.dispatch(relay.PacketArrived(decode_packet(raw))):
            if isinstance(effect, relay.Forward):
                return encode_forwarded(effect.packet.raw, effect.upstream.token, 1)
        raise RuntimeError('the packet was not forwarded')

    return forward


async def _measure(forward: Forward, raw: bytes) -> float:
    """Return microseconds of processor time for a packet, sockets included."""
    loop = asyncio.get_running_loop()
    entry = bind_datagrams(Endpoint(_LOOPBACK, 0))
    sink = bind_datagrams(Endpoint(_LOOPBACK, 0))
    target = sink.getsockname()
    done = 0

    def read() -> None:
        nonlocal done
        for datagram in read_batch(entry, MAX_PACKET_BYTES + 1):
            entry.sendto(forward(datagram), target)
            done += 1

    loop.add_reader(entry, read)
    loop.add_reader(sink, lambda: list(read_batch(sink, MAX_PACKET_BYTES + 9)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        started = time.process_time()
        while done < _PACKETS:
            for _ in range(_BATCH):
                caller.sendto(raw, entry.getsockname())
            await asyncio.sleep(0)
        spent = time.process_time() - started
    for bound in (entry, sink):
        loop.remove_reader(bound)
        bound.close()
    return spent / done * 1e6


def main() -> None:
    """Print one JSON line."""
    kernel = relay_kernel(Endpoint(_LOOPBACK, 9))
    forward = _relayed(kernel)
    opening = Segment(_CALLER, _ROUTE, SYN).encode()
    token = int.from_bytes(forward(opening)[-4:], 'little')
    data = Segment(_CALLER, _ROUTE, ACK, 1, 1, token, content=b'x' * 200).encode()
    bare = asyncio.run(_measure(lambda raw: raw, data))
    relayed = asyncio.run(_measure(forward, data))
    figures = {
        'bench': 'relay',
        'packets': _PACKETS,
        'bare_microseconds': round(bare, 1),
        'relayed_microseconds': round(relayed, 1),
        'ratio': round(relayed / bare, 2),
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
