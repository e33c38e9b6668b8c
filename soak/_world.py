"""The whole soak: store, targets, relays, callers, checks."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from soak._callers import Callers, RouteCheck
from soak._findings import TOUCH_SECONDS, Calm, Findings, now
from soak._packets import End
from soak._relays import Relay, Router
from soak._targets import Targets
from standins.object_store import ObjectStore

ZONES = ('south', 'north')
SERVICES = ('api', 'intake')
# Routes that stay; port 443 is never removed.
STEADY = {End('198.18.0.1', 443): 'api', End('198.18.0.2', 443): 'intake'}
_RELAYS_PER_ZONE = 3
_TARGETS = ('api', 'api', 'api', 'intake')
_CHECK_SECONDS = 0.4
_READY_SECONDS = 20.0


class World:
    """Everything of one run, on addresses of its own."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.findings = Findings(now())
        self.store = ObjectStore()
        self.store_calm = Calm()
        self.relays: list[Relay] = []
        self.router = Router(self.relays, self.findings)
        self.targets = Targets(self.store, self.router, self.findings, self.rng)
        self.targets.store_is_calm = self.store_calm.is_calm
        self.callers: list[Callers] = []
        self.routes: dict[End, str] = dict(STEADY)
        self.changed_at: dict[End, float] = {}
        self.version = 1
        self._folder = folder
        self._net = f'127.{20 + seed % 200}'
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until every relay is ready."""
        await self.store.start()
        await self.configure()
        for place, zone in enumerate(ZONES):
            for index, service in enumerate(_TARGETS):
                await self.targets.add(
                    f'{self._net}.2.{place * 8 + index + 1}', zone, service
                )
        for place, zone in enumerate(ZONES):
            for index in range(_RELAYS_PER_ZONE):
                ip = f'{self._net}.1.{place * 8 + index + 1}'
                relay = Relay(
                    f'{zone}-{index}', ip, zone, self.store.endpoint, self._folder
                )
                relay.seeds = [f'{self._net}.1.1:1', f'{self._net}.1.9:1']
                self.relays.append(relay)
                await relay.start()
        self._spawn(self.router.probe_forever())
        async with asyncio.timeout(_READY_SECONDS):
            while not all(relay.in_rotation for relay in self.relays):
                await asyncio.sleep(0.1)
        for place, zone in enumerate(ZONES):
            await self._add_callers(f'{self._net}.3.{place + 1}', zone)

    async def _add_callers(self, ip: str, zone: str) -> None:
        callers = Callers(ip, zone, self.router, self.targets, self.findings, self.rng)
        await callers.start()
        self.callers.append(callers)
        for route in STEADY:
            for _ in range(6):
                self._spawn(callers.call_forever(route))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def configure(self) -> None:
        """Write the routes to the store."""
        routes = [
            {
                'name': f'r-{end.ip}-{end.port}',
                'hostname': end.ip,
                'path_prefix': f'/{end.port}/',
                'service': service,
            }
            for end, service in self.routes.items()
        ]
        for end, service in self.routes.items():
            self.targets.allowed.setdefault(end, set()).add(service)
        self.version += self.rng.randrange(1, 4)
        spec = {'version': self.version, 'routes': routes}
        await self.store.put('config', 'main', spec)

    def start_checks(self) -> None:
        """Begin to check routes at calm relays."""
        self._spawn(self._check_forever())

    async def _check_forever(self) -> None:
        check = RouteCheck(
            self.callers[0], self.router, self.findings, self.changed_at, set()
        )
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            relay = self.rng.choice(self.relays)
            known = [*self.routes, *self.changed_at]
            route = self.rng.choice(known)
            check.present = set(self.routes)
            if relay.calm.is_calm() and self.store_calm.is_calm():
                await check.check(relay, route)

    async def settle(self) -> None:
        """Check that all is well some time after the last fault."""
        await asyncio.sleep(TOUCH_SECONDS + 2)
        for relay in self.relays:
            if not relay.in_rotation:
                self.findings.report('RECOVER', f'{relay.name} is not ready')
            for route in STEADY:
                if not await self.callers[0].reaches(relay, route):
                    detail = f'{relay.name} does not open flows to {route}'
                    self.findings.report('RECOVER', detail)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.findings.report('SOAK', f'{type(result).__name__}: {result}')
        await asyncio.gather(*(relay.close() for relay in self.relays))
        for callers in self.callers:
            callers.close()
        for address in self.targets.addresses:
            address.close()
        self.store.close()
