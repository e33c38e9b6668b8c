"""Simulated callers: single requests and long flows."""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from lycheedeal import messages
from lycheedeal.errors import ErrorKind, Verdict, answer_for
from lycheedeal.model import Endpoint, FlowId, KindId, RequestNumber
from scenarios._upstream import ENTRY_NUMBER

if TYPE_CHECKING:
    from scenarios._simulation import Simulation

# First delay; it grows with each retransmission of an ``Open``.
OPEN_RETRY_SECONDS = 0.25
REQUEST_RETRY_SECONDS = 0.5
KEEPALIVE_SECONDS = 1.0
# Upstreams push an entry every second, so a longer gap is a fault.
STALL_SECONDS = 8.0
# Wait after the deadline: an outcome sent at the deadline is still in flight.
OUTCOME_GRACE_SECONDS = 0.5


class Result(enum.Enum):
    """State or end of a submission or a call.

    SILENT: no outcome was received. GAVE_UP: the deadline passed without a
    submission in progress.
    """

    PENDING = 'pending'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    SILENT = 'silent'
    GAVE_UP = 'gave_up'


@dataclass
class Submission:
    """One request as sent to a host.

    A retry of a request that was not run is another submission, with a token
    of its own. ``submitted`` is virtual time.
    """

    token: bytes
    kind: str
    submitted: float
    result: Result = Result.PENDING
    error: ErrorKind | None = None


@dataclass
class CallRecord:
    """A unit of work that a caller submits until it is done or its deadline passes.

    Times are virtual. ``foreign_answers`` counts answers to another request,
    ``refusals`` counts refused openings and requests that were not run.
    """

    kind: str
    service: str
    started: float
    deadline: float
    result: Result = Result.PENDING
    finished: float = 0
    submissions: list[Submission] = field(default_factory=list)
    foreign_answers: int = 0
    refusals: int = 0


@dataclass
class RequestFlow:
    """A request flow, which several calls of a kind may share.

    ``submitted`` is the number of the last request on it.
    """

    flow_id: FlowId | None = None
    expires: float = 0
    submitted: int = 0


