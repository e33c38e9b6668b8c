"""Upstream stand-in: runs requests and pushes feed entries.

Run as ``python -m standins.upstream``. POST /control/COMMAND on the control
port switches faults on and off; GET /stats returns state and load.
"""

import argparse
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import uvloop
from aiohttp import web

from lycheedeal.model import Endpoint, Incarnation, ServiceName
from standins import _upstream
from standins._core import Dispatcher, Started
from standins._runtime import (
    JsonLineLog,
    UdpRuntime,
    stop_event,
    system_clock,
    write_json_atomically,
)

_LOOPBACK_IP: Final = '127.0.0.1'
_MS_PER_SECOND: Final = 1000

_QueryReader = Callable[[str, int], int]


def _build_load_report(query: _QueryReader) -> _upstream.Control:
    return _upstream.LieAboutLoad(query('running', 0), query('flows', 0))


_CONTROLS: Final[Mapping[str, Callable[[_QueryReader], _upstream.Control]]] = (
    MappingProxyType(
        {
            'drain': lambda _: _upstream.Drain(),
            'undrain': lambda _: _upstream.Undrain(),
            'lie': _build_load_report,
            'fail': lambda query: _upstream.FailAtOnce(bool(query('enabled', 1))),
            'silence': lambda query: _upstream.SilencePort(query('port', 0)),
            'stop-hello': lambda query: _upstream.StopHello(bool(query('enabled', 1))),
        },
    )
)


def _control_app(context: _upstream.Context) -> web.Application:
    async def control(request: web.Request) -> web.Response:
        build = _CONTROLS.get(request.match_info['command'])
        if build is None:
            raise web.HTTPNotFound
        command = build(lambda name, default: int(request.query.get(name, default)))
        _upstream.apply_control(context, command)
        return web.json_response({'applied': type(command).__name__})

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(
            {
                'state': context.state().value,
                'running': context.running,
                'flows': context.flows,
            },
        )

    app = web.Application()
    app.router.add_post('/control/{command}', control)
    app.router.add_get('/stats', stats)
    return app


async def serve(arguments: argparse.Namespace) -> None:
    """Run the upstream until SIGTERM or SIGINT.

    The ports and the incarnation are written to the port file once the
    upstream listens.
    """
    stopped = stop_event()
    incarnation = Incarnation(time.time_ns() // 1_000_000)
    service = ServiceName(arguments.service)
    clock = system_clock(arguments.seed)
    settings = _upstream.UpstreamSettings(
        service=service,
        incarnation=incarnation,
        slots=arguments.slots,
        connections=arguments.connections,
        service_time=arguments.service_ms / _MS_PER_SECOND,
        cold_start=arguments.cold_start,
        entry_interval=arguments.entry_interval,
        answer_size=arguments.answer_size,
        answer_order=_upstream.AnswerOrder(arguments.answer_order),
        answer_delay=arguments.answer_delay_ms / _MS_PER_SECOND,
    )
    context = _upstream.Context(settings, clock, clock.monotonic())
    log = JsonLineLog(
        arguments.log_file,
        {'service': service, 'incarnation': incarnation},
    )
    runtime = UdpRuntime(Dispatcher(_upstream.PROGRAM, context), log, context.accepts)
    bound = await runtime.start(Endpoint(_LOOPBACK_IP, arguments.port))
    runner = web.AppRunner(_control_app(context), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, _LOOPBACK_IP, arguments.control_port)
    await site.start()
    runtime.dispatch(Started())
    log.write('upstream_started', {'port': bound.port})
    write_json_atomically(
        arguments.port_file,
        {
            'port': bound.port,
            'control_port': runner.addresses[0][1],
            'incarnation': incarnation,
        },
    )
    await stopped.wait()
    log.write('upstream_stopped', {})
    await runner.cleanup()
    runtime.close()
    log.close()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--service', required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--port-file', required=True)
    parser.add_argument('--log-file', required=True)
    parser.add_argument('--slots', type=int, default=2)
    parser.add_argument('--connections', type=int, default=4000)
    parser.add_argument('--service-ms', type=float, default=20)
    parser.add_argument('--cold-start', type=float, default=0, help='seconds')
    parser.add_argument('--entry-interval', type=float, default=0.5, help='seconds')
    parser.add_argument('--answer-size', type=int, default=2000)
    parser.add_argument(
        '--answer-order',
        choices=[order.value for order in _upstream.AnswerOrder],
        default=_upstream.AnswerOrder.IN_ORDER.value,
    )
    parser.add_argument('--answer-delay-ms', type=float, default=0)
    parser.add_argument('--seed', type=int)
    return parser.parse_args()


if __name__ == '__main__':
    uvloop.run(serve(parse_arguments()))
