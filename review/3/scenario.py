"""An entry of another writer names the address of a live target."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Deployment, Flow, Reset, main

FLOWS = 24
# A service that no desired state names.
UNKNOWN_SERVICE = 'node-exporter'


async def long_flow(deployment: Deployment, flow: Flow) -> None:
    """Send a request each second; a reset ends the flow."""
    record = deployment.record
    try:
        if not await flow.open():
            return
        while True:
            await flow.request()
            await asyncio.sleep(1)
    except Reset:
        owner = deployment.owner_by_flow.get(flow.key)
        if flow.reset_by == 'a relay' and owner is not None and owner.alive:
            relay = deployment.route('south', flow.src, flow.dst)
            if relay.in_touch():
                record.broke(
                    'FLOW',
                    f'flow {flow.src[1]} was reset by {relay.name}; its target '
                    f'{owner.id} lives, and nothing disturbed it',
                )
    finally:
        flow.forget()


async def scenario(deployment: Deployment) -> None:
    """Check FLOW."""
    record = deployment.record
    await deployment.start(
        {'south': 3}, [('i-a1', 'south', 'api'), ('i-a2', 'south', 'api')]
    )
    route = next(
        one for one, service in deployment.routes().items() if service == 'api'
    )
    for _ in range(FLOWS):
        flow = deployment.requesters[0].flow(route)
        deployment.task(long_flow(deployment, flow))
    await asyncio.sleep(5)
    if TROUBLE:
        entry = deployment.targets[0].entry()
        foreign = {**entry, 'service': UNKNOWN_SERVICE, 'born': int(time.time() * 1000)}
        await deployment.store.put('servers', 'i-f0', foreign)
        record.say('another writer has written an entry with an unknown service')
    await asyncio.sleep(8)


sys.exit(main(scenario, sys.argv[1]))
