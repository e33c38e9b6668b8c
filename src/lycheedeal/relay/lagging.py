"""Notices that other hosts have had later content than this one for too long.

Whatever keeps the content of this host from being current, the host reports it and
reads the store. The exchange of content in the zone and between zones does not rely
on this.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import ContentCopy, edition_of
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    ContentConfirmed,
    CopiesReady,
    EditionConfirmed,
    Event,
    PeerMessageReceived,
    RefreshRequested,
    RoutesChanged,
    Tick,
)
from lycheedeal.relay._freshness import MAX_FRESH_AGE_SECONDS, MAX_STAGGER_SECONDS
from lycheedeal.relay._messages import Beacon, ContentPart, PeerMessage, RegionBeacon
from lycheedeal.relay._records import (
    NO_EDITION,
    ConfigurationVersion,
    Edition,
    StoreKind,
)

# Hosts that are told of later content have it after 0.9 s and a list at the latest,
# if the store answers them. A change must be in force in 3 s.
_MAX_LAG_SECONDS: Final = 1.3
# A later position of other kinds proves no later entries. Until this time, a host whose
# content is not confirmed reads on its own account.
_MAX_POSITION_LAG_SECONDS: Final = MAX_FRESH_AGE_SECONDS + MAX_STAGGER_SECONDS
# Leaders announce what they have more often than this.
_ANNOUNCED_SECONDS: Final = 2.0
# Time between two reads because of a lag; doubles while it lasts.
_MIN_READ_SECONDS: Final = 1.0
_MAX_READ_SECONDS: Final = 16.0


@dataclass(slots=True, eq=False, repr=False)
class _Lag:
    """A time for which other hosts have announced a later edition than the own one."""

    edition: Edition
    host_id: HostId
    since: float
    announced_at: float
    read_at: float = 0
    read_interval: float = 0

    @property
    def is_reported(self) -> bool:
        return self.read_interval > 0


class LaggingPlugin:
    """Compares what other hosts announce with what is in force on this one."""

    def __init__(self, context: RelayContext) -> None:
        """Start without content."""
        self._context = context
        self._copies: Mapping[StoreKind, ContentCopy] = {}
        self._version: ConfigurationVersion | None = None
        self._lags_by_kind: dict[StoreKind, _Lag] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case CopiesReady(copies_by_kind=copies):
                self._copies = copies
            case RoutesChanged(version=version):
                self._version = version
            case (
                ContentConfirmed(kind=kind, at=at) | EditionConfirmed(kind=kind, at=at)
            ):
                self._confirmed(kind, at)
            case PeerMessageReceived(message=message):
                self._message_received(message)
            case Tick(now=now):
                for kind in tuple(self._lags_by_kind):
                    yield from self._follow(kind, now)

    def seconds(self, kind: StoreKind) -> float:
        """Return for how long others have had later content of a kind; 0 if none."""
        lag = self._lags_by_kind.get(kind)
        if lag is None or lag.edition <= self._edition(kind):
            return 0
        return self._context.clock.monotonic() - lag.since

    def _message_received(self, message: PeerMessage) -> None:
        match message:
            case Beacon() | RegionBeacon():
                # While settings change, hosts that started earlier read other kinds.
                if len(message.editions) == len(self._copies):
                    editions_by_kind = zip(self._copies, message.editions, strict=True)
                    for announced in editions_by_kind:
                        self._announced(*announced, message.peer.host_id)
            case ContentPart(kind=kind, host_id=host_id) if kind in self._copies:
                self._announced(kind, edition_of(message), host_id)

    def _announced(self, kind: StoreKind, edition: Edition, host_id: HostId) -> None:
        own = self._edition(kind)
        # A host without content has just started, and lists all kinds.
        if edition <= own or own == NO_EDITION:
            return
        now = self._context.clock.monotonic()
        lag = self._lags_by_kind.get(kind)
        if lag is None:
            self._lags_by_kind[kind] = _Lag(edition, host_id, now, now)
            return
        lag.announced_at = now
        if edition > lag.edition:
            lag.edition = edition
            lag.host_id = host_id

    def _confirmed(self, kind: StoreKind, at: float) -> None:
        """Drop a lag that a later confirmation has refuted.

        A list of another host may have a later position and the same entries. Versions
        of the configuration differ in their routes.
        """
        lag = self._lags_by_kind.get(kind)
        if lag is None or kind is StoreKind.CONFIGURATION:
            return
        if at > lag.since:
            lag.edition = self._edition(kind)
            lag.since = self._context.clock.monotonic()

    def _edition(self, kind: StoreKind) -> Edition:
        """Return the edition of what is in force."""
        if kind is StoreKind.CONFIGURATION:
            return Edition((0, self._version or 0))
        copy = self._copies.get(kind)
        return NO_EDITION if copy is None else edition_of(copy)

    def _follow(self, kind: StoreKind, now: float) -> Iterator[Effect]:
        lag = self._lags_by_kind[kind]
        is_current = lag.edition <= self._edition(kind)
        if is_current or now - lag.announced_at > _ANNOUNCED_SECONDS:
            yield from self._end(kind, lag, is_current)
        elif now - lag.since >= _max_lag(kind):
            self._context.metrics.set_gauge(
                'lagging_seconds', kind.value, now - lag.since
            )
            yield from self._read(kind, lag, now)

    def _end(self, kind: StoreKind, lag: _Lag, is_current: bool) -> Iterator[Effect]:
        self._lags_by_kind.pop(kind)
        if not lag.is_reported:
            return
        self._context.metrics.set_gauge('lagging_seconds', kind.value, 0)
        text = 'Content is current again.'
        if not is_current:
            text = 'No host announces the later content any more.'
        yield self._record(kind, lag, text)

    def _read(self, kind: StoreKind, lag: _Lag, now: float) -> Iterator[Effect]:
        if now < lag.read_at + lag.read_interval:
            return
        if not lag.is_reported:
            self._context.metrics.add('content_lagging', kind.value)
            text = 'Other hosts have had later content for too long; the store is read.'
            yield self._record(kind, lag, text)
        lag.read_at = now
        doubled = min(2 * lag.read_interval, _MAX_READ_SECONDS)
        lag.read_interval = max(doubled, _MIN_READ_SECONDS)
        yield Publish(RefreshRequested(kind))

    def _record(self, kind: StoreKind, lag: _Lag, text: str) -> LogRecord:
        own_era, own_number = self._edition(kind)
        era, number = lag.edition
        seconds = self._context.clock.monotonic() - lag.since
        return LogRecord(
            Part.LAGGING,
            'lagging',
            text,
            {
                'objects': kind.value,
                'announced_by': lag.host_id,
                'era': era,
                'own_era': own_era,
                'edition': number,
                'own_edition': own_number,
                'seconds': round(seconds, 2),
            },
        )


def _max_lag(kind: StoreKind) -> float:
    """Return the seconds for which others may have later content of a kind."""
    if kind is StoreKind.CONFIGURATION:
        return _MAX_LAG_SECONDS
    return _MAX_POSITION_LAG_SECONDS


register(
    PluginSpec(
        'lagging',
        LaggingPlugin,
        frozenset(
            (
                CopiesReady,
                RoutesChanged,
                ContentConfirmed,
                EditionConfirmed,
                PeerMessageReceived,
                Tick,
            )
        ),
    ),
)
