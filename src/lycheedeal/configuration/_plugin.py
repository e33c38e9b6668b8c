"""The plug-in: shards in force, changes and their spreading."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal import messages
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
from lycheedeal.configuration._codec import decode_shard
from lycheedeal.configuration._refresh import Refresher
from lycheedeal.configuration._spreading import Spreader
from lycheedeal.configuration._store import Age, ShardStore
from lycheedeal.configuration._validation import validate_shard
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.kernel import (
    ApiCall,
    ApiChanged,
    ApiReplied,
    ApiStatus,
    CallApi,
    ChangeDecided,
    ChangeRequested,
    Context,
    Effect,
    Event,
    GossipReceived,
    Log,
    LogLevel,
    MembersChanged,
    Publish,
    Refused,
    Resumed,
    Started,
    Tick,
    ViewChanged,
)
from lycheedeal.model import Generation, ServiceNumber, Shard, ShardIndex

_PART: Final = 'configuration'
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


class ConfigurationPlugin:
    """Accepts, applies and spreads configuration, and never reverts it."""

    def __init__(self, context: Context) -> None:
        """Start without configuration."""
        self._context = context
        self._prefix = f'config/{context.settings.region}/'
        self.store = ShardStore()
        self._spreader = Spreader(context.settings, self.store, context.rng)
        self._refresher = Refresher(context.settings, context.rng)
        # Keyed by the id of the call that the attempt last made.
        self._pending_by_call: dict[int, _Pending] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        now = self._context.clock.monotonic()
        match event:
            case Started():
                yield from self._refresher.start(now)
            case Tick():
                yield from self._tick(now)
            case Resumed():
                yield from self._spreader.send_digest(now)
                yield from self._refresher.resume(now)
            case MembersChanged():
                yield from self._spreader.change_members(event)
                yield from self._refresher.change_members(event, now)
            case GossipReceived(message):
                yield from self._hear(message, now)
            case ApiChanged():
                yield from self._take_stored(event.key, event.version, event.body)
            case ApiReplied():
                yield from self._take_reply(event, now)
            case ChangeRequested():
                yield from self._begin(event, now)
            case _:
                return

    def _tick(self, now: float) -> Iterator[Effect]:
        yield from self._refresher.tick(now, configured=len(self.store) > 0)
        yield from self._spreader.tick(now)
        for call_id, pending in tuple(self._pending_by_call.items()):
            yield from self._tick_attempt(call_id, pending, now)

    def _hear(
        self,
        message: messages.Digest | messages.ShardCopy,
        now: float,
    ) -> Iterator[Effect]:
        if message.sender == self._context.settings.host_id:
            return
        self._spreader.hear(now)
        match message:
            case messages.Digest():
                yield from self._spreader.answer_digest(message, now)
            case messages.ShardCopy(sender, shard):
                yield from self._apply(shard, f'host {sender}')

    # Shards that arrive.

    def _take_stored(
        self,
        key: str,
        version: int,
        body: bytes,
    ) -> Iterator[Effect]:
        index = self._index_of(key)
        if index is None:
            return
        try:
            shard = _read_body(index, version, body)
        except InvalidConfigurationError as error:
            yield from self._report_invalid(f'object {key}', error)
            return
        yield from self._apply_stored(shard, key)

    def _apply_stored(self, shard: Shard, key: str) -> Iterator[Effect]:
        in_force = self.store.generation(shard.index)
        if self.store.age(shard.index, shard.generation) is not Age.OLDER:
            yield from self._apply(shard, f'object {key}')
            return
        detail = f'{key} has generation {shard.generation}, {in_force} is in force'
        yield Log(_PART, LogLevel.WARNING, f'Ignored older configuration: {detail}.')
        yield Publish(Refused(ErrorKind.CONFIGURATION_REGRESSED, None, detail))

    def _apply(self, shard: Shard, source: str) -> Iterator[Effect]:
        if self.store.age(shard.index, shard.generation) is not Age.NEWER:
            return
        try:
            validate_shard(shard)
        except InvalidConfigurationError as error:
            yield from self._report_invalid(source, error)
            return
        self.store.put(shard)
        yield Log(
            _PART,
            LogLevel.INFO,
            f'Shard {shard.index} generation {shard.generation} from {source}.',
        )
        yield Publish(ViewChanged(self.store.view()))
        now = self._context.clock.monotonic()
        yield from self._spreader.send_copy(shard.index, now)

    def _report_invalid(
        self,
        source: str,
        error: InvalidConfigurationError,
    ) -> Iterator[Effect]:
        detail = f'{source}: {error.detail}'
        yield Log(_PART, LogLevel.ERROR, f'Ignored invalid configuration: {detail}.')
        yield Publish(Refused(ErrorKind.INVALID_CONFIGURATION, None, detail))

    def _index_of(self, key: str) -> ShardIndex | None:
        suffix = key.removeprefix(self._prefix)
        if suffix == key or not (suffix.isascii() and suffix.isdecimal()):
            return None
        return ShardIndex(int(suffix))

    # Changes that are requested.

    def _begin(self, request: ChangeRequested, now: float) -> Iterator[Effect]:
        attempt = Attempt(request, now + MAX_SECONDS)
        record = find_record(self.store.get(attempt.index), request.change_id)
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
        return CallApi(call_id, ApiCall.READ, f'{self._prefix}{attempt.index}')

    def _take_reply(self, reply: ApiReplied, now: float) -> Iterator[Effect]:
        pending = self._pending_by_call.pop(reply.call_id, None)
        if pending is None:
            self._refresher.list_replied(reply.call_id, reply.status, now)
            return
        match pending.phase:
            case _Reading():
                yield from self._take_read(pending.attempt, reply, now)
            case _Writing():
                step = pending.attempt.after_write(
                    reply.status,
                    self.store.get(pending.attempt.index),
                    now,
                )
                yield from self._go_on(pending.attempt, step, now)
            case _Waiting():
                return

    def _tick_attempt(
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
                lost = ApiReplied(call_id, ApiStatus.UNKNOWN, self._prefix)
                yield from self._take_reply(lost, now)
            case _:
                return

    def _take_read(
        self,
        attempt: Attempt,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        if reply.status in _READ:
            yield from self._take_copy(attempt, reply, now)
            return
        step = attempt.retry(
            ErrorKind.PLATFORM_UNAVAILABLE,
            'the shard cannot be read, nothing was written',
            now,
        )
        yield from self._go_on(attempt, step, now)

    def _take_copy(
        self,
        attempt: Attempt,
        reply: ApiReplied,
        now: float,
    ) -> Iterator[Effect]:
        found = reply.status is ApiStatus.OK
        version = reply.version if found else 0
        try:
            shard = _read_body(attempt.index, version, reply.body)
            if shard.generation:
                validate_shard(shard)
        except InvalidConfigurationError as error:
            yield from self._report_invalid(f'object {reply.key}', error)
            step = attempt.retry(
                ErrorKind.INVALID_CONFIGURATION,
                f'stored shard: {error.detail}',
                now,
            )
            yield from self._go_on(attempt, step, now)
            return
        in_force = self.store.get(attempt.index)
        yield from self._apply_stored(shard, reply.key)
        step = attempt.after_read(
            StoredShard(shard, version),
            in_force,
            tuple(self.store.services()),
            now=now,
            wall=self._context.clock.wall(),
        )
        yield from self._go_on(attempt, step, now)

    def _go_on(self, attempt: Attempt, step: Step, now: float) -> Iterator[Effect]:
        match step:
            case Write(_, version, body):
                call_id = self._new_call(_Pending(attempt, _Writing(now)))
                key = f'{self._prefix}{attempt.index}'
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
                yield from self._apply(step.shard, f'change "{text}"')
        elif not request.dry_run:
            yield Log(
                _PART,
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
        shard = self.store.get(attempt.index)
        service = find_service(shard, attempt.request.change.service)
        return service.number if service else None

    def _new_call(self, pending: _Pending) -> int:
        call_id = self._context.rng.getrandbits(63)
        self._pending_by_call[call_id] = pending
        return call_id


def _read_body(index: ShardIndex, version: int, body: bytes) -> Shard:
    # Version 0 means that the object does not exist.
    if version == 0:
        return Shard(index, Generation(0))
    return decode_shard(body, index)
