"""Owner of requests: deduplicates, assembles, queues and ends them."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.admission import RequestKey
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Context, Effect
from lycheedeal.messages import CancelRequest, Request
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowFields,
    Service,
    ServiceNumber,
    WorkKind,
)
from lycheedeal.requests._attempts import has_open_attempt
from lycheedeal.requests._dispatcher import Dispatcher
from lycheedeal.requests._parts import MAX_PARTS, MAX_REQUEST_BYTES, PartBuffer
from lycheedeal.requests._records import RECORD_GRACE_MS, RequestRecord
from lycheedeal.requests._replies import ReplyHandler
from lycheedeal.requests._results import ResultStore
from lycheedeal.requests._states import ACTIVE_STATES, RequestState
from lycheedeal.requests._timers import (
    DeadlineDue,
    OverdueCheckDue,
    QueueDeadlineDue,
    ResendDue,
    RetryDue,
    SlotReleaseDue,
    Timer,
    TimerQueue,
)

# Longest time from the arrival of a request to its deadline.
_MAX_DEADLINE_MS: Final = 60_000
_WAITING_STATES: Final = frozenset((RequestState.ASSEMBLING, RequestState.QUEUED))


class RequestOwner:
    """Handles all requests that this process incarnation owns.

    ``observed_services`` holds the services whose upstreams this host observes;
    None until that is known. ``view`` is None until a configuration arrives.
    """

    def __init__(self, context: Context) -> None:
        """Create an owner without requests and without a configuration."""
        self.view: ConfigurationView | None = None
        self.observed_services: frozenset[ServiceNumber] | None = None
        self.stopping = False
        self.results = ResultStore(context)
        self._timers = TimerQueue()
        self.dispatcher = Dispatcher(self.results, self._timers)
        self.replies = ReplyHandler(self.results, self.dispatcher, self._timers)

    def handle_request(
        self,
        caller: Endpoint,
        message: Request,
        fields: FlowFields,
    ) -> Iterator[Effect]:
        """Handle one part of a request on a flow that this process opened."""
        key = (message.flow_id, message.number)
        record = self.results.table.find(key)
        if record is not None:
            yield from self._handle_known(record, caller, message)
            return
        error = self.results.table.find_refusal(key)
        if error is not None:
            yield self.results.send_outcome(caller, key, error)
            return
        yield from self._handle_new(caller, message, fields)

    def handle_cancel(
        self, caller: Endpoint, message: CancelRequest
    ) -> Iterator[Effect]:
        """Cancel a request, or ask its upstreams to cancel it if it was sent.

        A request that has ended gets its result again.
        """
        key = (message.flow_id, message.number)
        record = self.results.table.find(key)
        if record is None:
            error = self.results.table.find_refusal(key)
            if error is not None:
                yield self.results.send_outcome(caller, key, error)
            return
        if record.state not in ACTIVE_STATES:
            yield from self.results.resend(record, caller)
            return
        record.cancelled = True
        self.dispatcher.dequeue(record)
        yield from self.dispatcher.cancel_attempts(record)
        if record.state is not RequestState.SENT:
            yield from self.dispatcher.end_not_run(record, ErrorKind.CANCELLED)

    def run_due(self) -> Iterator[Effect]:
        """Run the timers that are due, drop expired records, then dispatch."""
        now_ms = self.results.now_ms()
        for timer in self._timers.pop_due(now_ms):
            yield from self._run_timer(timer)
        for record in self.results.table.expire(now_ms):
            yield from self._expire(record)
        yield from self.dispatcher.dispatch_all()

    def _handle_known(
        self,
        record: RequestRecord,
        caller: Endpoint,
        message: Request,
    ) -> Iterator[Effect]:
        if record.state is RequestState.ASSEMBLING:
            record.caller = caller
            yield from self._add_part(record, message)
        elif message.part == 0:
            # The result is sent once for each retransmission, not for each part.
            yield from self.results.resend(record, caller)

    def _handle_new(
        self,
        caller: Endpoint,
        message: Request,
        fields: FlowFields,
    ) -> Iterator[Effect]:
        key = (message.flow_id, message.number)
        now_ms = self.results.now_ms()
        late_ms = now_ms - message.deadline_ms
        if late_ms > RECORD_GRACE_MS:
            yield self.results.send_outcome(caller, key, ErrorKind.RECORD_EXPIRED)
        elif late_ms >= 0:
            yield self.results.send_outcome(caller, key, ErrorKind.DEADLINE_PASSED)
        elif -late_ms > _MAX_DEADLINE_MS:
            until_ms = now_ms + _MAX_DEADLINE_MS
            yield from self._refuse(caller, key, until_ms, ErrorKind.MALFORMED)
        else:
            yield from self._accept(caller, message, fields)

    def _accept(
        self,
        caller: Endpoint,
        message: Request,
        fields: FlowFields,
    ) -> Iterator[Effect]:
        key = (message.flow_id, message.number)
        service = self._service(fields)
        kind = None if service is None else service.kind(fields.kind_id)
        error = self._validation_error(message, service, kind)
        if error is not None or service is None or kind is None:
            error = error or ErrorKind.UNKNOWN_KIND
            yield from self._refuse(caller, key, message.deadline_ms, error)
            return
        record = RequestRecord(
            key=key,
            caller=caller,
            service=service,
            kind=kind,
            arrived_ms=self.results.now_ms(),
            deadline_ms=message.deadline_ms,
            buffer=PartBuffer(message.parts),
        )
        if self.results.table.add(record):
            yield from self._add_part(record, message)
            if record.state in ACTIVE_STATES:
                self._timers.schedule(
                    record.queue_deadline_ms, QueueDeadlineDue(record)
                )
                self._timers.schedule(record.deadline_ms, DeadlineDue(key))

    def _service(self, fields: FlowFields) -> Service | None:
        if self.view is None:
            return None
        return self.view.services_by_number.get(fields.service)

    def _validation_error(
        self,
        message: Request,
        service: Service | None,
        kind: WorkKind | None,
    ) -> ErrorKind | None:
        if message.parts > MAX_PARTS or len(message.body) > MAX_REQUEST_BYTES:
            return ErrorKind.OVERSIZED
        if not 0 <= message.part < message.parts:
            return ErrorKind.MALFORMED
        if self.stopping:
            return ErrorKind.OWNER_LEAVING
        if self.view is None:
            return ErrorKind.NOT_READY
        return self._configuration_error(service, kind)

    def _configuration_error(
        self,
        service: Service | None,
        kind: WorkKind | None,
    ) -> ErrorKind | None:
        if service is None:
            return ErrorKind.UNKNOWN_SERVICE
        if kind is None:
            return ErrorKind.UNKNOWN_KIND
        if self.observed_services is None or service.number in self.observed_services:
            return None
        # Another host owns the service now. This host does not observe the
        # upstreams, so the request could not be dispatched.
        return ErrorKind.OWNER_LEAVING

    def _add_part(self, record: RequestRecord, message: Request) -> Iterator[Effect]:
        buffer = record.buffer
        fits = message.parts == buffer.parts and 0 <= message.part < buffer.parts
        if not fits or message.deadline_ms != record.deadline_ms:
            return
        if buffer.has_part(message.part):
            return
        size = len(message.body)
        if buffer.size + size > MAX_REQUEST_BYTES:
            yield from self.results.refuse(record, ErrorKind.OVERSIZED)
        elif self.results.reserve(record, size):
            buffer.add(message.part, message.body)
            if buffer.complete:
                yield from self._enqueue_complete(record)
        else:
            yield from self.results.refuse(record, ErrorKind.QUEUE_FULL)

    def _enqueue_complete(self, record: RequestRecord) -> Iterator[Effect]:
        record.body = record.buffer.join()
        record.buffer = PartBuffer(0)
        self.results.table.change_state(record, RequestState.QUEUED)
        yield from self.dispatcher.enqueue(record)

    def _refuse(
        self,
        caller: Endpoint,
        key: RequestKey,
        until_ms: int,
        error: ErrorKind,
    ) -> Iterator[Effect]:
        yield from self.results.refuse_new(caller, key, until_ms, error)

    def _run_timer(self, timer: Timer) -> Iterator[Effect]:
        match timer:
            case DeadlineDue(key):
                yield from self._deadline_passed(key)
            case QueueDeadlineDue(record):
                yield from self._queue_deadline_passed(record)
            case OverdueCheckDue(attempt):
                yield from self.replies.handle_overdue(attempt)
            case ResendDue(attempt):
                yield from self.dispatcher.resend(attempt)
            case RetryDue(record):
                if record.state is RequestState.QUEUED and record.queue_entry is None:
                    yield from self.dispatcher.enqueue(record)
            case SlotReleaseDue(attempt):
                yield from self.dispatcher.release_slot(attempt, ended=False)

    def _queue_deadline_passed(self, record: RequestRecord) -> Iterator[Effect]:
        if record.state in _WAITING_STATES and not has_open_attempt(record):
            self.dispatcher.dequeue(record)
            yield from self.dispatcher.end_not_run(record, ErrorKind.DEADLINE_PASSED)

    def _deadline_passed(self, key: RequestKey) -> Iterator[Effect]:
        record = self.results.table.find(key)
        if record is None or record.state not in ACTIVE_STATES:
            return
        self.dispatcher.dequeue(record)
        if has_open_attempt(record):
            yield from self.dispatcher.cancel_attempts(record)
            upstream = record.attempts[-1].upstream
            error = ErrorKind.NO_ANSWER
            yield from self.results.end_unknown(record, upstream, error)
        else:
            yield from self.dispatcher.end_not_run(record, ErrorKind.DEADLINE_PASSED)

    def _expire(self, record: RequestRecord) -> Iterator[Effect]:
        self.results.release(record)
        for attempt in tuple(record.attempts):
            self.dispatcher.attempts.remove(attempt)
            yield from self.dispatcher.release_slot(attempt)
