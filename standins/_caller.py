"""Plug-ins of the caller stand-in: long feeds and requests of one service.

A caller is one UDP socket with any number of flows. Importing the module
registers the plug-ins.
"""

import math
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from lycheedeal import messages
from lycheedeal.errors import ErrorKind, Verdict, answer_for
from lycheedeal.model import Endpoint, FlowId, KindId, RequestNumber, ServiceName
from standins import _bodies
from standins._core import (
    Clock,
    DispatchLater,
    Effect,
    LogRecord,
    MessageReceived,
    PacketReceived,
    PluginSpec,
    Send,
    SendPacket,
    Stopping,
    register,
)

PROGRAM: Final = 'caller'
_MS_PER_SECOND: Final = 1000
_NONCE_BITS: Final = 64
_FIRST_RETRY_SECONDS: Final = 0.25
_BACKOFF_FACTOR: Final = 1.5
_MAX_OPEN_RETRY_SECONDS: Final = 2.0
_MAX_REQUEST_RETRY_SECONDS: Final = 1.0
_KEEPALIVE_SECONDS: Final = 1.0
# Upstreams echo keepalives, so a feed without any packet for this long is stalled.
_STALL_SECONDS: Final = 10.0
# Wait after the deadline: the owner reports the outcome at the deadline, and the
# report may still be in flight.
_OUTCOME_GRACE_SECONDS: Final = 0.5
# A request flow without any message for this long gets no further requests: its
# owner may be gone, and a new flow is assigned to another host.
_OWNER_SILENCE_SECONDS: Final = 2.0
# Offset of the owner's address in a flow id. Callers treat flow ids as opaque;
# the stand-in logs the owner so that a lost request can be traced to a host.
_OWNER_FIELD: Final = struct.Struct('!8x4sH')
# Causes in the log that the caller itself found; the others are names of ErrorKind.
_STALLED: Final = 'STALLED'
_NO_OUTCOME: Final = 'NO_OUTCOME'
_BAD_ANSWER: Final = 'BAD_ANSWER'


@unique
class RequestOutcome(Enum):
    """Outcome of one submitted request as the caller sees it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FOREIGN_OR_TORN = 'foreign_or_torn'
    NOT_SENT = 'not_sent'


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Service of one caller; ``name`` is the unique prefix of its tokens."""

    name: str
    service: ServiceName
    address: Endpoint


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """How requests of one kind are sent.

    ``timeout`` is the time from submission to the deadline, in seconds;
    ``resubmissions`` limits how often a request is submitted again after it
    was not run, or after an unknown outcome if it is idempotent.
    """

    kind_id: KindId
    idempotent: bool
    body_size: int
    timeout: float
    resubmissions: int = 3


@dataclass(slots=True)
class Context:
    """State shared by the plug-ins of one caller."""

    settings: CallerSettings
    clock: Clock
    open_feeds: int = 0
    pending: int = 0

    def nonce(self) -> int:
        """Return a random number that identifies the opening of one flow."""
        return self.clock.rng.getrandbits(_NONCE_BITS)

    def jitter(self, seconds: float) -> float:
        """Return a delay with a random deviation of up to 25% either way."""
        return seconds * (0.75 + self.clock.rng.random() / 2)


@dataclass(frozen=True, slots=True)
class OpenFeed:
    """Opens a long feed and reopens it whenever it breaks."""

    kind_id: KindId


@dataclass(frozen=True, slots=True)
class Submit:
    """Submits a request; ``submission`` is the number of earlier submissions."""

    work: WorkSettings
    submission: int = 0


@dataclass(frozen=True, slots=True)
class OpenDue:
    """It is time to send an ``Open`` unless it has been answered."""

    nonce: int
    attempt: int


