"""One run of the soak."""

import asyncio
from collections.abc import Awaitable
from pathlib import Path

from soak._faults import FAULTS, Fault
from soak._findings import Findings, now
from soak._world import World


async def run_soak(seed: int, seconds: float, folder: Path) -> Findings:
    """Run one seed and return what was found.

    Logs of the relays go to ``folder``. Raises TimeoutError if the relays do
    not become ready at the start.
    """
    world = World(seed, folder)
    faults: set[asyncio.Future[None]] = set()
    try:
        await world.start()
        world.start_checks()
        until = now() + seconds
        while now() < until:
            fault = world.rng.choice(FAULTS)
            world.findings.note(fault.__name__)
            faults.add(asyncio.ensure_future(_guarded(world, fault)))
            # Series of faults, with calm between them.
            pause = world.rng.choice((0.05, 0.3, 1, 3))
            await asyncio.sleep(pause)
        await asyncio.gather(*faults)
        await world.settle()
    finally:
        for running in faults:
            running.cancel()
        await world.close()
    return world.findings


async def _guarded(world: World, fault: Fault) -> None:
    work: Awaitable[None] = fault(world)
    try:
        await work
    except Exception as error:
        world.findings.report('SOAK', f'{fault.__name__}: {error!r}')
