"""Expected waits and length limits of the queue of a service."""

from collections.abc import Iterator, Mapping
from typing import Final

from lycheedeal.admission._kind_queue import KindQueue
from lycheedeal.admission._slots import UpstreamPool
from lycheedeal.model import KindId

# Bounds the wait in order of arrival to three service times. With four, the
# backlog left by a flood stays just below the bound for seconds.
_LIFO_DEPTH_PER_SLOT: Final = 3
# Waiting requests of all kinds: the limit for each slot and the least limit.
_QUEUE_LIMIT_PER_SLOT: Final = 64
_MIN_QUEUE_LIMIT: Final = 64
# Least number of waiting requests reserved for a kind with a floor.
_MIN_RESERVED_LENGTH: Final = 4


class QueueLoad:
    """Estimates from the queues of all kinds and the slots of one service."""

    def __init__(
        self,
        queues_by_kind: Mapping[KindId, KindQueue],
        pool: UpstreamPool,
    ) -> None:
        """Keep references to the queues and the slots; neither is changed here."""
        self._queues_by_kind = queues_by_kind
        self._pool = pool

    def queue_limit(self) -> int:
        """Return the largest number of waiting requests of all kinds."""
        return max(_MIN_QUEUE_LIMIT, _QUEUE_LIMIT_PER_SLOT * self._pool.capacity)

    def lifo_depth(self) -> int:
        """Return the length above which a kind's newest request is served first."""
        return _LIFO_DEPTH_PER_SLOT * max(1, self._pool.capacity)

    def expected_wait_ms(self, kind_queue: KindQueue) -> float:
        """Return how long a new request of this kind is expected to wait."""
        ahead = kind_queue.count if kind_queue.count < self.lifo_depth() else 0
        return self._wait_ms(kind_queue, ahead)

    def saturated(self) -> frozenset[KindId]:
        """Return the kinds whose backlog is too long for new flows.

        A backlog of half the usual time to the deadline leaves room for the
        requests of flows that are already open.
        """
        return frozenset(
            kind_queue.kind.kind_id
            for kind_queue in self._queues_by_kind.values()
            if self._is_saturated(kind_queue)
        )

    def drain_ms(self) -> int:
        """Return the expected time to serve all waiting requests."""
        kind_queues = self._queues_by_kind.values()
        work_ms = sum(
            kind_queue.count * kind_queue.service_ms for kind_queue in kind_queues
        )
        return round(work_ms / max(1, self._pool.capacity))

    def victim(self, kind_queue: KindQueue) -> KindQueue:
        """Return the queue that drops its oldest request for one of ``kind_queue``.

        The least urgent kind is chosen; kinds that are within the length
        reserved by their floor are spared. The oldest request is the last to be
        served under overload and in general the nearest to its deadline.
        """
        candidates = [
            other
            for other in self._queues_by_kind.values()
            if other.count > self._reserved_length(other)
        ]
        return max(
            candidates, key=lambda other: other.kind.priority, default=kind_queue
        )

    def _is_saturated(self, kind_queue: KindQueue) -> bool:
        urgent_count = sum(other.count for other in self._more_urgent(kind_queue))
        if not kind_queue.count and not urgent_count:
            return False
        if kind_queue.count < self._reserved_length(kind_queue):
            return False
        if 2 * (kind_queue.count + urgent_count) > self.queue_limit():
            return True
        return self._wait_ms(kind_queue, kind_queue.count) > kind_queue.budget_ms / 2

    def _wait_ms(self, kind_queue: KindQueue, ahead: int) -> float:
        """Return the wait behind ``ahead`` requests of the kind and all more urgent."""
        capacity = max(1, self._pool.capacity)
        urgent_work_ms = sum(
            other.count * other.service_ms for other in self._more_urgent(kind_queue)
        )
        own_work_ms = ahead * kind_queue.service_ms
        wait_ms = (own_work_ms + urgent_work_ms) / capacity
        if kind_queue.kind.floor:
            floor_wait_ms = (own_work_ms + kind_queue.service_ms) / (
                capacity * kind_queue.kind.floor
            )
            return min(wait_ms, floor_wait_ms)
        return wait_ms

    def _more_urgent(self, kind_queue: KindQueue) -> Iterator[KindQueue]:
        for other in self._queues_by_kind.values():
            if other.kind.priority < kind_queue.kind.priority:
                yield other

    def _reserved_length(self, kind_queue: KindQueue) -> int:
        if not kind_queue.kind.floor:
            return 0
        return max(
            _MIN_RESERVED_LENGTH, int(kind_queue.kind.floor * self.queue_limit())
        )
