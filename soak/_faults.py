"""Faults that the soak test injects; they may overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak._environment import SERVICES, Environment
from soak._findings import STOP_SECONDS, now
from soak._packets import End
from soak._proxy import LinkFault
from soak._relays import Relay
from soak._targets import ENTRY_EXPIRY_SECONDS, TargetSocket

Fault = Callable[[Environment], Awaitable[None]]
# From the removal of an upstream's entry to the next target at its address.
_ADDRESS_REUSE_SECONDS = 2.0
# From the start of draining to the removal of the entry, at least.
_DRAIN_WAIT_SECONDS = 3.5

# From the return of the store until what it has lost is written again, at most.
_RETURN_SECONDS = 2.0


async def kill(environment: Environment) -> None:
    """Kill one relay with SIGKILL and restart it within about a second."""
    await _kill(environment, _random_relay(environment))


async def kill_many(environment: Environment) -> None:
    """Kill half of the relays, or all of them, at the same time."""
    count = environment.rng.choice(
        (len(environment.relays) // 2, len(environment.relays))
    )
    relays = environment.rng.sample(environment.relays, count)
    await asyncio.gather(*(_kill(environment, relay) for relay in relays))


async def _kill(environment: Environment, relay: Relay) -> None:
    if not relay.is_running:
        return
    relay.send(signal.SIGCONT)
    relay.send(signal.SIGKILL)
    await relay.wait_for_exit()
    relay.stability.disturb(now() + 1)
    await asyncio.sleep(environment.rng.uniform(0.05, 1))
    if not relay.is_running:
        await relay.spawn()


async def pause(environment: Environment) -> None:
    """Suspend a relay with SIGSTOP for 0.5 to 4 s."""
    relay = _random_relay(environment)
    seconds = environment.rng.uniform(0.5, 4)
    relay.stability.disturb(now() + seconds)
    relay.send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    relay.send(signal.SIGCONT)
    relay.stability.disturb(now())


async def stop(environment: Environment) -> None:
    """Stop a relay with SIGTERM and start it again.

    It must exit with status 0 within STOP_SECONDS, also if SIGTERM is repeated.
    """
    relay = _random_relay(environment)
    if not relay.is_running or not relay.stability.is_stable():
        return
    relay.stability.disturb(now() + STOP_SECONDS)
    relay.send(signal.SIGTERM)
    if environment.rng.random() < 0.3:
        relay.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_SECONDS):
            status = await relay.wait_for_exit()
    except TimeoutError:
        environment.findings.report_violation(
            'STOP', f'{relay.name} did not exit in time after SIGTERM'
        )
        return
    # SIGKILL comes from a kill fault that ran meanwhile.
    if status not in {0, -signal.SIGKILL}:
        environment.findings.report_violation(
            'STOP', f'{relay.name} exited after SIGTERM with status {status}'
        )
    if not relay.is_running:
        await relay.spawn()


async def hang_up(environment: Environment) -> None:
    """Rewrite the settings of a relay, and send SIGHUP in some of the cases.

    Without the signal the relay has to detect the change of the file.
    """
    relay = _random_relay(environment)
    environment.rng.shuffle(relay.seeds)
    relay.write_settings()
    if relay.is_running and relay.in_rotation and environment.rng.random() < 0.7:
        await _send_hangup(environment, relay)


async def _send_hangup(environment: Environment, relay: Relay) -> None:
    """Send SIGHUP; restart the process if it ends, as the platform does.

    It must not end once its own code runs.
    """
    must_survive = relay.survives_hangup()
    relay.send(signal.SIGHUP)
    await asyncio.sleep(environment.rng.uniform(0.05, 1))
    if relay.is_running or relay.exit_status != -signal.SIGHUP:
        return
    if must_survive:
        environment.findings.report_violation('HANGUP', f'{relay.name} ended by SIGHUP')
    await relay.spawn()


async def harm_link(environment: Environment) -> None:
    """Delay or drop traffic between some relays and the store for 0.5 to 5 s."""
    fault = environment.rng.choice(
        [candidate for candidate in LinkFault if candidate is not LinkFault.NONE]
    )
    relays = environment.rng.sample(environment.relays, environment.rng.randrange(1, 4))
    seconds = environment.rng.uniform(0.5, 5)
    for relay in relays:
        relay.store_proxy.fault = fault
        relay.stability.disturb(now() + seconds)
    await asyncio.sleep(seconds)
    for relay in relays:
        relay.store_proxy.fault = LinkFault.NONE
        relay.stability.disturb(now())


async def reset_links(environment: Environment) -> None:
    """Reset the connections between three relays and the store."""
    for relay in environment.rng.sample(environment.relays, 3):
        relay.store_proxy.reset()
        relay.stability.disturb(now())


async def store_away(environment: Environment) -> None:
    """Make the store silent or busy for 0.5 to 5 s.

    Targets whose entries expire meanwhile need ENTRY_EXPIRY_SECONDS more.
    """
    seconds = environment.rng.uniform(0.5, 5)
    environment.store_stability.disturb(now() + seconds + ENTRY_EXPIRY_SECONDS)
    environment.store.fault = environment.rng.choice(('silent', 'busy'))
    await asyncio.sleep(seconds)
    environment.store.fault = None
    environment.store_stability.disturb(now())


async def forget_history(environment: Environment) -> None:
    """Change the routes, then drop the store's history.

    Watches from an earlier revision fail, so relays have to list again.
    """
    environment.store_stability.disturb(now())
    await change_routes(environment)
    environment.store.compact()


async def restore_store(environment: Environment, rng: random.Random) -> None:
    """Bring the store back from a copy that is 1 to 9 s old.

    Operator and targets write again what is lost, up to 2 s later; the revisions of
    the lost changes are given out again.
    """
    store = environment.store
    copy = store.copy()
    await asyncio.sleep(rng.uniform(1, 9))
    seconds = rng.uniform(0.1, 2)
    environment.store_stability.disturb(now() + seconds)
    store.fault = rng.choice(('silent', 'busy'))
    await asyncio.sleep(seconds)
    await store.restore(copy)
    store.fault = None
    seconds = rng.uniform(0, _RETURN_SECONDS)
    environment.store_stability.disturb(now() + seconds)
    await asyncio.sleep(seconds)
    await store.write_again()
    environment.store_stability.disturb(now())


async def change_routes(environment: Environment) -> None:
    """Add a route, or remove one that was added before."""
    added = [route for route in environment.routes if route.port != 443]
    if added and environment.rng.random() < 0.5:
        route = environment.rng.choice(added)
        environment.routes.pop(route)
    else:
        route = End('198.18.0.9', environment.rng.randrange(1000, 1020))
        environment.routes.setdefault(route, environment.rng.choice(SERVICES))
    # Set before the write, so that no check runs while it is in progress, and
    # after it, because the bound counts from the acceptance of the change.
    environment.changed_at[route] = now()
    await environment.write_configuration()
    environment.changed_at[route] = now()


async def replace_target(environment: Environment) -> None:
    """Drain a target, remove its entry and start another one at its address."""
    target_socket = _random_target_socket(environment)
    incarnation = target_socket.incarnation
    if (
        incarnation is None
        or not incarnation.is_alive
        or incarnation.draining_since is not None
    ):
        return
    await environment.targets.drain(incarnation)
    await asyncio.sleep(_DRAIN_WAIT_SECONDS + environment.rng.uniform(0, 2))
    if target_socket.incarnation is not incarnation or not incarnation.is_alive:
        return
    incarnation.is_alive = False
    await environment.targets.remove_entry(incarnation)
    await asyncio.sleep(_ADDRESS_REUSE_SECONDS)
    await environment.targets.start_incarnation(
        target_socket, incarnation.zone, incarnation.service
    )


async def crash_target(environment: Environment) -> None:
    """Crash a target without draining.

    It restarts under the same id at once, or another target takes its address
    after its entry has expired.
    """
    target_socket = _random_target_socket(environment)
    incarnation = target_socket.incarnation
    if (
        incarnation is None
        or not incarnation.is_alive
        or incarnation.draining_since is not None
    ):
        return
    incarnation.is_alive = False
    if environment.rng.random() < 0.4:
        pause = environment.rng.uniform(0.2, 1)
        await asyncio.sleep(pause)
        await environment.targets.restart(target_socket, incarnation, pause)
        return
    await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
    await environment.targets.remove_entry(incarnation)
    await asyncio.sleep(_ADDRESS_REUSE_SECONDS)
    await environment.targets.start_incarnation(
        target_socket, incarnation.zone, incarnation.service
    )


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


def _random_relay(environment: Environment) -> Relay:
    return environment.rng.choice(environment.relays)


def _random_target_socket(environment: Environment) -> TargetSocket:
    return environment.rng.choice(environment.targets.sockets)
