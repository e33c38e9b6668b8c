"""Reads the platform's store: a list of each kind of objects, then watches.

Every call counts against the platform's budget for calls. A host lists each kind
once when it starts; afterwards only a host that watches for the others keeps watches
open.
"""

from collections.abc import Iterator, Mapping
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.relay._call_times import (
    ANSWER_TIMEOUT_SECONDS,
    MIN_WAIT_SECONDS,
    PAGE_TIMEOUT_SECONDS,
    WATCH_WAIT_SECONDS,
)
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import ContentCopy
from lycheedeal.relay._effects import (
    CancelCall,
    Effect,
    ListObjects,
    LogRecord,
    Part,
    WatchObjects,
)
from lycheedeal.relay._events import (
    CallFailed,
    CallProgressed,
    ContentChanged,
    ContentNotApplied,
    CopiesReady,
    Event,
    ListAnswered,
    RefreshRequested,
    Started,
    Tick,
    WatchAnswered,
    WatchingChanged,
)
from lycheedeal.relay._read_outcomes import (
    confirm,
    failure_record,
    has_changes,
    is_usable,
    partial_record,
    wait_after,
)
from lycheedeal.relay._reader import Phase, Reader, RereadDelay
from lycheedeal.relay._receive_delay import ReceiveDelay
from lycheedeal.relay._records import (
    START_POSITION,
    Era,
    Position,
    Source,
    StoreFault,
    StoreKind,
)

# Time from an answer with changes to the next watch, which then gets all changes
# of this time in one answer. That watch ends sooner, as hosts wait for confirmations.
_COALESCE_SECONDS: Final = 0.25
# Time after the start, after the last failed call, and after the store came back from
# an older copy, during which a missing entry does not mean that its upstream is gone.
# Entries that expired or were lost are written again within about 2 s, as the platform
# guarantees.
SETTLING_SECONDS: Final = 2.2


