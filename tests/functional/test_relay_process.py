"""The relay as a separate process, with a stand-in store on loopback."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from soak._proxy import Proxy
from standins.object_store import ObjectStoreServer, RawValue
from tests.platform_entries import SOUND_ENTRY, UNREADABLE

TIMEOUT_SECONDS = 10.0
HEADER = struct.Struct('<IIIHIHIHBBI')
SYN, ACK, RST = 16, 2, 4
ROUTE = ('198.18.0.1', 443)
# On one loopback address, caller and relay could not share a port, so the caller has
# another address.
CALLER = ('127.0.0.2', 40001)
PACKET_PORT, READY_PORT, METRICS_PORT, PEER_PORT = 8172, 8167, 9109, 7720
HARNESS_NUMBERS = itertools.count(1)


def own_loopback_ip() -> str:
    """Return a loopback address that no other test and no other run uses."""
    pid = os.getpid()
    return f'127.{128 + pid // 250 % 120}.{pid % 250}.{next(HARNESS_NUMBERS) % 250}'


def ip_to_int(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), 'big')


def make_packet(flags: int, token: int = 0, content: bytes = b'') -> bytes:
    head = HEADER.pack(
        1, 0, 0, len(content), ip_to_int(ROUTE[0]), CALLER[1], ip_to_int(CALLER[0]),
        ROUTE[1], flags, 0, token,
    )  # fmt: skip
    return head + content


class Target(asyncio.DatagramProtocol):
    """Upstream that collects the datagrams it receives."""

    def __init__(self) -> None:
        self.datagrams: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.datagrams.put_nowait(data)


class RelayHarness:
    """A stand-in store, an upstream and one relay process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = ObjectStoreServer()
        self.target = Target()
        self.target_port = 0
        self.ip = own_loopback_ip()
        self.packet_endpoint = (self.ip, PACKET_PORT)
        self.process: asyncio.subprocess.Process | None = None
        self.lines: list[dict[str, Any]] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await self.store.start()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.target, ('127.0.0.1', 0)
        )
        self.target_port = transport.get_extra_info('sockname')[1]
        self.route = {
            'name': 'r-1',
            'hostname': ROUTE[0],
            'path_prefix': f'/{ROUTE[1]}/',
            'service': 'api',
        }
        await self.store.put('config', 'main', {'version': 3, 'routes': [self.route]})
        await self.put_target('i-7f3a91c2', 'ready')
        self.write_settings()

    async def start_process(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lycheedeal.platform',
            env={**os.environ, 'LYCHEEDEAL_CONFIG': str(self.folder / 's.json')},
            stdout=asyncio.subprocess.PIPE,
        )

    async def put_target(self, name: str, state: str) -> None:
        spec = {
            **SOUND_ENTRY,
            'address': f'127.0.0.1:{self.target_port}',
            'state': state,
        }
        await self.store.put('servers', name, spec)

    def write_settings(self, **changes: Any) -> None:
        (self.folder / 's.json').write_text(self.settings_text(**changes))

    def settings_text(self, **changes: Any) -> str:
        settings = {
            'host': 'edge-1',
            'ip': self.ip,
            'zone': 'south',
            'packets': f'{self.ip}:{PACKET_PORT}',
            'readiness': f'{self.ip}:{READY_PORT}',
            'metrics_port': METRICS_PORT,
            'peer_port': PEER_PORT,
            'seeds': [],
            'core_share': 0.5,
            'stop_seconds': 6,
            'store': f'127.0.0.1:{self.store.endpoint.port}',
            **changes,
        }
        return json.dumps(settings)

    async def get(self, port: int, path: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(self.ip, port)
        writer.write(f'GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n'.encode())
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), body

    async def is_ready(self) -> bool:
        try:
            status, _ = await self.get(READY_PORT, '/readyz')
        except OSError:
            return False
        return status == 200

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not await condition():
                await asyncio.sleep(0.05)

    async def next_log_line(self, text: str) -> dict[str, Any]:
        """Return the next log line that contains a text; skip those before it."""
        assert self.process is not None and self.process.stdout is not None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                line: dict[str, Any] = json.loads(await self.process.stdout.readline())
                self.lines.append(line)
                if text in line['text']:
                    return line

    def send(self, packet: bytes) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(packet, self.packet_endpoint)

    async def receive(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.target.datagrams.get()

    async def stop(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.process.wait()

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.store.close()


@asynccontextmanager
async def running(folder: Path) -> AsyncIterator[RelayHarness]:
    harness = RelayHarness(folder)
    await harness.start()
    await harness.start_process()
    try:
        await harness.wait_until(harness.is_ready)
        yield harness
    finally:
        await harness.close()


def test_packets_are_forwarded_until_stop(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            harness.send(make_packet(SYN))
            opening = await harness.receive()
            assert opening[:8] == bytes.fromhex('000000007f3a91c2')
            token = int.from_bytes(opening[-4:], 'little')
            assert token
            harness.send(make_packet(ACK, token, b'GET /'))
            assert (await harness.receive())[8:] == make_packet(ACK, token, b'GET /')
            assert await harness.stop() == 0

    asyncio.run(scenario())


def test_sighup_reloads_settings(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            assert harness.process is not None
            harness.write_settings(seeds=['127.0.0.1:9'])
            harness.process.send_signal(signal.SIGHUP)
            line = await harness.next_log_line('Settings were read again')
            assert line['seeds'] == 1
            (tmp_path / 's.json').write_text('{"zone": 3}')
            harness.process.send_signal(signal.SIGHUP)
            line = await harness.next_log_line('Settings cannot be used')
            assert 'zone' in line['detail']
            assert await harness.is_ready()
            assert await harness.stop() == 0

    asyncio.run(scenario())


async def open_for_reader(path: Path) -> int:
    """Open a named pipe for writing as soon as a process has opened it for reading."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            with contextlib.suppress(OSError):
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            await asyncio.sleep(0.001)


def test_sighup_during_the_start_is_not_lost(tmp_path: Path) -> None:
    """Guards against a relay that ends, or keeps old settings, after an early SIGHUP.

    The settings file is a named pipe, so the relay waits at each read of it until
    the test has sent the signal.
    """

    async def scenario() -> None:
        harness = RelayHarness(tmp_path)
        await harness.start()
        path = tmp_path / 's.json'
        path.unlink()
        os.mkfifo(path)
        await harness.start_process()
        process = harness.process
        assert process is not None
        try:
            for _ in range(2):
                with open(await open_for_reader(path), 'w') as pipe:
                    process.send_signal(signal.SIGHUP)
                    pipe.write(harness.settings_text())
                # The reader of this round has closed the pipe before the next one.
                await asyncio.sleep(0.05)
            # The signal that was held makes the relay read its settings once more.
            with open(await open_for_reader(path), 'w') as pipe:
                path.unlink()
                harness.write_settings(seeds=['127.0.0.1:9'])
                pipe.write(harness.settings_text(seeds=['127.0.0.1:9']))
            line = await harness.next_log_line('Settings were read again')
            assert line['seeds'] == 1
        finally:
            await harness.close()

    asyncio.run(scenario())


def test_signals_during_the_end_do_not_change_the_status(tmp_path: Path) -> None:
    """Guards against a planned stop that is reported as a crash."""

    async def scenario() -> None:
        async with running(tmp_path) as harness:
            process = harness.process
            assert process is not None
            # Popen.send_signal would take the exit status from the event loop.
            descriptor = os.pidfd_open(process.pid)
            signal.pidfd_send_signal(descriptor, signal.SIGTERM)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        signal.pidfd_send_signal(descriptor, signal.SIGHUP)
                        signal.pidfd_send_signal(descriptor, signal.SIGTERM)
                    await asyncio.sleep(0.0005)
            os.close(descriptor)
            assert process.returncode == 0

    asyncio.run(scenario())


def test_settings_change_is_detected_without_signal(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            harness.write_settings(seeds=['127.0.0.1:9', '127.0.0.1:10'])
            line = await harness.next_log_line('Settings were read again')
            assert line['seeds'] == 2

    asyncio.run(scenario())


def test_relay_stays_ready_during_store_outage(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            harness.store.fault = 'busy'
            await harness.next_log_line('Store call failed')
            assert await harness.is_ready()
            harness.store.fault = None
            await harness.next_log_line('Store answers again')
            await harness.store.put('config', 'main', {'version': 4, 'routes': []})
            line = await harness.next_log_line('Configuration is in force')
            assert (line['version'], line['previous']) == (4, 3)

    asyncio.run(scenario())


@pytest.mark.parametrize('name', ['a' * 200, 'backup-\udcff', ''])
def test_relay_starts_and_drains_beside_an_entry_that_takes_a_page_alone(
    name: str, tmp_path: Path
) -> None:
    """Guards against hosts that never list the upstreams because of one odd entry."""

    async def scenario() -> None:
        harness = RelayHarness(tmp_path)
        await harness.start()
        await harness.store.put('servers', name, {'note': 'n' * 1_040_000})
        await harness.start_process()
        try:
            await harness.wait_until(harness.is_ready)
            harness.send(make_packet(SYN))
            await harness.receive()
            await harness.put_target('i-7f3a91c2', 'draining')
            line = await harness.next_log_line('Upstream changed its state.')
            assert line['state'] == 'draining'
        finally:
            await harness.close()

    asyncio.run(scenario())


def test_relay_reads_the_largest_objects_over_a_narrow_link(tmp_path: Path) -> None:
    """Guards against calls that are given up halfway and begun anew for ever.

    The configuration and an odd entry take 1.7 s each on the narrowest links of the
    platform.
    """

    async def scenario() -> None:
        harness = RelayHarness(tmp_path)
        await harness.start()
        link = Proxy(harness.store.endpoint, bytes_per_second=625_000)
        await link.start()
        harness.write_settings(store=str(link.endpoint))
        filler = {'version': 4, 'routes': [harness.route], 'note': 'n' * 1_040_000}
        await harness.store.put('config', 'main', filler)
        await harness.store.put('servers', 'backup', {'note': 'n' * 1_040_000})
        await harness.start_process()
        try:
            await harness.wait_until(harness.is_ready)
            await harness.store.put('config', 'main', {**filler, 'version': 5})
            await harness.put_target('i-7f3a91c2', 'draining')
            line = await harness.next_log_line('Upstream changed its state.')
            assert line['state'] == 'draining'
            line = await harness.next_log_line('Configuration is in force.')
            assert line['version'] == 5
            assert not any('Store call failed' in one['text'] for one in harness.lines)
        finally:
            link.close()
            await harness.close()

    asyncio.run(scenario())


def test_lost_history_triggers_new_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            harness.store.fault = 'silent'
            await harness.store.put('config', 'main', {'version': 9, 'routes': []})
            await harness.store.put('other', 'x', {})
            harness.store.compact()
            harness.store.fault = None
            line = await harness.next_log_line('Configuration is in force.')
            while line['version'] != 9:
                line = await harness.next_log_line('Configuration is in force.')

    asyncio.run(scenario())


def test_metrics_are_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            harness.send(make_packet(SYN))
            await harness.receive()
            status, body = await harness.get(METRICS_PORT, '/metrics')
            assert status == 200
            assert b'lycheedeal_packets_total{kind="opened"} 1.0' in body

    asyncio.run(scenario())


def test_invalid_settings_exit_with_an_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / 's.json').write_text('{}')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lycheedeal.platform',
            env={**os.environ, 'LYCHEEDEAL_CONFIG': str(tmp_path / 's.json')},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert b'zone: a text is needed' in errors

    asyncio.run(scenario())


def odd_entries(address: str) -> list[object]:
    """Return entries of another writer, most of which name an address."""
    spec = {**SOUND_ENTRY, 'address': address, 'born': SOUND_ENTRY['born'] + 9}
    return [
        None,
        RawValue(b'[' * 1200 + b']' * 1200),
        RawValue(b'"\xff"'),
        {**spec, 'service': RawValue(b'{"a":' * 1200 + b'1' + b'}' * 1200)},
        {**spec, 'slots': RawValue(b'1' * 5000)},
        {**spec, 'service': UNREADABLE},
        {**spec, 'service': 'unknown'},
        {**spec, 'warmup_left_ms': 10**400},
        {**spec, 'address': '127.0.0.1:65536'},
        *({field: spec[field] for field in spec if field != one} for one in spec),
    ]


def test_process_starts_and_follows_the_store_beside_odd_entries(
    tmp_path: Path,
) -> None:
    """Guards against a process that is not ready, or follows no target any more.

    The entries are there before the start; others come while the process watches.
    """

    async def scenario() -> None:
        harness = RelayHarness(tmp_path)
        await harness.start()
        entries = odd_entries(f'127.0.0.1:{harness.target_port}')
        for number, spec in enumerate(entries):
            await harness.store.put('servers', f'i-f{number:x}', spec)
        await harness.start_process()
        try:
            await harness.wait_until(harness.is_ready)
            for number, spec in enumerate(entries):
                await harness.store.put('servers', f'i-e{number:x}', spec)
                await asyncio.sleep(0.1)
            harness.send(make_packet(SYN))
            opening = await harness.receive()
            assert opening[:8] == bytes.fromhex('000000007f3a91c2')
            token = int.from_bytes(opening[-4:], 'little')
            await harness.put_target('i-7f3a91c2', 'draining')
            while True:
                line = await harness.next_log_line('Upstream changed its state')
                if line['upstream'] == 'i-7f3a91c2':
                    break
            assert line['state'] == 'draining'
            harness.send(make_packet(ACK, token, b'GET /'))
            assert (await harness.receive())[8:] == make_packet(ACK, token, b'GET /')
            assert await harness.stop() == 0
        finally:
            await harness.close()

    asyncio.run(scenario())