@dataclass(frozen=True, slots=True)
class KeepaliveDue:
    """The next keepalive of a feed is due."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class ResendDue:
    """It is time to resend a request unless it has ended.

    ``delay`` is the next retransmission delay in seconds.
    """

    token: str
    delay: float


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """The deadline of a request passed, with the wait for a late outcome."""

    token: str


class FlowOpener:
    """Opens flows: sends ``Open`` with back-off until it is answered."""

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the caller's plug-ins."""
        self._context = context
        self._kinds_by_nonce: dict[int, KindId] = {}

    def start(self, kind_id: KindId, delay: float = 0) -> Iterator[Effect]:
        """Open a flow, now or after a delay in seconds."""
        nonce = self._context.nonce()
        self._kinds_by_nonce[nonce] = kind_id
        if delay:
            yield DispatchLater(delay, OpenDue(nonce, 0))
        else:
            yield from self.resend(nonce, 0)

    def resend(self, nonce: int, attempt: int) -> Iterator[Effect]:
        """Send an ``Open`` unless it has been answered; schedule the next one."""
        kind_id = self._kinds_by_nonce.get(nonce)
        if kind_id is None:
            return
        message = messages.Open(nonce, kind_id, attempt)
        yield Send(self._context.settings.address, message)
        delay = min(
            _FIRST_RETRY_SECONDS * _BACKOFF_FACTOR**attempt, _MAX_OPEN_RETRY_SECONDS
        )
        yield DispatchLater(self._context.jitter(delay), OpenDue(nonce, attempt + 1))

    def take_kind(self, nonce: int) -> KindId | None:
        """Remove an opening and return its kind; None if it is not pending."""
        return self._kinds_by_nonce.pop(nonce, None)

    def handle_refusal(self, message: messages.OpenRefused) -> Iterator[Effect]:
        """Open a new flow after the retry delay named by the refusal."""
        kind_id = self.take_kind(message.nonce)
        if kind_id is None:
            return
        yield LogRecord('open_refused', {'kind': kind_id, 'error': message.error.name})
        delay = max(message.retry_after_ms / _MS_PER_SECOND, _FIRST_RETRY_SECONDS)
        yield from self.start(kind_id, self._context.jitter(delay))


@dataclass(slots=True)
class Feed:
    """An open feed; times are monotonic.

    Every entry up to ``last_number`` was received; ``out_of_order`` holds the
    numbers of later ones.
    """

    kind_id: KindId
    opened_at: float
    last_heard_at: float
    last_entry_at: float
    last_number: int = 0
    received: int = 0
    longest_gap: float = 0
    out_of_order: set[int] = field(default_factory=set)

    def add_entry(self, number: int, now: float) -> None:
        """Count an entry unless it was received before."""
        if number <= self.last_number or number in self.out_of_order:
            return
        self.received += 1
        self.longest_gap = max(self.longest_gap, now - self.last_entry_at)
        self.last_entry_at = now
        self.out_of_order.add(number)
        while self.last_number + 1 in self.out_of_order:
            self.last_number += 1
            self.out_of_order.remove(self.last_number)

    def missing_count(self) -> int:
        """Return how many entries below the highest number were not received."""
        highest = max(self.out_of_order, default=self.last_number)
        return highest - self.last_number - len(self.out_of_order)


