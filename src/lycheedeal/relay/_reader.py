"""State of reading one kind of objects from the platform's store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.relay._records import START_POSITION, Position, StoreKind

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

    ``known_at_call`` is the position of the host's content when the call was made.
    """

    kind: StoreKind
    phase: Phase = Phase.IDLE
    position: Position = START_POSITION
    known_at_call: Position = START_POSITION
    called_at: float = 0
    resume_at: float = 0
    failures: int = 0
    has_listed: bool = False
    has_watched_since_list: bool = False

    @property
    def is_calling(self) -> bool:
        """Whether a call of this reader is in progress."""
        return self.phase in {Phase.LISTING, Phase.WATCHING}


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
