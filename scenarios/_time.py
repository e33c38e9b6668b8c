"""Virtual time: a heap of callbacks."""

import heapq
import itertools
from collections.abc import Callable

# Wall time of the start of every run; any fixed number will do.
START_UNIX_SECONDS = 1_800_000_000.0


class VirtualTime:
    """Runs callbacks in order of their time; never waits."""

    def __init__(self) -> None:
        """Start at second 0."""
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def monotonic(self) -> float:
        """Return virtual seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Return virtual Unix time."""
        return START_UNIX_SECONDS + self.now

    def call_at(self, when: float, callback: Callable[[], object]) -> None:
        """Run a callback at a virtual time, not before now."""
        entry = (max(when, self.now), next(self._numbers), callback)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay: float, callback: Callable[[], object]) -> None:
        """Run a callback after a delay in virtual seconds."""
        self.call_at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to a virtual time."""
        while self._heap and self._heap[0][0] <= end:
            when, _, callback = heapq.heappop(self._heap)
            self.now = when
            callback()
        self.now = end
