"""Starts programs under test and reads their resource usage from ``/proc``."""

import asyncio
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from lycheedeal.model import Endpoint

FLOW_KEY = b'bench flow key 0'
LOOPBACK = '127.0.0.1'


def free_endpoint(kind: socket.SocketKind = socket.SOCK_DGRAM) -> Endpoint:
    """Return a loopback endpoint that is free now.

    Another process may take the port before the caller binds it.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return Endpoint(*probe.getsockname())


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def thread_count(pid: int) -> int:
    """Return the number of threads that a process has now."""
    return len(list(Path(f'/proc/{pid}/task').iterdir()))


@asynccontextmanager
async def program(*arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run ``python -m`` with arguments; kill the process on leaving the context."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        *arguments,
        env={**os.environ, 'LYCHEEDEAL_FLOW_KEY': FLOW_KEY.hex()},
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def daemon_arguments(data: Endpoint) -> tuple[str, ...]:
    """Return the arguments of a daemon without peers and without a platform.

    ``data`` is the endpoint of its packets. Nothing listens at the platform URL.
    """
    return (
        'lycheedeal.cli.daemon',
        f'--data={data}',
        f'--peer={free_endpoint()}',
        f'--gossip={free_endpoint(socket.SOCK_STREAM)}',
        f'--admin={free_endpoint(socket.SOCK_STREAM)}',
        '--host-id=bench-1',
        '--zone=bench',
        '--region=bench',
        f'--platform-url=http://{free_endpoint(socket.SOCK_STREAM)}',
    )
