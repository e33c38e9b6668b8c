"""Steps that start the platform, the upstreams, the daemons and the fabric."""

import asyncio
from typing import Final

import aiohttp

from demo import _plan
from demo._fleet import LOOPBACK, DemoError, Fleet, Host, UpstreamProcess
from lycheedeal.model import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.settings import parse_endpoint

ZONES: Final = (Zone('coyhaique'), Zone('cochrane'))
SERVICES: Final = (ServiceName('bitacora-api'), ServiceName('reparo'))
_HOSTS_PER_ZONE: Final = 3
# One upstream of the first service is drained; the others must take over its work.
_UPSTREAMS_PER_ZONE: Final = {SERVICES[0]: 3, SERVICES[1]: 2}
_REGION: Final = 'sur'
_DRAIN_SECONDS: Final = 6
_START_TIMEOUT_SECONDS: Final = 15.0
_POLL_SECONDS: Final = 0.05


async def _run_start_step(step: _plan.Step, fleet: Fleet) -> None:
    match step:
        case _plan.StartPlatform():
            await _start_platform(fleet)
        case _plan.StartUpstreams():
            await _start_upstreams(fleet)
        case _plan.StartHosts():
            await _start_hosts(fleet)
        case _plan.StartFabric():
            await _start_fabric(fleet)


async def _start_platform(fleet: Fleet) -> None:
    port_file = 'platform.port'
    process = await fleet.processes.start(
        'platform',
        'standins.platform',
        *('--port', 0, '--port-file', fleet.path(port_file)),
    )
    port = await fleet.read_port_file(port_file, process)
    fleet.platform_url = f'http://{LOOPBACK}:{port}'


async def _start_upstreams(fleet: Fleet) -> None:
    planned = [
        (service, zone, UpstreamId(f'{service}-{zone}-{index}'))
        for service in SERVICES
        for zone in ZONES
        for index in range(_UPSTREAMS_PER_ZONE[service])
    ]
    started = [
        await fleet.processes.start(
            upstream_id,
            'standins.upstream',
            *('--service', service),
            *('--port-file', fleet.path(f'{upstream_id}.port')),
            *('--log-file', fleet.path(f'{upstream_id}.upstream.log')),
            *('--answer-order', 'shuffled', '--answer-delay-ms', 20),
            *('--answer-size', 80_000 if service == SERVICES[1] else 2000),
        )
        for service, _, upstream_id in planned
    ]
    for process, (service, zone, upstream_id) in zip(started, planned, strict=True):
        ports = await fleet.read_port_file(f'{upstream_id}.port', process)
        endpoint = Endpoint(LOOPBACK, ports['port'])
        fleet.upstreams.append(UpstreamProcess(service, upstream_id, zone, endpoint))


async def _start_hosts(fleet: Fleet) -> None:
    await asyncio.gather(*(_start_zone(fleet, zone) for zone in ZONES))
    await asyncio.gather(
        *(_wait_for_host(fleet, host) for host in fleet.hosts_by_id.values()),
    )
    fleet.write_host_file()


async def _start_zone(fleet: Fleet, zone: Zone) -> None:
    first, *others = (HostId(f'{zone}-{index}') for index in range(_HOSTS_PER_ZONE))
    await _add_host(fleet, first, zone)
    await asyncio.gather(*(_add_host(fleet, host_id, zone) for host_id in others))


async def _add_host(fleet: Fleet, host_id: HostId, zone: Zone) -> None:
    host = await _start_host(fleet, host_id, zone)
    fleet.hosts_by_id[host_id] = host
    await _register_host(fleet, host)


async def _register_host(fleet: Fleet, host: Host) -> None:
    entry = {
        'host_id': host.host_id,
        'zone': host.zone,
        'peer': str(host.peer),
        'gossip': str(host.gossip),
        'admin': str(host.admin),
    }
    async with fleet.http.post(f'{fleet.platform_url}/hosts', json=entry) as response:
        response.raise_for_status()


async def _start_host(fleet: Fleet, host_id: HostId, zone: Zone) -> Host:
    # A host finds its zone through the hosts that are up before it.
    earlier = (one.peer for one in fleet.hosts_by_id.values() if one.zone == zone)
    seeds = ','.join(map(str, earlier))
    address_file = f'{host_id}.addresses'
    listeners = ('--data', '--peer', '--gossip', '--admin')
    process = await fleet.processes.start(
        host_id,
        'lycheedeal.cli.daemon',
        *('--host-id', host_id, '--region', _REGION, '--zone', zone),
        *(part for flag in listeners for part in (flag, f'{LOOPBACK}:0')),
        *('--address-file', fleet.path(address_file)),
        *('--platform-url', fleet.platform_url, '--peer-seeds', seeds),
        *('--drain-seconds', _DRAIN_SECONDS),
    )
    texts = await fleet.read_port_file(address_file, process)
    addresses = {name: parse_endpoint(text) for name, text in texts.items()}
    return Host(host_id=host_id, zone=zone, process=process, **addresses)


async def _wait_for_host(fleet: Fleet, host: Host) -> None:
    async with asyncio.timeout(_START_TIMEOUT_SECONDS):
        while host.process.returncode is None:
            try:
                async with fleet.http.get(f'http://{host.admin}/healthz') as response:
                    if response.ok:
                        return
            except aiohttp.ClientError:
                # The daemon has not opened its admin port yet.
                await asyncio.sleep(_POLL_SECONDS)
    raise DemoError(
        f'{host.host_id} exited with {host.process.returncode} before it was healthy'
    )


async def _start_fabric(fleet: Fleet) -> None:
    port_file = 'fabric.port'
    services = [part for _ in SERVICES for part in ('--service', f'{LOOPBACK}:0')]
    process = await fleet.processes.start(
        'fabric',
        'standins.fabric',
        *services,
        *('--host-file', fleet.host_file, '--port-file', fleet.path(port_file)),
        *('--loss', 0.005, '--duplicate', 0.005),
    )
    ports = await fleet.read_port_file(port_file, process)
    for service, port in zip(SERVICES, ports['ports'], strict=True):
        fleet.addresses_by_service[service] = Endpoint(LOOPBACK, port)


_plan.register(
    _run_start_step,
    _plan.StartPlatform,
    _plan.StartUpstreams,
    _plan.StartHosts,
    _plan.StartFabric,
)