class FeedsPlugin:
    """Keeps long feeds open, counts their entries and logs how they end."""

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the caller's plug-ins."""
        self._context = context
        self._opener = FlowOpener(context)
        self._feeds_by_flow: dict[FlowId, Feed] = {}

    def handle(
        self,
        event: OpenFeed
        | OpenDue
        | KeepaliveDue
        | MessageReceived
        | PacketReceived
        | Stopping,
    ) -> Iterator[Effect]:
        """Open feeds, send keepalives and count entries."""
        match event:
            case OpenFeed(kind_id):
                yield from self._opener.start(kind_id)
            case OpenDue(nonce, attempt):
                yield from self._opener.resend(nonce, attempt)
            case KeepaliveDue(flow_id):
                yield from self._keep_alive(flow_id)
            case MessageReceived(_, messages.Opened(nonce, flow_id)):
                yield from self._handle_opened(nonce, flow_id)
            case MessageReceived(_, messages.OpenRefused() as refusal):
                yield from self._opener.handle_refusal(refusal)
            case MessageReceived(_, messages.FlowBroken(flow_id, error)):
                yield from self._handle_broken(flow_id, error.name)
            case PacketReceived(_, flow_id, payload):
                self._handle_packet(flow_id, payload)
            case Stopping():
                yield from self._close_feeds()
        self._context.open_feeds = len(self._feeds_by_flow)

    def _handle_opened(self, nonce: int, flow_id: FlowId) -> Iterator[Effect]:
        kind_id = self._opener.take_kind(nonce)
        if kind_id is None:
            return
        now = self._context.clock.monotonic()
        self._feeds_by_flow[flow_id] = Feed(kind_id, now, now, now)
        yield LogRecord('flow_opened', {'flow_id': flow_id.hex(), 'kind': kind_id})
        yield from self._keep_alive(flow_id)

    def _keep_alive(self, flow_id: FlowId) -> Iterator[Effect]:
        feed = self._feeds_by_flow.get(flow_id)
        if feed is None:
            return
        if self._context.clock.monotonic() - feed.last_heard_at > _STALL_SECONDS:
            yield from self._handle_broken(flow_id, _STALLED)
            return
        settings = self._context.settings
        keepalive = _bodies.Keepalive(feed.last_number, settings.service)
        payload = _bodies.build_keepalive(keepalive)
        yield SendPacket(settings.address, flow_id, payload)
        delay = self._context.jitter(_KEEPALIVE_SECONDS)
        yield DispatchLater(delay, KeepaliveDue(flow_id))

    def _handle_packet(self, flow_id: FlowId, payload: bytes) -> None:
        feed = self._feeds_by_flow.get(flow_id)
        entry = _bodies.read_entry(payload)
        if feed is None or entry is None:
            return
        now = self._context.clock.monotonic()
        feed.last_heard_at = now
        if entry.text:
            feed.add_entry(entry.number, now)

    def _handle_broken(self, flow_id: FlowId, cause: str) -> Iterator[Effect]:
        feed = self._feeds_by_flow.pop(flow_id, None)
        if feed is None:
            return
        yield self._end_record(flow_id, feed, cause)
        yield from self._opener.start(feed.kind_id)

    def _close_feeds(self) -> Iterator[Effect]:
        for flow_id, feed in self._feeds_by_flow.items():
            yield self._end_record(flow_id, feed, '')
            yield Send(self._context.settings.address, messages.CloseFlow(flow_id))
        self._feeds_by_flow.clear()

    def _end_record(self, flow_id: FlowId, feed: Feed, cause: str) -> LogRecord:
        now = self._context.clock.monotonic()
        return LogRecord(
            'flow_ended',
            {
                'flow_id': flow_id.hex(),
                'kind': feed.kind_id,
                'cause': cause,
                'received': feed.received,
                'missing': feed.missing_count(),
                'silent_seconds': now - feed.last_heard_at,
                'longest_gap': max(feed.longest_gap, now - feed.last_entry_at),
            },
        )


@dataclass(slots=True)
class PendingRequest:
    """A request without an outcome.

    ``flow_id`` is None and ``number`` 0 until a flow is open for it.
    """

    token: str
    work: WorkSettings
    submission: int
    body: bytes
    submitted_at: float
    deadline_ms: int
    flow_id: FlowId | None = None
    number: RequestNumber = RequestNumber(0)
    answer_parts: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class RequestFlow:
    """A flow for requests of one kind.

    ``flow_id`` is None while the flow opens; ``waiting`` holds the tokens of
    requests to be sent once it is open. Times are monotonic.
    """

    flow_id: FlowId | None = None
    last_heard_at: float = 0
    expires_at: float = math.inf
    next_number: int = 1
    waiting: list[str] = field(default_factory=list)


