"""All relays restart while the store holds one large entry of another writer."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness-3'))

import harness

ROUTE = ('127.250.0.1', 443)
# A name of 200 characters, and no field of an entry. With its 1,040,000 bytes the
# object is below value_bytes, and no other one fits on its page of a list.
ODD_NAME = 'backup-of-inventory-' + 'x' * 180
ODD_SPEC = {'note': 'n' * 1_040_000}


async def play(world):
    await world.start(('a', 'b'), 2, 3, {ROUTE: 'fieldlink'})
    for requester in world.requesters:
        world.spawn(world.traffic(requester, ROUTE, 0.1))
    await asyncio.sleep(4)
    if harness.with_trouble():
        await world.store.put('servers', ODD_NAME, ODD_SPEC)
        world.record.line('another writer left an entry without fields')
    await asyncio.sleep(6)
    before = served(world, time.monotonic() - 8, time.monotonic() - 3)
    world.record.line('kill all')
    for relay in world.relays:
        relay.send(signal.SIGKILL)
    for relay in world.relays:
        await relay.process.wait()
    await asyncio.sleep(1)
    for relay in world.relays:
        await relay.start()
    back = time.monotonic()
    await asyncio.sleep(harness.BOUNDS['recovery_s'] + 14)
    after = served(world, back + harness.BOUNDS['recovery_s'], time.monotonic() - 4)
    world.record.line('served before', before, 'and after', after)
    if before[0] * 4 < before[1]:
        raise RuntimeError('less than a quarter was served before the fault')
    if after[0] * 4 < after[1]:
        return (
            f'RECOVER: {after[0]} of {after[1]} requests sent later than recovery_s '
            f'were served, {before[0]} of {before[1]} before'
        )
    return ''


def served(world, since, until):
    """Return how many requests that ended in a span were served, and how many ended."""
    ended = [outcome for at, outcome in world.outcomes if since <= at <= until]
    return ended.count('served'), len(ended)


sys.exit(harness.run(play, FOLDER))
