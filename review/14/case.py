"""One large entry of another writer is left while all machines have narrow links."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness-3'))

import harness

ROUTE = ('127.250.0.1', 443)
# The narrowest link of the sheet.
LINK_MBPS = 5
# With its 1,040,000 bytes the object is below value_bytes.
ODD_NAME = 'backup'
ODD_SPEC = {'note': 'n' * 1_040_000}
# Those of the site.
harness.BOUNDS.update(
    stable_window_ms=5000,
    ack_ms=8000,
    catch_up_s=6,
    drain_ms=5000,
    config_apply_ms=5000,
    skew_max_ms=15000,
    recovery_s=15,
)


async def play(world):
    world.link_mbps = LINK_MBPS
    await world.start(('a', 'b'), 2, 3, {ROUTE: 'fieldlink'})
    for requester in world.requesters:
        world.spawn(world.traffic(requester, ROUTE, 0.1))
    await asyncio.sleep(6)
    if harness.with_trouble():
        await world.store.put('servers', ODD_NAME, ODD_SPEC)
        world.record.line('another writer left an entry without fields')
    await asyncio.sleep(10)
    target = world.targets[0]
    await target.drain()
    await asyncio.sleep(20)
    late = [
        (at, ip)
        for at, taken_by, ip in world.openings
        if taken_by is target and is_late(world, target, at, ip)
    ]
    world.record.line('late openings at', target.name, len(late))
    if late:
        last = max(at for at, _ in late) - target.drained_at
        return (
            f'DRAIN: {len(late)} flows opened at {target.name} later than drain_ms '
            f'after the store accepted that it drains, the last after {last:.1f} s, '
            f'through {len({ip for _, ip in late})} relays in touch'
        )
    return ''


def is_late(world, target, at, ip):
    """Return whether an opening was taken too late, through a relay in touch."""
    relay = next(one for one in world.relays if one.ip == ip)
    in_touch = at - relay.disturbed_at > harness.BOUNDS['stable_window_ms'] / 1000
    return in_touch and at > target.drained_at + harness.BOUNDS['drain_ms'] / 1000


sys.exit(harness.run(play, FOLDER))
