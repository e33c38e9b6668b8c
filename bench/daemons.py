"""Idle cost of daemon processes by zone size, as JSON lines.

For each size, starts the platform stand-in and a zone of daemons, waits until
the hosts know each other, and measures processor time, memory, threads and
control bytes of the daemons.
"""

import asyncio
import json
import re
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from statistics import fmean

import aiohttp
import uvloop

from bench._processes import (
    DaemonProcess,
    cpu_seconds,
    daemon,
    program,
    resident_bytes,
    thread_count,
)
from lycheedeal.model import Endpoint

ZONE_SIZES = (2, 4, 8, 16)
SETTLE_SECONDS = 15.0
MEASUREMENT_SECONDS = 20.0
_CONTROL_BYTES_PATTERN = re.compile(
    r'^lycheedeal_control_bytes_total\{.*\} (\S+)$', re.MULTILINE
)


async def _control_bytes(session: aiohttp.ClientSession, admin: Endpoint) -> float:
    async with session.get(f'http://{admin}/metrics') as response:
        return sum(map(float, _CONTROL_BYTES_PATTERN.findall(await response.text())))


async def _start_platform(stack: AsyncExitStack, directory: Path) -> str:
    port_file = directory / 'port'
    await stack.enter_async_context(
        program('standins.platform', '--port', '0', '--port-file', str(port_file))
    )
    while not (port_file.exists() and port_file.read_text().strip()):
        await asyncio.sleep(0.05)
    found = re.search(r'\d+', port_file.read_text())
    if found is None:
        raise SystemExit('no port found in the port file of the platform stand-in')
    return f'http://127.0.0.1:{found.group()}'


async def measure(size: int) -> dict[str, float]:
    """Return the mean cost per host in a zone of ``size`` hosts."""
    async with AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        url = await _start_platform(stack, directory)
        daemons: list[DaemonProcess] = []
        for number in range(size):
            # Each host finds the zone through the one started before it.
            seeds = ','.join(str(one.peer) for one in daemons[-1:])
            arguments = (f'--host-id=host-{number}', f'--peer-seeds={seeds}')
            daemons.append(
                await stack.enter_async_context(daemon(*arguments, platform_url=url))
            )
        processes = [one.process for one in daemons]
        admins = [one.admin for one in daemons]
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await asyncio.sleep(SETTLE_SECONDS)
        before = [await _control_bytes(session, admin) for admin in admins]
        cpu = [cpu_seconds(process.pid) for process in processes]
        started = time.perf_counter()
        await asyncio.sleep(MEASUREMENT_SECONDS)
        seconds = time.perf_counter() - started
        cpu_used = [
            cpu_seconds(process.pid) - one
            for process, one in zip(processes, cpu, strict=True)
        ]
        after = [await _control_bytes(session, admin) for admin in admins]
        pids = [process.pid for process in processes]
        return {
            'hosts': size,
            'core_percent': round(100 * fmean(cpu_used) / seconds, 2),
            'resident_megabytes': round(fmean(map(resident_bytes, pids)) / 1e6, 1),
            'threads': fmean(map(thread_count, pids)),
            'control_bytes_per_second': round(
                (sum(after) - sum(before)) / size / seconds, 1
            ),
        }


def main() -> None:
    """Print one JSON line for each zone size."""
    for size in ZONE_SIZES:
        line = {'bench': 'daemons', **uvloop.run(measure(size))}
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
