"""A target starts again under its id, and later the relays are restarted in turn."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    STABLE_S,
    TIME_BUDGET_S,
    TROUBLE,
    Deployment,
    Flow,
    Reset,
    Target,
    main,
    now,
)

# Time from the target's second start to its first entry.
FIRST_ENTRY_S = 0.25
# Flows that are opened in this time.
FLOWS = 30


async def long_flow(deployment: Deployment, flow: Flow, again: asyncio.Event) -> None:
    """Send a request, pause until ``again``, and send requests each second."""
    record = deployment.record
    try:
        if not await flow.open():
            return
        await flow.request()
        await again.wait()
        for _ in range(4):
            await flow.request()
            await asyncio.sleep(0.5)
    except Reset:
        owner = deployment.owner_by_flow.get(flow.key)
        if flow.reset_by == 'a relay' and owner is not None and owner.alive:
            relay = deployment.route('south', flow.src, flow.dst)
            calm_s = now() - owner.started
            if relay.in_touch() and calm_s >= STABLE_S:
                record.broke(
                    'FLOW',
                    f'flow {flow.src[1]} was reset by {relay.name}; its target '
                    f'{owner.id} lives, and started {calm_s:.1f} s ago',
                )
    finally:
        flow.forget()


async def scenario(deployment: Deployment) -> None:
    """Check FLOW."""
    record = deployment.record
    await deployment.start(
        {'south': 3}, [('i-a1', 'south', 'api'), ('i-b1', 'south', 'bulk')]
    )
    first = deployment.targets[0]
    route = next(
        one for one, service in deployment.routes().items() if service == 'api'
    )
    if TROUBLE:
        await first.crash()
        await asyncio.sleep(0.3)
        second = Target(deployment, first.id, first.ip, first.zone, first.service)
        deployment.targets.append(second)
        await second.start(first_entry_s=FIRST_ENTRY_S)
        record.say(f'target {second.id} has started again under its id')
    again = asyncio.Event()
    for _ in range(FLOWS):
        flow = deployment.requesters[0].flow(route)
        deployment.task(long_flow(deployment, flow, again))
        await asyncio.sleep(FIRST_ENTRY_S / FLOWS / 2)
    await asyncio.sleep(1)
    for relay in deployment.relays:
        await relay.restart()
    while not all(
        relay.in_rotation and relay.in_touch() for relay in deployment.relays
    ):
        await asyncio.sleep(0.1)
    record.say('all relays are in touch again; the flows go on')
    again.set()
    await asyncio.sleep(4 * (TIME_BUDGET_S + 0.5) + 1)


sys.exit(main(scenario, sys.argv[1]))
