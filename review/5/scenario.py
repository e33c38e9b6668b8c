"""An entry of another writer, without two of its fields, at a live target."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Deployment, Packet, Reset, Target, main


async def send_requests(deployment: Deployment, route: tuple[str, int]) -> None:
    """Send a request on a flow of its own each 50 ms."""

    async def one() -> None:
        flow = deployment.requesters[0].flow(route)
        try:
            if await flow.open():
                await flow.request()
                flow.close()
        except Reset:
            pass
        flow.forget()

    while True:
        deployment.task(one())
        await asyncio.sleep(0.05)


async def scenario(deployment: Deployment) -> None:
    """Check ROUTE."""
    record = deployment.record
    await deployment.start(
        {'south': 3},
        [
            ('i-a1', 'south', 'api'),
            ('i-a2', 'south', 'api'),
            ('i-b1', 'south', 'bulk'),
            ('i-b2', 'south', 'bulk'),
        ],
    )
    services = deployment.routes()

    def ran(target: Target, packet: Packet) -> None:
        if services[packet.dst] != target.service:
            record.broke(
                'ROUTE',
                f'{packet.data.decode()} to {packet.dst[0]}:{packet.dst[1]}, whose '
                f'service has always been {services[packet.dst]}, was run by '
                f'{target.id} of {target.service}',
            )

    for target in deployment.targets:
        target.on_run = ran
    for route in services:
        deployment.task(send_requests(deployment, route))
    await asyncio.sleep(4)
    if TROUBLE:
        live = deployment.targets[2]
        foreign = {**live.entry(), 'service': 'api', 'born': int(time.time() * 1000)}
        for name in ('version', 'seq'):
            del foreign[name]
        await deployment.store.put('servers', 'vm-b1', foreign)
        record.say('another writer has written an entry without version and seq')
    await asyncio.sleep(6)


sys.exit(main(scenario, sys.argv[1]))