class ReadingPlugin:
    """Decides when to list and when to watch each kind of objects."""

    def __init__(self, context: RelayContext) -> None:
        """Start idle; the event ``Started`` causes the first lists."""
        self._context = context
        self._watches = False
        self._readers = {kind: Reader(kind) for kind in context.settings.kinds}
        # Time of the last failed call, of the last sign that the store came back from
        # an older copy, or of the start: the host does not know what came before.
        self._unsettled_at = context.clock.monotonic()
        # Of the last history that the store was in; None before its first answer.
        self._era: Era | None = None
        # Content of this host, which peers change, too.
        self._copies: Mapping[StoreKind, ContentCopy] = {}
        self._receive_delay = ReceiveDelay(context.clock)
        self._reread_delay = RereadDelay()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case CopiesReady(copies_by_kind=copies):
                self._copies = copies
            case Started():
                for reader in self._readers.values():
                    yield from self._list(reader)
            case ListAnswered():
                yield from self._list_answered(event)
            case WatchAnswered():
                yield from self._watch_answered(event)
            case CallFailed():
                yield from self._call_failed(event)
            case WatchingChanged(watches=watches):
                yield from self._watching_changed(watches)
            case RefreshRequested(kind=kind):
                # What is missing may be in the answer that arrives.
                if not self._readers[kind].is_answering:
                    yield from self._refresh(self._readers[kind])
            case ContentNotApplied():
                yield from self._read_again()
            case CallProgressed(kind=kind):
                now = self._context.clock.monotonic()
                self._readers[kind].note_progress(now)
            case Tick(now=now):
                yield from self._tick(now)

    def _list(self, reader: Reader) -> Iterator[Effect]:
        reader.begin_call(
            Phase.LISTING,
            self._context.clock.monotonic(),
            self._known_position(reader.kind),
            PAGE_TIMEOUT_SECONDS,
        )
        self._context.metrics.add('store_calls', f'list {reader.kind.value}')
        # Hosts learn what such a list lacks from the next beacon, or from the watch
        # that follows; an evacuation need not be in force for some seconds.
        may_lag = reader.kind is StoreKind.EVACUATIONS and not reader.has_listed
        yield ListObjects(reader.kind, may_lag)

    def _watch(
        self, reader: Reader, wait_seconds: float = WATCH_WAIT_SECONDS
    ) -> Iterator[Effect]:
        if not self._watches:
            reader.phase = Phase.IDLE
            return
        reader.begin_call(
            Phase.WATCHING,
            self._context.clock.monotonic(),
            self._known_position(reader.kind),
            wait_seconds + ANSWER_TIMEOUT_SECONDS,
        )
        self._context.metrics.add('store_calls', f'watch {reader.kind.value}')
        yield WatchObjects(reader.kind, reader.position, wait_seconds)

    def _list_answered(self, event: ListAnswered) -> Iterator[Effect]:
        reader = self._readers[event.kind]
        if self._is_of_earlier_era(event):
            detail = f'list is of era {event.position.era}, after era {self._era}'
            yield from self._call_failed(
                CallFailed(event.kind, StoreFault.MALFORMED, detail)
            )
            return
        yield from self._record_success(reader, is_list=True)
        yield from self._enter_era(event)
        reader.position = event.position
        reader.has_listed = True
        reader.lists_since_watch += 1
        reader.is_usable = is_usable(event)
        yield from self._publish_content(event, complete=True)
        yield from confirm(reader, reader.called_at)
        listed_for = self._context.clock.monotonic() - reader.called_at
        yield from self._watch(reader, wait_after(listed_for))

    def _publish_content(
        self,
        event: ListAnswered | WatchAnswered,
        complete: bool,
        removed: tuple[str, ...] = (),
    ) -> Iterator[Effect]:
        """Publish the content of an answer, unless a peer has sent later content."""
        known = self._known_position(event.kind)
        changed_meanwhile = known != self._readers[event.kind].known_at_call
        if changed_meanwhile and event.position < known:
            self._context.metrics.add('store_answers', 'overtaken')
            return
        yield Publish(
            ContentChanged(
                kind=event.kind,
                position=event.position,
                complete=complete,
                entries=event.entries,
                removed=removed,
                unusable=event.unusable,
                version=event.version,
                settled=self._was_settled(self._readers[event.kind].called_at),
                source=Source.STORE,
            ),
        )

    def _known_position(self, kind: StoreKind) -> Position:
        copy = self._copies.get(kind)
        return START_POSITION if copy is None else copy.position

    def _watch_answered(self, event: WatchAnswered) -> Iterator[Effect]:
        reader = self._readers[event.kind]
        yield from self._record_success(reader, is_list=False)
        yield from self._enter_era(event)
        if event.position.era != reader.position.era:
            # The new history may have given out the watched revision again, so the
            # answer lacks the changes before it.
            yield from self._list(reader)
            return
        reader.position = event.position
        reader.lists_since_watch = 0
        is_changed = has_changes(event)
        if is_changed:
            reader.is_usable = is_usable(event)
            is_whole = event.kind is StoreKind.CONFIGURATION
            yield from self._publish_content(event, is_whole, event.removed)
        now = self._context.clock.monotonic()
        # The store answers with the content as it is when the answer begins.
        began_at = reader.answering_since or now
        yield from confirm(reader, began_at - self._receive_delay.seconds())
        if not reader.is_usable and is_changed:
            # The change may be of another object than the configuration.
            yield from self._list(reader)
        elif is_changed and now < began_at + _COALESCE_SECONDS:
            reader.phase = Phase.PAUSING
            reader.resume_at = began_at + _COALESCE_SECONDS
        else:
            yield from self._watch(reader, wait_after(now - began_at))

    def _record_success(self, reader: Reader, is_list: bool) -> Iterator[Effect]:
        if reader.failures and (is_list or not reader.lists_since_watch):
            self._unsettled_at = self._context.clock.monotonic()
        # If all watches since the last list have failed, another list does not help.
        if reader.failures and not (is_list and reader.lists_since_watch):
            reader.failures = 0
            yield LogRecord(
                Part.READING,
                'store',
                'Store answers again; reading goes on.',
                {'objects': reader.kind.value},
            )

    def _is_of_earlier_era(self, event: ListAnswered) -> bool:
        return self._era is not None and event.position.era < self._era

    def _enter_era(self, event: ListAnswered | WatchAnswered) -> Iterator[Effect]:
        """List all that is watched if an answer shows a new history of the store."""
        previous = self._era
        era, revision = event.position
        if previous is not None and era <= previous:
            return
        self._era = era
        if previous is None:
            return
        self._unsettled_at = self._context.clock.monotonic()
        self._context.metrics.add('store_eras', 'changed')
        yield LogRecord(
            Part.READING,
            'era',
            'Store came back from an older copy of its content.',
            {
                'objects': event.kind.value,
                'era': era,
                'previous': previous,
                'revision': revision,
                'last_revision': self._readers[event.kind].position.revision,
            },
        )
        for reader in self._readers.values():
            is_watched = reader.phase in {Phase.WATCHING, Phase.PAUSING}
            if reader.kind is not event.kind and is_watched:
                yield from self._refresh(reader)

    def _read_again(self) -> Iterator[Effect]:
        """List all kinds after a delay, which grows while content is not applied."""
        now = self._context.clock.monotonic()
        self._reread_delay.note(now)
        for reader in self._readers.values():
            if reader.is_calling:
                yield CancelCall(reader.kind)
            reader.phase = Phase.RETRYING
            reader.resume_at = now + self._reread_delay.seconds

    def _call_failed(self, event: CallFailed) -> Iterator[Effect]:
        reader = self._readers[event.kind]
        self._context.metrics.add('store_failures', event.fault.value)
        is_watch = reader.phase is Phase.WATCHING
        if is_watch and reader.is_list_due(event.fault):
            yield from self._list(reader)
            return
        watch_failed = is_watch and event.fault is not StoreFault.HISTORY_LOST
        now = self._context.clock.monotonic()
        reader.note_failure(event.fault, now)
        if reader.is_failure_reported:
            yield failure_record(reader, event, now)
        known = self._known_position(reader.kind)
        if event.readable is not None and known == START_POSITION:
            if reader.is_list_given_up:
                yield partial_record(event)
                yield from self._list_answered(event.readable)
                return
        if watch_failed and reader.failures == 1:
            # Changes may have been missed; a list shows them without a delay.
            yield from self._list(reader)
        else:
            self._retry_later(reader)

    def _retry_later(self, reader: Reader) -> None:
        now = self._context.clock.monotonic()
        self._unsettled_at = now
        reader.retry_after(self._context.rng.uniform(0.75, 1.25), now)

    def _retry(self, reader: Reader) -> Iterator[Effect]:
        """List again, or watch from what is known if lists do not come to an end."""
        known = self._known_position(reader.kind)
        is_known = known != START_POSITION and known.era == self._era
        if is_known and self._watches and reader.is_list_in_doubt:
            reader.position = known
            yield from self._watch(reader, MIN_WAIT_SECONDS)
        else:
            yield from self._list(reader)

    def _watching_changed(self, watches: bool) -> Iterator[Effect]:
        if watches == self._watches:
            return
        self._watches = watches
        for reader in self._readers.values():
            if not watches:
                yield from self._stop_reading(reader)
            elif reader.phase is Phase.IDLE:
                yield from self._list(reader)

    def _stop_reading(self, reader: Reader) -> Iterator[Effect]:
        # The first list is not cancelled: readiness may wait for it.
        if reader.has_listed and reader.phase is not Phase.IDLE:
            self._context.metrics.add('store_calls', f'cancel {reader.kind.value}')
            yield CancelCall(reader.kind)
            reader.phase = Phase.IDLE
            reader.failures = 0

    def _refresh(self, reader: Reader) -> Iterator[Effect]:
        if reader.phase in {Phase.IDLE, Phase.PAUSING, Phase.WATCHING}:
            if reader.phase is Phase.WATCHING:
                yield CancelCall(reader.kind)
            yield from self._list(reader)

    def _tick(self, now: float) -> Iterator[Effect]:
        self._receive_delay.tick(now)
        delay = self._receive_delay.seconds()
        self._context.metrics.observe('receive_delay_seconds', 'all', delay)
        for reader in self._readers.values():
            match reader.phase:
                case Phase.RETRYING if now >= reader.resume_at:
                    yield from self._retry(reader)
                case Phase.PAUSING if now >= reader.resume_at:
                    wait_seconds = WATCH_WAIT_SECONDS - _COALESCE_SECONDS
                    yield from self._watch(reader, wait_seconds)
                # What the process has not handled yet may hold the end of the call.
                case Phase.LISTING | Phase.WATCHING if now - delay >= reader.overdue_at:
                    yield CancelCall(reader.kind)
                    detail = 'call was not reported as ended'
                    yield from self._call_failed(
                        CallFailed(reader.kind, StoreFault.SILENT, detail)
                    )

    def _was_settled(self, called_at: float) -> bool:
        """Return whether an answer to a call proves that missing entries are gone."""
        return called_at - self._unsettled_at >= SETTLING_SECONDS


register(
    PluginSpec(
        'reading',
        ReadingPlugin,
        frozenset(
            (
                Started,
                CopiesReady,
                ListAnswered,
                WatchAnswered,
                CallFailed,
                CallProgressed,
                WatchingChanged,
                RefreshRequested,
                ContentNotApplied,
                Tick,
            ),
        ),
    ),
)
