"""Environment of a soak run: store, targets, relays, callers and checks."""

import asyncio
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from soak._callers import Callers, RouteCheck
from soak._findings import RECOVERY_SECONDS, Findings, Stability, now
from soak._log_check import LogCheck
from soak._packets import End
from soak._relays import Relay, Router
from soak._targets import Targets
from standins.object_store import ObjectStoreServer

ZONES = ('south', 'north')
SERVICES = ('api', 'intake')
# Routes that are never removed; those that come and go use other ports than 443.
PERMANENT_ROUTES = {End('198.18.0.1', 443): 'api', End('198.18.0.2', 443): 'intake'}
_RELAYS_PER_ZONE = 3
# Services of the targets in each zone.
_TARGET_SERVICES = ('api', 'api', 'api', 'intake')
# Interval of route checks.
_CHECK_SECONDS = 0.4
# Time for all relays to become ready at the start.
_READY_SECONDS = 20.0


class Environment:
    """All parts of one run, in a loopback network that depends on the seed.

    ``changed_at`` has the time of the last change of each route, as time of the
    event loop.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.findings = Findings(now())
        self.store = ObjectStoreServer()
        self.store_stability = Stability()
        self.relays: list[Relay] = []
        self.router = Router(self.relays, self.findings)
        self.targets = Targets(self.store, self.router, self.findings, self.rng)
        self.targets.store_is_stable = self.store_stability.is_stable
        self.log_check = LogCheck(self.findings, self.store_stability)
        self.callers: list[Callers] = []
        self.routes: dict[End, str] = dict(PERMANENT_ROUTES)
        self.changed_at: dict[End, float] = {}
        self.version = 1
        self._folder = folder
        self._network_prefix = f'127.{20 + seed % 200}'
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all parts and wait until every relay is ready.

        Raises TimeoutError if the relays are not ready 20 s after their start.
        """
        await self.store.start()
        await self.write_configuration()
        for zone_index, zone in enumerate(ZONES):
            for index, service in enumerate(_TARGET_SERVICES):
                await self.targets.add_target(
                    f'{self._network_prefix}.2.{zone_index * 8 + index + 1}',
                    zone,
                    service,
                )
        for zone_index, zone in enumerate(ZONES):
            for index in range(_RELAYS_PER_ZONE):
                ip = f'{self._network_prefix}.1.{zone_index * 8 + index + 1}'
                relay = Relay(
                    f'{zone}-{index}', ip, zone, self.store.endpoint, self._folder
                )
                relay.seeds = [
                    f'{self._network_prefix}.1.1:1',
                    f'{self._network_prefix}.1.9:1',
                ]
                self.relays.append(relay)
                await relay.start()
        self._start_task(self.router.probe_forever())
        async with asyncio.timeout(_READY_SECONDS):
            while not all(relay.in_rotation for relay in self.relays):
                await asyncio.sleep(0.1)
        for zone_index, zone in enumerate(ZONES):
            await self._add_callers(f'{self._network_prefix}.3.{zone_index + 1}', zone)

    async def _add_callers(self, ip: str, zone: str) -> None:
        callers = Callers(ip, zone, self.router, self.targets, self.findings, self.rng)
        await callers.start()
        self.callers.append(callers)
        for route in PERMANENT_ROUTES:
            for _ in range(6):
                self._start_task(callers.run_flows(route))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def write_configuration(self) -> None:
        """Write the routes to the store under a higher version."""
        routes = [
            {
                'name': f'r-{route.ip}-{route.port}',
                'hostname': route.ip,
                'path_prefix': f'/{route.port}/',
                'service': service,
            }
            for route, service in self.routes.items()
        ]
        for route, service in self.routes.items():
            self.targets.allowed_services.setdefault(route, set()).add(service)
        self.version += self.rng.randrange(1, 4)
        spec = {'version': self.version, 'routes': routes}
        await self.store.put('config', 'main', spec)
        self.log_check.accept(self.version)

    def start_checks(self) -> None:
        """Start to check routes at relays without a recent fault."""
        self._start_task(self._check_routes())
        self._start_task(self._check_logs())

    async def _check_logs(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            for relay in self.relays:
                self.log_check.check(relay)

    async def _check_routes(self) -> None:
        check = RouteCheck(
            self.callers[0], self.targets, self.findings, self.changed_at, {}
        )
        while True:
            await asyncio.sleep(_CHECK_SECONDS)
            relay = self.rng.choice(self.relays)
            known_routes = [*self.routes, *self.changed_at]
            route = self.rng.choice(known_routes)
            check.service_by_route = dict(self.routes)
            if relay.stability.is_stable() and self.store_stability.is_stable():
                await check.check(relay, route)

    async def check_recovery(self) -> None:
        """Check that every relay is ready and opens flows after the last fault."""
        await asyncio.sleep(RECOVERY_SECONDS + 2)
        for relay in self.relays:
            if not relay.in_rotation:
                self.findings.report_violation(
                    'RECOVER', f'{relay.name} is not ready after the last fault'
                )
            for route in PERMANENT_ROUTES:
                if not await self.callers[0].can_open_flow(relay, route):
                    detail = f'no flow could be opened through {relay.name} to {route}'
                    self.findings.report_violation('RECOVER', detail)

    async def close(self) -> None:
        """Cancel all tasks, end the relays and close all sockets.

        A task that had failed is reported as a violation.
        """
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.findings.report_violation(
                    'SOAK', f'{type(result).__name__}: {result}'
                )
        await asyncio.gather(*(relay.close() for relay in self.relays))
        for callers in self.callers:
            callers.close()
        for target_socket in self.targets.sockets:
            target_socket.close()
        self.store.close()
