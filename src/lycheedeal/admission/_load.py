"""Estimates of the load on a queue, and limits that follow from it."""

from collections.abc import Iterator, Mapping
from typing import Final

from lycheedeal.admission._lines import KindLine
from lycheedeal.admission._slots import UpstreamPool
from lycheedeal.model import KindId

# Bounds the wait in order of arrival to three service times. With four, the
# backlog left by a flood settled just below the bound and stayed for seconds.
_LIFO_DEPTH_PER_SLOT: Final = 3
_PLACES_PER_SLOT: Final = 64
_FEWEST_PLACES: Final = 64
_FEWEST_FLOOR_PLACES: Final = 4


class QueueLoad:
    """Expected waits and bounds, from the lines and slots of one queue."""

    def __init__(
        self,
        lines_by_kind: Mapping[KindId, KindLine],
        pool: UpstreamPool,
    ) -> None:
        """Read from these lines and slots; nothing is changed."""
        self._lines_by_kind = lines_by_kind
        self._pool = pool

    def places(self) -> int:
        """Return the largest number of waiting requests."""
        return max(_FEWEST_PLACES, _PLACES_PER_SLOT * self._pool.total)

    def lifo_depth(self) -> int:
        """Return the length above which a line serves its newest request."""
        return _LIFO_DEPTH_PER_SLOT * max(1, self._pool.total)

    def start_wait_ms(self, line: KindLine) -> float:
        """Return the expected wait of a new request of this line."""
        own = line.count if line.count < self.lifo_depth() else 0
        return self._wait_ms(line, own)

    def saturated(self) -> frozenset[KindId]:
        """Return the kinds whose backlog is too long for new flows.

        A backlog of half the usual time to the deadline leaves room for the
        requests of flows that are already open.
        """
        return frozenset(
            line.kind.kind_id
            for line in self._lines_by_kind.values()
            if self._is_saturated(line)
        )

    def drain_ms(self) -> int:
        """Return the expected time to serve all that waits."""
        lines = self._lines_by_kind.values()
        work = sum(line.count * line.service_ms for line in lines)
        return round(work / max(1, self._pool.total))

    def victim(self, line: KindLine) -> KindLine:
        """Return the line that gives up its oldest request for one of ``line``.

        The oldest is the last to be served under overload and in general the
        nearest to its deadline. Places that belong to a floor are spared.
        """
        candidates = [
            other
            for other in self._lines_by_kind.values()
            if other.count > self._floor_places(other)
        ]
        return max(candidates, key=lambda other: other.kind.priority, default=line)

    def _is_saturated(self, line: KindLine) -> bool:
        urgent = sum(other.count for other in self._more_urgent(line))
        if not line.count and not urgent:
            return False
        if line.count < self._floor_places(line):
            return False
        if 2 * (line.count + urgent) > self.places():
            return True
        return self._wait_ms(line, line.count) > line.budget_ms / 2

    def _wait_ms(self, line: KindLine, own: int) -> float:
        """Return the wait behind ``own`` requests and all more urgent ones."""
        total = max(1, self._pool.total)
        urgent_work = sum(
            other.count * other.service_ms for other in self._more_urgent(line)
        )
        own_work = own * line.service_ms
        wait = (own_work + urgent_work) / total
        if line.kind.floor:
            wait_by_floor = (own_work + line.service_ms) / (total * line.kind.floor)
            return min(wait, wait_by_floor)
        return wait

    def _more_urgent(self, line: KindLine) -> Iterator[KindLine]:
        for other in self._lines_by_kind.values():
            if other.kind.priority < line.kind.priority:
                yield other

    def _floor_places(self, line: KindLine) -> int:
        if not line.kind.floor:
            return 0
        return max(_FEWEST_FLOOR_PLACES, int(line.kind.floor * self.places()))
