"""Handles what upstreams say about attempts, and their loss."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.admission import backoff_ms
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Effect, UpstreamChanged
from lycheedeal.messages import RunAnswer, RunCancelled, RunRefused
from lycheedeal.model import Endpoint, UpstreamState
from lycheedeal.requests._attempts import Attempt, has_open
from lycheedeal.requests._dispatcher import Dispatcher
from lycheedeal.requests._ledger import Ledger
from lycheedeal.requests._parts import MAX_ANSWER_BYTES, MAX_PARTS, PartBuffer
from lycheedeal.requests._records import Record
from lycheedeal.requests._states import RequestState
from lycheedeal.requests._timers import RetryDue, Timers

# Bounds the load that a request makes which every upstream refuses.
_MOST_SENDS: Final = 16
_MOST_RETRIES: Final = 3
_NOT_STARTED: Final = frozenset(
    (
        ErrorKind.CANCELLED,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.QUEUE_FULL,
        ErrorKind.UPSTREAM_REFUSED,
    ),
)


class ReplyHandler:
    """Turns replies of upstreams into verdicts, retries and free slots."""

    def __init__(self, ledger: Ledger, dispatcher: Dispatcher, timers: Timers) -> None:
        """Work on the records and attempts of these."""
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._timers = timers

    def answered(self, upstream: Endpoint, message: RunAnswer) -> Iterator[Effect]:
        """Collect a part of an answer; give the answer when it is whole."""
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or not self._collect(attempt, message):
            return
        buffer = attempt.buffer
        if buffer is None or not buffer.whole:
            return
        record = attempt.record
        body = buffer.join()
        now_ms = self._ledger.now_ms()
        queue = self._dispatcher.queue(record.service)
        sent_once = attempt.copies == 1
        queue.observe_answer(attempt.assignment, now_ms, sent_once=sent_once)
        self._end(attempt)
        self._dispatcher.withdraw(record)
        yield from self._ledger.answer(record, upstream, body)
        yield from self._dispatcher.cancel_runs(record)
        yield from self._dispatcher.free_slot(attempt)

    def refused(self, upstream: Endpoint, message: RunRefused) -> Iterator[Effect]:
        """Take back a request that the upstream refused before the start.

        If the refusal does not prove that no copy was started, the attempt
        is given up instead.
        """
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or attempt.buffer is not None:
            return
        if message.error is not ErrorKind.DEADLINE_PASSED:
            queue = self._dispatcher.queue(attempt.record.service)
            queue.observe_refusal(attempt.assignment, self._ledger.now_ms())
        if self._proves_not_run(attempt, message.error):
            self._end(attempt)
            yield from self._after_not_run(attempt, message.error)
        else:
            yield from self._give_up(attempt, ErrorKind.UPSTREAM_LOST)
        yield from self._dispatcher.free_slot(attempt)

    def cancelled(self, upstream: Endpoint, message: RunCancelled) -> Iterator[Effect]:
        """Note that an attempt was cancelled, before or after its start."""
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or attempt.buffer is not None:
            return
        if message.started:
            yield from self._give_up(attempt, ErrorKind.NO_ANSWER)
        else:
            self._end(attempt)
            yield from self._after_not_run(attempt, ErrorKind.UPSTREAM_REFUSED)
        ended = not message.started
        yield from self._dispatcher.free_slot(attempt, ended=ended)

    def upstream_changed(self, event: UpstreamChanged) -> Iterator[Effect]:
        """Give up the attempts at an upstream that is gone or was replaced."""
        gone = event.state is UpstreamState.GONE
        for attempt in self._dispatcher.attempts.sent_to(event.endpoint):
            if attempt.record.service.number != event.service:
                continue
            replaced = event.incarnation not in {0, attempt.incarnation}
            if gone or replaced:
                yield from self._give_up(attempt, ErrorKind.UPSTREAM_LOST)
                yield from self._dispatcher.free_slot(attempt)

    def overdue(self, attempt: Attempt) -> Iterator[Effect]:
        """Retry an idempotent request whose attempt takes unusually long."""
        record = attempt.record
        if not attempt.open or record.state is not RequestState.SENT:
            return
        if self._may_retry(record):
            yield from self._dispatcher.cancel_run(attempt)
            self._retry_later(record)

    def _collect(self, attempt: Attempt, message: RunAnswer) -> bool:
        """Store a part of an answer; False if it is of no use."""
        if attempt.buffer is None:
            if not 1 <= message.parts <= MAX_PARTS:
                return False
            attempt.buffer = PartBuffer(message.parts)
        buffer = attempt.buffer
        if message.parts != buffer.parts or not 0 <= message.part < buffer.parts:
            return False
        size = len(message.body)
        if buffer.has(message.part) or buffer.size + size > MAX_ANSWER_BYTES:
            return False
        if not self._ledger.reserve(attempt.record, size):
            return False
        buffer.add(message.part, message.body)
        return True

    def _proves_not_run(self, attempt: Attempt, error: ErrorKind) -> bool:
        """Tell whether a refusal of any copy says that no copy was started.

        An upstream process gives the errors below only for attempts that name
        its own incarnation, and never for one that it started, until it
        forgets it after the deadline. Any other error may come from a process
        that took the place of the one that an earlier copy reached.
        """
        if attempt.copies == 1:
            return True
        if self._ledger.now_ms() >= attempt.record.deadline_ms:
            return False
        return error in _NOT_STARTED

    def _end(self, attempt: Attempt) -> None:
        attempt.open = False
        self._dispatcher.attempts.remove(attempt)

    def _after_not_run(self, attempt: Attempt, error: ErrorKind) -> Iterator[Effect]:
        record = attempt.record
        if record.state is not RequestState.SENT or has_open(record):
            return
        if record.cancelled:
            yield from self._dispatcher.not_run(record, ErrorKind.CANCELLED)
        elif error is ErrorKind.DEADLINE_PASSED or self._is_last_try(record):
            yield from self._dispatcher.not_run(record, ErrorKind.UPSTREAM_REFUSED)
        else:
            self._ledger.table.move(record, RequestState.QUEUED)
            record.queued = attempt.assignment.request
            self._dispatcher.queue(record.service).requeue(attempt.assignment)

    def _is_last_try(self, record: Record) -> bool:
        """Tell whether a refused request has no time or tries left to wait."""
        late = self._ledger.now_ms() >= record.wait_until_ms
        return late or record.sends >= _MOST_SENDS

    def _give_up(self, attempt: Attempt, error: ErrorKind) -> Iterator[Effect]:
        """Close an attempt that may have run; a late answer still counts."""
        record = attempt.record
        attempt.open = False
        record.unresolved = error
        if record.state is not RequestState.SENT or has_open(record):
            return
        if self._may_retry(record):
            self._retry_later(record)
        else:
            yield from self._ledger.leave_unknown(record, attempt.upstream, error)

    def _may_retry(self, record: Record) -> bool:
        if not record.kind.idempotent or record.cancelled:
            return False
        queue = self._dispatcher.queue(record.service)
        needed = queue.service_ms(record.kind.kind_id)
        if record.deadline_ms - self._ledger.now_ms() < needed:
            return False
        if record.retries >= _MOST_RETRIES:
            return False
        return self._dispatcher.retry_budget.spend()

    def _retry_later(self, record: Record) -> None:
        delay = backoff_ms(self._ledger.context.rng, record.retries)
        record.retries += 1
        self._ledger.table.move(record, RequestState.QUEUED)
        self._timers.set(self._ledger.now_ms() + delay, RetryDue(record))
