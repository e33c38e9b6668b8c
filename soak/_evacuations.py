"""Evacuations that an operator writes and deletes during a soak run."""

import asyncio
import random
from typing import Any, Final

from soak._environment import ZONES, Environment
from soak._findings import EVACUATE_SECONDS

# Longer than an evacuation takes to be in force, so that its effect is checked.
_MIN_STAY_SECONDS: Final = EVACUATE_SECONDS
_MAX_STAY_SECONDS: Final = 2 * EVACUATE_SECONDS
_MAX_PAUSE_SECONDS: Final = 4.0
# Objects that evacuate nothing, by name.
_ODD_OBJECTS: Final[tuple[tuple[str, Any], ...]] = (
    ('elsewhere', {}),
    ('foreign-\udcff', {}),
    ('odd', None),
    ('odd', []),
)


async def evacuate_zone(environment: Environment, rng: random.Random) -> None:
    """Evacuate one zone for a while, beside an object that evacuates nothing."""
    zone = rng.choice(ZONES)
    name, spec = rng.choice(_ODD_OBJECTS)
    await environment.store.put('evacuations', name, spec)
    await environment.targets.evacuate(zone)
    try:
        await asyncio.sleep(rng.uniform(_MIN_STAY_SECONDS, _MAX_STAY_SECONDS))
    finally:
        await environment.targets.resume(zone)
        await environment.store.delete('evacuations', name)
    await asyncio.sleep(rng.uniform(0, _MAX_PAUSE_SECONDS))
