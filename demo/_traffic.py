"""Steps that start and end the callers, and measure the cost of control traffic."""

import asyncio
import time
from typing import Final

from demo import _plan
from demo._fleet import Fleet
from demo._operator import kind_id, read_metric
from demo._startup import SERVICES
from lycheedeal.model import ServiceName

# Long flows that stay open during the run.
_FEEDS: Final = 240
# Requests, sent at an even rate over _TRAFFIC_SECONDS.
_CHECK_INS: Final = 1300
_PHOTOS: Final = 1000
_TRAFFIC_SECONDS: Final = 15
_FINISH_TIMEOUT_SECONDS: Final = 20.0
_CONTROL_BYTES_METRIC: Final = 'lycheedeal_control_bytes_total'


async def _run_traffic_step(step: _plan.Step, fleet: Fleet) -> None:
    match step:
        case _plan.StartCallers():
            await _start_callers(fleet)
        case _plan.FinishCallers():
            await _finish_callers(fleet)
        case _plan.MeasureControlCost():
            await _measure_control_cost(fleet)


async def _start_callers(fleet: Fleet) -> None:
    bitacora, reparo = SERVICES
    fleet.feed_callers.append(
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
            *('--requests', _CHECK_INS, '--rate', _CHECK_INS / _TRAFFIC_SECONDS),
            *('--callers', 60),
        ),
    )
    fleet.callers.append(
        await _start_caller(
            fleet,
            'photos',
            (reparo, 'photos'),
            *('--requests', _PHOTOS, '--rate', _PHOTOS / _TRAFFIC_SECONDS),
            *('--callers', 40, '--idempotent', '--body-size', 40_000),
        ),
    )
    fleet.measurements['calls_before'] = await _count_api_calls(fleet)
    fleet.measurements['traffic_started'] = time.monotonic()
    fleet.measurements['control_before'] = await _read_control_bytes(fleet)


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
        async with asyncio.timeout(_FINISH_TIMEOUT_SECONDS):
            for caller in fleet.callers:
                await caller.wait()
    except TimeoutError:
        fleet.failures.append('requests did not end before the time limit')
    for feed_caller in fleet.feed_callers:
        feed_caller.terminate()
        await feed_caller.wait()
    ended = [*fleet.callers, *fleet.feed_callers]
    if any(caller.returncode for caller in ended):
        fleet.failures.append('a caller exited with a status other than 0')


async def _measure_control_cost(fleet: Fleet) -> None:
    measurements = fleet.measurements
    seconds = time.monotonic() - measurements.pop('traffic_started')
    calls = await _count_api_calls(fleet) - measurements.pop('calls_before')
    measurements['api_calls_per_second'] = round(calls / seconds, 2)
    before = measurements.pop('control_before')
    after = await _read_control_bytes(fleet)
    rates = [
        (after[host_id] - before[host_id]) / seconds
        for host_id in after.keys() & before.keys()
    ]
    measurements['control_bytes_per_second_per_host'] = (
        round(max(rates)) if rates else None
    )


async def _count_api_calls(fleet: Fleet) -> int:
    async with fleet.http.get(f'{fleet.platform_url}/control/stats') as response:
        document = await response.json()
    return sum(document['calls'].values())


async def _read_control_bytes(fleet: Fleet) -> dict[str, float]:
    bytes_by_host: dict[str, float] = {}
    for host in fleet.hosts_by_id.values():
        count = await read_metric(fleet, host, _CONTROL_BYTES_METRIC)
        if count is not None:
            bytes_by_host[host.host_id] = count
    return bytes_by_host


_plan.register(
    _run_traffic_step,
    _plan.StartCallers,
    _plan.FinishCallers,
    _plan.MeasureControlCost,
)