class RequestsPlugin:
    """Submits requests and resends each until it has an answer or outcome."""

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the caller's plug-ins."""
        self._context = context
        self._opener = FlowOpener(context)
        self._flows_by_kind: dict[KindId, RequestFlow] = {}
        self._requests_by_token: dict[str, PendingRequest] = {}
        self._tokens_by_key: dict[tuple[FlowId, RequestNumber], str] = {}
        # Includes flows no longer used, whose answers may arrive late.
        self._own_flows: set[FlowId] = set()
        self._submitted = 0

    def handle(
        self,
        event: Submit | OpenDue | ResendDue | RequestExpired | MessageReceived,
    ) -> Iterator[Effect]:
        """Submit and resend requests; handle answers, outcomes and expiry."""
        match event:
            case Submit(work, submission):
                yield from self._submit(work, submission)
            case OpenDue(nonce, attempt):
                yield from self._opener.resend(nonce, attempt)
            case ResendDue(token, delay):
                yield from self._send_request(token, delay)
            case RequestExpired(token):
                yield from self._expire(token)
            case MessageReceived(_, message):
                yield from self._handle_message(message)
        self._context.pending = len(self._requests_by_token)

    def _handle_message(self, message: object) -> Iterator[Effect]:
        match message:
            case messages.Opened(nonce, flow_id, ttl_ms):
                yield from self._handle_opened(nonce, flow_id, ttl_ms)
            case messages.OpenRefused() as refusal:
                yield from self._opener.handle_refusal(refusal)
            case messages.Answer() as answer:
                yield from self._handle_answer(answer)
            case messages.Outcome() as outcome:
                yield from self._handle_outcome(outcome)
            case messages.FlowBroken(flow_id, error):
                yield from self._handle_broken(flow_id, error)

    def _submit(self, work: WorkSettings, submission: int) -> Iterator[Effect]:
        self._submitted += 1
        settings = self._context.settings
        clock = self._context.clock
        token = f'{settings.name}-{self._submitted}'
        head = _bodies.RequestHead(token, settings.service)
        request = PendingRequest(
            token=token,
            work=work,
            submission=submission,
            body=_bodies.build_request(head, work.body_size),
            submitted_at=clock.monotonic(),
            deadline_ms=int((clock.wall() + work.timeout) * _MS_PER_SECOND),
        )
        self._requests_by_token[token] = request
        yield LogRecord(
            'request_submitted',
            {'token': token, 'kind': work.kind_id, 'idempotent': work.idempotent},
        )
        yield DispatchLater(
            work.timeout + _OUTCOME_GRACE_SECONDS, RequestExpired(token)
        )
        flow = self._flows_by_kind.get(work.kind_id)
        if flow is None or clock.monotonic() >= flow.expires_at:
            flow = RequestFlow()
            self._flows_by_kind[work.kind_id] = flow
            yield from self._opener.start(work.kind_id)
        if flow.flow_id is None:
            flow.waiting.append(token)
        else:
            yield from self._assign_number(flow, flow.flow_id, request)

    def _handle_opened(
        self, nonce: int, flow_id: FlowId, ttl_ms: int
    ) -> Iterator[Effect]:
        kind_id = self._opener.take_kind(nonce)
        if kind_id is None:
            return
        flow = self._flows_by_kind[kind_id]
        flow.flow_id = flow_id
        flow.last_heard_at = self._context.clock.monotonic()
        if ttl_ms:
            flow.expires_at = flow.last_heard_at + ttl_ms / _MS_PER_SECOND
        self._own_flows.add(flow_id)
        waiting, flow.waiting = flow.waiting, []
        for token in waiting:
            request = self._requests_by_token.get(token)
            if request is not None:
                yield from self._assign_number(flow, flow_id, request)

    def _assign_number(
        self,
        flow: RequestFlow,
        flow_id: FlowId,
        request: PendingRequest,
    ) -> Iterator[Effect]:
        request.flow_id = flow_id
        request.number = RequestNumber(flow.next_number)
        flow.next_number += 1
        self._tokens_by_key[flow_id, request.number] = request.token
        yield from self._send_request(request.token, _FIRST_RETRY_SECONDS)

    def _send_request(self, token: str, delay: float) -> Iterator[Effect]:
        request = self._requests_by_token.get(token)
        if request is None or request.flow_id is None:
            return
        self._drop_if_silent(request, request.flow_id)
        parts = _bodies.split_parts(request.body)
        for part, body in enumerate(parts):
            message = messages.Request(
                flow_id=request.flow_id,
                number=request.number,
                deadline_ms=request.deadline_ms,
                part=part,
                parts=len(parts),
                body=body,
            )
            yield Send(self._context.settings.address, message)
        next_delay = min(delay * _BACKOFF_FACTOR, _MAX_REQUEST_RETRY_SECONDS)
        yield DispatchLater(self._context.jitter(delay), ResendDue(token, next_delay))

    def _drop_if_silent(self, request: PendingRequest, flow_id: FlowId) -> None:
        flow = self._flows_by_kind.get(request.work.kind_id)
        if flow is None or flow.flow_id != flow_id:
            return
        silent_since = max(flow.last_heard_at, request.submitted_at)
        if self._context.clock.monotonic() - silent_since > _OWNER_SILENCE_SECONDS:
            self._drop_flow(flow_id)

    def _handle_answer(self, answer: messages.Answer) -> Iterator[Effect]:
        if answer.flow_id not in self._own_flows:
            yield LogRecord('foreign_answer', {'flow_id': answer.flow_id.hex()})
            return
        request = self._find_request(answer.flow_id, answer.number)
        if request is None:
            return
        request.answer_parts[answer.part] = answer.body
        if len(request.answer_parts) < answer.parts:
            return
        complete_answer = b''.join(
            body for _, body in sorted(request.answer_parts.items())
        )
        if _bodies.is_valid_answer(request.body, complete_answer):
            yield from self._finish(request, RequestOutcome.ANSWERED, '')
        else:
            yield from self._finish(
                request,
                RequestOutcome.FOREIGN_OR_TORN,
                _BAD_ANSWER,
            )

    def _handle_outcome(self, message: messages.Outcome) -> Iterator[Effect]:
        request = self._find_request(message.flow_id, message.number)
        if request is None:
            return
        outcome = _outcome_of(message.error)
        yield from self._finish(request, outcome, message.error.name)
        if message.error in {ErrorKind.OWNER_LEAVING, ErrorKind.OWNER_LOST}:
            self._drop_flow(message.flow_id)
        if outcome is RequestOutcome.NOT_RUN or request.work.idempotent:
            yield from self._resubmit(request, message.retry_after_ms / _MS_PER_SECOND)

    def _resubmit(self, request: PendingRequest, delay: float) -> Iterator[Effect]:
        if request.submission < request.work.resubmissions:
            resubmission = Submit(request.work, request.submission + 1)
            yield DispatchLater(
                self._context.jitter(max(delay, _FIRST_RETRY_SECONDS)), resubmission
            )

    def _handle_broken(self, flow_id: FlowId, error: ErrorKind) -> Iterator[Effect]:
        self._drop_flow(flow_id)
        outcome = _outcome_of(error)
        for request in tuple(self._requests_by_token.values()):
            if request.flow_id == flow_id:
                yield from self._finish(request, outcome, error.name)

    def _expire(self, token: str) -> Iterator[Effect]:
        request = self._requests_by_token.get(token)
        if request is None:
            return
        if request.flow_id is None:
            yield from self._finish(request, RequestOutcome.NOT_SENT, _NO_OUTCOME)
            return
        yield from self._finish(request, RequestOutcome.UNKNOWN, _NO_OUTCOME)
        # A live owner reports by the deadline at the latest, so this one is gone.
        self._drop_flow(request.flow_id)
        if request.work.idempotent:
            yield from self._resubmit(request, 0)

    def _find_request(
        self,
        flow_id: FlowId,
        number: RequestNumber,
    ) -> PendingRequest | None:
        for flow in self._flows_by_kind.values():
            if flow.flow_id == flow_id:
                flow.last_heard_at = self._context.clock.monotonic()
        token = self._tokens_by_key.get((flow_id, number))
        return None if token is None else self._requests_by_token.get(token)

    def _drop_flow(self, flow_id: FlowId) -> None:
        for kind_id, flow in tuple(self._flows_by_kind.items()):
            if flow.flow_id == flow_id:
                self._flows_by_kind.pop(kind_id)

    def _finish(
        self,
        request: PendingRequest,
        outcome: RequestOutcome,
        error: str,
    ) -> Iterator[Effect]:
        self._requests_by_token.pop(request.token)
        if request.flow_id is not None:
            self._tokens_by_key.pop((request.flow_id, request.number))
        yield LogRecord(
            'request_ended',
            {
                'token': request.token,
                'kind': request.work.kind_id,
                'idempotent': request.work.idempotent,
                'outcome': outcome.value,
                'error': error,
                'owner': _owner_of(request.flow_id),
                'seconds': self._context.clock.monotonic() - request.submitted_at,
            },
        )


def _owner_of(flow_id: FlowId | None) -> str:
    if flow_id is None:
        return ''
    ip, port = _OWNER_FIELD.unpack_from(flow_id)
    return str(Endpoint(socket.inet_ntoa(ip), port))


def _outcome_of(error: ErrorKind) -> RequestOutcome:
    if answer_for(error).verdict is Verdict.NOT_RUN:
        return RequestOutcome.NOT_RUN
    return RequestOutcome.UNKNOWN


register(
    PluginSpec(
        PROGRAM,
        'feeds',
        FeedsPlugin,
        frozenset(
            (
                OpenFeed,
                OpenDue,
                KeepaliveDue,
                MessageReceived,
                PacketReceived,
                Stopping,
            ),
        ),
    ),
)
register(
    PluginSpec(
        PROGRAM,
        'requests',
        RequestsPlugin,
        frozenset((Submit, OpenDue, ResendDue, RequestExpired, MessageReceived)),
    ),
)
