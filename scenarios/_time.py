"""Virtual time: a priority queue of callbacks."""

import heapq
import itertools
from collections.abc import Callable

# Unix time at virtual second 0. It is fixed so that runs are reproducible.
START_UNIX_SECONDS = 1_800_000_000.0


class VirtualTime:
    """Runs callbacks in the order of their times without waiting."""

    def __init__(self) -> None:
        """Start at second 0 without callbacks."""
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def monotonic(self) -> float:
        """Return virtual seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Return the Unix time in the simulation."""
        return START_UNIX_SECONDS + self.now

    def call_at(self, when: float, callback: Callable[[], object]) -> None:
        """Schedule a callback; one for the past runs at the current time."""
        entry = (max(when, self.now), next(self._numbers), callback)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay: float, callback: Callable[[], object]) -> None:
        """Schedule a callback after a delay in virtual seconds."""
        self.call_at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run all callbacks due up to a virtual time and advance to it."""
        while self._heap and self._heap[0][0] <= end:
            when, _, callback = heapq.heappop(self._heap)
            self.now = when
            callback()
        self.now = end
