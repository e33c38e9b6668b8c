"""Follows the platform's store: first a list of each kind, then watches.

Every call counts against the platform's budget. A host lists each kind once
when it starts; later only hosts on duty keep a watch open, and the others
hear from them.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import (
    Effect,
    ListObjects,
    Part,
    Record,
    StopReading,
    WatchObjects,
)
from lycheedeal.relay._events import (
    CallFailed,
    ChangesAnswered,
    ContentChanged,
    ContentConfirmed,
    Event,
    LeadershipChanged,
    ListAnswered,
    RefreshWanted,
    Started,
    Tick,
)
from lycheedeal.relay._records import Revision, Source, StoreFault, StoreKind

# A watch that hears nothing confirms the content when it returns; half of the
# 3 s in which a change must be in force everywhere.
WATCH_SECONDS: Final = 1.5
# Beyond the wait of a watch, or in all for a list, before the connection counts
# as silent; the store answers in 4 ms.
ANSWER_SECONDS: Final = 0.4
# From an answer with changes to the next watch.
_PAUSE_SECONDS: Final = 0.25
# Delay after failed calls, doubling to the second figure.
_FIRST_RETRY_SECONDS: Final = 0.1
_LAST_RETRY_SECONDS: Final = 0.8
# Upstreams whose entries lapsed while the store was away have this long to
# appear again; the platform promises about two seconds.
SETTLING_SECONDS: Final = 2.2


@unique
class _Phase(Enum):
    IDLE = 'idle'
    LISTING = 'listing'
    WATCHING = 'watching'
    # Lets changes in quick succession collect for one answer.
    PAUSING = 'pausing'
    RETRYING = 'retrying'


@dataclass(slots=True, eq=False, repr=False)
class _Follower:
    """Progress with one kind; times are seconds of the monotonic clock."""

    kind: StoreKind
    phase: _Phase = _Phase.IDLE
    revision: Revision = Revision(0)
    asked_at: float = 0
    resume_at: float = 0
    failures: int = 0
    listed: bool = False


class ReadingPlugin:
    """Decides when to list and when to watch."""

    def __init__(self, context: RelayContext) -> None:
        """Start idle and off duty; ``Started`` asks for the first lists."""
        self._context = context
        self._is_leader = False
        self._followers = {kind: _Follower(kind) for kind in StoreKind}
        self._troubled_at = float('-inf')

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event."""
        match event:
            case Started():
                for follower in self._followers.values():
                    yield from self._list(follower)
            case ListAnswered():
                yield from self._listed(event)
            case ChangesAnswered():
                yield from self._changed(event)
            case CallFailed():
                yield from self._failed(event)
            case LeadershipChanged(is_leader=is_leader):
                yield from self._leadership_changed(is_leader)
            case RefreshWanted(kind=kind):
                yield from self._refresh(self._followers[kind])
            case Tick(now=now):
                yield from self._tick(now)

    def _list(self, follower: _Follower) -> Iterator[Effect]:
        follower.phase = _Phase.LISTING
        follower.asked_at = self._context.clock.monotonic()
        self._context.metrics.add('store_calls', f'list {follower.kind.value}')
        yield ListObjects(follower.kind)

    def _watch(self, follower: _Follower) -> Iterator[Effect]:
        if not self._is_leader:
            follower.phase = _Phase.IDLE
            return
        follower.phase = _Phase.WATCHING
        follower.asked_at = self._context.clock.monotonic()
        self._context.metrics.add('store_calls', f'watch {follower.kind.value}')
        yield WatchObjects(follower.kind, follower.revision, WATCH_SECONDS)

    def _listed(self, event: ListAnswered) -> Iterator[Effect]:
        follower = self._followers[event.kind]
        yield from self._answered(follower)
        follower.revision = event.revision
        follower.listed = True
        yield Publish(
            ContentChanged(
                kind=event.kind,
                revision=event.revision,
                complete=True,
                entries=event.entries,
                removed=(),
                unusable=event.unusable,
                version=event.version,
                settled=self._is_settled(),
                source=Source.STORE,
            ),
        )
        yield Publish(ContentConfirmed(event.kind, follower.asked_at))
        yield from self._watch(follower)

    def _changed(self, event: ChangesAnswered) -> Iterator[Effect]:
        follower = self._followers[event.kind]
        yield from self._answered(follower)
        follower.revision = event.revision
        if _has_news(event):
            yield Publish(
                ContentChanged(
                    kind=event.kind,
                    revision=event.revision,
                    complete=event.kind is StoreKind.CONFIGURATION,
                    entries=event.entries,
                    removed=event.removed,
                    unusable=event.unusable,
                    version=event.version,
                    settled=self._is_settled(),
                    source=Source.STORE,
                ),
            )
        now = self._context.clock.monotonic()
        yield Publish(ContentConfirmed(event.kind, now))
        if _has_news(event):
            follower.phase = _Phase.PAUSING
            follower.resume_at = now + _PAUSE_SECONDS
        else:
            yield from self._watch(follower)

    def _answered(self, follower: _Follower) -> Iterator[Effect]:
        if follower.failures:
            follower.failures = 0
            self._troubled_at = self._context.clock.monotonic()
            yield Record(
                Part.READING,
                'store',
                'Store answers again.',
                {'objects': follower.kind.value},
            )

    def _failed(self, event: CallFailed) -> Iterator[Effect]:
        follower = self._followers[event.kind]
        self._context.metrics.add('store_failures', event.fault.value)
        if event.fault is StoreFault.HISTORY_LOST:
            yield from self._list(follower)
            return
        watch_was_cut = follower.phase is _Phase.WATCHING
        follower.failures += 1
        if follower.failures == 1:
            yield self._failure_record(follower, event)
        if watch_was_cut and follower.failures == 1:
            # What was missed is unknown; a list shows it at once.
            yield from self._list(follower)
        else:
            self._retry_later(follower)

    def _failure_record(self, follower: _Follower, event: CallFailed) -> Record:
        return Record(
            Part.READING,
            'store',
            'Store call failed.',
            {
                'objects': event.kind.value,
                'fault': event.fault.value,
                'detail': event.detail,
                'revision': follower.revision,
            },
        )

    def _retry_later(self, follower: _Follower) -> None:
        now = self._context.clock.monotonic()
        self._troubled_at = now
        follower.phase = _Phase.RETRYING
        delay = _FIRST_RETRY_SECONDS * 2 ** min(follower.failures - 1, 8)
        spread = self._context.rng.uniform(0.75, 1.25)
        follower.resume_at = now + min(delay, _LAST_RETRY_SECONDS) * spread

    def _leadership_changed(self, is_leader: bool) -> Iterator[Effect]:
        if is_leader == self._is_leader:
            return
        self._is_leader = is_leader
        for follower in self._followers.values():
            if not is_leader:
                yield from self._rest(follower)
            elif follower.phase is _Phase.IDLE:
                yield from self._list(follower)

    def _rest(self, follower: _Follower) -> Iterator[Effect]:
        # The first list is read to its end: readiness waits for it.
        if follower.listed and follower.phase is not _Phase.IDLE:
            yield StopReading(follower.kind)
            follower.phase = _Phase.IDLE
            follower.failures = 0

    def _refresh(self, follower: _Follower) -> Iterator[Effect]:
        if follower.phase in {_Phase.IDLE, _Phase.PAUSING, _Phase.WATCHING}:
            if follower.phase is _Phase.WATCHING:
                yield StopReading(follower.kind)
            yield from self._list(follower)

    def _tick(self, now: float) -> Iterator[Effect]:
        for follower in self._followers.values():
            if now < follower.resume_at:
                continue
            match follower.phase:
                case _Phase.RETRYING:
                    yield from self._list(follower)
                case _Phase.PAUSING:
                    yield from self._watch(follower)

    def _is_settled(self) -> bool:
        quiet = self._context.clock.monotonic() - self._troubled_at
        return quiet >= SETTLING_SECONDS


def _has_news(event: ChangesAnswered) -> bool:
    if event.entries or event.removed or event.unusable:
        return True
    # A configuration may have no routes at all.
    return event.version is not None


register(
    PluginSpec(
        'reading',
        ReadingPlugin,
        frozenset(
            (
                Started,
                ListAnswered,
                ChangesAnswered,
                CallFailed,
                LeadershipChanged,
                RefreshWanted,
                Tick,
            ),
        ),
    ),
)
