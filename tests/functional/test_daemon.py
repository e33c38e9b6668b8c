"""Tests of the daemon as a process: packets, invalid input, planned stop."""

import asyncio
import os
import random
import signal
import socket
import sys
from typing import Any

import aiohttp
import pytest

from bench._processes import FLOW_KEY, daemon, daemon_arguments
from bench.packets import flow_packets
from lycheedeal.model import Endpoint

WAIT_SECONDS = 30
PACKET_TYPE = 0x11
# Type of a socket and the address that it is bound to.
Listener = tuple[socket.SocketKind, Endpoint]


class _QueueProtocol(asyncio.DatagramProtocol):
    """Puts received datagrams and their source addresses into a queue."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[bytes, Any]] = asyncio.Queue()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.put_nowait((data, addr))


async def _bind() -> tuple[_QueueProtocol, Endpoint]:
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        _QueueProtocol, local_addr=('127.0.0.1', 0)
    )
    return protocol, Endpoint(*transport.get_extra_info('sockname'))


async def _send_until_forwarded(
    caller: _QueueProtocol,
    upstream: _QueueProtocol,
    packet: bytes,
    data: Endpoint,
) -> tuple[bytes, Any]:
    """Send a packet every 0.1 s until the daemon forwards it to the upstream.

    Returns the forwarded packet and its source address.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            caller.transport.sendto(packet, data)
            try:
                async with asyncio.timeout(0.1):
                    return await upstream.received.get()
            except TimeoutError:
                continue


async def _serve_packets_then_stop() -> int | None:
    caller, caller_endpoint = await _bind()
    upstream, upstream_endpoint = await _bind()
    packet = next(flow_packets(caller_endpoint, upstream_endpoint, 1))
    async with daemon() as running:
        process = running.process
        forwarded, host_address = await _send_until_forwarded(
            caller, upstream, packet, running.data
        )
        assert forwarded[0] == PACKET_TYPE
        upstream.transport.sendto(forwarded, host_address)
        async with asyncio.timeout(WAIT_SECONDS):
            answer, _ = await caller.received.get()
        assert answer == packet[12:]
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_SECONDS):
            return await process.wait()


def test_established_flow_needs_no_configuration_and_stop_is_clean() -> None:
    """Guards against a host that needs more than a flow id to forward a packet.

    The daemon has no configuration here. The second SIGTERM during a planned
    stop must not change its exit status.
    """
    assert asyncio.run(_serve_packets_then_stop()) == 0


async def _start_beside_each_other() -> list[Listener]:
    async with daemon('--host-id=h1') as first, daemon('--host-id=h2') as second:
        listeners = [
            (kind, address)
            for one in (first, second)
            for kind, address in (
                (socket.SOCK_DGRAM, one.data),
                (socket.SOCK_DGRAM, one.peer),
                (socket.SOCK_STREAM, one.gossip),
                (socket.SOCK_STREAM, one.admin),
            )
        ]
        for listener in listeners:
            with pytest.raises(OSError, match='Address already in use'):
                _bind_like(*listener)
        return listeners


def _bind_like(kind: socket.SocketKind, address: Endpoint) -> None:
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind(address)


def test_daemon_chooses_its_ports_and_reports_them() -> None:
    """Guards against ports that are chosen before they are bound.

    Another process may take such a port in between, and the daemon then exits. UDP
    and TCP have ports of their own, so a number may stand once for each.
    """
    listeners = asyncio.run(_start_beside_each_other())
    assert all(address.port for _, address in listeners)
    assert len(set(listeners)) == len(listeners)


async def _send_garbage() -> str:
    caller, caller_endpoint = await _bind()
    upstream, upstream_endpoint = await _bind()
    packet = next(flow_packets(caller_endpoint, upstream_endpoint, 1))
    rng = random.Random(1)
    async with daemon() as running:
        data = running.data
        await _send_until_forwarded(caller, upstream, packet, data)
        for size in (0, 1, 2, 11, 12, 13, 60, 64, 65, 400, 1400):
            for head in (b'', packet[:13], b'\x12\x01', b'\x22'):
                garbage = head + rng.randbytes(size)
                caller.transport.sendto(garbage, data)
                caller.transport.sendto(garbage, running.peer)
        await _send_until_forwarded(caller, upstream, packet, data)
        assert running.process.returncode is None
        url = f'http://{running.admin}/metrics'
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return await response.text()


def test_garbage_is_counted_and_changes_nothing() -> None:
    """Guards against a datagram that ends the event loop."""
    metrics = asyncio.run(_send_garbage())
    assert 'lycheedeal_refusals_total' in metrics
    assert 'malformed' in metrics.lower()


async def _run_daemon(*arguments: str) -> tuple[int | None, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'lycheedeal.cli.daemon',
        *arguments,
        env={**os.environ, 'LYCHEEDEAL_FLOW_KEY': FLOW_KEY.hex()},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


@pytest.mark.parametrize('name', ['data', 'zone', 'platform-url'])
def test_all_bad_settings_are_named_at_once(name: str) -> None:
    """Guards against reporting only the first of several invalid settings."""
    arguments = ('--data=x', '--zone=', '--platform-url=ftp://x')
    status, output = asyncio.run(_run_daemon(*arguments, '--check-settings'))
    assert status == 2
    assert name in output


def test_address_in_use_ends_the_start() -> None:
    """Guards against a daemon that keeps running without its sockets."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound_socket:
        bound_socket.bind(('127.0.0.1', 0))
        used = Endpoint(*bound_socket.getsockname())
        arguments = daemon_arguments(f'--data={used}')[1:]
        status, output = asyncio.run(_run_daemon(*arguments))
    assert status not in {0, None}
    assert 'Traceback' not in output
