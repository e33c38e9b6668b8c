"""Event queue on virtual time, and statistics of the experiments."""

import heapq
from collections.abc import Iterator, Sequence
from itertools import count
from typing import Generic, TypeVar

EventT = TypeVar('EventT')


class Timeline(Generic[EventT]):
    """Queue of events in order of virtual time, in seconds.

    Events with the same time are yielded in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, EventT]] = []
        self._sequence = count()

    def after(self, delay: float, event: EventT) -> None:
        """Schedule an event after a delay in seconds."""
        heapq.heappush(self._heap, (self.now + delay, next(self._sequence), event))

    def at(self, when: float, event: EventT) -> None:
        """Schedule an event at a time; one in the past counts as now."""
        self.after(max(0.0, when - self.now), event)

    def run(self) -> Iterator[EventT]:
        """Advance time from event to event and yield each; ends when none is left."""
        while self._heap:
            self.now, _, event = heapq.heappop(self._heap)
            yield event


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share (0 to 1) of the values lies; 0 if empty."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def percent(part: float, whole: float) -> float:
    """Return a share in percent with three decimals; 0 if the whole is 0."""
    return round(100 * part / whole, 3) if whole else 0
