"""Packet rate of the daemon for established flows, compared with a UDP echo.

Rates are per second of processor time and per second of wall time.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Iterator
from typing import Any

import uvloop

from bench._processes import (
    FLOW_KEY,
    LOOPBACK,
    cpu_seconds,
    daemon,
    program,
    resident_bytes,
    thread_count,
)
from lycheedeal.model import (
    Endpoint,
    FlowClass,
    FlowFields,
    FlowIdCodec,
    Incarnation,
    KindId,
    ServiceNumber,
)
from lycheedeal.wire import FabricHeader, caller_packet, pack_fabric_header

FLOW_COUNT = 1000
DATAGRAMS_IN_FLIGHT = 200
MEASUREMENT_SECONDS = 3.0
PAYLOAD = bytes(100)


class _Caller(asyncio.DatagramProtocol):
    """Sends a new datagram for each received one, to keep the number in flight."""

    def __init__(self, target: Endpoint, datagrams: list[bytes]) -> None:
        self._target = target
        self._datagrams = datagrams
        self.received = 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def send(self, count: int) -> None:
        for _ in range(count):
            self.transport.sendto(random.choice(self._datagrams), self._target)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received += 1
        self.transport.sendto(
            self._datagrams[self.received % len(self._datagrams)], self._target
        )


class _Upstream(asyncio.DatagramProtocol):
    """Sends flow packets back unchanged, as both directions have the same layout.

    Other messages, such as hellos, are ignored.
    """

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        # Type byte of a packet of an established flow.
        if data[0] == 0x11:
            self._transport.sendto(data, addr)


def _bind_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
    bound.bind(('127.0.0.1', 0))
    return bound


def flow_packets(caller: Endpoint, upstream: Endpoint, count: int) -> Iterator[bytes]:
    """Yield one datagram for each of ``count`` flows, as the fabric delivers it."""
    codec = FlowIdCodec(FLOW_KEY)
    header = pack_fabric_header(FabricHeader(caller, Endpoint('192.0.2.1', 443)))
    for nonce in range(count):
        fields = FlowFields(
            flow_class=FlowClass.LONG,
            kind_id=KindId(1),
            service=ServiceNumber(1),
            owner=Endpoint('127.0.0.1', 9),
            owner_incarnation=Incarnation(1),
            nonce=nonce,
            upstream=upstream,
            upstream_incarnation=Incarnation(1),
        )
        yield header + caller_packet(codec.encode(fields), PAYLOAD)


async def _measure_rates(pid: int, caller: _Caller) -> tuple[float, float]:
    """Return datagrams per second of processor time and per second of wall time."""
    caller.send(DATAGRAMS_IN_FLIGHT)
    await asyncio.sleep(1)
    cpu, count, started = cpu_seconds(pid), caller.received, time.perf_counter()
    for _ in range(10):
        await asyncio.sleep(MEASUREMENT_SECONDS / 10)
        # Makes up for datagrams that the operating system dropped.
        caller.send(DATAGRAMS_IN_FLIGHT // 20)
    received = caller.received - count
    cpu_used = max(cpu_seconds(pid) - cpu, 0.01)
    return received / cpu_used, received / (time.perf_counter() - started)


async def _measure_echo() -> tuple[float, float]:
    loop = asyncio.get_running_loop()
    # As long as a flow packet with the header of the fabric.
    datagram = bytes(165)
    async with program('bench._echo', stdout=asyncio.subprocess.PIPE) as process:
        assert process.stdout is not None
        target = Endpoint(LOOPBACK, int(await process.stdout.readline()))
        transport, caller = await loop.create_datagram_endpoint(
            lambda: _Caller(target, [datagram]), sock=_bind_socket()
        )
        measured = await _measure_rates(process.pid, caller)
        transport.close()
    return measured


async def _measure_daemon() -> dict[str, float]:
    loop = asyncio.get_running_loop()
    upstream_transport, _ = await loop.create_datagram_endpoint(
        _Upstream, sock=_bind_socket()
    )
    upstream = Endpoint(*upstream_transport.get_extra_info('sockname'))
    bound = _bind_socket()
    caller_endpoint = Endpoint(*bound.getsockname())
    datagrams = list(flow_packets(caller_endpoint, upstream, FLOW_COUNT))
    started = time.perf_counter()
    async with daemon() as running:
        process = running.process
        transport, caller = await loop.create_datagram_endpoint(
            lambda: _Caller(running.data, datagrams), sock=bound
        )
        while not caller.received:
            caller.send(1)
            await asyncio.sleep(0.005)
        first_packet_seconds = time.perf_counter() - started
        per_cpu, per_second = await _measure_rates(process.pid, caller)
        result = {
            'round_trips_per_cpu_second': round(per_cpu),
            'round_trips_per_second': round(per_second),
            'start_to_first_packet_seconds': round(first_packet_seconds, 3),
            'resident_megabytes': round(resident_bytes(process.pid) / 1e6, 1),
            'threads': thread_count(process.pid),
        }
        transport.close()
    upstream_transport.close()
    return result


async def _main() -> None:
    echo, echo_rate = await _measure_echo()
    daemon = await _measure_daemon()
    # A round trip through the daemon forwards two datagrams, an echo one.
    ratio = 2 * daemon['round_trips_per_cpu_second'] / echo
    line = {
        'bench': 'packets',
        'echo_datagrams_per_cpu_second': round(echo),
        'echo_datagrams_per_second': round(echo_rate),
        **daemon,
        'datagrams_per_cpu_second': 2 * daemon['round_trips_per_cpu_second'],
        'ratio_to_echo': round(ratio, 3),
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Run both measurements and print one JSON line."""
    uvloop.run(_main())


if __name__ == '__main__':
    main()
