"""Caller stand-in: many callers of one service in one process.

Run as ``python -m standins.caller``.
"""

import argparse
import asyncio
import random
from dataclasses import dataclass
from typing import Final

import uvloop

from lycheedeal.model import Endpoint, KindId, ServiceName
from standins import _caller
from standins._core import Dispatcher, Stopping
from standins._runtime import (
    JsonLineLog,
    UdpRuntime,
    parse_endpoint,
    stop_event,
    system_clock,
)

_LOOPBACK_IP: Final = '127.0.0.1'
_IDLE_POLL_SECONDS: Final = 0.1
_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class Caller:
    """One caller: its socket and the state of its plug-ins."""

    runtime: UdpRuntime
    context: _caller.Context


async def _start_callers(
    arguments: argparse.Namespace,
    log: JsonLineLog,
) -> list[Caller]:
    callers: list[Caller] = []
    for index in range(arguments.callers):
        settings = _caller.CallerSettings(
            name=f'{arguments.name}-{index}',
            service=ServiceName(arguments.service),
            address=arguments.address,
        )
        # The name is part of the seed, so that callers of processes with the same
        # seed draw different nonces.
        seed = None if arguments.seed is None else f'{arguments.seed} {settings.name}'
        context = _caller.Context(settings, system_clock(seed))
        runtime = UdpRuntime(Dispatcher(_caller.PROGRAM, context), log)
        await runtime.start(Endpoint(_LOOPBACK_IP, 0))
        callers.append(Caller(runtime, context))
    return callers


async def _open_feeds(arguments: argparse.Namespace, callers: list[Caller]) -> None:
    for index in range(arguments.feeds):
        caller = callers[index % len(callers)]
        caller.runtime.dispatch(_caller.OpenFeed(KindId(arguments.kind)))
        if arguments.open_rate:
            await asyncio.sleep(1 / arguments.open_rate)


async def _submit_all(arguments: argparse.Namespace, callers: list[Caller]) -> None:
    work = _caller.WorkSettings(
        kind_id=KindId(arguments.kind),
        idempotent=arguments.idempotent,
        body_size=arguments.body_size,
        timeout=arguments.deadline_ms / _MS_PER_SECOND,
        resubmissions=arguments.resubmissions,
    )
    rng = random.Random(arguments.seed)
    rate = arguments.rate * arguments.multiple
    loop = asyncio.get_running_loop()
    due = loop.time()
    for _ in range(arguments.requests):
        rng.choice(callers).runtime.dispatch(_caller.Submit(work))
        due += rng.expovariate(rate)
        if due > loop.time():
            await asyncio.sleep(due - loop.time())


async def _wait_until_idle(callers: list[Caller]) -> None:
    # A resubmission is scheduled up to a few seconds ahead and does not count as
    # pending until then.
    idle_seconds = 0.0
    while idle_seconds < 3:
        await asyncio.sleep(_IDLE_POLL_SECONDS)
        busy = any(caller.context.pending for caller in callers)
        idle_seconds = 0 if busy else idle_seconds + _IDLE_POLL_SECONDS


async def serve(arguments: argparse.Namespace) -> None:
    """Run all callers until SIGTERM or SIGINT.

    Without feeds, end also when all requests have ended.
    """
    stopped = stop_event()
    log = JsonLineLog(arguments.log_file, {'service': arguments.service})
    callers = await _start_callers(arguments, log)
    log.write('caller_started', {'callers': len(callers)})
    work = [asyncio.ensure_future(_open_feeds(arguments, callers))]
    if arguments.requests:
        work.append(asyncio.ensure_future(_submit_all(arguments, callers)))
    finished = asyncio.gather(*work)
    waiting = asyncio.ensure_future(stopped.wait())
    await asyncio.wait((finished, waiting), return_when=asyncio.FIRST_COMPLETED)
    if not arguments.feeds and not stopped.is_set():
        idle = asyncio.ensure_future(_wait_until_idle(callers))
        await asyncio.wait((idle, waiting), return_when=asyncio.FIRST_COMPLETED)
        idle.cancel()
    elif not stopped.is_set():
        await waiting
    finished.cancel()
    waiting.cancel()
    for caller in callers:
        caller.runtime.dispatch(Stopping())
        caller.runtime.close()
    log.write('caller_stopped', {})
    log.close()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', required=True, help='unique prefix of request tokens')
    parser.add_argument('--service', required=True)
    parser.add_argument('--address', type=parse_endpoint, required=True)
    parser.add_argument('--log-file', required=True)
    parser.add_argument(
        '--kind', type=int, required=True, help='number of the kind of work'
    )
    parser.add_argument(
        '--callers',
        type=int,
        default=10,
        help='number of callers, each with its own socket',
    )
    parser.add_argument('--feeds', type=int, default=0)
    parser.add_argument(
        '--open-rate',
        type=float,
        default=0,
        help='feeds opened per second; 0 opens all at once',
    )
    parser.add_argument('--requests', type=int, default=0)
    parser.add_argument('--rate', type=float, default=100, help='requests per second')
    parser.add_argument(
        '--multiple', type=float, default=1, help='factor applied to the rate'
    )
    parser.add_argument('--idempotent', action='store_true')
    parser.add_argument('--body-size', type=int, default=200)
    parser.add_argument('--deadline-ms', type=float, default=4000)
    parser.add_argument('--resubmissions', type=int, default=3)
    parser.add_argument('--seed', type=int)
    return parser.parse_args()


if __name__ == '__main__':
    uvloop.run(serve(parse_arguments()))
