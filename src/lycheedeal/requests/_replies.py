"""Handles replies of upstreams to attempts, and the loss of upstreams."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.admission import backoff_ms
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Effect, UpstreamChanged
from lycheedeal.messages import RunAnswer, RunCancelled, RunRefused
from lycheedeal.model import Endpoint, UpstreamState
from lycheedeal.requests._attempts import Attempt, has_open_attempt
from lycheedeal.requests._dispatcher import Dispatcher
from lycheedeal.requests._parts import MAX_ANSWER_BYTES, MAX_PARTS, PartBuffer
from lycheedeal.requests._records import RequestRecord
from lycheedeal.requests._results import ResultStore
from lycheedeal.requests._states import RequestState
from lycheedeal.requests._timers import RetryDue, TimerQueue

# Limits the load of a request that every upstream refuses.
_MAX_ATTEMPTS: Final = 16
# Retries of an idempotent request whose earlier attempts may have run.
_MAX_RETRIES: Final = 3
# Errors that prove that an attempt was not started, also after a resend.
_NOT_STARTED_ERRORS: Final = frozenset(
    (
        ErrorKind.CANCELLED,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.QUEUE_FULL,
        ErrorKind.UPSTREAM_REFUSED,
    ),
)


class ReplyHandler:
    """Ends, retries or requeues requests by the replies of upstreams."""

    def __init__(
        self, results: ResultStore, dispatcher: Dispatcher, timers: TimerQueue
    ) -> None:
        """Create a handler for the records and attempts of these objects."""
        self._results = results
        self._dispatcher = dispatcher
        self._timers = timers

    def handle_answer(self, upstream: Endpoint, message: RunAnswer) -> Iterator[Effect]:
        """Store a part of an answer; send the answer once it is complete.

        A complete answer also cancels the other attempts of the request.
        """
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or not self._collect(attempt, message):
            return
        buffer = attempt.buffer
        if buffer is None or not buffer.complete:
            return
        record = attempt.record
        body = buffer.join()
        now_ms = self._results.now_ms()
        queue = self._dispatcher.queue(record.service)
        sent_once = attempt.send_count == 1
        queue.observe_answer(attempt.assignment, now_ms, sent_once=sent_once)
        self._close(attempt)
        self._dispatcher.dequeue(record)
        yield from self._results.answer(record, upstream, body)
        yield from self._dispatcher.cancel_attempts(record)
        yield from self._dispatcher.release_slot(attempt)

    def handle_refusal(
        self, upstream: Endpoint, message: RunRefused
    ) -> Iterator[Effect]:
        """Requeue or end a request that the upstream refused to start.

        If the refusal does not prove that the attempt was never started, the
        attempt is abandoned instead.
        """
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or attempt.buffer is not None:
            return
        if message.error is not ErrorKind.DEADLINE_PASSED:
            queue = self._dispatcher.queue(attempt.record.service)
            queue.observe_refusal(attempt.assignment, self._results.now_ms())
        if self._proves_not_run(attempt, message.error):
            self._close(attempt)
            yield from self._handle_not_run(attempt, message.error)
        else:
            yield from self._abandon(attempt, ErrorKind.UPSTREAM_LOST)
        yield from self._dispatcher.release_slot(attempt)

    def handle_cancelled(
        self, upstream: Endpoint, message: RunCancelled
    ) -> Iterator[Effect]:
        """Handle the cancellation of an attempt.

        If the upstream had started it, the attempt is abandoned; otherwise it
        counts as not run.
        """
        attempt = self._dispatcher.attempts.find(message.attempt_id, upstream)
        if attempt is None or attempt.buffer is not None:
            return
        if message.started:
            yield from self._abandon(attempt, ErrorKind.NO_ANSWER)
        else:
            self._close(attempt)
            yield from self._handle_not_run(attempt, ErrorKind.UPSTREAM_REFUSED)
        ended = not message.started
        yield from self._dispatcher.release_slot(attempt, ended=ended)

    def handle_upstream_changed(self, event: UpstreamChanged) -> Iterator[Effect]:
        """Abandon the attempts at an upstream that is gone or was replaced.

        Incarnation 0 means that the incarnation of the upstream is unknown.
        """
        gone = event.state is UpstreamState.GONE
        for attempt in self._dispatcher.attempts.open_at(event.endpoint):
            if attempt.record.service.number != event.service:
                continue
            replaced = event.incarnation not in {0, attempt.incarnation}
            if gone or replaced:
                yield from self._abandon(attempt, ErrorKind.UPSTREAM_LOST)
                yield from self._dispatcher.release_slot(attempt)

    def handle_overdue(self, attempt: Attempt) -> Iterator[Effect]:
        """Cancel and retry the attempt of an idempotent request that is overdue."""
        record = attempt.record
        if not attempt.open or record.state is not RequestState.SENT:
            return
        if self._take_retry(record):
            yield from self._dispatcher.cancel_attempt(attempt)
            self._schedule_retry(record)

    def _collect(self, attempt: Attempt, message: RunAnswer) -> bool:
        """Store a part of an answer; return whether it was stored.

        It is not if it is invalid, was received before or is too large.
        """
        if attempt.buffer is None:
            if not 1 <= message.parts <= MAX_PARTS:
                return False
            attempt.buffer = PartBuffer(message.parts)
        buffer = attempt.buffer
        if message.parts != buffer.parts or not 0 <= message.part < buffer.parts:
            return False
        size = len(message.body)
        if buffer.has_part(message.part) or buffer.size + size > MAX_ANSWER_BYTES:
            return False
        if not self._results.reserve(attempt.record, size):
            return False
        buffer.add(message.part, message.body)
        return True

    def _proves_not_run(self, attempt: Attempt, error: ErrorKind) -> bool:
        """Return whether a refusal proves that no copy of an attempt was started.

        An upstream process returns the errors in ``_NOT_STARTED_ERRORS`` only
        for attempts that name its incarnation, and never for an attempt that it
        started, until it drops its record of the attempt after the deadline. Any
        other error may come from a new process, while an earlier copy reached
        its predecessor.
        """
        if attempt.send_count == 1:
            return True
        if self._results.now_ms() >= attempt.record.deadline_ms:
            return False
        return error in _NOT_STARTED_ERRORS

    def _close(self, attempt: Attempt) -> None:
        attempt.open = False
        self._dispatcher.attempts.remove(attempt)

    def _handle_not_run(self, attempt: Attempt, error: ErrorKind) -> Iterator[Effect]:
        record = attempt.record
        if record.state is not RequestState.SENT or has_open_attempt(record):
            return
        if record.cancelled:
            yield from self._dispatcher.end_not_run(record, ErrorKind.CANCELLED)
        elif error is ErrorKind.DEADLINE_PASSED or self._is_last_attempt(record):
            yield from self._dispatcher.end_not_run(record, ErrorKind.UPSTREAM_REFUSED)
        else:
            self._results.table.change_state(record, RequestState.QUEUED)
            record.queue_entry = attempt.assignment.request
            self._dispatcher.queue(record.service).requeue(attempt.assignment)

    def _is_last_attempt(self, record: RequestRecord) -> bool:
        """Return whether a refused request has no time or attempts left."""
        late = self._results.now_ms() >= record.queue_deadline_ms
        return late or record.attempt_count >= _MAX_ATTEMPTS

    def _abandon(self, attempt: Attempt, error: ErrorKind) -> Iterator[Effect]:
        """Close an attempt that may have run, then retry or end its request.

        The attempt stays in the table, so a late answer is still accepted.
        """
        record = attempt.record
        attempt.open = False
        record.unresolved_error = error
        if record.state is not RequestState.SENT or has_open_attempt(record):
            return
        if self._take_retry(record):
            self._schedule_retry(record)
        else:
            yield from self._results.end_unknown(record, attempt.upstream, error)

    def _take_retry(self, record: RequestRecord) -> bool:
        """Take a retry from the budget; return False if the request cannot be retried.

        It can be if it is idempotent, was not cancelled, has enough time left for a
        usual run and was retried fewer than three times.
        """
        if not record.kind.idempotent or record.cancelled:
            return False
        queue = self._dispatcher.queue(record.service)
        needed_ms = queue.service_ms(record.kind.kind_id)
        if record.deadline_ms - self._results.now_ms() < needed_ms:
            return False
        if record.retry_count >= _MAX_RETRIES:
            return False
        return self._dispatcher.retry_budget.spend()

    def _schedule_retry(self, record: RequestRecord) -> None:
        delay_ms = backoff_ms(self._results.context.rng, record.retry_count)
        record.retry_count += 1
        self._results.table.change_state(record, RequestState.QUEUED)
        self._timers.schedule(self._results.now_ms() + delay_ms, RetryDue(record))
