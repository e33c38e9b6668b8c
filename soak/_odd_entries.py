"""Entries that another writer leaves among those of the targets."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any, Final

from soak._environment import Environment
from soak._findings import now
from soak._targets import Incarnation

_MAX_STAY_SECONDS: Final = 4.0
_MAX_PAUSE_SECONDS: Final = 2.0
# A lone surrogate stands for a byte that is not UTF-8.
_UNREADABLE: Final = 'foreign-\udcff'


async def leave_odd_entry(environment: Environment, rng: random.Random) -> None:
    """Leave an odd entry at the address of a target for a while.

    Its name ends in the digits of the target's id.
    """
    target = rng.choice(environment.targets.sockets).incarnation
    if target is None:
        return
    prefix = rng.choice(('foreign', 'foreign', _UNREADABLE, 'a' * 200))
    name = f'{prefix}-{target.numeric_id:x}'
    spec = rng.choice(tuple(_odd_specs(target)))
    await environment.store.put('servers', name, spec)
    await asyncio.sleep(rng.uniform(0, _MAX_STAY_SECONDS))
    await environment.store.delete('servers', name)
    await asyncio.sleep(rng.uniform(0, _MAX_PAUSE_SECONDS))


def _odd_specs(target: Incarnation) -> Iterator[Any]:
    spec = {**target.store_entry(), 'born': int(now() * 1000)}
    yield None
    yield {**spec, 'service': 'unknown'}
    yield {**spec, 'service': _UNREADABLE}
    yield {**spec, 'address': f'{target.ip}:65536'}
    yield {**spec, 'slots': 10**400}
    # Takes a page of a list alone.
    yield {'note': 'n' * 1_040_000}
    yield {**spec, 'warmup_left_ms': 10**400}
    for name in spec:
        yield {field: spec[field] for field in spec if field != name}
