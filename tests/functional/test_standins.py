"""Caller and upstream stand-ins together, connected by a forwarder in the test."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lycheedeal import messages, wire
from lycheedeal.errors import ErrorKind
from lycheedeal.model import (
    AttemptId,
    Endpoint,
    FlowClass,
    FlowFields,
    FlowId,
    FlowIdCodec,
    Incarnation,
    KindId,
    ServiceName,
    ServiceNumber,
)
from standins import _caller, _log_counts, _upstream
from standins._core import (
    Clock,
    Dispatcher,
    DispatchLater,
    LogRecord,
    MessageReceived,
    PacketReceived,
    Send,
    SendPacket,
    Stopping,
)

SERVICE = ServiceName('bitacora-api')
UPSTREAM = Endpoint('127.0.0.1', 1)
HOST = Endpoint('127.0.0.1', 2)
CALLER = Endpoint('127.0.0.1', 3)
KIND = KindId(1)
INCARNATION = Incarnation(7)
CODEC = FlowIdCodec(b'key')
WORK = _caller.WorkSettings(KIND, idempotent=False, body_size=40_000, timeout=2)


@dataclass
class VirtualNetwork:
    """Delivers datagrams and timers of both programs on virtual time."""

    now: float = 0
    due: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    logs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    drop: Callable[[Any], bool] = lambda _: False

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + seconds, next(self.order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, action = heapq.heappop(self.due)
            action()
        self.now = end


class Harness:
    """One caller, one upstream and a forwarder without state of flows."""

    def __init__(self, **changes: Any) -> None:
        self.network = VirtualNetwork()
        clock = Clock(
            lambda: self.network.now,
            lambda: self.network.now,
            random.Random(1),
        )
        settings = _upstream.UpstreamSettings(SERVICE, INCARNATION, **changes)
        self.upstream_context = _upstream.Context(settings, clock, 0)
        self.programs = {
            'upstream': Dispatcher(_upstream.PROGRAM, self.upstream_context),
            'caller': Dispatcher(
                _caller.PROGRAM,
                _caller.Context(_caller.CallerSettings('t', SERVICE, HOST), clock),
            ),
        }
        self.attempts = itertools.count(1)
        self.requests_by_attempt: dict[AttemptId, tuple[FlowId, Any]] = {}
        self.attempts_by_request: dict[tuple[FlowId, Any], AttemptId] = {}

    def dispatch(self, program: str, event: Any) -> None:
        for effect in self.programs[program].dispatch(event):
            match effect:
                case DispatchLater(seconds, later):
                    self.network.call_later(
                        seconds, lambda later=later: self.dispatch(program, later)
                    )
                case LogRecord(name, fields):
                    entry = {'event': name, 'at': self.network.now, **fields}
                    self.network.logs.setdefault(program, []).append(entry)
                case Send() | SendPacket() if not self.network.drop(effect):
                    self.network.call_later(
                        0.001, lambda sent=effect: self.forward(program, sent)
                    )

    def forward(self, program: str, sent: Send | SendPacket) -> None:
        match sent:
            case SendPacket(_, flow_id, payload, None):
                rest = wire.pack_endpoint(CALLER) + payload
                self.dispatch('upstream', PacketReceived(HOST, flow_id, rest))
            case SendPacket(_, flow_id, payload, _):
                self.dispatch('caller', PacketReceived(HOST, flow_id, payload))
            case Send(_, message):
                self.forward_message(program, message)

    def forward_message(self, program: str, message: Any) -> None:
        match message:
            case messages.Open(nonce, kind_id, _):
                flow_id = _make_flow_id(nonce)
                opening = messages.FlowOpen(
                    flow_id, SERVICE, INCARNATION, kind_id, CALLER
                )
                self.dispatch('upstream', MessageReceived(HOST, opening))
                opened = messages.Opened(nonce, flow_id)
                self.dispatch('caller', MessageReceived(HOST, opened))
            case messages.Request(flow_id, number, deadline_ms, part, parts, body):
                key = self.attempt_id(flow_id, number)
                run = messages.Run(
                    key, SERVICE, INCARNATION, KIND, deadline_ms, part, parts, body
                )
                self.dispatch('upstream', MessageReceived(HOST, run))
            case messages.RunAnswer(attempt_id, part, parts, body):
                flow_id, number = self.requests_by_attempt[attempt_id]
                answer = messages.Answer(flow_id, number, part, parts, body)
                self.dispatch('caller', MessageReceived(HOST, answer))
            case messages.RunRefused(attempt_id, error):
                flow_id, number = self.requests_by_attempt[attempt_id]
                outcome = messages.Outcome(flow_id, number, error, 100)
                self.dispatch('caller', MessageReceived(HOST, outcome))
            case messages.FlowRejected(flow_id, error, _):
                broken = messages.FlowBroken(flow_id, error)
                self.dispatch('caller', MessageReceived(HOST, broken))

    def attempt_id(self, flow_id: FlowId, number: Any) -> AttemptId:
        """Return the attempt of a request; all its parts share one attempt."""
        request_key = (flow_id, number)
        if request_key not in self.attempts_by_request:
            self.attempts_by_request[request_key] = AttemptId(next(self.attempts))
            self.requests_by_attempt[self.attempts_by_request[request_key]] = (
                request_key
            )
        return self.attempts_by_request[request_key]

    def counts(self) -> _log_counts.Counts:
        return _log_counts.count(
            _log_counts.read_caller_log(self.network.logs.get('caller', [])),
            _log_counts.read_upstream_log(self.network.logs.get('upstream', [])),
        )

    def replies(self, message: Any) -> list[Any]:
        event = MessageReceived(HOST, message)
        effects = self.programs['upstream'].dispatch(event)
        return [effect.message for effect in effects if isinstance(effect, Send)]


def _make_flow_id(nonce: int) -> FlowId:
    return CODEC.encode(
        FlowFields(
            FlowClass.LONG,
            KIND,
            ServiceNumber(1),
            HOST,
            Incarnation(1),
            nonce,
            UPSTREAM,
            INCARNATION,
        ),
    )


def test_answer_in_shuffled_late_parts_is_reassembled() -> None:
    """Guards against a caller that joins parts in the order of arrival."""
    harness = Harness(
        answer_size=100_000,
        answer_order=_upstream.AnswerOrder.SHUFFLED,
        answer_delay=0.1,
    )
    harness.dispatch('caller', _caller.Submit(WORK))
    harness.network.run(5)
    counts = harness.counts()
    assert (counts.requests, counts.whole_answers) == (1, 1)


def test_swapped_answers_are_detected() -> None:
    """Guards against a digest check that accepts the answer of another request."""
    harness = Harness(service_time=0.2)
    for _ in range(2):
        harness.dispatch('caller', _caller.Submit(WORK))
    harness.network.run(0.05)
    first, second = harness.requests_by_attempt
    harness.requests_by_attempt[first], harness.requests_by_attempt[second] = (
        harness.requests_by_attempt[second],
        harness.requests_by_attempt[first],
    )
    harness.network.run(5)
    assert harness.counts().foreign_or_torn_answers == 2


def test_lost_entries_are_resent() -> None:
    """Guards against a feed that loses entries while packets are dropped."""
    harness = Harness(entry_interval=0.1)
    harness.dispatch('caller', _caller.OpenFeed(KIND))
    harness.network.run(2)
    harness.network.drop = lambda sent: isinstance(sent, SendPacket)
    harness.network.run(3)
    harness.network.drop = lambda sent: False
    harness.network.run(3)
    harness.dispatch('caller', Stopping())
    ended = harness.network.logs['caller'][-1]
    counts = harness.counts()
    assert (ended['missing'], counts.flows_broken_planned) == (0, 0)
    assert ended['received'] > 70
    assert counts.longest_gap_seconds > 2


def test_silent_request_flow_is_replaced() -> None:
    """Guards against a caller that goes on sending to an owner that is gone."""
    work = _caller.WorkSettings(KIND, idempotent=False, body_size=100, timeout=20)
    harness = Harness()
    harness.dispatch('caller', _caller.Submit(work))
    harness.network.run(1)
    ((lost_flow, _),) = harness.requests_by_attempt.values()

    def is_lost(sent: Any) -> bool:
        match sent:
            case Send(_, messages.Request(flow_id)):
                return flow_id == lost_flow
        return False

    harness.network.drop = is_lost
    harness.dispatch('caller', _caller.Submit(work))
    harness.network.run(4)
    harness.dispatch('caller', _caller.Submit(work))
    harness.network.run(2)
    assert harness.counts().whole_answers == 2


def test_silent_feed_is_reported_as_stalled() -> None:
    """Guards against a feed that counts as healthy while nothing is received."""
    harness = Harness()
    harness.dispatch('caller', _caller.OpenFeed(KIND))
    harness.network.run(2)
    harness.network.drop = lambda sent: isinstance(sent, SendPacket)
    harness.network.run(15)
    assert harness.counts().flow_errors == {'STALLED': 1}


def test_packet_of_an_unknown_flow_is_rejected() -> None:
    """Guards against an upstream that opens a flow for a stray packet."""
    harness = Harness()
    rest = wire.pack_endpoint(CALLER) + b'\0' * 8 + b'reparo'
    harness.dispatch('upstream', PacketReceived(HOST, _make_flow_id(5), rest))
    harness.network.run(1)
    counts = harness.counts()
    assert (counts.misrouted, counts.flows_opened) == (1, 0)
    assert harness.network.logs['upstream'][-1]['error'] == 'UNKNOWN_FLOW'


def _make_run(number: int, deadline_ms: int = 1000, **changes: Any) -> messages.Run:
    fields = {
        'attempt_id': AttemptId(number),
        'service': SERVICE,
        'incarnation': INCARNATION,
        'kind_id': KIND,
        'deadline_ms': deadline_ms,
        'part': 0,
        'parts': 1,
        'body': b'x',
    }
    return messages.Run(**{**fields, **changes})


def test_runs_beyond_the_slots_are_refused() -> None:
    """Guards against an upstream that queues runs, which would hide overload."""
    harness = Harness(slots=1)
    assert harness.replies(_make_run(1)) == []
    assert harness.replies(_make_run(2)) == [
        messages.RunRefused(AttemptId(2), ErrorKind.QUEUE_FULL),
    ]


def test_run_past_its_deadline_never_starts() -> None:
    """Guards against running work that its caller no longer waits for."""
    harness = Harness()
    harness.network.run(1)
    assert harness.replies(_make_run(1, deadline_ms=1000)) == [
        messages.RunRefused(AttemptId(1), ErrorKind.DEADLINE_PASSED),
    ]


def test_run_for_another_incarnation_is_refused() -> None:
    """Guards against running work at an address that another process reuses."""
    harness = Harness()
    refused = messages.RunRefused(AttemptId(1), ErrorKind.UPSTREAM_REPLACED)
    assert harness.replies(_make_run(1, incarnation=Incarnation(8))) == [refused]
    assert harness.replies(_make_run(1, service=ServiceName('reparo'))) == [refused]


def test_cancellation_tells_whether_work_began() -> None:
    """Guards against reporting a started run as not started, or the reverse."""
    harness = Harness()
    assert harness.replies(_make_run(1)) == []
    assert harness.replies(_make_run(2, parts=2)) == []
    assert harness.replies(messages.CancelRun(AttemptId(1))) == [
        messages.RunCancelled(AttemptId(1), started=True),
    ]
    assert harness.replies(messages.CancelRun(AttemptId(2))) == [
        messages.RunCancelled(AttemptId(2), started=False),
    ]


def test_attempt_is_started_at_most_once() -> None:
    """Guards against a second run when the host resends a part."""
    harness = Harness(slots=2, answer_size=10, service_time=0.1)
    assert harness.replies(_make_run(1, deadline_ms=3000)) == []
    assert harness.replies(_make_run(1, deadline_ms=3000)) == []
    assert harness.upstream_context.running == 1
    harness.dispatch('upstream', MessageReceived(HOST, _make_run(3, deadline_ms=3000)))
    harness.requests_by_attempt[AttemptId(3)] = (FlowId(b''), 3)
    harness.network.run(0.2)
    again = harness.replies(_make_run(3, deadline_ms=3000))
    assert [type(one) for one in again] == [messages.RunAnswer]
    assert harness.replies(_make_run(3, deadline_ms=3000)) == again
    # Dropped one second after the deadline, when it can no longer start.
    harness.network.run(3.9)
    assert harness.replies(_make_run(3, deadline_ms=3000)) == [
        messages.RunRefused(AttemptId(3), ErrorKind.DEADLINE_PASSED),
    ]


def test_refused_attempt_is_never_started() -> None:
    """Guards against a repeated part that starts a run reported as not run."""
    harness = Harness(slots=1, service_time=0.1)
    harness.dispatch('upstream', MessageReceived(HOST, _make_run(1)))
    harness.requests_by_attempt[AttemptId(1)] = (FlowId(b''), 1)
    refused = messages.RunRefused(AttemptId(2), ErrorKind.QUEUE_FULL)
    assert harness.replies(_make_run(2)) == [refused]
    harness.network.run(0.5)
    assert harness.upstream_context.running == 0
    assert harness.replies(_make_run(2)) == [refused]
    assert harness.upstream_context.running == 0


def test_cancelled_attempt_is_never_started() -> None:
    """Guards against a repeated part that starts a cancelled run."""
    harness = Harness()
    cancelled = messages.RunCancelled(AttemptId(1), started=False)
    assert harness.replies(_make_run(1, parts=2)) == []
    assert harness.replies(messages.CancelRun(AttemptId(1))) == [cancelled]
    assert harness.replies(_make_run(1, parts=2, part=1)) == [
        messages.RunRefused(AttemptId(1), ErrorKind.CANCELLED),
    ]
    assert harness.replies(messages.CancelRun(AttemptId(1))) == [cancelled]


def test_unknown_attempt_is_not_reported_as_not_started() -> None:
    """Guards against a new process that reports on runs of the one before it."""
    assert Harness().replies(messages.CancelRun(AttemptId(1))) == [
        messages.RunCancelled(AttemptId(1), started=True),
    ]


def test_controls_change_what_a_probe_sees() -> None:
    """Guards against control commands that have no effect."""
    harness = Harness()
    _upstream.apply_control(harness.upstream_context, _upstream.Drain())
    _upstream.apply_control(harness.upstream_context, _upstream.LieAboutLoad(0, 99))
    (welcome,) = harness.replies(messages.Hello(4))
    assert (welcome.state.value, welcome.flows) == ('draining', 99)
    _upstream.apply_control(harness.upstream_context, _upstream.StopHello(enabled=True))
    assert harness.replies(messages.Hello(5)) == []
    _upstream.apply_control(harness.upstream_context, _upstream.SilencePort(HOST.port))
    assert not harness.upstream_context.accepts(HOST)
