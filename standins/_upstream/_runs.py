"""Runs: assembly of requests, slots, deadlines and answers."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lycheedeal import messages
from lycheedeal.errors import ErrorKind
from lycheedeal.model import AttemptId, Endpoint
from standins import _bodies
from standins._core import (
    After,
    Effect,
    MessageReceived,
    PartSpec,
    Record,
    Send,
    register,
)
from standins._upstream._state import PROGRAM, AnswerOrder, Context

_MS: Final = 1000


@dataclass(frozen=True, slots=True)
class RunDone:
    """The service time of a run is over."""

    run_id: int


@dataclass(frozen=True, slots=True)
class PartDue:
    """A part of an answer that was held back is due."""

    target: Endpoint
    message: messages.RunAnswer


@dataclass(frozen=True, slots=True)
class AssemblyExpired:
    """The deadline of a request passed; its parts are dropped."""

    attempt_id: AttemptId


@dataclass(slots=True)
class Assembly:
    """Parts of a request that is not yet complete."""

    bodies_by_part: dict[int, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CurrentRun:
    """A run that holds a slot."""

    source: Endpoint
    attempt_id: AttemptId
    token: str
    body: bytes


class RunsPart:
    """Runs requests; remembers nothing about those that ended."""

    def __init__(self, context: Context) -> None:
        """Take the state shared by the parts."""
        self._context = context
        self._assemblies_by_attempt: dict[AttemptId, Assembly] = {}
        self._runs_by_id: dict[int, CurrentRun] = {}
        self._next_run_id = 1

    def handle(
        self,
        event: MessageReceived | RunDone | PartDue | AssemblyExpired,
    ) -> Iterator[Effect]:
        """Assemble, start, end and cancel runs."""
        match event:
            case MessageReceived(source, messages.Run() as message):
                yield from self._take_part(source, message)
            case MessageReceived(source, messages.CancelRun(attempt_id)):
                yield from self._cancel(source, attempt_id)
            case RunDone(run_id):
                yield from self._end(run_id)
            case PartDue(target, answer):
                yield Send(target, answer)
            case AssemblyExpired(expired):
                self._assemblies_by_attempt.pop(expired, None)
        self._context.running = len(self._runs_by_id)

    def _take_part(self, source: Endpoint, message: messages.Run) -> Iterator[Effect]:
        attempt_id = message.attempt_id
        if not self._context.is_for_me(message.service, message.incarnation):
            if message.service != self._context.settings.service:
                yield Record('misrouted', {'what': 'run', 'named': message.service})
            refusal = messages.RunRefused(attempt_id, ErrorKind.UPSTREAM_REPLACED)
            yield Send(source, refusal)
            return
        assembly = self._assemblies_by_attempt.get(attempt_id)
        if assembly is None:
            assembly = Assembly()
            self._assemblies_by_attempt[attempt_id] = assembly
            left = message.deadline_ms / _MS - self._context.clock.wall()
            yield After(max(0, left), AssemblyExpired(attempt_id))
        assembly.bodies_by_part[message.part] = message.body
        if len(assembly.bodies_by_part) == message.parts:
            self._assemblies_by_attempt.pop(attempt_id)
            body = b''.join(
                assembly.bodies_by_part[part] for part in range(message.parts)
            )
            yield from self._start(source, message, body)

    def _start(
        self,
        source: Endpoint,
        message: messages.Run,
        body: bytes,
    ) -> Iterator[Effect]:
        head = _bodies.read_request(body)
        token = head.token if head else ''
        if head and head.service != self._context.settings.service:
            yield Record('misrouted', {'what': 'run', 'named': head.service})
        error = self._refusal(message)
        if error is not None:
            yield Record('run_refused', {'token': token, 'error': error.name})
            yield Send(source, messages.RunRefused(message.attempt_id, error))
            return
        run_id = self._next_run_id
        self._next_run_id += 1
        self._runs_by_id[run_id] = CurrentRun(source, message.attempt_id, token, body)
        yield Record(
            'run_started',
            {
                'token': token,
                'attempt_id': message.attempt_id,
                'late_ms': self._context.clock.wall() * _MS - message.deadline_ms,
            },
        )
        yield After(self._service_time(), RunDone(run_id))

    def _refusal(self, message: messages.Run) -> ErrorKind | None:
        context = self._context
        if context.draining or context.failing:
            return ErrorKind.UPSTREAM_REFUSED
        if context.clock.wall() * _MS >= message.deadline_ms:
            return ErrorKind.DEADLINE_PASSED
        if len(self._runs_by_id) >= context.settings.slots:
            return ErrorKind.QUEUE_FULL
        return None

    def _service_time(self) -> float:
        settings = self._context.settings
        # Between half and one and a half of the mean.
        spread = 0.5 + self._context.clock.rng.random()
        factor = settings.cold_factor if self._context.is_cold() else 1
        return settings.service_time * spread * factor

    def _end(self, run_id: int) -> Iterator[Effect]:
        run = self._runs_by_id.pop(run_id, None)
        if run is None:
            return
        yield Record('run_ended', {'token': run.token, 'attempt_id': run.attempt_id})
        settings = self._context.settings
        rng = self._context.clock.rng
        answer = _bodies.build_answer(run.body, settings.answer_size)
        parts = _bodies.split_parts(answer)
        numbered = list(enumerate(parts))
        match settings.answer_order:
            case AnswerOrder.REVERSED:
                numbered.reverse()
            case AnswerOrder.SHUFFLED:
                rng.shuffle(numbered)
            case AnswerOrder.IN_ORDER:
                # The list is in this order already.
                numbered.sort()
        for place, body in numbered:
            message = messages.RunAnswer(run.attempt_id, place, len(parts), body)
            if settings.answer_delay:
                delay = rng.random() * settings.answer_delay
                yield After(delay, PartDue(run.source, message))
            else:
                yield Send(run.source, message)

    def _cancel(self, source: Endpoint, attempt_id: AttemptId) -> Iterator[Effect]:
        dropped = self._assemblies_by_attempt.pop(attempt_id, None) is not None
        for run_id, run in tuple(self._runs_by_id.items()):
            if run.attempt_id == attempt_id:
                self._runs_by_id.pop(run_id)
                yield Record(
                    'run_cancelled',
                    {'token': run.token, 'attempt_id': attempt_id},
                )
        # An attempt that is not known may have ended before: only an attempt
        # that was still being assembled is known not to have started.
        yield Send(source, messages.RunCancelled(attempt_id, started=not dropped))


register(
    PartSpec(
        PROGRAM,
        'runs',
        RunsPart,
        frozenset((MessageReceived, RunDone, PartDue, AssemblyExpired)),
    ),
)
