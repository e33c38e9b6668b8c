"""Plug-in that observes the state of upstreams from this host."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.errors import ErrorKind
from lycheedeal.health._paths import (
    HelloMissed,
    HelloScheduler,
    HelloStep,
    PathSilent,
    SendHello,
)
from lycheedeal.health._pools import Pools
from lycheedeal.health._results import Result, result_of
from lycheedeal.kernel import (
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    Log,
    LogLevel,
    Observe,
    OwnedServicesChanged,
    RequestFinished,
    Resumed,
    SendToUpstream,
    SwitchPath,
    Tick,
    UpstreamMessage,
    UpstreamsInUse,
)
from lycheedeal.messages import FlowRejected, Hello, RunRefused, Welcome
from lycheedeal.model import ConfigurationView, Endpoint, ServiceNumber

# Upstreams that are in use but not owned are checked only for silent paths.
_IN_USE_INTERVAL_SECONDS: Final = 5.0
# With one Hello to each endpoint in 5 s the traffic stays near 1 KB a second.
_MAX_IN_USE_ENDPOINTS: Final = 256
# Ticks come every 0.1 s; after a longer gap, answers may be waiting unread.
_LATE_TICK_SECONDS: Final = 0.5


class HealthPlugin:
    """Observes the upstreams of owned services, and the paths to those in use."""

    def __init__(self, context: Context) -> None:
        """Start without owned services and upstreams in use."""
        self._context = context
        self._scheduler = HelloScheduler(context.rng)
        self._pools = Pools(context.settings.zone)
        self._view = ConfigurationView()
        self._owned: tuple[ServiceNumber, ...] = ()
        self._in_use: tuple[Endpoint, ...] = ()
        self._last_tick = context.clock.monotonic()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of an event."""
        now = self._context.clock.monotonic()
        match event:
            case Tick():
                yield from self._tick(now)
            case UpstreamMessage(endpoint, _, message):
                yield from self._handle_message(endpoint, message, now)
            case RequestFinished(service, _, endpoint, error, _) if endpoint:
                yield from self._handle_result(service, endpoint, error, now)
            case ConfigurationChanged(view):
                self._view = view
                yield from self._configure(now)
            case OwnedServicesChanged(services):
                self._owned = services
                yield from self._configure(now)
            case UpstreamsInUse(endpoints):
                self._in_use = endpoints[:_MAX_IN_USE_ENDPOINTS]
                self._update_intervals(now)
            case Resumed():
                self._reset_after_pause(now)

    def _tick(self, now: float) -> Iterator[Effect]:
        if now - self._last_tick > _LATE_TICK_SECONDS:
            self._reset_after_pause(now)
        self._last_tick = now
        for step in self._scheduler.tick(now):
            yield from self._apply_step(step, now)
        yield from self._pools.evaluate(now)
        self._scheduler.set_fast(self._pools.transient_endpoints())

    def _apply_step(self, step: HelloStep, now: float) -> Iterator[Effect]:
        match step:
            case SendHello(endpoint, path, nonce):
                yield SendToUpstream(endpoint, Hello(nonce), path)
            case HelloMissed(endpoint):
                for _, record in self._pools.records_at(endpoint):
                    record.note_missed_hello(now)
            case PathSilent(endpoint, path):
                yield SwitchPath(endpoint, path)
                yield Observe('path_switches')
                text = f'path to upstream {endpoint} is silent; using another path'
                yield Log('health', LogLevel.INFO, text)

    def _handle_message(
        self,
        endpoint: Endpoint,
        message: object,
        now: float,
    ) -> Iterator[Effect]:
        match message:
            case Welcome(nonce=nonce) if not self._scheduler.accept(endpoint, nonce):
                return
            case (
                FlowRejected(error=ErrorKind.UPSTREAM_REPLACED)
                | RunRefused(error=ErrorKind.UPSTREAM_REPLACED)
            ):
                self._scheduler.schedule_now(endpoint, now)
        for pool, record in self._pools.records_at(endpoint):
            yield from pool.handle_message(record, message, now)

    def _handle_result(
        self,
        service: ServiceNumber,
        endpoint: Endpoint,
        error: ErrorKind | None,
        now: float,
    ) -> Iterator[Effect]:
        pool = self._pools.find(service)
        record = None if pool is None else pool.find(endpoint)
        result = result_of(error)
        if pool and record and result is not Result.NEITHER:
            yield from pool.handle_result(record, result, now)

    def _configure(self, now: float) -> Iterator[Effect]:
        yield from self._pools.configure(self._view, self._owned, now)
        self._update_intervals(now)

    def _update_intervals(self, now: float) -> None:
        intervals = dict.fromkeys(self._in_use, _IN_USE_INTERVAL_SECONDS)
        intervals.update(self._pools.intervals())
        self._scheduler.set_intervals(intervals, now)
        self._scheduler.set_fast(self._pools.transient_endpoints())

    def _reset_after_pause(self, now: float) -> None:
        self._last_tick = now
        self._scheduler.reset_after_pause(now, self._pools.endpoints())
        self._pools.reset_after_pause(now)