class RequestCall:
    """Opens a request flow, submits a request and retries it if it was not run."""

    def __init__(
        self,
        simulation: 'Simulation',
        service: str,
        kind: str,
        seconds: float,
        *,
        impatient: bool = False,
        reuse: bool = False,
    ) -> None:
        """Start a call with a deadline ``seconds`` from now.

        ``impatient`` callers retry after 50 ms whatever delay a host asks for;
        with ``reuse`` the call uses an open flow of its kind if there is one.
        """
        self._simulation = simulation
        self._impatient = impatient
        self._reuse = reuse
        self._request_flow = RequestFlow()
        self.endpoint = simulation.new_caller(self)
        now = simulation.time.now
        self.record = CallRecord(kind, service, now, now + seconds)
        simulation.calls.append(self.record)
        self._kind_id = simulation.kind_id(service, kind)
        self._address = simulation.service_address(service)
        self._nonce = 0
        self._flow_id: FlowId | None = None
        self._number = 0
        self._parts: dict[int, bytes] = {}
        self._submission: Submission | None = None
        simulation.time.call_at(
            self.record.deadline + OUTCOME_GRACE_SECONDS, self._expire
        )
        self._open()

    @property
    def _done(self) -> bool:
        return self.record.result is not Result.PENDING

    def receive(self, message: Any) -> None:
        """Handle a message from a host."""
        if self._done:
            return
        match message:
            case messages.Opened() as opened:
                if opened.nonce == self._nonce and self._flow_id is None:
                    self._handle_opened(opened)
            case messages.OpenRefused(nonce=nonce, retry_after_ms=delay):
                if nonce == self._nonce and self._flow_id is None:
                    self.record.refusals += 1
                    self._nonce = 0
                    self._retry_later(delay, self._open)
            case messages.Answer():
                self._handle_answer(message)
            case messages.Outcome():
                self._handle_outcome(message)

    def _open(self) -> None:
        if self._done:
            return
        shared = self._simulation.request_flows.get(self._flow_key)
        if self._reuse and shared and self._simulation.time.now < shared.expires:
            self._request_flow = shared
            self._flow_id = shared.flow_id
            self._submit()
            return
        self._nonce = self._simulation.rng.getrandbits(63)
        self._flow_id = None
        self._send_open(self._nonce, 0)

    def _send_open(self, nonce: int, attempt: int) -> None:
        if self._done or nonce != self._nonce or self._flow_id is not None:
            return
        message = messages.Open(nonce, self._kind_id, attempt)
        self._simulation.from_caller(self.endpoint, self._address, message)
        delay = (
            OPEN_RETRY_SECONDS
            * min(2**attempt, 4)
            * self._simulation.rng.uniform(0.8, 1.2)
        )
        self._simulation.time.call_later(
            delay, lambda: self._send_open(nonce, attempt + 1)
        )

    @property
    def _flow_key(self) -> tuple[str, str]:
        return self.record.service, self.record.kind

    def _handle_opened(self, opened: messages.Opened) -> None:
        self._flow_id = opened.flow_id
        expires = self._simulation.time.now + opened.ttl_ms / 1000
        self._request_flow = RequestFlow(opened.flow_id, expires)
        self._simulation.request_flows[self._flow_key] = self._request_flow
        self._submit()

    def _submit(self) -> None:
        self._request_flow.submitted += 1
        self._number = self._request_flow.submitted
        self._parts = {}
        token = self._simulation.new_token()
        self._submission = Submission(
            token, self.record.kind, self._simulation.time.now
        )
        self.record.submissions.append(self._submission)
        self._send_request(self._number)

    def _send_request(self, number: int) -> None:
        submission = self._submission
        if self._done or number != self._number or submission is None:
            return
        if submission.result is not Result.PENDING or self._flow_id is None:
            return
        start_unix_seconds = self._simulation.time.wall() - self._simulation.time.now
        body = self.record.service.encode() + b'/' + submission.token
        deadline_ms = int((start_unix_seconds + self.record.deadline) * 1000)
        half = len(body) // 2
        for part, content in enumerate((body[:half], body[half:])):
            message = messages.Request(
                self._flow_id, RequestNumber(number), deadline_ms, part, 2, content
            )
            self._simulation.from_caller(self.endpoint, self._address, message)
        delay = REQUEST_RETRY_SECONDS * self._simulation.rng.uniform(0.8, 1.2)
        self._simulation.time.call_later(delay, lambda: self._send_request(number))

    def _handle_answer(self, message: messages.Answer) -> None:
        submission = self._submission
        if message.flow_id != self._flow_id or message.number != self._number:
            return
        self._parts[message.part] = message.body
        if submission is None or len(self._parts) < message.parts:
            return
        token_received = b''.join(self._parts[part] for part in range(message.parts))
        if token_received != submission.token:
            self.record.foreign_answers += 1
        submission.result = Result.ANSWERED
        self._finish(Result.ANSWERED)

    def _handle_outcome(self, message: messages.Outcome) -> None:
        submission = self._submission
        if message.flow_id != self._flow_id or message.number != self._number:
            return
        if submission is None or submission.result is not Result.PENDING:
            return
        submission.error = message.error
        if answer_for(message.error).verdict is Verdict.NOT_RUN:
            submission.result = Result.NOT_RUN
            self._simulation.request_flows.pop(self._flow_key, None)
            self.record.refusals += 1
            self._nonce = 0
            if self._simulation.time.now >= self.record.deadline:
                self._finish(Result.GAVE_UP)
            else:
                self._retry_later(message.retry_after_ms, self._open)
        else:
            submission.result = Result.UNKNOWN
            self._finish(Result.UNKNOWN)

    def _retry_later(self, delay_ms: int, action: Any) -> None:
        delay = 0.05 if self._impatient else delay_ms / 1000
        self._simulation.time.call_later(delay, action)

    def _expire(self) -> None:
        if self._done:
            return
        submission = self._submission
        if submission is not None and submission.result is Result.PENDING:
            submission.result = Result.SILENT
            self._finish(Result.SILENT)
        else:
            self._finish(Result.GAVE_UP)

    def _finish(self, result: Result) -> None:
        self.record.result = result
        self.record.finished = self._simulation.time.now
        # The endpoint is kept for 30 s more, so that late messages still reach it.
        endpoint = self.endpoint
        self._simulation.time.call_later(
            30, lambda: self._simulation.drop_caller(endpoint)
        )


