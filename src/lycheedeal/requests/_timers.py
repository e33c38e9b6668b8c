"""Timers of requests, which run on ticks; times are Unix milliseconds."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count

from lycheedeal.admission import RequestKey
from lycheedeal.requests._attempts import Attempt
from lycheedeal.requests._records import RequestRecord


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """The request ends because its deadline has passed."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class QueueDeadlineDue:
    """The request, if it still waits, ends shortly before its deadline."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class OverdueCheckDue:
    """The attempt of an idempotent request is retried if still unanswered."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class ResendDue:
    """The attempt is resent if it is still unanswered."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The request is queued again after its retry delay."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class SlotReleaseDue:
    """The slot of the attempt is released if there was no reply."""

    attempt: Attempt


Timer = (
    DeadlineDue
    | OverdueCheckDue
    | QueueDeadlineDue
    | ResendDue
    | RetryDue
    | SlotReleaseDue
)


class TimerQueue:
    """Priority queue of timers, ordered by due time and then by insertion."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[int, int, Timer]] = []
        self._sequence = count()

    def schedule(self, due_ms: int, timer: Timer) -> None:
        """Add a timer.

        Timers cannot be cancelled; one that no longer applies is ignored when
        it is due.
        """
        heapq.heappush(self._heap, (due_ms, next(self._sequence), timer))

    def pop_due(self, now_ms: int) -> Iterator[Timer]:
        """Remove and yield the timers that are due, earliest first."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[2]
