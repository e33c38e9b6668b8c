"""Readiness and shutdown of a process.

The host is ready when it has routes and upstreams, and knows the evacuated zones if the
deployment evacuates zones. After a request to stop it
forwards packets until no more arrive, and then exits.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, register
from lycheedeal.relay._context import RelayContext, RelaySettings
from lycheedeal.relay._effects import Effect, Exit, LogRecord, Part, SetReady
from lycheedeal.relay._events import (
    EvacuationsChanged,
    Event,
    PacketArrived,
    RoutesChanged,
    SettingsRead,
    Started,
    StopRequested,
    Tick,
    UpstreamsChanged,
)

# Packets arrive for at least this long after the stop: the platform takes a host
# out of rotation after two failed readiness probes, 0.5 s apart.
_ROTATION_SECONDS: Final = 1.2
# After that, no packet for this long means that no more will come.
_IDLE_SECONDS: Final = 0.4
# Part of the platform's time for a stop that is kept for the exit itself.
_EXIT_RESERVE_SECONDS: Final = 1.0


class LifecyclePlugin:
    """Decides when the host is ready, and when its process may exit."""

    def __init__(self, context: RelayContext) -> None:
        """Start as not ready."""
        self._context = context
        # Events that the host still waits for.
        self._awaited: set[type] = {RoutesChanged, UpstreamsChanged}
        if context.settings.evacuation_seconds:
            self._awaited.add(EvacuationsChanged)
        self._stopping_since: float | None = None
        self._last_packet_at = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case PacketArrived():
                self._last_packet_at = self._context.clock.monotonic()
            case Started():
                settings = self._context.settings
                details = {'zone': settings.zone, 'peer': str(settings.peer)}
                yield LogRecord(Part.LIFECYCLE, 'process', 'Process started.', details)
            case RoutesChanged() | UpstreamsChanged() | EvacuationsChanged():
                yield from self._update_readiness(type(event))
            case StopRequested():
                yield from self._stop()
            case SettingsRead(settings=settings, detail=detail):
                yield from self._settings_read(settings, detail)
            case Tick(now=now):
                yield from self._tick(now)

    def _update_readiness(self, event_type: type) -> Iterator[Effect]:
        if not self._awaited:
            return
        self._awaited.discard(event_type)
        if not self._awaited and self._stopping_since is None:
            yield SetReady(ready=True)
            yield LogRecord(
                Part.LIFECYCLE,
                'process',
                'Host is ready: it has routes and upstreams.',
                {},
            )

    def _stop(self) -> Iterator[Effect]:
        if self._stopping_since is None:
            self._stopping_since = self._context.clock.monotonic()
            yield SetReady(ready=False)
            yield LogRecord(
                Part.LIFECYCLE,
                'process',
                'Stop was requested; host is not ready any more.',
                {},
            )

    def _settings_read(
        self,
        settings: RelaySettings | None,
        detail: str,
    ) -> Iterator[Effect]:
        if settings is None:
            text = 'Settings cannot be used; the last ones stay in force.'
            yield LogRecord(Part.SETTINGS, 'settings', text, {'detail': detail})
            return
        # Open sockets keep the addresses that they had at the start.
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
                EvacuationsChanged,
                StopRequested,
                SettingsRead,
                Tick,
            ),
        ),
    ),
)
