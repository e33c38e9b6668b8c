"""State of reading one kind of objects from the platform's store."""

from dataclasses import dataclass
from enum import Enum, unique

from lycheedeal.relay._records import START_POSITION, Position, StoreKind


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
