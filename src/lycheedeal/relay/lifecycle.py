"""Readiness and the end of a process."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, register
from lycheedeal.relay._context import RelayContext, RelaySettings
from lycheedeal.relay._effects import Effect, Exit, LogRecord, Part, SetReady
from lycheedeal.relay._events import (
    Event,
    PacketArrived,
    RoutesChanged,
    SettingsRead,
    Started,
    StopRequested,
    Tick,
    UpstreamsChanged,
)

# The platform takes a host out of rotation after two missed probes, 0.5 s
# apart; packets come at least that long.
_ROTATION_SECONDS: Final = 1.2
# No packet for this long after that means that none will come.
_IDLE_SECONDS: Final = 0.4
# Left of the time that the platform gives, for the end itself.
_EXIT_RESERVE_SECONDS: Final = 1.0


class LifecyclePlugin:
    """Tells when the host can serve, and when it may end."""

    def __init__(self, context: RelayContext) -> None:
        """Start as not ready."""
        self._context = context
        self._has_routes = False
        self._has_upstreams = False
        self._stopping_since: float | None = None
        self._last_packet_at = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event."""
        match event:
            case PacketArrived():
                self._last_packet_at = self._context.clock.monotonic()
            case Started():
                settings = self._context.settings
                details = {'zone': settings.zone, 'peer': str(settings.peer)}
                yield LogRecord(Part.LIFECYCLE, 'process', 'Process started.', details)
            case RoutesChanged():
                yield from self._update_readiness(routes=True)
            case UpstreamsChanged():
                yield from self._update_readiness(upstreams=True)
            case StopRequested():
                yield from self._stop()
            case SettingsRead(settings=settings, detail=detail):
                yield from self._settings_read(settings, detail)
            case Tick(now=now):
                yield from self._tick(now)

    def _update_readiness(
        self,
        routes: bool = False,
        upstreams: bool = False,
    ) -> Iterator[Effect]:
        was_ready = self._has_routes and self._has_upstreams
        self._has_routes = self._has_routes or routes
        self._has_upstreams = self._has_upstreams or upstreams
        is_ready = self._has_routes and self._has_upstreams
        if is_ready and not was_ready and self._stopping_since is None:
            yield SetReady(ready=True)
            yield LogRecord(Part.LIFECYCLE, 'process', 'Host is ready.', {})

    def _stop(self) -> Iterator[Effect]:
        if self._stopping_since is None:
            self._stopping_since = self._context.clock.monotonic()
            yield SetReady(ready=False)
            yield LogRecord(Part.LIFECYCLE, 'process', 'Stop was requested.', {})

    def _settings_read(
        self,
        settings: RelaySettings | None,
        detail: str,
    ) -> Iterator[Effect]:
        if settings is None:
            text = 'Settings cannot be used; the last ones stay.'
            yield LogRecord(Part.SETTINGS, 'settings', text, {'detail': detail})
            return
        # Addresses of sockets are those of the start.
        self._context.settings = settings
        details = {'seeds': len(settings.seeds), 'stop_s': settings.stop_seconds}
        yield LogRecord(Part.SETTINGS, 'settings', 'Settings were read again.', details)

    def _tick(self, now: float) -> Iterator[Effect]:
        if self._stopping_since is None:
            return
        stopping = now - self._stopping_since
        idle = now - self._last_packet_at
        done = stopping >= _ROTATION_SECONDS and idle >= _IDLE_SECONDS
        if (
            done
            or stopping >= self._context.settings.stop_seconds - _EXIT_RESERVE_SECONDS
        ):
            details = {'stopping_s': round(stopping, 2), 'quiet_s': round(idle, 2)}
            yield LogRecord(Part.LIFECYCLE, 'process', 'Process ends.', details)
            yield Exit()


register(
    PluginSpec(
        'lifecycle',
        LifecyclePlugin,
        frozenset(
            (
                Started,
                PacketArrived,
                RoutesChanged,
                UpstreamsChanged,
                StopRequested,
                SettingsRead,
                Tick,
            ),
        ),
    ),
)