class FlowCaller:
    """Keeps a long flow open and checks that every entry arrives."""

    def __init__(self, simulation: 'Simulation', service: str, kind: str) -> None:
        """Create the caller and start to open its flow."""
        self._simulation = simulation
        self.kind = kind
        self.service = service
        self.endpoint = simulation.new_caller(self)
        self._kind_id: KindId = simulation.kind_id(service, kind)
        self._address: Endpoint = simulation.service_address(service)
        self._nonce = simulation.rng.getrandbits(63)
        self.flow_id: FlowId | None = None
        self.opened_at = -1.0
        self.break_cause: str | None = None
        self.broken_at = 0.0
        self.last_number = 0
        self.received = 0
        self._out_of_order: set[int] = set()
        self.longest_gap = 0.0
        self._last_progress = simulation.time.now
        simulation.flows.append(self)
        self._open(0)

    def receive(self, message: Any) -> None:
        """Handle a message from a host."""
        match message:
            case messages.Opened(nonce=nonce, flow_id=flow_id):
                if nonce == self._nonce and self.flow_id is None:
                    self.flow_id = flow_id
                    self.opened_at = self._simulation.time.now
                    self._last_progress = self.opened_at
                    self._keepalive()
            case messages.FlowBroken(flow_id=flow_id, error=error):
                if flow_id == self.flow_id and self.break_cause is None:
                    self._break(error.name)

    def receive_packet(self, flow_id: FlowId, payload: bytes) -> None:
        """Count an entry of the feed once all earlier ones have arrived."""
        if self._simulation.callers_by_flow.get(flow_id) != self.endpoint:
            self._simulation.foreign_packets += 1
        if flow_id != self.flow_id:
            return
        (number,) = ENTRY_NUMBER.unpack(payload)
        self._out_of_order.add(number)
        while self.last_number + 1 in self._out_of_order:
            self.last_number += 1
            self._out_of_order.remove(self.last_number)
            self.received += 1
            now = self._simulation.time.now
            self.longest_gap = max(self.longest_gap, now - self._last_progress)
            self._last_progress = now

    @property
    def has_stalled(self) -> bool:
        """Return whether the feed ever made no progress for too long."""
        return self.longest_gap > STALL_SECONDS

    def check_for_stall(self) -> None:
        """Mark the flow as broken if it is making no progress."""
        if self.flow_id is None or self.break_cause is not None:
            return
        gap = self._simulation.time.now - self._last_progress
        self.longest_gap = max(self.longest_gap, gap)
        if gap > STALL_SECONDS:
            self._break('SILENT')

    def _break(self, cause: str) -> None:
        self.break_cause = cause
        self.broken_at = self._simulation.time.now

    def _open(self, attempt: int) -> None:
        if self.flow_id is not None:
            return
        message = messages.Open(self._nonce, self._kind_id, attempt)
        self._simulation.from_caller(self.endpoint, self._address, message)
        delay = (
            OPEN_RETRY_SECONDS
            * min(2**attempt, 8)
            * self._simulation.rng.uniform(0.8, 1.2)
        )
        self._simulation.time.call_later(delay, lambda: self._open(attempt + 1))

    def _keepalive(self) -> None:
        if self.break_cause is not None or self.flow_id is None:
            return
        payload = ENTRY_NUMBER.pack(self.last_number)
        self._simulation.packet_from_caller(self.endpoint, self.flow_id, payload)
        delay = KEEPALIVE_SECONDS * self._simulation.rng.uniform(0.8, 1.2)
        self._simulation.time.call_later(delay, self._keepalive)
