"""Starts programs under test and reads their resource usage from ``/proc``."""

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from lycheedeal.model import Endpoint
from lycheedeal.settings import parse_endpoint

FLOW_KEY = b'bench flow key 0'
LOOPBACK = '127.0.0.1'
# Lets the system choose the port of a listener.
ANY_PORT = Endpoint(LOOPBACK, 0)
# Nothing listens at this port.
_UNUSED_URL = f'http://{LOOPBACK}:1'
_START_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.01


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
async def program(
    *arguments: str, stdout: int | None = None
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run ``python -m`` with arguments; kill the process on leaving the context."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        *arguments,
        env={**os.environ, 'LYCHEEDEAL_FLOW_KEY': FLOW_KEY.hex()},
        stdout=stdout,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@dataclass(frozen=True, slots=True)
class DaemonProcess:
    """A running daemon and the addresses that it listens on."""

    process: asyncio.subprocess.Process
    data: Endpoint
    peer: Endpoint
    gossip: Endpoint
    admin: Endpoint


@asynccontextmanager
async def daemon(
    *arguments: str, platform_url: str = _UNUSED_URL
) -> AsyncIterator[DaemonProcess]:
    """Run a daemon on ports that the system chooses; kill it on leaving.

    ``arguments`` add to those of a host without peers. Raises RuntimeError if the
    daemon exits before it listens, and TimeoutError if it does neither.
    """
    with tempfile.TemporaryDirectory() as directory:
        address_file = Path(directory, 'addresses.json')
        command = daemon_arguments(
            f'--address-file={address_file}',
            f'--platform-url={platform_url}',
            *arguments,
        )
        async with program(*command) as process:
            addresses = await _read_addresses(address_file, process)
            yield DaemonProcess(process, **addresses)


def daemon_arguments(*arguments: str) -> tuple[str, ...]:
    """Return module and arguments of a daemon without peers; later ones override."""
    defaults = {
        'data': str(ANY_PORT),
        'peer': str(ANY_PORT),
        'gossip': str(ANY_PORT),
        'admin': str(ANY_PORT),
        'host-id': 'bench-1',
        'zone': 'bench',
        'region': 'bench',
        'platform-url': _UNUSED_URL,
    }
    given = dict(one.removeprefix('--').split('=', 1) for one in arguments)
    flags = (f'--{name}={text}' for name, text in {**defaults, **given}.items())
    return ('lycheedeal.cli.daemon', *flags)


async def _read_addresses(
    path: Path, process: asyncio.subprocess.Process
) -> dict[str, Endpoint]:
    async with asyncio.timeout(_START_TIMEOUT_SECONDS):
        while not path.exists():
            if process.returncode is not None:
                raise RuntimeError(
                    f'daemon exited with status {process.returncode} at its start'
                )
            await asyncio.sleep(_POLL_SECONDS)
    texts: dict[str, str] = json.loads(path.read_text())
    return {name: parse_endpoint(text) for name, text in texts.items()}
