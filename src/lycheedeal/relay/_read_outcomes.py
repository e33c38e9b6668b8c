"""What the end of a call to the platform's store means for its reader."""

from collections.abc import Iterator

from lycheedeal.dispatch import Publish
from lycheedeal.relay._call_times import MIN_WAIT_SECONDS, WATCH_WAIT_SECONDS
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    CallFailed,
    ContentConfirmed,
    ListAnswered,
    WatchAnswered,
)
from lycheedeal.relay._reader import Reader
from lycheedeal.relay._records import StoreKind


def wait_after(seconds: float) -> float:
    """Return the wait of a watch after an answer that took some time to arrive.

    The confirmation of its own answer then comes as soon as after a short answer.
    """
    return max(WATCH_WAIT_SECONDS - seconds, MIN_WAIT_SECONDS)


def confirm(reader: Reader, at: float) -> Iterator[Effect]:
    """Confirm the content, unless the store has some that this host cannot use."""
    if reader.is_usable:
        yield Publish(ContentConfirmed(reader.kind, at))


def is_usable(event: ListAnswered | WatchAnswered) -> bool:
    """Return whether an answer does not hold a configuration that cannot be used."""
    is_configuration = event.kind is StoreKind.CONFIGURATION
    return not (is_configuration and event.version is None and event.unusable)


def has_changes(event: WatchAnswered) -> bool:
    """Return whether a watch reported any change."""
    if event.entries or event.removed or event.unusable:
        return True
    # A configuration without any routes is a change, too.
    return event.version is not None


def failure_record(reader: Reader, event: CallFailed, now: float) -> LogRecord:
    """Return the log record of a failed call."""
    text = 'Store call failed; content stays in force, and the call is retried.'
    if reader.failures > 1:
        text = 'Store calls keep failing; content stays in force.'
    return LogRecord(
        Part.READING,
        'store',
        text,
        {
            'objects': event.kind.value,
            'fault': event.fault.value,
            'detail': event.detail,
            'failures': reader.failures,
            'seconds': round(now - reader.failing_since, 2),
            'era': reader.position.era,
            'revision': reader.position.revision,
        },
    )


def partial_record(event: CallFailed) -> LogRecord:
    """Return the log record of a list of which only a part can be read."""
    return LogRecord(
        Part.READING,
        'store',
        'List does not end; the objects that could be read are used.',
        {'objects': event.kind.value, 'detail': event.detail},
    )
