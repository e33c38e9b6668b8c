"""State of reading one kind of objects from the platform's store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.relay._call_times import ANSWER_TIMEOUT_SECONDS, PAGE_TIMEOUT_SECONDS
from lycheedeal.relay._records import (
    START_POSITION,
    Position,
    StoreFault,
    StoreKind,
)

# Time after its timeout by which a call must have been reported as ended, or a part
# of its answer.
_REPORT_TIMEOUT_SECONDS: Final = 0.5
# Delay before a list after a failed call; doubles with each further failure.
_MIN_RETRY_SECONDS: Final = 0.1
_MAX_RETRY_SECONDS: Final = 0.8
# Failures in a row after which a loss of the store has no new log line yet.
_UNREPORTED_FAILURES: Final = frozenset((2, 4))
# Lists in a row that do not end, after which a host without content uses their part.
_MAX_FAILED_LISTS: Final = 3
# Delay before content that was not applied is read again; it doubles each time.
_MIN_REREAD_SECONDS: Final = 0.2
_MAX_REREAD_SECONDS: Final = 12.8


@unique
class Phase(Enum):
    """What a reader does."""

    IDLE = 'idle'
    LISTING = 'listing'
    WATCHING = 'watching'
    # Changes in quick succession collect for the answer to the next watch.
    PAUSING = 'pausing'
    RETRYING = 'retrying'


@dataclass(slots=True, eq=False, repr=False)
class Reader:
    """State of reading one kind; times are seconds of the monotonic clock.

    ``known_at_call`` is the position of the host's content when the call was made. A
    call that is in progress at ``overdue_at`` has no end. ``answering_since`` is the
    time of the first part of a long answer, None before.
    """

    kind: StoreKind
    phase: Phase = Phase.IDLE
    position: Position = START_POSITION
    known_at_call: Position = START_POSITION
    called_at: float = 0
    overdue_at: float = 0
    answering_since: float | None = None
    resume_at: float = 0
    failures: int = 0
    failing_since: float = 0
    # Whether the store answered the last failed call, so that the next one should not
    # be the same.
    was_answered: bool = False
    has_listed: bool = False
    # Lists that were answered since the last watch that was.
    lists_since_watch: int = 0
    # Whether the last content that the store sent could be used.
    is_usable: bool = True

    @property
    def is_calling(self) -> bool:
        """Whether a call of this reader is in progress."""
        return self.phase in {Phase.LISTING, Phase.WATCHING}

    @property
    def is_answering(self) -> bool:
        """Whether a long answer to a call of this reader arrives."""
        return self.is_calling and self.answering_since is not None

    def begin_call(
        self, phase: Phase, now: float, known: Position, timeout: float
    ) -> None:
        """Note a call whose answer begins after ``timeout`` at most, or has failed."""
        self.phase = phase
        self.called_at = now
        self.known_at_call = known
        self.answering_since = None
        self.overdue_at = now + timeout + _REPORT_TIMEOUT_SECONDS

    def note_progress(self, now: float) -> None:
        """Note that a part of the answer has arrived, or was decoded."""
        match self.phase:
            case Phase.LISTING:
                timeout = PAGE_TIMEOUT_SECONDS
            case Phase.WATCHING:
                timeout = ANSWER_TIMEOUT_SECONDS
            case _:
                return
        if self.answering_since is None:
            self.answering_since = now
        self.overdue_at = now + timeout + _REPORT_TIMEOUT_SECONDS

    def is_list_due(self, fault: StoreFault) -> bool:
        """Whether a list has what a watch could not tell, and the store works."""
        match fault:
            case StoreFault.HISTORY_LOST:
                return self.lists_since_watch == 0
            case StoreFault.TOO_LONG:
                return self.lists_since_watch < 2
            case _:
                return False

    def note_failure(self, fault: StoreFault, now: float) -> None:
        """Count a failed call."""
        if not self.failures:
            self.failing_since = now
        self.failures += 1
        self.was_answered = fault in {StoreFault.MALFORMED, StoreFault.SLOW}

    @property
    def is_failure_reported(self) -> bool:
        """Whether the last failure is logged: the first, then less and less often."""
        is_doubled = self.failures & (self.failures - 1) == 0
        return is_doubled and self.failures not in _UNREPORTED_FAILURES

    @property
    def is_list_in_doubt(self) -> bool:
        """Whether to try something else than the list that failed before."""
        return self.was_answered and self.failures % 2 == 0

    @property
    def is_list_given_up(self) -> bool:
        """Whether lists have failed so often that a part of one is better than none."""
        return self.was_answered and self.failures >= _MAX_FAILED_LISTS

    def retry_after(self, jitter: float, now: float) -> None:
        """Note that a list follows after a delay, which grows with the failures."""
        self.phase = Phase.RETRYING
        delay = _MIN_RETRY_SECONDS * 2 ** min(self.failures - 1, 8)
        self.resume_at = now + min(delay, _MAX_RETRY_SECONDS) * jitter


@dataclass(slots=True, eq=False, repr=False)
class RereadDelay:
    """Delay before content is read again that a plug-in failed to apply."""

    seconds: float = 0
    _noted_at: float = float('-inf')

    def note(self, now: float) -> None:
        """Note that content was not applied, and set the delay."""
        is_repeated = now - self._noted_at < 2 * _MAX_REREAD_SECONDS
        doubled = min(2 * self.seconds, _MAX_REREAD_SECONDS)
        self.seconds = doubled if is_repeated else _MIN_REREAD_SECONDS
        self._noted_at = now
