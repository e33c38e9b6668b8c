"""Child processes of the demonstration and the state that its steps share."""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp

from lycheedeal.model import Endpoint, HostId, ServiceName, UpstreamId, Zone
from standins._log_counts import Crash, read_lines
from standins._runtime import write_json_atomically

LOOPBACK: Final = '127.0.0.1'
_POLL_SECONDS: Final = 0.05
_START_TIMEOUT_SECONDS: Final = 15.0
_STOP_TIMEOUT_SECONDS: Final = 3.0
_FLOW_KEY_BYTES: Final = 32


class DemoError(Exception):
    """A step cannot be completed; ends the demonstration."""


@dataclass(frozen=True, slots=True)
class Host:
    """A running daemon and its addresses."""

    host_id: HostId
    zone: Zone
    data: Endpoint
    peer: Endpoint
    gossip: Endpoint
    admin: Endpoint
    process: asyncio.subprocess.Process

    def statement_url(self) -> str:
        """Return the URL at which the daemon accepts operators' statements."""
        return f'http://{self.admin}/v1/statement'


@dataclass(frozen=True, slots=True)
class UpstreamProcess:
    """A running upstream stand-in and the service that it belongs to."""

    service: ServiceName
    upstream_id: UpstreamId
    zone: Zone
    endpoint: Endpoint


class ChildProcesses:
    """Starts child processes; ``close`` ends those that still run."""

    def __init__(self, directory: Path) -> None:
        """Store the directory of the output files and create the shared flow key."""
        self._directory = directory
        self._started: list[asyncio.subprocess.Process] = []
        self._environment = {
            **os.environ,
            'LYCHEEDEAL_FLOW_KEY': secrets.token_hex(_FLOW_KEY_BYTES),
        }

    async def start(
        self,
        name: str,
        module: str,
        *arguments: object,
    ) -> asyncio.subprocess.Process:
        """Start a Python module as a process.

        Stdout and stderr go to the file ``NAME.out``.
        """
        with (self._directory / f'{name}.out').open('wb') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *(str(one) for one in arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=self._environment,
            )
        self._started.append(process)
        return process

    async def run(self, module: str, *arguments: str) -> tuple[int, str]:
        """Run a Python module until it exits; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=self._environment,
        )
        self._started.append(process)
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def close(self) -> None:
        """Send SIGTERM to all processes, then SIGKILL to those that still run."""
        running = [one for one in self._started if one.returncode is None]
        for process in running:
            _send_signal(process, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
                for process in running:
                    await process.wait()
        for process in running:
            if process.returncode is None:
                _send_signal(process, signal.SIGKILL)
                await process.wait()


@dataclass(slots=True)
class Fleet:
    """State that the steps share.

    ``hosts_by_id`` holds the daemons that have not been stopped or killed,
    ``crashes`` the killed ones, ``failures`` what made the demonstration fail, and
    ``measurements`` the values that the steps add to the report.
    """

    directory: Path
    processes: ChildProcesses
    http: aiohttp.ClientSession
    platform_url: str = ''
    hosts_by_id: dict[HostId, Host] = field(default_factory=dict)
    upstreams: list[UpstreamProcess] = field(default_factory=list)
    addresses_by_service: dict[ServiceName, Endpoint] = field(default_factory=dict)
    callers: list[asyncio.subprocess.Process] = field(default_factory=list)
    feed_callers: list[asyncio.subprocess.Process] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    drained_at_by_upstream: dict[UpstreamId, float] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    measurements: dict[str, Any] = field(default_factory=dict)

    @property
    def host_file(self) -> Path:
        """Return the path of the file from which the fabric reads the live hosts."""
        return self.directory / 'hosts.json'

    def path(self, name: str) -> str:
        """Return the path of a file in the directory of the demonstration."""
        return str(self.directory / name)

    def write_host_file(self) -> None:
        """Write the data endpoints of the live hosts for the fabric."""
        live = [str(host.data) for host in self.hosts_by_id.values()]
        write_json_atomically(str(self.host_file), live)

    def read_logs(self, pattern: str) -> list[dict[str, Any]]:
        """Return the records of all log files that match a glob pattern."""
        return [
            line
            for path in sorted(self.directory.glob(pattern))
            for line in read_lines(path.read_bytes())
        ]

    async def read_port_file(
        self,
        name: str,
        process: asyncio.subprocess.Process,
    ) -> Any:
        """Wait for the file in which a process stores its ports; return the content.

        Raises DemoError if the process exits first, TimeoutError if neither happens.
        """
        path = self.directory / name
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not path.exists():
                if process.returncode is not None:
                    raise DemoError(
                        f'no {name}: the process exited with {process.returncode}'
                    )
                await asyncio.sleep(_POLL_SECONDS)
        return json.loads(path.read_text())


def _send_signal(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal_number)
