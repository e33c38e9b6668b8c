"""Relay processes of the soak test, and the router in front of them."""

import asyncio
import hashlib
import json
import os
import signal
import sys
from pathlib import Path

from lycheedeal.ids import Endpoint
from soak._findings import EVACUATE_SECONDS, STOP_SECONDS, Findings, Stability, now
from soak._packets import End
from soak._proxy import Proxy

PACKET_PORT = 8172
_READINESS_PORT = 8167
_PEER_PORT = 7720
# Interval and timeout of readiness probes.
_PROBE_SECONDS = 0.5
# Consecutive failed probes that take a relay out of rotation.
_MAX_FAILED_PROBES = 2


class Relay:
    """One relay process, its proxy to the store, and its state in rotation."""

    def __init__(
        self, name: str, ip: str, zone: str, store: Endpoint, folder: Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store_proxy = Proxy(store)
        self.stability = Stability()
        self.in_rotation = False
        self.seeds: list[str] = []
        self._folder = folder
        self._failed_probes = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the store proxy and the process."""
        await self.store_proxy.start()
        await self.spawn()

    async def spawn(self) -> None:
        """Start the process; its output is appended to the log file."""
        self.write_settings()
        self.stability.disturb(now())
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'lycheedeal.platform',
                env={**os.environ, 'LYCHEEDEAL_CONFIG': str(self._settings_path)},
                stdout=log,
                stderr=log,
            )

    @property
    def log_path(self) -> Path:
        """Return the file with the output of all processes of this relay."""
        return self._folder / f'{self.name}.log'

    @property
    def _settings_path(self) -> Path:
        return self._folder / f'{self.name}.json'

    def write_settings(self) -> None:
        """Write the settings file and replace the previous one atomically."""
        settings = {
            'host': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'packets': f'{self.ip}:{PACKET_PORT}',
            'readiness': f'{self.ip}:{_READINESS_PORT}',
            'metrics_port': 9109,
            'peer_port': _PEER_PORT,
            'seeds': self.seeds,
            'core_share': 0.5,
            'stop_seconds': STOP_SECONDS,
            'bounds': {'evacuate_ms': int(EVACUATE_SECONDS * 1000)},
            'store': str(self.store_proxy.endpoint),
        }
        partial = self._settings_path.with_suffix('.partial')
        partial.write_text(json.dumps(settings))
        partial.replace(self._settings_path)

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait_for_exit(self) -> int:
        """Wait until the process exits; return its status, negative for a signal."""
        assert self._process is not None
        return await self._process.wait()

    def survives_hangup(self) -> bool:
        """Return whether the process blocks or handles SIGHUP.

        No process does in the first milliseconds, before its own code runs.
        """
        assert self._process is not None
        try:
            status = Path(f'/proc/{self._process.pid}/status').read_text()
        except OSError:
            return False
        masks = dict(line.split(':\t', 1) for line in status.splitlines())
        held = int(masks['SigBlk'], 16) | int(masks['SigCgt'], 16)
        return bool(held >> signal.SIGHUP - 1 & 1)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_status(self) -> int | None:
        """Status of the last process, negative for a signal; None while it runs."""
        return None if self._process is None else self._process.returncode

    async def probe(self) -> None:
        """Probe readiness once and update the state in rotation.

        One success puts the relay in rotation, as on the platform.
        """
        if await self._is_ready():
            self._failed_probes = 0
            self.in_rotation = True
            return
        self._failed_probes += 1
        if self._failed_probes >= _MAX_FAILED_PROBES:
            self.in_rotation = False

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(self.ip, _READINESS_PORT)
                writer.write(b'GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n')
                answer = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in answer

    async def close(self) -> None:
        """Kill the process, also a suspended one, and close the store proxy."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self.store_proxy.close()


class Router:
    """Chooses the relay for a packet as the platform's routers do."""

    def __init__(self, relays: list[Relay], findings: Findings) -> None:
        self.relays = relays
        self._findings = findings

    async def probe_forever(self) -> None:
        """Probe all relays about twice a second, until cancelled."""
        while True:
            await asyncio.gather(*(relay.probe() for relay in self.relays))
            await asyncio.sleep(_PROBE_SECONDS)

    def choose(self, zone: str, caller: End, route: End) -> Relay:
        """Return the relay for a flow in a zone.

        Rendezvous hashing moves only the flows of a relay that leaves. If less
        than half of the zone's relays are ready, all of them are used.
        """
        zone_relays = [relay for relay in self.relays if relay.zone == zone]
        ready = [relay for relay in zone_relays if relay.in_rotation]
        candidates = ready if 2 * len(ready) >= len(zone_relays) else zone_relays

        def weight(relay: Relay) -> bytes:
            text = f'{caller}{route}{relay.name}'
            return hashlib.blake2b(text.encode(), digest_size=8).digest()

        return max(candidates, key=weight)
