"""Hands queued requests to upstreams and frees slots."""

from collections.abc import Iterator
from itertools import islice
from typing import Final

from lycheedeal.admission import (
    SEND_MARGIN_MS,
    Assignment,
    QueuedRequest,
    RetryBudget,
    ServiceQueue,
    Shed,
    resend_delay_ms,
)
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Effect, Publish, QueueMeasured, SendToUpstream
from lycheedeal.messages import CancelRun, Run
from lycheedeal.model import Service, ServiceNumber
from lycheedeal.requests._attempts import Attempt, AttemptTable, has_open
from lycheedeal.requests._ledger import Ledger
from lycheedeal.requests._parts import split
from lycheedeal.requests._records import Record
from lycheedeal.requests._states import ACTIVE, RequestState
from lycheedeal.requests._timers import OverdueDue, ResendDue, SlotDue, Timers

# The upstream was asked to cancel at the deadline; if its reply is lost, the
# slot is freed after this time, and a refusal tells if it is still in use.
_SLOT_GRACE_MS: Final = 2000
_OVERDUE_FACTOR: Final = 4
_SHORTEST_OVERDUE_MS: Final = 100


class Dispatcher:
    """Queues by service and the attempts made from them."""

    def __init__(self, ledger: Ledger, timers: Timers) -> None:
        """Start without services."""
        self.attempts = AttemptTable(ledger.context.rng)
        self.queues_by_service: dict[ServiceNumber, ServiceQueue] = {}
        self.retry_budget = RetryBudget()
        self._ledger = ledger
        self._timers = timers
        self._reported: dict[ServiceNumber, QueueMeasured] = {}

    def queue(self, service: Service) -> ServiceQueue:
        """Return the queue of a service, made when first needed."""
        queue = self.queues_by_service.get(service.number)
        if queue is None:
            context = self._ledger.context
            queue = ServiceQueue(service, context.settings.zone, context.rng)
            self.queues_by_service[service.number] = queue
        return queue

    def enqueue(self, record: Record) -> Iterator[Effect]:
        """Queue a whole request and dispatch what is possible."""
        now_ms = self._ledger.now_ms()
        request = QueuedRequest(
            record.key,
            record.kind.kind_id,
            now_ms,
            record.deadline_ms,
        )
        record.queued = request
        for shed in self.queue(record.service).push(request, now_ms):
            yield from self._shed(shed)
        yield from self.pump(record.service.number)

    def pump(self, number: ServiceNumber) -> Iterator[Effect]:
        """Dispatch until no slot is free or nothing waits."""
        queue = self.queues_by_service[number]
        while True:
            match queue.take(self._ledger.now_ms()):
                case Shed() as shed:
                    yield from self._shed(shed)
                case Assignment() as assignment:
                    yield from self._send(queue, assignment)
                case None:
                    return

    def pump_all(self) -> Iterator[Effect]:
        """Dispatch for every service; pauses of upstreams may be over."""
        for number in tuple(self.queues_by_service):
            yield from self.pump(number)

    def withdraw(self, record: Record) -> None:
        """Take a record out of its queue, if it is there."""
        if record.queued is not None:
            self.queue(record.service).discard(record.queued)
            record.queued = None

    def cancel_runs(self, record: Record) -> Iterator[Effect]:
        """Ask the upstreams to cancel the open attempts of a record."""
        for attempt in record.attempts:
            if attempt.open:
                yield from self.cancel_run(attempt)

    def cancel_run(self, attempt: Attempt) -> Iterator[Effect]:
        """Ask the upstream to cancel an attempt; it is not sent again."""
        attempt.cancelling = True
        yield SendToUpstream(attempt.upstream, CancelRun(attempt.attempt_id))

    def resend(self, attempt: Attempt) -> Iterator[Effect]:
        """Send an unanswered attempt again; the upstream starts it only once."""
        now_ms = self._ledger.now_ms()
        if not attempt.open or attempt.cancelling or _is_too_late(attempt, now_ms):
            return
        if attempt.record.state not in ACTIVE:
            return
        attempt.copies += 1
        attempt.sent_ms = now_ms
        self._resend_later(attempt)
        # Once a part of the answer is there, one part asks for all of it again.
        parts = None if attempt.buffer is None else 1
        yield from islice(_run_parts(attempt), parts)

    def free_slot(self, attempt: Attempt, *, ended: bool = True) -> Iterator[Effect]:
        """Free the slot of an attempt and dispatch what waits for it.

        ``ended`` is false if the upstream may still run it.
        """
        if attempt.holds_slot:
            attempt.holds_slot = False
            queue = self.queue(attempt.record.service)
            queue.release(attempt.assignment, self._ledger.now_ms(), ended=ended)
            yield from self.pump(attempt.record.service.number)

    def not_run(self, record: Record, error: ErrorKind) -> Iterator[Effect]:
        """End a request of which this try did not run.

        Earlier tries of an idempotent request may have run; then the verdict
        waits for them or stays unknown.
        """
        if has_open(record):
            self._ledger.table.move(record, RequestState.SENT)
        elif record.unresolved is None:
            yield from self._ledger.refuse(record, error)
        else:
            yield from self._ledger.leave_unknown(record, None, record.unresolved)

    def measure(self) -> Iterator[Effect]:
        """Report the queues on which new flows have to wait, or no longer."""
        for number, queue in self.queues_by_service.items():
            measured = QueueMeasured(number, queue.saturated(), queue.drain_ms())
            reported = self._reported.get(number)
            if measured.saturated or (reported and reported.saturated):
                self._reported[number] = measured
                yield Publish(measured)

    def _shed(self, shed: Shed) -> Iterator[Effect]:
        record = self._ledger.table.find(shed.request.key)
        if record is not None:
            record.queued = None
            yield from self.not_run(record, shed.error)

    def _send(self, queue: ServiceQueue, assignment: Assignment) -> Iterator[Effect]:
        now_ms = self._ledger.now_ms()
        record = self._ledger.table.find(assignment.request.key)
        if record is None or not self._ledger.table.move(record, RequestState.SENT):
            queue.release(assignment, now_ms)
            return
        record.queued = None
        if now_ms > record.deadline_ms - SEND_MARGIN_MS:
            queue.release(assignment, now_ms)
            yield from self.not_run(record, ErrorKind.DEADLINE_PASSED)
            return
        attempt = self.attempts.start(record, assignment)
        if record.sends == 0:
            self.retry_budget.record_first_attempt()
        record.sends += 1
        self._set_timers(attempt, queue)
        yield from _run_parts(attempt)

    def _set_timers(self, attempt: Attempt, queue: ServiceQueue) -> None:
        record = attempt.record
        self._timers.set(record.deadline_ms + _SLOT_GRACE_MS, SlotDue(attempt))
        if record.kind.idempotent:
            usual = _OVERDUE_FACTOR * queue.service_ms(record.kind.kind_id)
            delay = round(max(usual, _SHORTEST_OVERDUE_MS))
            self._timers.set(attempt.assignment.sent_ms + delay, OverdueDue(attempt))
        self._resend_later(attempt)

    def _resend_later(self, attempt: Attempt) -> None:
        queue = self.queue(attempt.record.service)
        usual = queue.service_ms(attempt.record.kind.kind_id)
        delay = resend_delay_ms(self._ledger.context.rng, usual, attempt.copies)
        due_ms = attempt.sent_ms + delay
        if not _is_too_late(attempt, due_ms):
            self._timers.set(due_ms, ResendDue(attempt))


def _is_too_late(attempt: Attempt, when_ms: int) -> bool:
    return when_ms > attempt.record.deadline_ms - SEND_MARGIN_MS


def _run_parts(attempt: Attempt) -> Iterator[Effect]:
    record = attempt.record
    for part, parts, chunk in split(record.body):
        yield SendToUpstream(
            attempt.upstream,
            Run(
                attempt_id=attempt.attempt_id,
                service=record.service.name,
                incarnation=attempt.incarnation,
                kind_id=record.kind.kind_id,
                deadline_ms=record.deadline_ms,
                part=part,
                parts=parts,
                body=chunk,
            ),
        )
