"""Steps that stop a host, kill a host or cause an outage of the platform."""

import asyncio
import contextlib
import signal
import time
from collections import Counter
from typing import Final

import aiohttp

from demo import _plan
from demo._fleet import Fleet, Host
from lycheedeal.model import HostId, Zone
from standins._log_counts import Crash

# Time until the fabric stops sending to a host that is stopping or has crashed.
_FABRIC_LAG_SECONDS: Final = 1.0
# Errors up to this long after a crash are attributed to it: a caller notices a
# broken flow at its next keepalive, and a silent one after 10 s.
_CRASH_EFFECT_SECONDS: Final = 12.0
_EXIT_TIMEOUT_SECONDS: Final = 12.0


async def _run_fault_step(step: _plan.Step, fleet: Fleet) -> None:
    match step:
        case _plan.Wait(seconds):
            await asyncio.sleep(seconds)
        case _plan.StopOwner(zone):
            await _stop_host(fleet, _busiest_owner(fleet, zone))
        case _plan.KillOwner(zone):
            await _kill_host(fleet, _busiest_owner(fleet, zone))
        case _plan.StartPlatformOutage(seconds):
            url = f'{fleet.platform_url}/control/outage?seconds={seconds}'
            async with fleet.http.post(url) as response:
                response.raise_for_status()


def _busiest_owner(fleet: Fleet, zone: Zone) -> HostId:
    """Return the host of a zone that owns most requests in the callers' logs.

    A fault of a host that owns few requests would show little.
    """
    owners = Counter(line.get('owner') for line in fleet.read_logs('*.caller.log'))
    hosts = [host for host in fleet.hosts_by_id.values() if host.zone == zone]
    return max(hosts, key=lambda host: owners[str(host.peer)]).host_id


async def _stop_host(fleet: Fleet, host_id: HostId) -> None:
    fleet.measurements['stopped'] = host_id
    host = await _signal_host(fleet, host_id, signal.SIGTERM)
    try:
        async with asyncio.timeout(_EXIT_TIMEOUT_SECONDS):
            status = await host.process.wait()
    except TimeoutError:
        fleet.failures.append(f'{host_id} did not exit in time after SIGTERM')
        return
    if status:
        fleet.failures.append(
            f'{host_id} exited with status {status} after SIGTERM, expected 0'
        )


async def _kill_host(fleet: Fleet, host_id: HostId) -> None:
    now = time.time()
    fleet.measurements['killed'] = host_id
    peer = str(fleet.hosts_by_id[host_id].peer)
    fleet.crashes.append(Crash(peer, now, now + _CRASH_EFFECT_SECONDS))
    await _signal_host(fleet, host_id, signal.SIGKILL)


async def _signal_host(
    fleet: Fleet, host_id: HostId, signal_number: signal.Signals
) -> Host:
    host = fleet.hosts_by_id.pop(host_id)
    host.process.send_signal(signal_number)
    await asyncio.sleep(_FABRIC_LAG_SECONDS)
    fleet.write_host_file()
    # The call fails during an outage, and the platform's host list then keeps the
    # host that is gone.
    with contextlib.suppress(aiohttp.ClientError):
        await fleet.http.delete(f'{fleet.platform_url}/hosts/{host_id}')
    return host


_plan.register(
    _run_fault_step,
    _plan.Wait,
    _plan.StopOwner,
    _plan.KillOwner,
    _plan.StartPlatformOutage,
)
