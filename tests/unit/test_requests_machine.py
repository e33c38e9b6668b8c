"""Tests that each request runs at most once on an unreliable network.

The network reorders, duplicates and loses datagrams. A model counts which
requests the upstreams ran, and compares that with each result that callers got.
"""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lycheedeal import kernel, messages, model
from lycheedeal.errors import ErrorKind, Verdict, answer_for

KEY = b'key'
ZONE = model.Zone('zone')
CALLER = model.Endpoint('127.0.0.9', 900)
HOST = model.HostSettings(
    model.HostId('host'),
    model.Region('region'),
    ZONE,
    *(model.Endpoint('127.0.0.1', port) for port in range(1, 5)),
    platform_url='',
    flow_key=KEY,
)
UPSTREAMS = tuple(
    model.Upstream(
        model.UpstreamId(f'u{index}'),
        model.Endpoint('127.0.0.1', 100 + index),
        ZONE,
        slots=1,
    )
    for index in range(2)
)
SERVICE = model.Service(
    model.ServiceNumber(1),
    model.ServiceName('api'),
    model.Endpoint('127.0.0.1', 50),
    kinds=(
        model.WorkKind(model.KindId(0), 'urgent', priority=0),
        model.WorkKind(model.KindId(1), 'repeatable', priority=5, idempotent=True),
    ),
    upstreams=UPSTREAMS,
)
VIEW = model.ConfigurationView(
    MappingProxyType({SERVICE.number: SERVICE}),
    MappingProxyType({SERVICE.address: SERVICE}),
)
RequestKey = tuple[model.FlowId, model.RequestNumber]
Reply = messages.RunAnswer | messages.RunRefused | messages.RunCancelled


def make_flow_id(kind_id: int) -> model.FlowId:
    fields = model.FlowFields(
        flow_class=model.FlowClass.REQUEST,
        kind_id=model.KindId(kind_id),
        service=SERVICE.number,
        owner=HOST.peer,
        owner_incarnation=model.Incarnation(1),
        nonce=kind_id,
    )
    return model.FlowIdCodec(KEY).encode(fields)


FLOWS = (make_flow_id(0), make_flow_id(1))


class Clock:
    now = 1_000_000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


@dataclass
class Received:
    """Results that the caller of one request received.

    ``submitted`` is true once any part of the request was sent.
    """

    submitted: bool = False
    outcomes: list[ErrorKind] = field(default_factory=list)
    answer_parts: dict[int, bytes] = field(default_factory=dict)
    answer: bytes | None = None


@dataclass
class UpstreamModel:
    """Upstream that starts each attempt at most once per process.

    ``refused`` holds attempts that were refused or cancelled before the start.
    ``answers`` holds the parts that are sent again; none for a cancelled run.
    Everything is dropped at a restart, and one second after the deadline.
    """

    incarnation: model.Incarnation = model.Incarnation(1)
    parts: dict[model.AttemptId, dict[int, bytes]] = field(default_factory=dict)
    running: dict[model.AttemptId, bytes] = field(default_factory=dict)
    refused: dict[model.AttemptId, ErrorKind] = field(default_factory=dict)
    answers: dict[model.AttemptId, list[bytes]] = field(default_factory=dict)
    deadlines: dict[model.AttemptId, int] = field(default_factory=dict)

    def restart(self) -> None:
        """Start a new process without any attempts."""
        self.incarnation = model.Incarnation(self.incarnation + 1)
        for table in (
            self.parts,
            self.running,
            self.refused,
            self.answers,
            self.deadlines,
        ):
            table.clear()

    def drop_expired(self, now_ms: float) -> None:
        """Drop attempts that are not running one second after their deadline."""
        for attempt_id, deadline_ms in tuple(self.deadlines.items()):
            if now_ms > deadline_ms + 1000 and attempt_id not in self.running:
                self.deadlines.pop(attempt_id)
                for table in (self.parts, self.refused, self.answers):
                    table.pop(attempt_id, None)


@dataclass(eq=False)
class Datagram:
    """A message in transit; ``delivered`` is true if a copy of it has arrived."""

    effect: kernel.SendToUpstream
    delivered: bool = False


