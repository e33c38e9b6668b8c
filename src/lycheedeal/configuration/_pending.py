"""Changes that operators requested, until they are decided."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.configuration._applier import (
    PART,
    Applier,
    read_object,
    shard_key,
)
from lycheedeal.configuration._attempt import (
    MAX_SECONDS,
    Attempt,
    Decide,
    Retry,
    Step,
    StoredShard,
    Write,
)
from lycheedeal.configuration._changes import find_record, find_service, summarize
from lycheedeal.configuration._store import ShardStore
from lycheedeal.configuration._validation import validate_shard
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.kernel import (
    ApiCall,
    ApiReplied,
    ApiStatus,
    CallApi,
    ChangeDecided,
    ChangeRequested,
    Context,
    Effect,
    Log,
    LogLevel,
    Publish,
    Refused,
)
from lycheedeal.model import Generation, ServiceNumber, ShardIndex

_MAX_ATTEMPTS: Final = 64
# The platform client gives up after 2 s; this covers a reply that is lost.
_REPLY_SECONDS: Final = 4.0
_READ: Final = frozenset((ApiStatus.OK, ApiStatus.NOT_FOUND))
_FIRST_DELAY: Final = 0.1
_MAX_DELAY: Final = 1.5


@dataclass(frozen=True, slots=True)
class _Reading:
    since: float


@dataclass(frozen=True, slots=True)
class _Writing:
    since: float


@dataclass(frozen=True, slots=True)
class _Waiting:
    until: float


_Phase = _Reading | _Writing | _Waiting


@dataclass(slots=True)
class _Pending:
    attempt: Attempt
    phase: _Phase


class PendingChanges:
    """Carries attempts through reads, writes and pauses."""

    def __init__(self, context: Context, store: ShardStore, applier: Applier) -> None:
        """Take the shards in force and the way to apply others."""
        self._context = context
        self._store = store
        self._applier = applier
        # Keyed by the id of the call that the attempt last made.
        self._pending_by_call: dict[int, _Pending] = {}

    def begin(self, request: ChangeRequested, now: float) -> Iterator[Effect]:
        """Read the shard that a requested change concerns."""
        attempt = Attempt(request, now + MAX_SECONDS)
        record = find_record(self._store.get(attempt.index), request.change_id)
        if record is not None:
            # The operator repeats a change whose answer was lost.
            accepted = Decide(None, record.generation, record.summary)
            yield from self._decide(attempt, accepted)
            return
        if len(self._pending_by_call) >= _MAX_ATTEMPTS:
            yield from self._decide(
                attempt,
                Decide(
                    ErrorKind.RESOURCE_LIMIT,
                    Generation(0),
                    f'{_MAX_ATTEMPTS} changes are pending on this host',
                ),
            )
            return
        yield self._read(attempt, now)

    def _read(self, attempt: Attempt, now: float) -> CallApi:
        call_id = self._new_call(_Pending(attempt, _Reading(now)))
        return CallApi(call_id, ApiCall.READ, self._key(attempt.index))

    def take_reply(self, reply: ApiReplied, now: float) -> Iterator[Effect]:
        """Go on with the change whose call was answered, if there is one."""
        pending = self._pending_by_call.pop(reply.call_id, None)
        if pending is None:
            return
        match pending.phase:
            case _Reading():
                yield from self._take_read(pending.attempt, reply, now)
            case _Writing():
                step = pending.attempt.after_write(
                    reply.status,
                    self._store.get(pending.attempt.index),
                    now,
                )
                yield from self._go_on(pending.attempt, step, now)
            case _Waiting():
                return

    def tick(self, now: float) -> Iterator[Effect]:
        """Go on with changes whose pause is over or whose reply is lost."""
        for call_id, pending in tuple(self._pending_by_call.items()):
            yield from self._tick_one(call_id, pending, now)

    def _tick_one(
        self,
        call_id: int,
        pending: _Pending,
        now: float,
    ) -> Iterator[Effect]:
        match pending.phase:
            case _Waiting(until) if now >= until:
                self._pending_by_call.pop(call_id)
                yield self._read(pending.attempt, now)
            case _Reading(since) | _Writing(since) if now - since > _REPLY_SECONDS:
                lost = ApiReplied(call_id, ApiStatus.UNKNOWN, '')
                yield from self.take_reply(lost, now)
            case _:
                return

    def _take_read(
        self,
        attempt: Attempt,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        if reply.status in _READ:
            yield from self._take_shard(attempt, reply, now)
            return
        step = attempt.retry(
            ErrorKind.PLATFORM_UNAVAILABLE,
            'the shard cannot be read, nothing was written',
            now,
        )
        yield from self._go_on(attempt, step, now)

    def _take_shard(
        self,
        attempt: Attempt,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        found = reply.status is ApiStatus.OK
        version = reply.version if found else 0
        try:
            shard = read_object(attempt.index, version, reply.body)
            if shard.generation:
                validate_shard(shard)
        except InvalidConfigurationError as error:
            yield from self._applier.report_invalid(
                attempt.index,
                f'object {reply.key}',
                error,
            )
            step = attempt.retry(
                ErrorKind.INVALID_CONFIGURATION,
                f'stored shard: {error.detail}',
                now,
            )
            yield from self._go_on(attempt, step, now)
            return
        in_force = self._store.get(attempt.index)
        yield from self._applier.apply_stored(shard)
        step = attempt.after_read(
            StoredShard(shard, version),
            in_force,
            tuple(self._store.services()),
            now=now,
            wall=self._context.clock.wall(),
        )
        yield from self._go_on(attempt, step, now)

    def _go_on(self, attempt: Attempt, step: Step, now: float) -> Iterator[Effect]:
        match step:
            case Write(_, version, body):
                call_id = self._new_call(_Pending(attempt, _Writing(now)))
                key = self._key(attempt.index)
                yield CallApi(call_id, ApiCall.WRITE, key, version, body)
            case Retry():
                delay = min(_MAX_DELAY, _FIRST_DELAY * 2**attempt.tries)
                until = now + delay * self._context.rng.uniform(0.5, 1)
                self._new_call(_Pending(attempt, _Waiting(until)))
            case Decide():
                yield from self._decide(attempt, step)

    def _decide(self, attempt: Attempt, step: Decide) -> Iterator[Effect]:
        request = attempt.request
        text = summarize(request.change)
        if step.error is None:
            if step.shard is not None:
                yield from self._applier.apply_own(step.shard, f'change "{text}"')
        elif not request.dry_run:
            yield Log(
                PART,
                LogLevel.WARNING,
                f'Change "{text}": {step.error.name}, {step.detail}.',
            )
            yield Publish(Refused(step.error, self._number(attempt), step.detail))
        yield Publish(
            ChangeDecided(
                request.query_id,
                request.change_id,
                step.error,
                step.generation,
                step.detail,
            ),
        )

    def _number(self, attempt: Attempt) -> ServiceNumber | None:
        shard = self._store.get(attempt.index)
        service = find_service(shard, attempt.request.change.service)
        return service.number if service else None

    def _key(self, index: ShardIndex) -> str:
        return shard_key(self._context.settings.region, index)

    def _new_call(self, pending: _Pending) -> int:
        call_id = self._context.rng.getrandbits(63)
        self._pending_by_call[call_id] = pending
        return call_id
