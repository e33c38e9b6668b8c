"""Runs of the upstream stand-in: requests, slots, deadlines and answers."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lycheedeal import messages
from lycheedeal.errors import ErrorKind
from lycheedeal.model import AttemptId, Endpoint
from standins import _bodies
from standins._core import (
    DispatchLater,
    Effect,
    LogRecord,
    MessageReceived,
    PluginSpec,
    Send,
    register,
)
from standins._upstream._state import PROGRAM, AnswerOrder, Context

_MS_PER_SECOND: Final = 1000
# Attempts are kept this long after their deadline, so that repeated datagrams
# are recognised. Later ones cannot start because the deadline has passed.
_RETENTION_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class RunDone:
    """The service time of a run has passed."""

    run_id: int


@dataclass(frozen=True, slots=True)
class AnswerPartDue:
    """It is time to send a delayed part of an answer."""

    target: Endpoint
    message: messages.RunAnswer


@dataclass(frozen=True, slots=True)
class AttemptExpired:
    """The retention period of an attempt ended; its state is dropped."""

    attempt_id: AttemptId


@dataclass(slots=True)
class Assembling:
    """Some parts of the request have been received."""

    bodies_by_part: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class Running:
    """The run occupies a slot.

    ``source`` sent the most recent copy of the attempt and gets the answer;
    ``retain_until`` is Unix time in seconds.
    """

    source: Endpoint
    attempt_id: AttemptId
    token: str
    body: bytes
    retain_until: float


@dataclass(frozen=True, slots=True)
class Finished:
    """The run is complete; its answer is resent for a repeated attempt."""

    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The run was cancelled after its start and has no answer."""


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The attempt was refused or cancelled and will never start."""

    error: ErrorKind


Attempt = Assembling | Running | Finished | Cancelled | NotStarted


class RunsPlugin:
    """Starts each attempt at most once.

    Finished and refused attempts are kept for a short time after their
    deadline to answer repeated datagrams.
    """

    def __init__(self, context: Context) -> None:
        """Attach to the state shared by the upstream's plug-ins."""
        self._context = context
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        self._runs_by_id: dict[int, Running] = {}
        self._next_run_id = 1

    def handle(
        self,
        event: MessageReceived | RunDone | AnswerPartDue | AttemptExpired,
    ) -> Iterator[Effect]:
        """Assemble requests; start, finish and cancel runs."""
        match event:
            case MessageReceived(source, messages.Run() as message):
                yield from self._handle_part(source, message)
            case MessageReceived(source, messages.CancelRun(attempt_id)):
                yield from self._cancel(source, attempt_id)
            case RunDone(run_id):
                yield from self._finish_run(run_id)
            case AnswerPartDue(target, answer):
                yield Send(target, answer)
            case AttemptExpired(expired):
                if not isinstance(self._attempts_by_id.get(expired), Running):
                    self._attempts_by_id.pop(expired, None)
        self._context.running = len(self._runs_by_id)

    def _handle_part(self, source: Endpoint, message: messages.Run) -> Iterator[Effect]:
        attempt_id = message.attempt_id
        if not self._context.has_identity(message.service, message.incarnation):
            if message.service != self._context.settings.service:
                yield LogRecord('misrouted', {'what': 'run', 'named': message.service})
            refusal = messages.RunRefused(attempt_id, ErrorKind.UPSTREAM_REPLACED)
            yield Send(source, refusal)
            return
        match self._attempts_by_id.get(attempt_id):
            case Running() as running:
                running.source = source
            case Finished(parts):
                # A repeated request gets one answer, not one for each of its parts.
                if message.part == 0:
                    yield from self._send_answer(source, attempt_id, parts)
            case Cancelled():
                yield Send(source, messages.RunCancelled(attempt_id, started=True))
            case NotStarted(error):
                yield Send(source, messages.RunRefused(attempt_id, error))
            case Assembling() as assembling:
                yield from self._add_part(source, message, assembling)
            case None:
                assembling = Assembling()
                self._attempts_by_id[attempt_id] = assembling
                seconds_left = (
                    message.deadline_ms / _MS_PER_SECOND - self._context.clock.wall()
                )
                yield DispatchLater(
                    max(0, seconds_left) + _RETENTION_SECONDS,
                    AttemptExpired(attempt_id),
                )
                yield from self._add_part(source, message, assembling)

    def _add_part(
        self,
        source: Endpoint,
        message: messages.Run,
        assembling: Assembling,
    ) -> Iterator[Effect]:
        bodies = assembling.bodies_by_part
        bodies[message.part] = message.body
        if len(bodies) == message.parts:
            body = b''.join(bodies[part] for part in range(message.parts))
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
            yield LogRecord('misrouted', {'what': 'run', 'named': head.service})
        attempt_id = message.attempt_id
        error = self._refusal(message)
        if error is not None:
            self._attempts_by_id[attempt_id] = NotStarted(error)
            yield LogRecord('run_refused', {'token': token, 'error': error.name})
            yield Send(source, messages.RunRefused(attempt_id, error))
            return
        run_id = self._next_run_id
        self._next_run_id += 1
        retain_until = message.deadline_ms / _MS_PER_SECOND + _RETENTION_SECONDS
        running = Running(source, attempt_id, token, body, retain_until)
        self._runs_by_id[run_id] = running
        self._attempts_by_id[attempt_id] = running
        yield LogRecord(
            'run_started',
            {
                'token': token,
                'attempt_id': attempt_id,
                'late_ms': self._context.clock.wall() * _MS_PER_SECOND
                - message.deadline_ms,
            },
        )
        yield DispatchLater(self._service_time(), RunDone(run_id))

    def _refusal(self, message: messages.Run) -> ErrorKind | None:
        context = self._context
        if context.draining or context.failing:
            return ErrorKind.UPSTREAM_REFUSED
        if context.clock.wall() * _MS_PER_SECOND >= message.deadline_ms:
            return ErrorKind.DEADLINE_PASSED
        if len(self._runs_by_id) >= context.settings.slots:
            return ErrorKind.QUEUE_FULL
        return None

    def _service_time(self) -> float:
        settings = self._context.settings
        # Uniform between 50% and 150% of the mean.
        spread = 0.5 + self._context.clock.rng.random()
        factor = settings.cold_factor if self._context.is_cold() else 1
        return settings.service_time * spread * factor

    def _finish_run(self, run_id: int) -> Iterator[Effect]:
        run = self._runs_by_id.pop(run_id, None)
        if run is None:
            return
        yield LogRecord('run_ended', {'token': run.token, 'attempt_id': run.attempt_id})
        answer = _bodies.build_answer(run.body, self._context.settings.answer_size)
        parts = tuple(_bodies.split_parts(answer))
        self._store_result(run, Finished(parts))
        yield from self._send_answer(run.source, run.attempt_id, parts)

    def _store_result(self, run: Running, attempt: Finished | Cancelled) -> None:
        if self._context.clock.wall() < run.retain_until:
            self._attempts_by_id[run.attempt_id] = attempt
        else:
            self._attempts_by_id.pop(run.attempt_id, None)

    def _send_answer(
        self,
        source: Endpoint,
        attempt_id: AttemptId,
        parts: tuple[bytes, ...],
    ) -> Iterator[Effect]:
        settings = self._context.settings
        rng = self._context.clock.rng
        numbered = list(enumerate(parts))
        match settings.answer_order:
            case AnswerOrder.REVERSED:
                numbered.reverse()
            case AnswerOrder.SHUFFLED:
                rng.shuffle(numbered)
            case AnswerOrder.IN_ORDER:
                # The parts are in this order already; sorting keeps it.
                numbered.sort()
        for part, body in numbered:
            message = messages.RunAnswer(attempt_id, part, len(parts), body)
            if settings.answer_delay:
                delay = rng.random() * settings.answer_delay
                yield DispatchLater(delay, AnswerPartDue(source, message))
            else:
                yield Send(source, message)

    def _cancel(self, source: Endpoint, attempt_id: AttemptId) -> Iterator[Effect]:
        started = True
        match self._attempts_by_id.get(attempt_id):
            case Assembling() | NotStarted():
                started = False
                self._attempts_by_id[attempt_id] = NotStarted(ErrorKind.CANCELLED)
            case Running() as run:
                self._release_slot(run)
                self._store_result(run, Cancelled())
                fields = {'token': run.token, 'attempt_id': attempt_id}
                yield LogRecord('run_cancelled', fields)
            case _:
                # An earlier process at this address may have run an unknown attempt.
                started = True
        yield Send(source, messages.RunCancelled(attempt_id, started=started))

    def _release_slot(self, stopped: Running) -> None:
        self._runs_by_id = {
            run_id: run
            for run_id, run in self._runs_by_id.items()
            if run is not stopped
        }


register(
    PluginSpec(
        PROGRAM,
        'runs',
        RunsPlugin,
        frozenset((MessageReceived, RunDone, AnswerPartDue, AttemptExpired)),
    ),
)
