"""One run of the soak test."""

import asyncio
import random
from collections.abc import Awaitable
from pathlib import Path

from soak._environment import Environment
from soak._evacuations import evacuate_zone
from soak._faults import FAULTS, Fault, restore_store
from soak._findings import Findings, now
from soak._odd_entries import leave_odd_entry


async def run_soak(seed: int, seconds: float, folder: Path) -> Findings:
    """Run one seed for some seconds of faults and return the findings.

    Logs and settings of the relays go to ``folder``. Raises TimeoutError if the
    relays do not become ready at the start.
    """
    environment = Environment(seed, folder)
    faults: set[asyncio.Future[None]] = set()
    try:
        await environment.start()
        environment.start_checks()
        until = now() + seconds
        faults.add(asyncio.ensure_future(_restore_repeatedly(environment, seed, until)))
        faults.add(asyncio.ensure_future(_leave_odd_entries(environment, seed, until)))
        faults.add(asyncio.ensure_future(_evacuate(environment, seed, until)))
        while now() < until:
            fault = environment.rng.choice(FAULTS)
            environment.findings.record_event(fault.__name__)
            faults.add(asyncio.ensure_future(_run_fault(environment, fault)))
            # Short pauses give overlapping faults, long ones let relays recover.
            pause = environment.rng.choice((0.05, 0.3, 1, 3))
            await asyncio.sleep(pause)
        await asyncio.gather(*faults)
        await environment.check_recovery()
    finally:
        for running in faults:
            running.cancel()
        await environment.close()
    return environment.findings


async def _restore_repeatedly(
    environment: Environment, seed: int, until: float
) -> None:
    # Draws of its own leave the other faults of a seed as they were.
    rng = random.Random(seed)
    while now() < until:
        environment.findings.record_event(restore_store.__name__)
        await restore_store(environment, rng)


async def _leave_odd_entries(environment: Environment, seed: int, until: float) -> None:
    rng = random.Random(seed)
    while now() < until:
        environment.findings.record_event(leave_odd_entry.__name__)
        await leave_odd_entry(environment, rng)


async def _evacuate(environment: Environment, seed: int, until: float) -> None:
    rng = random.Random(seed)
    while now() < until:
        environment.findings.record_event(evacuate_zone.__name__)
        await evacuate_zone(environment, rng)


async def _run_fault(environment: Environment, fault: Fault) -> None:
    coroutine: Awaitable[None] = fault(environment)
    try:
        await coroutine
    except Exception as error:
        environment.findings.report_violation('SOAK', f'{fault.__name__}: {error!r}')
