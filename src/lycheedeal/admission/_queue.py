"""Queue of one service: which request goes to which upstream next."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.admission._lines import KindLine, QueuedRequest
from lycheedeal.admission._load import QueueLoad
from lycheedeal.admission._slots import UpstreamPool, UpstreamSlots
from lycheedeal.errors import ErrorKind
from lycheedeal.model import KindId, Service, Zone

# Nothing is handed over closer to its deadline than a datagram may take.
SEND_MARGIN_MS: Final = 5
_RESENT_FACTOR: Final = 2


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
        self._lines_by_kind: dict[KindId, KindLine] = {}
        self._load = QueueLoad(self._lines_by_kind, self.pool)
        self._accrued_ms = 0
        self.reconfigure(service)

    @property
    def count(self) -> int:
        """Number of waiting requests."""
        return sum(line.count for line in self._lines_by_kind.values())

    def reconfigure(self, service: Service) -> None:
        """Take over changed kinds and upstreams; known work keeps its line."""
        for kind in service.kinds:
            line = self._lines_by_kind.get(kind.kind_id)
            if line is None:
                self._lines_by_kind[kind.kind_id] = KindLine(kind)
            else:
                line.reconfigure(kind)
        self.pool.reconfigure(service.upstreams, service.spill)

    def push(self, request: QueuedRequest, now_ms: int) -> Iterator[Shed]:
        """Queue a request; yield what is refused for it, perhaps itself."""
        self._accrue(now_ms)
        line = self._lines_by_kind[request.kind_id]
        if self.pool.hopeless():
            yield Shed(request, ErrorKind.NO_UPSTREAM)
            return
        if self._load.start_wait_ms(line) > request.deadline_ms - now_ms:
            yield Shed(request, ErrorKind.PUSHED_BACK)
            return
        line.append(request)
        if self.count > self._load.places():
            yield Shed(self._load.victim(line).take_oldest(), ErrorKind.QUEUE_FULL)

    def put_back(self, assignment: Assignment) -> None:
        """Queue a request again that its upstream refused before the start."""
        request = assignment.request
        line = self._lines_by_kind[request.kind_id]
        line.put_back(request, self._load.lifo_depth())

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request, for example because its caller cancelled it."""
        if request.waiting:
            self._lines_by_kind[request.kind_id].discard(request)

    def take(self, now_ms: int) -> Assignment | Shed | None:
        """Return what to do next, or None until a slot or a request comes."""
        self._accrue(now_ms)
        line = self._next_line()
        slots = None if line is None else self.pool.choose(now_ms)
        if line is None or slots is None:
            return None
        request = line.take(self._load.lifo_depth())
        if self._too_late(line, request, now_ms):
            return Shed(request, ErrorKind.DEADLINE_PASSED)
        self.pool.occupy(slots)
        line.account.charge(line.service_ms)
        return Assignment(request, slots, line.service_ms, now_ms)

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
            assignment.slots.overran()
        line = self._lines_by_kind[assignment.request.kind_id]
        line.account.settle(assignment.expected_ms, now_ms - assignment.sent_ms)

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
        self.pool.answered(assignment.slots)
        line = self._lines_by_kind[assignment.request.kind_id]
        elapsed: float = now_ms - assignment.sent_ms
        if not sent_once:
            elapsed = min(elapsed, _RESENT_FACTOR * line.service_ms)
        line.observe_service(elapsed)

    def observe_refusal(self, assignment: Assignment, now_ms: int) -> None:
        """Learn from a refusal before the start; call besides ``release``."""
        self.pool.refused(assignment.slots, now_ms)

    def service_ms(self, kind_id: KindId) -> float:
        """Return the mean time that upstreams need for a kind of work."""
        return self._lines_by_kind[kind_id].service_ms

    def saturated(self) -> frozenset[KindId]:
        """Return the kinds whose backlog is too long for new flows."""
        return self._load.saturated()

    def drain_ms(self) -> int:
        """Return the expected time to serve all that waits."""
        return self._load.drain_ms()

    def _next_line(self) -> KindLine | None:
        waiting = [line for line in self._lines_by_kind.values() if line.count]
        owed = [line for line in waiting if line.account.owed > 0]
        if owed:
            return max(owed, key=lambda line: line.account.owed)
        return min(
            waiting,
            key=lambda line: (line.kind.priority, line.oldest_arrival_ms()),
            default=None,
        )

    def _accrue(self, now_ms: int) -> None:
        elapsed = max(0, now_ms - self._accrued_ms) if self._accrued_ms else 0
        self._accrued_ms = max(now_ms, self._accrued_ms)
        total = self.pool.total
        for line in self._lines_by_kind.values():
            if line.kind.floor:
                line.account.accrue(elapsed, total, line.count > 0)

    def _too_late(self, line: KindLine, request: QueuedRequest, now_ms: int) -> bool:
        """Tell whether a request would only waste the slot.

        A request is dropped if the rest of its time is shorter than nearly all
        service times: a run that outlives its caller also holds its slot.
        Requests with half of the usual time left always get a chance, so that
        a high estimate can correct itself.
        """
        budget = max(request.deadline_ms - request.arrived_ms, line.budget_ms)
        needed = max(SEND_MARGIN_MS, min(line.long_service_ms, budget / 2))
        return request.deadline_ms - now_ms < needed