class OwnerMachine(RuleBasedStateMachine):
    """One owner, two upstreams with one slot each, and the callers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        context = kernel.Context(
            HOST, self.clock, random.Random(5), model.Incarnation(1)
        )
        self.kernel = kernel.Kernel(context, kernel.load_plugins(('requests',)))
        self.plugin = self.kernel.plugins_by_name['requests']
        self.models = {upstream.endpoint: UpstreamModel() for upstream in UPSTREAMS}
        self.sent: list[messages.Request] = []
        self.to_upstreams: list[Datagram] = []
        self.to_owner: list[kernel.UpstreamMessage] = []
        self.run_counts: Counter[RequestKey] = Counter()
        self.received_by_key: dict[RequestKey, Received] = {}

    @initialize()
    def start(self) -> None:
        self.dispatch(kernel.ConfigurationChanged(VIEW))
        for index in range(len(UPSTREAMS)):
            self.report(index, model.UpstreamState.READY)

    def report(self, index: int, state: model.UpstreamState) -> None:
        upstream = UPSTREAMS[index]
        incarnation = self.models[upstream.endpoint].incarnation
        self.dispatch(
            kernel.UpstreamChanged(
                SERVICE.number,
                upstream.upstream_id,
                upstream.endpoint,
                state,
                incarnation,
                weight=1,
            )
        )

    def dispatch(self, event: kernel.Event) -> None:
        for effect in self.kernel.dispatch(event):
            match effect:
                case kernel.SendToUpstream(_, messages.Run(deadline_ms=deadline_ms)):
                    assert deadline_ms > self.clock.now * 1000
                    self.to_upstreams.append(Datagram(effect))
                case kernel.SendToUpstream():
                    self.to_upstreams.append(Datagram(effect))
                case kernel.SendToCaller(_, messages.Outcome() as outcome):
                    self.record_outcome(outcome)
                case kernel.SendToCaller(_, messages.Answer() as answer):
                    self.record_answer(answer)

    def record_outcome(self, outcome: messages.Outcome) -> None:
        received = self.received_by_key[outcome.flow_id, outcome.number]
        received.outcomes.append(outcome.error)

    def record_answer(self, answer: messages.Answer) -> None:
        received = self.received_by_key[answer.flow_id, answer.number]
        received.answer_parts[answer.part] = answer.body
        if len(received.answer_parts) == answer.parts:
            received.answer = b''.join(
                received.answer_parts[part] for part in range(answer.parts)
            )

    @rule(
        flow=st.sampled_from(FLOWS),
        parts=st.integers(1, 3),
        lifetime_ms=st.sampled_from((3000, 500, 10_000, 40)),
        size=st.sampled_from((1, 20_000)),
        complete=st.sampled_from((True, True, True, False)),
    )
    def new_request(
        self,
        flow: model.FlowId,
        parts: int,
        lifetime_ms: int,
        size: int,
        complete: bool,
    ) -> None:
        number = model.RequestNumber(len(self.received_by_key))
        key = (flow, number)
        self.received_by_key[key] = Received()
        deadline_ms = int(self.clock.now * 1000) + lifetime_ms
        request_parts = [
            messages.Request(flow, number, deadline_ms, part, parts, body)
            for part, body in enumerate(self.bodies(key, parts, size))
        ]
        self.sent += request_parts
        for message in request_parts if complete else request_parts[1:]:
            self.send(message)

    def send(self, message: messages.Request) -> None:
        self.received_by_key[_key(message)].submitted = True
        self.dispatch(kernel.CallerMessage(CALLER, SERVICE.address, message))

    def bodies(self, key: RequestKey, parts: int, size: int) -> list[bytes]:
        flow, number = key
        name = f'{FLOWS.index(flow)}:{number}|'.encode()
        return [name, *(b'x' * size for _ in range(parts - 1))]

    @rule(choice=st.integers(0, 1000))
    def repeat_part(self, choice: int) -> None:
        if self.sent:
            self.send(self.sent[choice % len(self.sent)])

    @rule(choice=st.integers(0, 1000))
    def cancel(self, choice: int) -> None:
        if self.received_by_key:
            flow, number = list(self.received_by_key)[
                choice % len(self.received_by_key)
            ]
            message = messages.CancelRequest(flow, number)
            self.dispatch(kernel.CallerMessage(CALLER, SERVICE.address, message))

    @precondition(lambda self: self.to_upstreams)
    @rule(choice=st.integers(0, 1000), keep_copy=st.booleans())
    def deliver_to_upstream(self, choice: int, keep_copy: bool) -> None:
        index = choice % len(self.to_upstreams)
        datagram = self.to_upstreams[index]
        if not keep_copy:
            self.to_upstreams.pop(index)
        self.receive(datagram)

    @precondition(lambda self: self.to_upstreams)
    @rule(choice=st.integers(0, 1000), keep_copy=st.booleans(), busy=st.integers(0, 3))
    def deliver_all_to_upstreams(self, choice: int, keep_copy: bool, busy: int) -> None:
        """Deliver all messages, so that complete attempts and refusals are common."""
        pending = list(self.to_upstreams)
        if not keep_copy:
            self.to_upstreams.clear()
        random.Random(choice).shuffle(pending)
        for datagram in pending:
            self.receive(datagram, busy == 1)

    @precondition(lambda self: self.to_owner)
    @rule(choice=st.integers(0, 1000), keep_copy=st.booleans())
    def deliver_all_to_owner(self, choice: int, keep_copy: bool) -> None:
        """Deliver all replies, so that complete answers are common."""
        pending = list(self.to_owner)
        if not keep_copy:
            self.to_owner.clear()
        random.Random(choice).shuffle(pending)
        for event in pending:
            self.dispatch(event)

    def receive(self, datagram: Datagram, busy: bool = False) -> None:
        datagram.delivered = True
        upstream = datagram.effect.upstream
        process = self.models[upstream]
        process.drop_expired(self.clock.now * 1000)
        match datagram.effect.message:
            case messages.Run() as run:
                self.receive_run(upstream, run, busy)
            case messages.CancelRun(attempt_id):
                self.receive_cancel(upstream, attempt_id)

    def receive_cancel(
        self, upstream: model.Endpoint, attempt_id: model.AttemptId
    ) -> None:
        process = self.models[upstream]
        not_started = attempt_id in process.parts or attempt_id in process.refused
        if not_started:
            process.parts.pop(attempt_id, None)
            process.refused[attempt_id] = ErrorKind.CANCELLED
        if process.running.pop(attempt_id, None) is not None:
            process.answers[attempt_id] = []
        cancelled = messages.RunCancelled(attempt_id, started=not not_started)
        self.reply(upstream, cancelled)

    def receive_run(
        self, upstream: model.Endpoint, run: messages.Run, busy: bool
    ) -> None:
        process = self.models[upstream]
        attempt_id = run.attempt_id
        assert run.service == SERVICE.name
        if run.incarnation != process.incarnation:
            error = ErrorKind.UPSTREAM_REPLACED
            self.reply(upstream, messages.RunRefused(attempt_id, error))
        elif attempt_id in process.refused:
            error = process.refused[attempt_id]
            self.reply(upstream, messages.RunRefused(attempt_id, error))
        elif attempt_id in process.answers:
            if run.part == 0:
                self.send_answer(upstream, attempt_id)
        elif attempt_id not in process.running:
            self.receive_part(upstream, run, busy)

    def receive_part(
        self, upstream: model.Endpoint, run: messages.Run, busy: bool
    ) -> None:
        process = self.models[upstream]
        attempt_id = run.attempt_id
        process.deadlines[attempt_id] = run.deadline_ms
        late = run.deadline_ms <= self.clock.now * 1000
        if busy or late or process.running:
            error = ErrorKind.DEADLINE_PASSED if late else ErrorKind.UPSTREAM_REFUSED
            process.parts.pop(attempt_id, None)
            process.refused[attempt_id] = error
            self.reply(upstream, messages.RunRefused(attempt_id, error))
            return
        parts = process.parts.setdefault(attempt_id, {})
        parts[run.part] = run.body
        if len(parts) == run.parts:
            process.parts.pop(attempt_id)
            body = b''.join(parts[part] for part in range(run.parts))
            process.running[attempt_id] = body
            name = body.split(b'|')[0].decode().split(':')
            key = (FLOWS[int(name[0])], model.RequestNumber(int(name[1])))
            self.run_counts[key] += 1
            expected = b''.join(
                message.body for message in self.sent if key == _key(message)
            )
            assert body == expected

    def send_answer(
        self, upstream: model.Endpoint, attempt_id: model.AttemptId
    ) -> None:
        chunks = self.models[upstream].answers[attempt_id]
        for part, chunk in enumerate(chunks):
            answer = messages.RunAnswer(attempt_id, part, len(chunks), chunk)
            self.reply(upstream, answer)

    def reply(self, upstream: model.Endpoint, message: Reply) -> None:
        self.to_owner.append(kernel.UpstreamMessage(upstream, 0, message))

    @precondition(lambda self: any(process.running for process in self.models.values()))
    @rule(index=st.integers(0, 1), parts=st.integers(1, 3))
    def finish(self, index: int, parts: int) -> None:
        upstream = UPSTREAMS[index].endpoint
        process = self.models[upstream]
        for attempt_id, body in process.running.items():
            chunks = [b'answer to ' + body, *([b'tail'] * (parts - 1))]
            process.answers[attempt_id] = chunks
            self.send_answer(upstream, attempt_id)
        process.running.clear()

    @precondition(lambda self: self.to_owner)
    @rule(
        choice=st.integers(0, 1000), keep_copy=st.booleans(), forged_copy=st.booleans()
    )
    def deliver_to_owner(self, choice: int, keep_copy: bool, forged_copy: bool) -> None:
        index = choice % len(self.to_owner)
        event = self.to_owner[index]
        if not keep_copy:
            self.to_owner.pop(index)
        if forged_copy and isinstance(event.message, messages.RunAnswer):
            other = next(
                endpoint for endpoint in self.models if endpoint != event.upstream
            )
            forged = replace(event.message, body=b'forged')
            self.dispatch(kernel.UpstreamMessage(other, 0, forged))
        self.dispatch(event)

    @precondition(lambda self: self.to_upstreams or self.to_owner)
    @rule(choice=st.integers(0, 1000))
    def lose(self, choice: int) -> None:
        if self.to_upstreams:
            self.to_upstreams.pop(choice % len(self.to_upstreams))
        if self.to_owner:
            self.to_owner.pop(choice % len(self.to_owner))

    @rule(index=st.integers(0, 1), gone=st.booleans(), noticed=st.booleans())
    def lose_upstream(self, index: int, gone: bool, noticed: bool) -> None:
        """Report an upstream as gone, or replace its process.

        ``noticed`` is false if the owner is not told about the new process.
        """
        if gone:
            self.report(index, model.UpstreamState.GONE)
        else:
            self.replace(UPSTREAMS[index].endpoint)
        if gone or noticed:
            self.report(index, model.UpstreamState.READY)

    @precondition(lambda self: any(process.running for process in self.models.values()))
    @rule(choice=st.integers(0, 1000))
    def replace_while_running(self, choice: int) -> None:
        """Let copies of an attempt reach another process than the first one."""
        self.wait(0.3, tick=True)
        for upstream, process in self.models.items():
            if process.running:
                self.replace(upstream)
        self.deliver_all_to_upstreams(choice, keep_copy=False, busy=0)
        self.deliver_all_to_owner(choice, keep_copy=False)

    def replace(self, upstream: model.Endpoint) -> None:
        """Start a new process.

        Copies made by the network do not outlive the old process; copies that the
        owner sent again do.
        """
        self.models[upstream].restart()
        self.to_upstreams = [
            datagram
            for datagram in self.to_upstreams
            if not datagram.delivered or datagram.effect.upstream != upstream
        ]

    @rule(seconds=st.sampled_from((0.1, 0.6, 0.01)), tick=st.booleans())
    def wait(self, seconds: float, tick: bool) -> None:
        self.clock.now += seconds
        if tick:
            self.dispatch(kernel.Tick(self.clock.now))

    @rule(gap=st.sampled_from((0.3, 0.3, 0.3, 2.5, 14.0)))
    def pause(self, gap: float) -> None:
        self.clock.now += gap
        self.dispatch(kernel.Resumed(gap))

    @invariant()
    def results_match_runs(self) -> None:
        for key, received in self.received_by_key.items():
            verdicts = [answer_for(error).verdict for error in received.outcomes]
            if key[0] == FLOWS[0]:
                assert self.run_counts[key] <= 1
            if Verdict.NOT_RUN in verdicts:
                assert self.run_counts[key] == 0
                assert received.answer is None
                assert set(verdicts) <= {Verdict.NOT_RUN, Verdict.UNKNOWN}
                known = set(received.outcomes) - {ErrorKind.RECORD_EXPIRED}
                assert len(known) == 1
            if received.answer is not None:
                body = b''.join(
                    message.body for message in self.sent if key == _key(message)
                )
                assert received.answer.startswith(b'answer to ' + body)
                tail = received.answer[len(b'answer to ' + body) :]
                assert tail in {b'', b'tail', b'tailtail'}

    def teardown(self) -> None:
        """Check that every request ends and that all its resources are released."""
        # The longest deadline is 10 s ahead and the grace period is 10 s.
        for _ in range(60):
            self.clock.now += 0.5
            self.dispatch(kernel.Tick(self.clock.now))
        self.results_match_runs()
        for received in self.received_by_key.values():
            assert received.outcomes or received.answer or not received.submitted
        owner = self.plugin._owner
        assert owner.results.table.active_count == 0
        assert owner.results.budget.reserved == 0
        assert not owner.results.table._records_by_key
        assert not owner.dispatcher.attempts._attempts_by_id
        for queue in owner.dispatcher.queues_by_service.values():
            assert queue.count == 0
            assert not any(
                slots.in_flight for slots in queue.pool._slots_by_endpoint.values()
            )


def _key(message: messages.Request) -> RequestKey:
    return (message.flow_id, message.number)


OwnerMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=60, deadline=None
)
TestOwnerMachine = OwnerMachine.TestCase
