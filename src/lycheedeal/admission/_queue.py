"""Queue of one service, which gives requests slots of upstreams."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.admission._kind_queue import KindQueue, QueuedRequest
from lycheedeal.admission._load import QueueLoad
from lycheedeal.admission._slots import UpstreamPool, UpstreamSlots
from lycheedeal.errors import ErrorKind
from lycheedeal.model import KindId, Service, Zone

# A request is not sent to an upstream with less time than this to its deadline:
# a datagram may take as long.
SEND_MARGIN_MS: Final = 5
# Longest service time, in mean service times, that counts for an attempt that
# was sent more than once.
_MAX_RESENT_FACTOR: Final = 2


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request that was given a slot of an upstream.

    ``expected_ms`` is the expected service time, ``sent_ms`` when it was
    given the slot, in Unix milliseconds.
    """

    request: QueuedRequest
    slots: UpstreamSlots
    expected_ms: float
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Shed:
    """A request that was removed from the queue or refused by it, and why."""

    request: QueuedRequest
    error: ErrorKind


class ServiceQueue:
    """Requests that wait on the owner of a service, and the slots that they share.

    Times are Unix milliseconds.
    """

    def __init__(self, service: Service, zone: Zone, rng: random.Random) -> None:
        """Start without requests, with the configured kinds and upstreams."""
        self.pool = UpstreamPool(zone, rng)
        self._queues_by_kind: dict[KindId, KindQueue] = {}
        self._load = QueueLoad(self._queues_by_kind, self.pool)
        self._last_accrual_ms = 0
        self.reconfigure(service)

    @property
    def count(self) -> int:
        """Number of waiting requests of all kinds."""
        return sum(kind_queue.count for kind_queue in self._queues_by_kind.values())

    def reconfigure(self, service: Service) -> None:
        """Apply changed kinds and upstreams; waiting requests stay queued."""
        for kind in service.kinds:
            kind_queue = self._queues_by_kind.get(kind.kind_id)
            if kind_queue is None:
                self._queues_by_kind[kind.kind_id] = KindQueue(kind)
            else:
                kind_queue.reconfigure(kind)
        self.pool.reconfigure(service.upstreams, service.spill)

    def push(self, request: QueuedRequest, now_ms: int) -> Iterator[Shed]:
        """Queue a request; yield the request that is shed for it, if any.

        That is the request itself if no upstream is available or if the expected
        wait exceeds the time to its deadline.
        """
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
        """Remove a request if it waits, for example because it was cancelled."""
        if request.waiting:
            self._queues_by_kind[request.kind_id].discard(request)

    def take(self, now_ms: int) -> Assignment | Shed | None:
        """Return the next request to send or to shed, None if no slot is free.

        None is also returned if no request is waiting.
        """
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
        """Free the slot of an assignment, however it ended.

        ``ended`` is false if the upstream may still be running the request.
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
        """Update estimates from an answer; ``release`` is to be called as well.

        An attempt that was sent again may have waited for a lost datagram, so
        it raises the mean by a bounded step. It is not ignored, because a mean
        that is too short for the first copy to be answered would never rise.
        """
        self.pool.record_answer(assignment.slots)
        kind_queue = self._queues_by_kind[assignment.request.kind_id]
        elapsed_ms: float = now_ms - assignment.sent_ms
        if not sent_once:
            elapsed_ms = min(elapsed_ms, _MAX_RESENT_FACTOR * kind_queue.service_ms)
        kind_queue.observe_service(elapsed_ms)

    def observe_refusal(self, assignment: Assignment, now_ms: int) -> None:
        """Lower the limit of an upstream that refused a request before the start.

        ``release`` is to be called as well.
        """
        self.pool.record_refusal(assignment.slots, now_ms)

    def service_ms(self, kind_id: KindId) -> float:
        """Return the mean time that upstreams need for a kind of work."""
        return self._queues_by_kind[kind_id].service_ms

    def saturated(self) -> frozenset[KindId]:
        """Return the kinds whose backlog is too long for new flows."""
        return self._load.saturated()

    def drain_ms(self) -> int:
        """Return the expected time to serve all waiting requests."""
        return self._load.drain_ms()

    def _next_kind_queue(self) -> KindQueue | None:
        """Return the queue to serve next, None if no request is waiting.

        Kinds that are owed slot time by their floor come first, the one that
        is owed most before the others; then the most urgent kind.
        """
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
        """Return whether a request has too little time left to be sent.

        That is the case if nearly all service times are longer than the time
        left: a run that outlives its caller would also occupy the slot. With
        half of the usual time left a request is sent in any case, so that an
        estimate that is too high is corrected by its answer.
        """
        budget_ms = max(request.deadline_ms - request.arrived_ms, kind_queue.budget_ms)
        needed_ms = max(SEND_MARGIN_MS, min(kind_queue.upper_service_ms, budget_ms / 2))
        return request.deadline_ms - now_ms < needed_ms
