"""Virtual time for experiments, and small statistics."""

import heapq
from collections.abc import Iterator, Sequence
from itertools import count
from typing import Generic, TypeVar

EventT = TypeVar('EventT')


class Timeline(Generic[EventT]):
    """Events in order of virtual time; equal times keep their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, EventT]] = []
        self._sequence = count()

    def after(self, delay: float, event: EventT) -> None:
        """Schedule an event relative to now."""
        heapq.heappush(self._heap, (self.now + delay, next(self._sequence), event))

    def at(self, when: float, event: EventT) -> None:
        """Schedule an event; a time in the past means now."""
        self.after(max(0.0, when - self.now), event)

    def run(self) -> Iterator[EventT]:
        """Yield events until none is left."""
        while self._heap:
            self.now, _, event = heapq.heappop(self._heap)
            yield event


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 if empty."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def percent(part: float, whole: float) -> float:
    """Return a share in percent, to three places; 0 of nothing."""
    return round(100 * part / whole, 3) if whole else 0
