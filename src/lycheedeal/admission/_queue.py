"""Queue of one service: which request goes to which upstream next."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.admission._kind_queue import KindQueue, QueuedRequest
from lycheedeal.admission._load import QueueLoad
from lycheedeal.admission._slots import UpstreamPool, UpstreamSlots
from lycheedeal.errors import ErrorKind
from lycheedeal.model import KindId, Service, Zone

# Nothing is handed over closer to its deadline than a datagram may take.
SEND_MARGIN_MS: Final = 5
_MAX_RESENT_FACTOR: Final = 2


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request that was given a slot of an upstream."""

    request: QueuedRequest
    slots: UpstreamSlots
    expected_ms: float
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Shed:
    """A request that left the queue without being run."""

    request: QueuedRequest
    error: ErrorKind


class ServiceQueue:
    """Queue, floors and slots of a service on the host that owns requests."""

    def __init__(self, service: Service, zone: Zone, rng: random.Random) -> None:
        """Start empty with the configured kinds and upstreams."""
        self.pool = UpstreamPool(zone, rng)
        self._queues_by_kind: dict[KindId, KindQueue] = {}
        self._load = QueueLoad(self._queues_by_kind, self.pool)
        self._last_accrual_ms = 0
        self.reconfigure(service)

    @property
    def count(self) -> int:
        """Number of waiting requests."""
        return sum(kind_queue.count for kind_queue in self._queues_by_kind.values())

    def reconfigure(self, service: Service) -> None:
        """Take over changed kinds and upstreams; known work keeps its line."""
        for kind in service.kinds:
            kind_queue = self._queues_by_kind.get(kind.kind_id)
            if kind_queue is None:
                self._queues_by_kind[kind.kind_id] = KindQueue(kind)
            else:
                kind_queue.reconfigure(kind)
        self.pool.reconfigure(service.upstreams, service.spill)

    def push(self, request: QueuedRequest, now_ms: int) -> Iterator[Shed]:
        """Queue a request; yield what is refused for it, perhaps itself."""
        self._accrue(now_ms)
        kind_queue = self._queues_by_kind[request.kind_id]
        if self.pool.is_unavailable():
            yield Shed(request, ErrorKind.NO_UPSTREAM)
            return
        if self._load.expected_wait_ms(kind_queue) > request.deadline_ms - now_ms:
            yield Shed(request, ErrorKind.PUSHED_BACK)
            return
        kind_queue.append(request)
        if self.count > self._load.queue_limit():
            yield Shed(
                self._load.victim(kind_queue).take_oldest(), ErrorKind.QUEUE_FULL
            )

    def requeue(self, assignment: Assignment) -> None:
        """Queue a request again that its upstream refused before the start."""
        request = assignment.request
        kind_queue = self._queues_by_kind[request.kind_id]
        kind_queue.requeue(request, self._load.lifo_depth())

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request, for example because its caller cancelled it."""
        if request.waiting:
            self._queues_by_kind[request.kind_id].discard(request)

    def take(self, now_ms: int) -> Assignment | Shed | None:
        """Return what to do next, or None until a slot or a request comes."""
        self._accrue(now_ms)
        kind_queue = self._next_kind_queue()
        slots = None if kind_queue is None else self.pool.choose(now_ms)
        if kind_queue is None or slots is None:
            return None
        request = kind_queue.take(self._load.lifo_depth())
        if self._is_too_late(kind_queue, request, now_ms):
            return Shed(request, ErrorKind.DEADLINE_PASSED)
        self.pool.occupy(slots)
        kind_queue.floor_account.charge(kind_queue.service_ms)
        return Assignment(request, slots, kind_queue.service_ms, now_ms)

    def release(
        self,
        assignment: Assignment,
        now_ms: int,
        *,
        ended: bool = True,
    ) -> None:
        """Free the slot of an assignment that ended in any way.

        ``ended`` is false if the upstream may still run it.
        """
        assignment.slots.in_flight -= 1
        if not ended:
            assignment.slots.record_overrun()
        kind_queue = self._queues_by_kind[assignment.request.kind_id]
        kind_queue.floor_account.settle(
            assignment.expected_ms, now_ms - assignment.sent_ms
        )

    def observe_answer(
        self,
        assignment: Assignment,
        now_ms: int,
        *,
        sent_once: bool = True,
    ) -> None:
        """Learn from an answer; call besides ``release``.

        An attempt that was sent again may have waited for a lost datagram.
        It raises the mean by a bounded step: ignored altogether, it could
        not correct a mean that is too short for the first copy to be answered.
        """
        self.pool.record_answer(assignment.slots)
        kind_queue = self._queues_by_kind[assignment.request.kind_id]
        elapsed_ms: float = now_ms - assignment.sent_ms
        if not sent_once:
            elapsed_ms = min(elapsed_ms, _MAX_RESENT_FACTOR * kind_queue.service_ms)
        kind_queue.observe_service(elapsed_ms)

    def observe_refusal(self, assignment: Assignment, now_ms: int) -> None:
        """Learn from a refusal before the start; call besides ``release``."""
        self.pool.record_refusal(assignment.slots, now_ms)

    def service_ms(self, kind_id: KindId) -> float:
        """Return the mean time that upstreams need for a kind of work."""
        return self._queues_by_kind[kind_id].service_ms

    def saturated(self) -> frozenset[KindId]:
        """Return the kinds whose backlog is too long for new flows."""
        return self._load.saturated()

    def drain_ms(self) -> int:
        """Return the expected time to serve all that waits."""
        return self._load.drain_ms()

    def _next_kind_queue(self) -> KindQueue | None:
        waiting = [
            kind_queue
            for kind_queue in self._queues_by_kind.values()
            if kind_queue.count
        ]
        owed = [
            kind_queue for kind_queue in waiting if kind_queue.floor_account.owed_ms > 0
        ]
        if owed:
            return max(owed, key=lambda kind_queue: kind_queue.floor_account.owed_ms)
        return min(
            waiting,
            key=lambda kind_queue: (
                kind_queue.kind.priority,
                kind_queue.oldest_arrival_ms(),
            ),
            default=None,
        )

    def _accrue(self, now_ms: int) -> None:
        elapsed_ms = (
            max(0, now_ms - self._last_accrual_ms) if self._last_accrual_ms else 0
        )
        self._last_accrual_ms = max(now_ms, self._last_accrual_ms)
        capacity = self.pool.capacity
        for kind_queue in self._queues_by_kind.values():
            if kind_queue.kind.floor:
                kind_queue.floor_account.accrue(
                    elapsed_ms, capacity, kind_queue.count > 0
                )

    def _is_too_late(
        self, kind_queue: KindQueue, request: QueuedRequest, now_ms: int
    ) -> bool:
        """Tell whether a request would only waste the slot.

        A request is dropped if the rest of its time is shorter than nearly all
        service times: a run that outlives its caller also holds its slot.
        Requests with half of the usual time left always get a chance, so that
        a high estimate can correct itself.
        """
        budget_ms = max(request.deadline_ms - request.arrived_ms, kind_queue.budget_ms)
        needed_ms = max(SEND_MARGIN_MS, min(kind_queue.upper_service_ms, budget_ms / 2))
        return request.deadline_ms - now_ms < needed_ms
