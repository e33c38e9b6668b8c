"""Writes the changes that operators requested to the object API."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.configuration._applier import (
    PART,
    Applier,
    read_object,
    shard_key,
)
from lycheedeal.configuration._changes import find_record, find_service, summarize
from lycheedeal.configuration._store import ShardStore
from lycheedeal.configuration._transaction import (
    CHANGE_TIMEOUT_SECONDS,
    ChangeTransaction,
    Decide,
    Retry,
    Step,
    StoredShard,
    Write,
)
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

_MAX_PENDING_CHANGES: Final = 64
# Covers a lost reply. The platform client reports a silent platform after 2 s; a shard
# of 1 MB takes 1.7 s on the narrowest links.
_REPLY_TIMEOUT_SECONDS: Final = 4.0
_READ_STATUSES: Final = frozenset((ApiStatus.OK, ApiStatus.NOT_FOUND))
# The delay doubles with each attempt between these bounds.
_MIN_RETRY_SECONDS: Final = 0.1
_MAX_RETRY_SECONDS: Final = 1.5


@dataclass(frozen=True, slots=True)
class _Reading:
    started_at: float


@dataclass(frozen=True, slots=True)
class _Writing:
    started_at: float


@dataclass(frozen=True, slots=True)
class _Waiting:
    resume_at: float


_Phase = _Reading | _Writing | _Waiting


@dataclass(slots=True)
class _InProgress:
    transaction: ChangeTransaction
    phase: _Phase


class ChangeWriter:
    """Runs the transactions of requested changes, several at a time.

    It makes the calls, delays retries and reports the outcomes.
    """

    def __init__(self, context: Context, store: ShardStore, applier: Applier) -> None:
        """Start without changes; stored shards are put in force by ``applier``."""
        self._context = context
        self._store = store
        self._applier = applier
        # Keyed by the id of the last call; a waiting transaction has an id that
        # belongs to no call.
        self._in_progress_by_call: dict[int, _InProgress] = {}

    def begin(self, request: ChangeRequested, now: float) -> Iterator[Effect]:
        """Start a requested change by reading its shard.

        The change is decided at once if it was accepted before, or if too many
        changes are pending.
        """
        transaction = ChangeTransaction(request, now + CHANGE_TIMEOUT_SECONDS)
        record = find_record(self._store.get(transaction.index), request.change_id)
        if record is not None:
            # The operator repeated a change after its answer was lost.
            accepted = Decide(None, record.generation, record.summary)
            yield from self._report_outcome(transaction, accepted)
            return
        if len(self._in_progress_by_call) >= _MAX_PENDING_CHANGES:
            yield from self._report_outcome(
                transaction,
                Decide(
                    ErrorKind.RESOURCE_LIMIT,
                    Generation(0),
                    f'limit of {_MAX_PENDING_CHANGES} pending changes on this host '
                    'is reached',
                ),
            )
            return
        yield self._read(transaction, now)

    def _read(self, transaction: ChangeTransaction, now: float) -> CallApi:
        call_id = self._register_call(_InProgress(transaction, _Reading(now)))
        return CallApi(call_id, ApiCall.READ, self._key(transaction.index))

    def handle_reply(self, reply: ApiReplied, now: float) -> Iterator[Effect]:
        """Continue the change whose call was answered.

        Replies to calls of other parts are ignored.
        """
        in_progress = self._in_progress_by_call.pop(reply.call_id, None)
        if in_progress is None:
            return
        match in_progress.phase:
            case _Reading():
                yield from self._handle_read(in_progress.transaction, reply, now)
            case _Writing():
                step = in_progress.transaction.after_write(
                    reply.status,
                    self._store.get(in_progress.transaction.index),
                    now,
                )
                yield from self._perform(in_progress.transaction, step, now)
            case _Waiting():
                return

    def tick(self, now: float) -> Iterator[Effect]:
        """Continue changes whose retry is due or whose reply has timed out."""
        for call_id, in_progress in tuple(self._in_progress_by_call.items()):
            yield from self._tick_change(call_id, in_progress, now)

    def _tick_change(
        self,
        call_id: int,
        in_progress: _InProgress,
        now: float,
    ) -> Iterator[Effect]:
        match in_progress.phase:
            case _Waiting(resume_at) if now >= resume_at:
                self._in_progress_by_call.pop(call_id)
                yield self._read(in_progress.transaction, now)
            case _Reading(started_at) | _Writing(started_at) if (
                now - started_at > _REPLY_TIMEOUT_SECONDS
            ):
                lost_reply = ApiReplied(call_id, ApiStatus.UNKNOWN, '')
                yield from self.handle_reply(lost_reply, now)
            case _:
                return

    def _handle_read(
        self,
        transaction: ChangeTransaction,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        if reply.status in _READ_STATUSES:
            yield from self._handle_shard(transaction, reply, now)
            return
        step = transaction.retry_or_decide(
            ErrorKind.PLATFORM_UNAVAILABLE,
            'the shard cannot be read from the platform, nothing was written',
            now,
        )
        yield from self._perform(transaction, step, now)

    def _handle_shard(
        self,
        transaction: ChangeTransaction,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        found = reply.status is ApiStatus.OK
        version = reply.version if found else 0
        try:
            shard = read_object(transaction.index, version, reply.body)
            if shard.generation:
                validate_shard(shard)
        except InvalidConfigurationError as error:
            yield from self._applier.report_invalid(
                transaction.index,
                f'object {reply.key}',
                error,
            )
            step = transaction.retry_or_decide(
                ErrorKind.INVALID_CONFIGURATION,
                f'stored shard is invalid: {error.detail}',
                now,
            )
            yield from self._perform(transaction, step, now)
            return
        in_force = self._store.get(transaction.index)
        yield from self._applier.apply_stored(shard)
        step = transaction.after_read(
            StoredShard(shard, version),
            in_force,
            tuple(self._store.services()),
            now=now,
            wall_time=self._context.clock.wall(),
        )
        yield from self._perform(transaction, step, now)

    def _perform(
        self, transaction: ChangeTransaction, step: Step, now: float
    ) -> Iterator[Effect]:
        match step:
            case Write(_, version, body):
                call_id = self._register_call(_InProgress(transaction, _Writing(now)))
                key = self._key(transaction.index)
                yield CallApi(call_id, ApiCall.WRITE, key, version, body)
            case Retry():
                delay = min(
                    _MAX_RETRY_SECONDS, _MIN_RETRY_SECONDS * 2**transaction.attempts
                )
                resume_at = now + delay * self._context.rng.uniform(0.5, 1)
                self._register_call(_InProgress(transaction, _Waiting(resume_at)))
            case Decide():
                yield from self._report_outcome(transaction, step)

    def _report_outcome(
        self, transaction: ChangeTransaction, step: Decide
    ) -> Iterator[Effect]:
        request = transaction.request
        text = summarize(request.change)
        if step.error is None:
            if step.shard is not None:
                yield from self._applier.apply_and_gossip(
                    step.shard, f'change "{text}"'
                )
        elif not request.dry_run:
            yield Log(
                PART,
                LogLevel.WARNING,
                f'change "{text}" ended with {step.error.name}: {step.detail}',
            )
            yield Publish(
                Refused(step.error, self._service_number(transaction), step.detail)
            )
        yield Publish(
            ChangeDecided(
                request.query_id,
                request.change_id,
                step.error,
                step.generation,
                step.detail,
            ),
        )

    def _service_number(self, transaction: ChangeTransaction) -> ServiceNumber | None:
        shard = self._store.get(transaction.index)
        service = find_service(shard, transaction.request.change.service)
        return service.number if service else None

    def _key(self, index: ShardIndex) -> str:
        return shard_key(self._context.settings.region, index)

    def _register_call(self, in_progress: _InProgress) -> int:
        call_id = self._context.rng.getrandbits(63)
        self._in_progress_by_call[call_id] = in_progress
        return call_id
