"""Steps of the operator: statements sent with lycheectl or over HTTP."""

import asyncio
import time
from typing import Any, Final

import aiohttp

from demo import _plan
from demo._fleet import DemoError, Fleet, Host
from demo._startup import SERVICES
from lycheedeal.model import ServiceName, shard_of

_POLL_SECONDS: Final = 0.02
_PROPAGATION_TIMEOUT_SECONDS: Final = 10.0
# Exit code of lycheectl when another change of the same shard came first. The
# statement is then sent again.
_CONFLICT_EXIT_CODE: Final = 3
_MAX_ATTEMPTS: Final = 5
_KIND_OPTIONS_BY_SERVICE: Final = {
    SERVICES[0]: {'feed': 'priority 0 long', 'check-in': 'priority 0'},
    SERVICES[1]: {'photos': 'priority 5 idempotent'},
}


async def _run_operator_step(step: _plan.Step, fleet: Fleet) -> None:
    match step:
        case _plan.CreateServices():
            await asyncio.gather(
                *(_create_service(fleet, service) for service in SERVICES)
            )
        case _plan.MeasurePropagation():
            await _measure_propagation(fleet)
        case _plan.DrainOneUpstream(service, upstream_id):
            await run_lycheectl(fleet, f'drain upstream {upstream_id} of {service}')
            fleet.drained_at_by_upstream[upstream_id] = time.time()


async def _create_service(fleet: Fleet, service: ServiceName) -> None:
    address = fleet.addresses_by_service[service]
    await run_lycheectl(fleet, f'create service {service} at {address}')
    for kind, options in _KIND_OPTIONS_BY_SERVICE[service].items():
        await run_lycheectl(fleet, f'create kind {kind} of {service} {options}')
    for upstream in fleet.upstreams:
        if upstream.service == service:
            await run_lycheectl(
                fleet,
                f'create upstream {upstream.upstream_id} of {service} '
                f'at {upstream.endpoint} in {upstream.zone}',
            )


async def _measure_propagation(fleet: Fleet) -> None:
    # The statement is sent over HTTP, because a lycheectl process exits noticeably
    # later than the change is accepted.
    hosts = tuple(fleet.hosts_by_id.values())
    change = f'create kind spare of {SERVICES[0]} priority 9'
    content = await _post_statement(fleet, hosts[0], change)
    accepted_at = time.monotonic()
    generation = content['generation']
    async with asyncio.timeout(_PROPAGATION_TIMEOUT_SECONDS):
        await asyncio.gather(
            *(_wait_for_generation(fleet, host, generation) for host in hosts)
        )
    elapsed = time.monotonic() - accepted_at
    fleet.measurements['config_in_force_seconds'] = round(elapsed, 3)


async def _wait_for_generation(fleet: Fleet, host: Host, generation: int) -> None:
    shard = shard_of(SERVICES[0])
    while True:
        content = await _post_statement(fleet, host, 'show config')
        for row in content['rows']:
            if row['shard'] == shard and row['generation'] >= generation:
                return
        await asyncio.sleep(_POLL_SECONDS)


async def _post_statement(fleet: Fleet, host: Host, text: str) -> dict[str, Any]:
    async with fleet.http.post(host.statement_url(), json={'text': text}) as response:
        document = await response.json()
    if document['exit_code']:
        raise DemoError(f'statement failed: {text}: {document}')
    content: dict[str, Any] = document['content']
    return content


async def run_lycheectl(fleet: Fleet, statement: str) -> None:
    """Run a statement with lycheectl on any of the live hosts.

    Repeats a statement that conflicts with another change. Raises DemoError if
    lycheectl exits with another status than 0.
    """
    admins = ','.join(str(host.admin) for host in fleet.hosts_by_id.values())
    status, output = _CONFLICT_EXIT_CODE, ''
    for _ in range(_MAX_ATTEMPTS):
        status, output = await fleet.processes.run(
            'lycheedeal.cli.ctl',
            *('--host', admins, '--output', 'json', statement),
        )
        if status != _CONFLICT_EXIT_CODE:
            break
    if status:
        raise DemoError(f'{statement}: lycheectl exited with {status}: {output}')


def kind_id(service: ServiceName, kind: str) -> int:
    """Return the id of a kind; ids count from 1 in the order of creation."""
    return list(_KIND_OPTIONS_BY_SERVICE[service]).index(kind) + 1


async def read_metric(fleet: Fleet, host: Host, name: str) -> float | None:
    """Return the sum of a metric over all labels.

    None means that the host does not answer or does not have the metric.
    """
    try:
        async with fleet.http.get(f'http://{host.admin}/metrics') as response:
            text = await response.text()
    except aiohttp.ClientError:
        return None
    samples = [
        float(line.rpartition(' ')[2])
        for line in text.splitlines()
        if line.startswith((f'{name} ', f'{name}{{'))
    ]
    return sum(samples) if samples else None


_plan.register(
    _run_operator_step,
    _plan.CreateServices,
    _plan.MeasurePropagation,
    _plan.DrainOneUpstream,
)
