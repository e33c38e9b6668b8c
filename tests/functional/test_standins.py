"""Upstream and caller stand-ins together, by way of a forwarder in the test."""

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
from standins import _client, _records, _upstream
from standins._core import (
    After,
    Clock,
    Dispatcher,
    MessageReceived,
    PacketReceived,
    Record,
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
WORK = _client.WorkSettings(KIND, idempotent=False, body_size=40_000, patience=2)


@dataclass
class Line:
    """Carries datagrams and timers of both programs on virtual time."""

    now: float = 0
    due: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    logs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    drop: Callable[[Any], bool] = lambda _: False

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + seconds, next(self.order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, action = heapq.heappop(self.due)
            action()
        self.now = end


class Bench:
    """One caller, one upstream and a forwarder that holds no state of flows."""

    def __init__(self, **changes: Any) -> None:
        self.line = Line()
        clock = Clock(
            lambda: self.line.now,
            lambda: self.line.now,
            random.Random(1),
        )
        settings = _upstream.UpstreamSettings(SERVICE, INCARNATION, **changes)
        self.upstream_context = _upstream.Context(settings, clock, 0)
        self.programs = {
            'upstream': Dispatcher(_upstream.PROGRAM, self.upstream_context),
            'caller': Dispatcher(
                _client.PROGRAM,
                _client.Context(_client.ClientSettings('t', SERVICE, HOST), clock),
            ),
        }
        self.attempts = itertools.count(1)
        self.places: dict[AttemptId, tuple[FlowId, Any]] = {}
        self.ids: dict[tuple[FlowId, Any], AttemptId] = {}

    def give(self, program: str, event: Any) -> None:
        for effect in self.programs[program].dispatch(event):
            match effect:
                case After(seconds, later):
                    self.line.at(seconds, lambda later=later: self.give(program, later))
                case Record(name, fields):
                    entry = {'event': name, 'at': self.line.now, **fields}
                    self.line.logs.setdefault(program, []).append(entry)
                case Send() | SendPacket() if not self.line.drop(effect):
                    self.line.at(0.001, lambda sent=effect: self.forward(program, sent))

    def forward(self, program: str, sent: Send | SendPacket) -> None:
        match sent:
            case SendPacket(_, flow_id, payload, None):
                rest = wire.pack_endpoint(CALLER) + payload
                self.give('upstream', PacketReceived(HOST, flow_id, rest))
            case SendPacket(_, flow_id, payload, _):
                self.give('caller', PacketReceived(HOST, flow_id, payload))
            case Send(_, message):
                self.forward_message(program, message)

    def forward_message(self, program: str, message: Any) -> None:
        match message:
            case messages.Open(nonce, kind_id, _):
                flow_id = _flow_id(nonce)
                opening = messages.FlowOpen(
                    flow_id, SERVICE, INCARNATION, kind_id, CALLER
                )
                self.give('upstream', MessageReceived(HOST, opening))
                opened = messages.Opened(nonce, flow_id)
                self.give('caller', MessageReceived(HOST, opened))
            case messages.Request(flow_id, number, deadline_ms, part, parts, body):
                key = self.attempt_id(flow_id, number)
                run = messages.Run(
                    key, SERVICE, INCARNATION, KIND, deadline_ms, part, parts, body
                )
                self.give('upstream', MessageReceived(HOST, run))
            case messages.RunAnswer(attempt_id, part, parts, body):
                flow_id, number = self.places[attempt_id]
                answer = messages.Answer(flow_id, number, part, parts, body)
                self.give('caller', MessageReceived(HOST, answer))
            case messages.RunRefused(attempt_id, error):
                flow_id, number = self.places[attempt_id]
                outcome = messages.Outcome(flow_id, number, error, 100)
                self.give('caller', MessageReceived(HOST, outcome))
            case messages.FlowRejected(flow_id, error, _):
                broken = messages.FlowBroken(flow_id, error)
                self.give('caller', MessageReceived(HOST, broken))

    def attempt_id(self, flow_id: FlowId, number: Any) -> AttemptId:
        """Return the attempt of a request; repeated parts belong to the same one."""
        place = (flow_id, number)
        if place not in self.ids:
            self.ids[place] = AttemptId(next(self.attempts))
            self.places[self.ids[place]] = place
        return self.ids[place]

    def counts(self) -> _records.Counts:
        return _records.count(
            _records.read_caller_log(self.line.logs.get('caller', [])),
            _records.read_upstream_log(self.line.logs.get('upstream', [])),
        )

    def replies(self, message: Any) -> list[Any]:
        event = MessageReceived(HOST, message)
        effects = self.programs['upstream'].dispatch(event)
        return [effect.message for effect in effects if isinstance(effect, Send)]


def _flow_id(nonce: int) -> FlowId:
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


def test_answer_in_shuffled_late_parts_is_whole() -> None:
    """Guards against a caller that takes parts in the order of arrival."""
    bench = Bench(
        answer_size=100_000,
        answer_order=_upstream.AnswerOrder.SHUFFLED,
        answer_delay=0.1,
    )
    bench.give('caller', _client.Submit(WORK))
    bench.line.run(5)
    counts = bench.counts()
    assert (counts.requests, counts.whole_answers) == (1, 1)


def test_swapped_answer_is_noticed() -> None:
    """Guards against a digest check that accepts any answer."""
    bench = Bench(service_time=0.2)
    for _ in range(2):
        bench.give('caller', _client.Submit(WORK))
    bench.line.run(0.05)
    first, second = bench.places
    bench.places[first], bench.places[second] = (
        bench.places[second],
        bench.places[first],
    )
    bench.line.run(5)
    assert bench.counts().foreign_or_torn_answers == 2


def test_lost_entries_are_resent() -> None:
    """Guards against a feed that loses entries while its host changes."""
    bench = Bench(entry_interval=0.1)
    bench.give('caller', _client.OpenFeed(KIND))
    bench.line.run(2)
    bench.line.drop = lambda sent: isinstance(sent, SendPacket)
    bench.line.run(3)
    bench.line.drop = lambda sent: False
    bench.line.run(3)
    bench.give('caller', Stopping())
    ended = bench.line.logs['caller'][-1]
    counts = bench.counts()
    assert (ended['missing'], counts.flows_broken_planned) == (0, 0)
    assert ended['received'] > 70
    assert counts.longest_gap_seconds > 2


def test_silent_request_flow_is_given_up() -> None:
    """Guards against a caller that sends to an owner that is gone for good."""
    work = _client.WorkSettings(KIND, idempotent=False, body_size=100, patience=20)
    bench = Bench()
    bench.give('caller', _client.Submit(work))
    bench.line.run(1)
    ((lost_flow, _),) = bench.places.values()

    def is_lost(sent: Any) -> bool:
        match sent:
            case Send(_, messages.Request(flow_id)):
                return flow_id == lost_flow
        return False

    bench.line.drop = is_lost
    bench.give('caller', _client.Submit(work))
    bench.line.run(4)
    bench.give('caller', _client.Submit(work))
    bench.line.run(2)
    assert bench.counts().whole_answers == 2


def test_silent_feed_is_reported_as_stalled() -> None:
    """Guards against a feed that is counted as healthy while nothing comes."""
    bench = Bench()
    bench.give('caller', _client.OpenFeed(KIND))
    bench.line.run(2)
    bench.line.drop = lambda sent: isinstance(sent, SendPacket)
    bench.line.run(15)
    assert bench.counts().flow_errors == {'STALLED': 1}


def test_packet_of_an_unknown_flow_is_rejected() -> None:
    """Guards against an upstream that takes a stray packet for a new flow."""
    bench = Bench()
    rest = wire.pack_endpoint(CALLER) + b'\0' * 8 + b'reparo'
    bench.give('upstream', PacketReceived(HOST, _flow_id(5), rest))
    bench.line.run(1)
    counts = bench.counts()
    assert (counts.misrouted, counts.flows_opened) == (1, 0)
    assert bench.line.logs['upstream'][-1]['error'] == 'UNKNOWN_FLOW'


def _run(number: int, deadline_ms: int = 1000, **changes: Any) -> messages.Run:
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


def test_runs_beyond_the_slots_are_shed() -> None:
    """Guards against an upstream that queues, which would hide overload."""
    bench = Bench(slots=1)
    assert bench.replies(_run(1)) == []
    assert bench.replies(_run(2)) == [
        messages.RunRefused(AttemptId(2), ErrorKind.QUEUE_FULL),
    ]


def test_run_past_its_deadline_never_starts() -> None:
    """Guards against work whose caller has given up."""
    bench = Bench()
    bench.line.run(1)
    assert bench.replies(_run(1, deadline_ms=1000)) == [
        messages.RunRefused(AttemptId(1), ErrorKind.DEADLINE_PASSED),
    ]


def test_run_for_another_incarnation_is_refused() -> None:
    """Guards against work that reaches a reused address."""
    bench = Bench()
    refused = messages.RunRefused(AttemptId(1), ErrorKind.UPSTREAM_REPLACED)
    assert bench.replies(_run(1, incarnation=Incarnation(8))) == [refused]
    assert bench.replies(_run(1, service=ServiceName('reparo'))) == [refused]


def test_cancellation_tells_whether_work_began() -> None:
    """Guards against an acknowledgement that claims too much."""
    bench = Bench()
    assert bench.replies(_run(1)) == []
    assert bench.replies(_run(2, parts=2)) == []
    assert bench.replies(messages.CancelRun(AttemptId(1))) == [
        messages.RunCancelled(AttemptId(1), started=True),
    ]
    assert bench.replies(messages.CancelRun(AttemptId(2))) == [
        messages.RunCancelled(AttemptId(2), started=False),
    ]


def test_attempt_is_started_at_most_once() -> None:
    """Guards against a second run when the host sends a part again."""
    bench = Bench(slots=2, answer_size=10, service_time=0.1)
    assert bench.replies(_run(1, deadline_ms=3000)) == []
    assert bench.replies(_run(1, deadline_ms=3000)) == []
    assert bench.upstream_context.running == 1
    bench.give('upstream', MessageReceived(HOST, _run(3, deadline_ms=3000)))
    bench.places[AttemptId(3)] = (FlowId(b''), 3)
    bench.line.run(0.2)
    again = bench.replies(_run(3, deadline_ms=3000))
    assert [type(one) for one in again] == [messages.RunAnswer]
    assert bench.replies(_run(3, deadline_ms=3000)) == again
    # Forgotten one second after the deadline, when it cannot start any more.
    bench.line.run(3.9)
    assert bench.replies(_run(3, deadline_ms=3000)) == [
        messages.RunRefused(AttemptId(3), ErrorKind.DEADLINE_PASSED),
    ]


def test_refused_attempt_is_never_started() -> None:
    """Guards against a repeated part that starts what was reported as not run."""
    bench = Bench(slots=1, service_time=0.1)
    bench.give('upstream', MessageReceived(HOST, _run(1)))
    bench.places[AttemptId(1)] = (FlowId(b''), 1)
    refused = messages.RunRefused(AttemptId(2), ErrorKind.QUEUE_FULL)
    assert bench.replies(_run(2)) == [refused]
    bench.line.run(0.5)
    assert bench.upstream_context.running == 0
    assert bench.replies(_run(2)) == [refused]
    assert bench.upstream_context.running == 0


def test_cancelled_attempt_is_never_started() -> None:
    """Guards against a repeated part that starts what was cancelled."""
    bench = Bench()
    cancelled = messages.RunCancelled(AttemptId(1), started=False)
    assert bench.replies(_run(1, parts=2)) == []
    assert bench.replies(messages.CancelRun(AttemptId(1))) == [cancelled]
    assert bench.replies(_run(1, parts=2, part=1)) == [
        messages.RunRefused(AttemptId(1), ErrorKind.CANCELLED),
    ]
    assert bench.replies(messages.CancelRun(AttemptId(1))) == [cancelled]


def test_unknown_attempt_is_not_reported_as_not_started() -> None:
    """Guards against a new process that vouches for the one before it."""
    assert Bench().replies(messages.CancelRun(AttemptId(1))) == [
        messages.RunCancelled(AttemptId(1), started=True),
    ]


def test_controls_change_what_a_probe_sees() -> None:
    """Guards against faults of upstreams that scenarios switch on in vain."""
    bench = Bench()
    _upstream.apply_control(bench.upstream_context, _upstream.Drain())
    _upstream.apply_control(bench.upstream_context, _upstream.LieAboutLoad(0, 99))
    (welcome,) = bench.replies(messages.Hello(4))
    assert (welcome.state.value, welcome.flows) == ('draining', 99)
    _upstream.apply_control(bench.upstream_context, _upstream.StopHello(enabled=True))
    assert bench.replies(messages.Hello(5)) == []
    _upstream.apply_control(bench.upstream_context, _upstream.SilencePort(HOST.port))
    assert not bench.upstream_context.accepts(HOST)
