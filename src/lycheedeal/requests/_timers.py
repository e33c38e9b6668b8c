"""Timers that run on ticks; times are Unix milliseconds."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count

from lycheedeal.admission import RequestKey
from lycheedeal.requests._attempts import Attempt
from lycheedeal.requests._records import RequestRecord


@dataclass(frozen=True, slots=True)
class DeadlineDue:
    """The deadline of a request has passed."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class QueueDeadlineDue:
    """A request that still waits is given its verdict ahead of the deadline."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class OverdueCheckDue:
    """An attempt of an idempotent request takes unusually long."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class ResendDue:
    """The parts of an attempt are sent again if it is still unanswered."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class RetryDue:
    """The delay before a retry is over."""

    record: RequestRecord


@dataclass(frozen=True, slots=True)
class SlotReleaseDue:
    """The slot of an attempt without any reply is freed."""

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
    """Heap of timers."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[int, int, Timer]] = []
        self._sequence = count()

    def schedule(self, due_ms: int, timer: Timer) -> None:
        """Add a timer; what became irrelevant is ignored when it is due."""
        heapq.heappush(self._heap, (due_ms, next(self._sequence), timer))

    def pop_due(self, now_ms: int) -> Iterator[Timer]:
        """Remove and yield the timers that are due."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[2]
