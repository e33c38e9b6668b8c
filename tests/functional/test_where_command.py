"""``lycheectl where`` against a relay process on loopback."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.functional.test_relay_process import (
    CALLER,
    METRICS_PORT,
    READY_PORT,
    SYN,
    TIMEOUT_SECONDS,
    RelayHarness,
    make_packet,
    running,
)
from tests.platform_entries import SOUND_ENTRY


async def run_ctl(*words: str) -> tuple[int, str, str]:
    """Return the exit code, the output and the errors of lycheectl."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'lycheedeal.cli.ctl',
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(TIMEOUT_SECONDS):
        output, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode(), errors.decode()


async def counters(harness: RelayHarness) -> list[bytes]:
    """Return the lines of the metrics about packets and flows."""
    _, body = await harness.get(METRICS_PORT, '/metrics')
    names = (b'lycheedeal_packets', b'lycheedeal_refusals', b'lycheedeal_forwarding')
    return [line for line in body.splitlines() if line.startswith(names)]


async def get_in_pieces(harness: RelayHarness, path: str) -> bytes:
    """Return the answer to a request that arrives in two pieces."""
    reader, writer = await asyncio.open_connection(harness.ip, METRICS_PORT)
    request = f'GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n'.encode()
    for piece in (request[:12], request[12:]):
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.05)
    answer = await reader.read()
    writer.close()
    return answer


async def start_old_host() -> tuple[asyncio.Server, int]:
    """Start a server that answers as a host of an earlier build, without a body."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 404 NOT_FOUND\r\nContent-Type: text/plain\r\n'
            b'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]


def run_with_relay(
    tmp_path: Path, check: Callable[[RelayHarness], Awaitable[None]]
) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as harness:
            await check(harness)

    asyncio.run(scenario())


def test_where_names_the_upstream_that_the_opening_gets(tmp_path: Path) -> None:
    """Guards against an answer that differs from the opening, or changes a count."""

    async def check(harness: RelayHarness) -> None:
        draining = {**SOUND_ENTRY, 'state': 'draining'}
        await harness.store.put('servers', 'i-a1', draining)
        host = f'http://{harness.ip}:{METRICS_PORT}'
        caller = f'{CALLER[0]}:{CALLER[1]}'
        words = ('where', 'r-1', '--host', host, '--caller', caller)
        before = await counters(harness)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                code, output, errors = await run_ctl(*words, '--json')
                assert (code, errors) == (0, '')
                answer = json.loads(output)
                (service,) = answer['services']
                if len(service['upstreams']) == 2:
                    break
        assert await counters(harness) == before
        first, other = service['upstreams']
        assert (first['upstream'], first['probability']) == ('i-7f3a91c2', 1)
        assert (other['upstream'], other['state']) == ('i-a1', 'draining')
        assert [one['content'] for one in answer['contents']] == [
            'configuration',
            'upstreams',
        ]
        assert answer['contents'][0]['version'] == 3
        harness.send(make_packet(SYN))
        assert (await harness.receive())[:8] == bytes.fromhex('000000007f3a91c2')
        code, output, errors = await run_ctl(*words)
        assert (code, errors) == (0, '')
        assert 'would be forwarded' in output and 'unanswered: i-7f3a91c2' in output

    run_with_relay(tmp_path, check)


def test_where_tells_what_is_wrong(tmp_path: Path) -> None:
    """Guards against a failure that looks like an answer, or names no cause."""

    async def check(harness: RelayHarness) -> None:
        host = f'{harness.ip}:{METRICS_PORT}'
        code, output, errors = await run_ctl('where', 'r-9', '--host', host)
        assert (code, output) == (1, '')
        assert errors == f"lycheectl: {host}: configuration 3 has no route 'r-9'\n"
        # Nobody listens at the port after this one.
        silent = f'{harness.ip}:{METRICS_PORT + 1}'
        code, _, errors = await run_ctl('where', 'r-1', '--host', silent)
        assert (code, errors) == (5, f'lycheectl: {silent}: connection refused\n')
        server, port = await start_old_host()
        code, _, errors = await run_ctl('where', 'r-1', '--host', f'127.0.0.1:{port}')
        server.close()
        assert code == 5 and 'a build without /placement' in errors
        # The readiness address may be open to others than the operators.
        status, _ = await harness.get(READY_PORT, '/placement?route=r-1')
        assert status == 404

    run_with_relay(tmp_path, check)


def test_request_in_pieces_keeps_its_query(tmp_path: Path) -> None:
    """Guards against a query of which only the last piece is read."""

    async def check(harness: RelayHarness) -> None:
        answer = await get_in_pieces(harness, '/placement?route=r-1')
        assert answer.startswith(b'HTTP/1.1 200 ')

    run_with_relay(tmp_path, check)
