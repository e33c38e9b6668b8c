"""Starts and ends the callers and reads what the traffic cost."""

import asyncio
import time
from typing import Final

from demo import _plan
from demo._fleet import Fleet
from demo._operator import kind_id, metric
from demo._systems import SERVICES
from lycheedeal.model import ServiceName

_FEEDS: Final = 240
_CHECK_INS: Final = 1300
_PHOTOS: Final = 1000
_SECONDS: Final = 15
_FINISH_SECONDS: Final = 20.0
_CONTROL_BYTES: Final = 'lycheedeal_control_bytes_total'


async def _call(step: _plan.Step, fleet: Fleet) -> None:
    match step:
        case _plan.StartCallers():
            await _start_callers(fleet)
        case _plan.FinishCallers():
            await _finish_callers(fleet)
        case _plan.ReadControlCost():
            await _read_control_cost(fleet)


async def _start_callers(fleet: Fleet) -> None:
    bitacora, reparo = SERVICES
    fleet.feeders.append(
        await _start_caller(
            fleet,
            'feeds',
            (bitacora, 'feed'),
            *('--feeds', _FEEDS, '--callers', 60, '--open-rate', 200),
        ),
    )
    fleet.callers.append(
        await _start_caller(
            fleet,
            'check-ins',
            (bitacora, 'check-in'),
            *('--requests', _CHECK_INS, '--rate', _CHECK_INS / _SECONDS),
            *('--callers', 60),
        ),
    )
    fleet.callers.append(
        await _start_caller(
            fleet,
            'photos',
            (reparo, 'photos'),
            *('--requests', _PHOTOS, '--rate', _PHOTOS / _SECONDS),
            *('--callers', 40, '--idempotent', '--body-size', 40_000),
        ),
    )
    fleet.measures['calls_before'] = await _api_calls(fleet)
    fleet.measures['traffic_started'] = time.monotonic()
    fleet.measures['control_before'] = await _control_bytes(fleet)


async def _start_caller(
    fleet: Fleet,
    name: str,
    work: tuple[ServiceName, str],
    *arguments: object,
) -> asyncio.subprocess.Process:
    service, _ = work
    address = fleet.addresses_by_service[service]
    return await fleet.processes.start(
        name,
        'standins.caller',
        *('--name', name, '--service', service, '--address', address),
        *('--log-file', fleet.path(f'{name}.caller.log'), '--kind', kind_id(*work)),
        *arguments,
    )


async def _finish_callers(fleet: Fleet) -> None:
    try:
        async with asyncio.timeout(_FINISH_SECONDS):
            for caller in fleet.callers:
                await caller.wait()
    except TimeoutError:
        fleet.failures.append('requests did not end in time')
    for feeder in fleet.feeders:
        feeder.terminate()
        await feeder.wait()
    ended = [*fleet.callers, *fleet.feeders]
    if any(caller.returncode for caller in ended):
        fleet.failures.append('a caller ended with an error')


async def _read_control_cost(fleet: Fleet) -> None:
    measures = fleet.measures
    seconds = time.monotonic() - measures.pop('traffic_started')
    calls = await _api_calls(fleet) - measures.pop('calls_before')
    measures['api_calls_per_second'] = round(calls / seconds, 2)
    before = measures.pop('control_before')
    after = await _control_bytes(fleet)
    rates = [
        (after[host_id] - before[host_id]) / seconds
        for host_id in after.keys() & before.keys()
    ]
    measures['control_bytes_per_second_per_host'] = round(max(rates)) if rates else None


async def _api_calls(fleet: Fleet) -> int:
    async with fleet.http.get(f'{fleet.platform_url}/control/stats') as answer:
        document = await answer.json()
    return sum(document['calls'].values())


async def _control_bytes(fleet: Fleet) -> dict[str, float]:
    found: dict[str, float] = {}
    for host in fleet.hosts_by_id.values():
        count = await metric(fleet, host, _CONTROL_BYTES)
        if count is not None:
            found[host.host_id] = count
    return found


_plan.register(
    _call,
    _plan.StartCallers,
    _plan.FinishCallers,
    _plan.ReadControlCost,
)
