"""The daemon: connects the kernel to sockets, clients, signals and the clock."""

import asyncio
import random
import signal
from typing import Final

import uvloop

from lycheedeal.exceptions import DecodeError
from lycheedeal.kernel import (
    Context,
    Event,
    GossipInput,
    GossipReceived,
    Kernel,
    Log,
    LogLevel,
    Refused,
    Resumed,
    Started,
    StopRequested,
    Tick,
    load_plugins,
)
from lycheedeal.model import Endpoint, HostSettings, Incarnation
from lycheedeal.runtime._admin import AdminServer
from lycheedeal.runtime._clock import SystemClock
from lycheedeal.runtime._executor import Executor, Outputs
from lycheedeal.runtime._listeners import Listeners
from lycheedeal.runtime._logs import LogSink
from lycheedeal.runtime._metrics import MetricsSink
from lycheedeal.runtime._platform import PlatformClient
from lycheedeal.runtime._sockets import (
    PATH_COUNT,
    CallerSender,
    FabricProtocol,
    PeerProtocol,
    UpstreamPaths,
    UpstreamProtocol,
    open_socket,
    serve_socket,
)
from lycheedeal.steering import SteeringPlugin
from lycheedeal.telemetry import TelemetryPlugin

# Interval of ``Tick`` events.
TICK_SECONDS: Final = 0.1
# A longer gap between ticks means that the process was paused.
MIN_PAUSE_SECONDS: Final = 2
_SYSTEM_CHOSEN_PORT: Final = 0
# Exit status of a daemon that cannot open its sockets.
_START_FAILED_STATUS: Final = 1
_MS_PER_SECOND: Final = 1000
_LOG_PART: Final = 'runtime'


