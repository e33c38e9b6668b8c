"""The desired state grows to 0.8 MB while all machines have narrow links."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness-3'))

import harness

ROUTE = ('127.250.0.1', 443)
DROPPED = ('127.250.0.2', 443)
ADDED = ('127.250.0.3', 443)
IDLE_ROUTES = 40
# The narrowest link of the sheet, and its largest growth, which comes three times.
LINK_MBPS = 5
GROWTH = 1400
TIMES = 3
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
    routes = {ROUTE: 'bitacora-api', DROPPED: 'bitacora-api'}
    for number in range(IDLE_ROUTES):
        routes[('127.251.0.1', 1000 + number)] = 'bitacora-api'
    await world.start(('a', 'b'), 2, 3, routes)
    for requester in world.requesters:
        world.spawn(world.traffic(requester, ROUTE, 0.1))
    await asyncio.sleep(6)
    for turn in range(TIMES):
        if harness.with_trouble():
            for number in range(GROWTH):
                world.routes[(f'127.252.{turn}.1', 1000 + number)] = 'bitacora-api'
            await world.configure()
        await asyncio.sleep(7)
    world.routes.pop(DROPPED)
    world.routes[ADDED] = 'bitacora-api'
    await world.configure()
    acknowledged_at = time.monotonic()
    await asyncio.sleep(harness.BOUNDS['config_apply_ms'] / 1000 + 0.5)
    broken = {'added route refused': 0, 'dropped route run': 0}
    sent = 0
    while time.monotonic() < acknowledged_at + 20:
        for relay in world.relays:
            if relay.calm_s() <= harness.BOUNDS['stable_window_ms'] / 1000:
                continue
            sent += 1
            requester = next(one for one in world.requesters if one.zone == relay.zone)
            added = await requester.request(ADDED, relay=relay)
            dropped = await requester.request(DROPPED, relay=relay)
            broken['added route refused'] += added == 'reset by the system'
            broken['dropped route run'] += dropped == 'served'
        await asyncio.sleep(0.3)
    world.record.line('later than config_apply_ms', sent, 'pairs,', broken)
    if not sent:
        raise RuntimeError('no relay was in touch')
    if any(broken.values()):
        return f'CONFIG: of {sent} pairs of requests through relays in touch: {broken}'
    return ''


sys.exit(harness.run(play, FOLDER))
