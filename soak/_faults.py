"""Faults of the soak; they come in series and overlap."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak._findings import STOP_SECONDS, now
from soak._packets import End
from soak._proxy import LinkFault
from soak._relays import Relay
from soak._targets import LAPSE_SECONDS, Address
from soak._world import SERVICES, World

Fault = Callable[[World], Awaitable[None]]
_REUSE_SECONDS = 2.0
_DRAINING_SECONDS = 3.5


async def kill(world: World) -> None:
    """Kill one relay; it starts again after a moment."""
    await _kill(world, _any_relay(world))


async def kill_many(world: World) -> None:
    """Kill half of the relays or all at the same moment."""
    count = world.rng.choice((len(world.relays) // 2, len(world.relays)))
    relays = world.rng.sample(world.relays, count)
    await asyncio.gather(*(_kill(world, relay) for relay in relays))


async def _kill(world: World, relay: Relay) -> None:
    if not relay.runs:
        return
    relay.send(signal.SIGCONT)
    relay.send(signal.SIGKILL)
    await relay.ended()
    relay.calm.disturb(now() + 1)
    await asyncio.sleep(world.rng.uniform(0.05, 1))
    if not relay.runs:
        await relay.spawn()


async def pause(world: World) -> None:
    """Freeze a relay for a while."""
    relay = _any_relay(world)
    seconds = world.rng.uniform(0.5, 4)
    relay.calm.disturb(now() + seconds)
    relay.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    relay.send(signal.SIGCONT)
    relay.calm.disturb(now())


async def stop(world: World) -> None:
    """Stop a relay in good order and start it again."""
    relay = _any_relay(world)
    if not relay.runs or not relay.calm.is_calm():
        return
    relay.calm.disturb(now() + STOP_SECONDS)
    relay.send(signal.SIGTERM)
    if world.rng.random() < 0.3:
        relay.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_SECONDS):
            status = await relay.ended()
    except TimeoutError:
        world.findings.report('STOP', f'{relay.name} did not end')
        return
    # Another fault may have killed it meanwhile.
    if status not in {0, -signal.SIGKILL}:
        world.findings.report('STOP', f'{relay.name} ended with status {status}')
    if not relay.runs:
        await relay.spawn()


async def hang_up(world: World) -> None:
    """Change the settings of a relay, with a signal or without."""
    relay = _any_relay(world)
    world.rng.shuffle(relay.seeds)
    relay.write_settings()
    if relay.runs and relay.in_rotation and world.rng.random() < 0.7:
        relay.send(signal.SIGHUP)


async def harm_link(world: World) -> None:
    """Harm the link between some relays and the store."""
    fault = world.rng.choice([one for one in LinkFault if one is not LinkFault.NONE])
    relays = world.rng.sample(world.relays, world.rng.randrange(1, 4))
    seconds = world.rng.uniform(0.5, 5)
    for relay in relays:
        relay.link.fault = fault
        relay.calm.disturb(now() + seconds)
    await asyncio.sleep(seconds)
    for relay in relays:
        relay.link.fault = LinkFault.NONE
        relay.calm.disturb(now())


async def reset_links(world: World) -> None:
    """Reset the connections between some relays and the store."""
    for relay in world.rng.sample(world.relays, 3):
        relay.link.reset()
        relay.calm.disturb(now())


async def store_away(world: World) -> None:
    """Take the store away; entries lapse meanwhile."""
    seconds = world.rng.uniform(0.5, 5)
    world.store_calm.disturb(now() + seconds + LAPSE_SECONDS)
    world.store.fault = world.rng.choice(('silent', 'busy'))
    await asyncio.sleep(seconds)
    world.store.fault = None
    world.store_calm.disturb(now())


async def forget_history(world: World) -> None:
    """Let the store forget its history just after a change."""
    world.store_calm.disturb(now())
    await change_routes(world)
    world.store.compact()


async def change_routes(world: World) -> None:
    """Add a route or remove one that was added."""
    added = [end for end in world.routes if end.port != 443]
    if added and world.rng.random() < 0.5:
        end = world.rng.choice(added)
        world.routes.pop(end)
    else:
        end = End('198.18.0.9', world.rng.randrange(1000, 1020))
        world.routes.setdefault(end, world.rng.choice(SERVICES))
    # Both before the write and after: the bound counts from its acceptance.
    world.changed_at[end] = now()
    await world.configure()
    world.changed_at[end] = now()


async def replace_target(world: World) -> None:
    """Drain a target; another one takes its address later."""
    address = _any_address(world)
    holder = address.holder
    if holder is None or not holder.alive or holder.draining_since is not None:
        return
    await world.targets.drain(holder)
    await asyncio.sleep(_DRAINING_SECONDS + world.rng.uniform(0, 2))
    if address.holder is not holder or not holder.alive:
        return
    holder.alive = False
    await world.targets.end(holder)
    await asyncio.sleep(_REUSE_SECONDS)
    await world.targets.live(address, holder.zone, holder.service)


async def crash_target(world: World) -> None:
    """Crash a target; its id or its address is used again."""
    address = _any_address(world)
    holder = address.holder
    if holder is None or not holder.alive or holder.draining_since is not None:
        return
    holder.alive = False
    if world.rng.random() < 0.4:
        await asyncio.sleep(world.rng.uniform(0.2, 1))
        await world.targets.live(address, holder.zone, holder.service, holder.name)
        return
    await asyncio.sleep(LAPSE_SECONDS)
    await world.targets.end(holder)
    await asyncio.sleep(_REUSE_SECONDS)
    await world.targets.live(address, holder.zone, holder.service)


FAULTS: tuple[Fault, ...] = (
    kill,
    kill_many,
    pause,
    stop,
    hang_up,
    harm_link,
    reset_links,
    store_away,
    forget_history,
    change_routes,
    replace_target,
    crash_target,
)


def _any_relay(world: World) -> Relay:
    return world.rng.choice(world.relays)


def _any_address(world: World) -> Address:
    return world.rng.choice(world.targets.addresses)