class Daemon:
    """One incarnation of the load balancer on an entry host.

    ``start`` starts to serve on the bound sockets; ``close`` releases them.
    """

    def __init__(self, listeners: Listeners) -> None:
        """Build the kernel for started listeners, which ``close`` closes."""
        self._listeners = listeners
        settings = listeners.settings
        self._settings = settings
        self._clock = SystemClock()
        context = Context(
            settings=settings,
            clock=self._clock,
            rng=random.SystemRandom(),
            incarnation=Incarnation(int(self._clock.wall() * _MS_PER_SECOND)),
        )
        self._kernel = Kernel(context, load_plugins())
        self._outputs = self._make_outputs()
        self._executor = Executor(self._outputs)
        self._peer_transport: asyncio.DatagramTransport | None = None
        self._last_tick = self._clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._exit_status: asyncio.Future[int] | None = None

    async def start(self) -> None:
        """Serve on all sockets, dispatch ``Started`` and start the ticks.

        Raises OSError if a socket towards upstreams cannot be bound, or if the
        address file cannot be written.
        """
        self._exit_status = asyncio.get_running_loop().create_future()
        await self._open_sockets()
        self._outputs.gossip.start(self._deliver_gossip, self._refuse_gossip)
        await self._outputs.platform.start()
        await self._outputs.admin.start(self._listeners.admin)
        self._listeners.write_address_file()
        self._last_tick = self._clock.monotonic()
        self._deliver(Started())
        self._tick()

    async def serve(self) -> int:
        """Start, wait until the kernel exits and return the exit status.

        The status is 1 if the sockets or the address file cannot be opened.
        """
        try:
            await self.start()
        except OSError as error:
            self._log(LogLevel.ERROR, f'cannot start, exiting: {error}')
            return _START_FAILED_STATUS
        self._log(LogLevel.INFO, f'host {self._settings.host_id} is serving')
        status = await self._exit_status if self._exit_status else 0
        self._log(LogLevel.INFO, f'stopped with exit status {status}')
        return status

    async def close(self) -> None:
        """Close the servers, the clients and all sockets."""
        if self._timer is not None:
            self._timer.cancel()
        await self._outputs.admin.close()
        await self._outputs.platform.close()
        for transport in self._transports():
            transport.close()
        self._listeners.close()

    def stop(self) -> None:
        """Start a planned stop; may be called more than once."""
        self._deliver(StopRequested())

    def _log(self, level: LogLevel, text: str) -> None:
        self._outputs.logs.write(Log(_LOG_PART, level, text))

    def _make_outputs(self) -> Outputs:
        settings = self._settings
        metrics = MetricsSink()
        telemetry = self._kernel.find(TelemetryPlugin)
        return Outputs(
            callers=CallerSender(),
            paths=UpstreamPaths(),
            send_to_peer=self._send_to_peer,
            gossip=self._listeners.gossip,
            platform=PlatformClient(settings.platform_url, self._deliver),
            admin=AdminServer(
                settings.admin,
                self._deliver,
                metrics,
                telemetry.burn_rates,
                self.stop,
            ),
            metrics=metrics,
            logs=LogSink(settings.log_level, settings.log_json),
            exit=self._exit,
        )

    async def _open_sockets(self) -> None:
        routes = self._kernel.find(SteeringPlugin).routes
        callers = self._outputs.callers
        paths = self._outputs.paths
        for path in range(PATH_COUNT):
            upstream_protocol = UpstreamProtocol(self._deliver, path, routes, callers)
            local = Endpoint(self._settings.data.ip, _SYSTEM_CHOSEN_PORT)
            paths.transports.append(await open_socket(upstream_protocol, local))
        peer_protocol = PeerProtocol(self._deliver)
        self._peer_transport = await serve_socket(peer_protocol, self._listeners.peer)
        fabric_protocol = FabricProtocol(self._deliver, routes, paths)
        callers.transport = await serve_socket(fabric_protocol, self._listeners.data)

    def _transports(self) -> list[asyncio.DatagramTransport]:
        transports = (self._outputs.callers.transport, self._peer_transport)
        present = [one for one in transports if one is not None]
        return present + self._outputs.paths.transports

    def _deliver(self, event: Event) -> None:
        """Dispatch an event; if the process was paused, ``Resumed`` before it."""
        self._report_pause()
        self._executor.execute(self._kernel.dispatch(event))

    def _report_pause(self) -> None:
        now = self._clock.monotonic()
        gap = now - self._last_tick
        if gap > MIN_PAUSE_SECONDS:
            self._last_tick = now
            self._executor.execute(self._kernel.dispatch(Resumed(gap)))

    def _tick(self) -> None:
        self._report_pause()
        self._last_tick = self._clock.monotonic()
        self._deliver(Tick(self._last_tick))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_SECONDS, self._tick)

    def _send_to_peer(self, datagram: bytes, peer: Endpoint) -> None:
        if self._peer_transport is not None:
            self._peer_transport.sendto(datagram, peer)

    def _deliver_gossip(self, message: GossipInput) -> None:
        self._deliver(GossipReceived(message))

    def _refuse_gossip(self, error: DecodeError) -> None:
        self._deliver(Refused(error.kind, None, 'invalid gossip message'))

    def _exit(self, status: int) -> None:
        if self._exit_status is not None and not self._exit_status.done():
            self._exit_status.set_result(status)


async def _serve(settings: HostSettings) -> int:
    listeners = Listeners(settings)
    try:
        listeners.start()
    except OSError as error:
        logs = LogSink(settings.log_level, settings.log_json)
        text = f'cannot bind a listening address, exiting: {error}'
        logs.write(Log(_LOG_PART, LogLevel.ERROR, text))
        return _START_FAILED_STATUS
    daemon = Daemon(listeners)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    try:
        return await daemon.serve()
    finally:
        await daemon.close()


def run(settings: HostSettings) -> int:
    """Run the daemon until it exits and return its exit status.

    SIGTERM and SIGINT start a planned stop.
    """
    return uvloop.run(_serve(settings))
