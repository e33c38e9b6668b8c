"""Dispatches queued requests to upstreams and releases slots."""

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
from lycheedeal.requests._attempts import Attempt, AttemptTable, has_open_attempt
from lycheedeal.requests._parts import split_body
from lycheedeal.requests._records import RequestRecord
from lycheedeal.requests._results import ResultStore
from lycheedeal.requests._states import ACTIVE_STATES, RequestState
from lycheedeal.requests._timers import (
    OverdueCheckDue,
    ResendDue,
    SlotReleaseDue,
    TimerQueue,
)

# Upstreams are asked to cancel at the deadline. If the reply is lost, the slot is
# released this long after the deadline; if the request still occupies it, the
# upstream refuses the next one.
_SLOT_GRACE_MS: Final = 2000
# An attempt is overdue after this multiple of the mean service time.
_OVERDUE_FACTOR: Final = 4
_MIN_OVERDUE_MS: Final = 100


class Dispatcher:
    """Holds the queue of each service and makes attempts from it."""

    def __init__(self, results: ResultStore, timers: TimerQueue) -> None:
        """Create a dispatcher without queues; they are added on first use."""
        self.attempts = AttemptTable(results.context.rng)
        self.queues_by_service: dict[ServiceNumber, ServiceQueue] = {}
        self.retry_budget = RetryBudget()
        self._results = results
        self._timers = timers
        self._published_by_service: dict[ServiceNumber, QueueMeasured] = {}

    def queue(self, service: Service) -> ServiceQueue:
        """Return the queue of a service; created on first use."""
        queue = self.queues_by_service.get(service.number)
        if queue is None:
            context = self._results.context
            queue = ServiceQueue(service, context.settings.zone, context.rng)
            self.queues_by_service[service.number] = queue
        return queue

    def enqueue(self, record: RequestRecord) -> Iterator[Effect]:
        """Queue a request whose body is complete, then dispatch the queue."""
        now_ms = self._results.now_ms()
        request = QueuedRequest(
            record.key,
            record.kind.kind_id,
            now_ms,
            record.deadline_ms,
        )
        record.queue_entry = request
        for shed in self.queue(record.service).push(request, now_ms):
            yield from self._shed(shed)
        yield from self.dispatch_queue(record.service.number)

    def dispatch_queue(self, number: ServiceNumber) -> Iterator[Effect]:
        """Dispatch requests of a service until no slot is free or none waits."""
        queue = self.queues_by_service[number]
        while True:
            match queue.take(self._results.now_ms()):
                case Shed() as shed:
                    yield from self._shed(shed)
                case Assignment() as assignment:
                    yield from self._send(queue, assignment)
                case None:
                    return

    def dispatch_all(self) -> Iterator[Effect]:
        """Dispatch the requests of every service.

        To be called regularly, because pauses of upstreams end with time.
        """
        for number in tuple(self.queues_by_service):
            yield from self.dispatch_queue(number)

    def dequeue(self, record: RequestRecord) -> None:
        """Remove a request from its queue, if it waits there."""
        if record.queue_entry is not None:
            self.queue(record.service).discard(record.queue_entry)
            record.queue_entry = None

    def cancel_attempts(self, record: RequestRecord) -> Iterator[Effect]:
        """Ask the upstreams to cancel all open attempts of a request."""
        for attempt in record.attempts:
            if attempt.open:
                yield from self.cancel_attempt(attempt)

    def cancel_attempt(self, attempt: Attempt) -> Iterator[Effect]:
        """Ask the upstream to cancel an attempt, which is then not resent."""
        attempt.cancel_requested = True
        yield SendToUpstream(attempt.upstream, CancelRun(attempt.attempt_id))

    def resend(self, attempt: Attempt) -> Iterator[Effect]:
        """Resend an attempt that has not been answered.

        The upstream starts an attempt only once. Has no effect if the attempt
        ended, was cancelled or is too close to its deadline.
        """
        now_ms = self._results.now_ms()
        if (
            not attempt.open
            or attempt.cancel_requested
            or _is_too_late(attempt, now_ms)
        ):
            return
        if attempt.record.state not in ACTIVE_STATES:
            return
        attempt.send_count += 1
        attempt.sent_ms = now_ms
        self._schedule_resend(attempt)
        # Once a part of the answer has arrived, a single part of the request is
        # enough to make the upstream send the whole answer again.
        parts = None if attempt.buffer is None else 1
        yield from islice(_run_messages(attempt), parts)

    def release_slot(self, attempt: Attempt, *, ended: bool = True) -> Iterator[Effect]:
        """Release the slot of an attempt and dispatch the queue.

        ``ended`` is false if the upstream may still be running the attempt. Has
        no effect if the slot has been released already.
        """
        if attempt.holds_slot:
            attempt.holds_slot = False
            queue = self.queue(attempt.record.service)
            queue.release(attempt.assignment, self._results.now_ms(), ended=ended)
            yield from self.dispatch_queue(attempt.record.service.number)

    def end_not_run(self, record: RequestRecord, error: ErrorKind) -> Iterator[Effect]:
        """End a request whose latest attempt did not run.

        Earlier attempts of an idempotent request may have run. If one is still
        open, the request waits for it; otherwise its outcome is unknown.
        """
        if has_open_attempt(record):
            self._results.table.change_state(record, RequestState.SENT)
        elif record.unresolved_error is None:
            yield from self._results.refuse(record, error)
        else:
            yield from self._results.end_unknown(record, None, record.unresolved_error)

    def publish_load(self) -> Iterator[Effect]:
        """Publish the load of queues that are saturated or no longer are.

        New flows wait while their kind is saturated.
        """
        for number, queue in self.queues_by_service.items():
            measured = QueueMeasured(number, queue.saturated(), queue.drain_ms())
            published = self._published_by_service.get(number)
            if measured.saturated or (published and published.saturated):
                self._published_by_service[number] = measured
                yield Publish(measured)

    def _shed(self, shed: Shed) -> Iterator[Effect]:
        record = self._results.table.find(shed.request.key)
        if record is not None:
            record.queue_entry = None
            yield from self.end_not_run(record, shed.error)

    def _send(self, queue: ServiceQueue, assignment: Assignment) -> Iterator[Effect]:
        now_ms = self._results.now_ms()
        record = self._results.table.find(assignment.request.key)
        if record is None or not self._results.table.change_state(
            record, RequestState.SENT
        ):
            queue.release(assignment, now_ms)
            return
        record.queue_entry = None
        if now_ms > record.deadline_ms - SEND_MARGIN_MS:
            queue.release(assignment, now_ms)
            yield from self.end_not_run(record, ErrorKind.DEADLINE_PASSED)
            return
        attempt = self.attempts.start(record, assignment)
        if record.attempt_count == 0:
            self.retry_budget.record_first_attempt()
        record.attempt_count += 1
        self._set_timers(attempt, queue)
        yield from _run_messages(attempt)

    def _set_timers(self, attempt: Attempt, queue: ServiceQueue) -> None:
        record = attempt.record
        self._timers.schedule(
            record.deadline_ms + _SLOT_GRACE_MS, SlotReleaseDue(attempt)
        )
        if record.kind.idempotent:
            overdue_ms = _OVERDUE_FACTOR * queue.service_ms(record.kind.kind_id)
            delay_ms = round(max(overdue_ms, _MIN_OVERDUE_MS))
            self._timers.schedule(
                attempt.assignment.sent_ms + delay_ms, OverdueCheckDue(attempt)
            )
        self._schedule_resend(attempt)

    def _schedule_resend(self, attempt: Attempt) -> None:
        queue = self.queue(attempt.record.service)
        mean_ms = queue.service_ms(attempt.record.kind.kind_id)
        delay_ms = resend_delay_ms(
            self._results.context.rng, mean_ms, attempt.send_count
        )
        due_ms = attempt.sent_ms + delay_ms
        if not _is_too_late(attempt, due_ms):
            self._timers.schedule(due_ms, ResendDue(attempt))


def _is_too_late(attempt: Attempt, when_ms: int) -> bool:
    return when_ms > attempt.record.deadline_ms - SEND_MARGIN_MS


def _run_messages(attempt: Attempt) -> Iterator[Effect]:
    record = attempt.record
    for part, parts, chunk in split_body(record.body):
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
