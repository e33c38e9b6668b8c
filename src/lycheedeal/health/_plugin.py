"""Plug-in ``health``: state of upstreams from own observation."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.errors import ErrorKind
from lycheedeal.health._paths import HelloMissed, PathSilent, SendHello, Step, Watcher
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

_IN_USE_SECONDS: Final = 5.0
# One Hello for each in 5 s stays near 1 KB a second.
_MAX_IN_USE: Final = 256
# Ticks come every 0.1 s; after a longer gap answers may wait unread.
_LATE_TICK: Final = 0.5


class Health:
    """Observes the upstreams of owned services and the paths in use."""

    def __init__(self, context: Context) -> None:
        """Start without services."""
        self._context = context
        self._watcher = Watcher(context.rng)
        self._pools = Pools(context.settings.zone)
        self._view = ConfigurationView()
        self._owned: tuple[ServiceNumber, ...] = ()
        self._in_use: tuple[Endpoint, ...] = ()
        self._last_tick = context.clock.monotonic()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        now = self._context.clock.monotonic()
        match event:
            case Tick():
                yield from self._tick(now)
            case UpstreamMessage(endpoint, _, message):
                yield from self._receive(endpoint, message, now)
            case RequestFinished(service, _, endpoint, error, _) if endpoint:
                yield from self._finish(service, endpoint, error, now)
            case ConfigurationChanged(view):
                self._view = view
                yield from self._configure(now)
            case OwnedServicesChanged(services):
                self._owned = services
                yield from self._configure(now)
            case UpstreamsInUse(endpoints):
                self._in_use = endpoints[:_MAX_IN_USE]
                self._keep_watches(now)
            case Resumed():
                self._forget_timing(now)

    def _tick(self, now: float) -> Iterator[Effect]:
        if now - self._last_tick > _LATE_TICK:
            self._forget_timing(now)
        self._last_tick = now
        for step in self._watcher.tick(now):
            yield from self._take_step(step, now)
        yield from self._pools.evaluate(now)
        self._watcher.mark_unsure(self._pools.unsure())

    def _take_step(self, step: Step, now: float) -> Iterator[Effect]:
        match step:
            case SendHello(endpoint, path, nonce):
                yield SendToUpstream(endpoint, Hello(nonce), path)
            case HelloMissed(endpoint):
                for _, record in self._pools.at(endpoint):
                    record.missed(now)
            case PathSilent(endpoint, path):
                yield SwitchPath(endpoint, path)
                yield Observe('path_switches')
                text = f'path to upstream {endpoint} was silent'
                yield Log('health', LogLevel.INFO, text)

    def _receive(
        self,
        endpoint: Endpoint,
        message: object,
        now: float,
    ) -> Iterator[Effect]:
        match message:
            case Welcome(nonce=nonce) if not self._watcher.answered(endpoint, nonce):
                return
            case (
                FlowRejected(error=ErrorKind.UPSTREAM_REPLACED)
                | RunRefused(error=ErrorKind.UPSTREAM_REPLACED)
            ):
                self._watcher.probe_now(endpoint, now)
        for pool, record in self._pools.at(endpoint):
            yield from pool.receive(record, message, now)

    def _finish(
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
            yield from pool.take_result(record, result, now)

    def _configure(self, now: float) -> Iterator[Effect]:
        yield from self._pools.configure(self._view, self._owned, now)
        self._keep_watches(now)

    def _keep_watches(self, now: float) -> None:
        intervals = dict.fromkeys(self._in_use, _IN_USE_SECONDS)
        intervals.update(self._pools.intervals())
        self._watcher.keep(intervals, now)
        self._watcher.mark_unsure(self._pools.unsure())

    def _forget_timing(self, now: float) -> None:
        self._last_tick = now
        self._watcher.forget_timing(now, self._pools.endpoints())
        self._pools.forget_timing(now)
