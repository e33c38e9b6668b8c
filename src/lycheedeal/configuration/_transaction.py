"""One change on its way to the object API; decides, but calls nothing."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.configuration._changes import (
    apply_change,
    find_record,
    find_service,
    restore_shard,
    summarize,
)
from lycheedeal.configuration._codec import encode_shard
from lycheedeal.configuration._validation import check_against_others
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.kernel import ApiStatus, ChangeRequested
from lycheedeal.model import (
    Generation,
    RestoreConfiguration,
    Service,
    Shard,
    ShardIndex,
    shard_of,
)

MAX_ATTEMPTS: Final = 8
# A read may be stale for a moment; an object that was replaced stays old.
_MAX_REGRESSED_READS: Final = 4
# Operators wait for an answer; after this time the outcome is reported as it is.
CHANGE_TIMEOUT_SECONDS: Final = 8.0


@dataclass(frozen=True, slots=True)
class StoredShard:
    """A shard as it was read; version 0 means that there was no object."""

    shard: Shard
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Next step: write this shard if the object still has this version."""

    shard: Shard
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Retry:
    """Next step: wait a little, then read the shard."""


@dataclass(frozen=True, slots=True)
class Decide:
    """Last step: the outcome; ``error`` None means accepted.

    ``shard`` is what this attempt stored, to be applied at once.
    """

    error: ErrorKind | None
    generation: Generation
    detail: str
    shard: Shard | None = None


Step = Write | Retry | Decide


@dataclass(slots=True)
class ChangeTransaction:
    """State of one requested change.

    ``written`` is the last write that was sent. ``unresolved`` is set while
    that write may have taken effect, or may still do so.
    """

    request: ChangeRequested
    deadline: float
    attempts: int = 0
    base: Shard | None = None
    last_write: Write | None = None
    unresolved: bool = False
    index: ShardIndex = field(init=False)

    def __post_init__(self) -> None:
        """Find the shard that the change concerns."""
        self.index = shard_of(self.request.change.service)

    def after_read(
        self,
        stored: StoredShard,
        in_force: Shard,
        others: Iterable[Service],
        *,
        now: float,
        wall_time: float,
    ) -> Step:
        """Return the step after the shard was read.

        ``in_force`` and ``others`` are the shard and all services in force
        on this host before the read.
        """
        change = self.request.change
        if isinstance(change, RestoreConfiguration):
            return self._after_restore_read(stored, in_force, change, wall_time)
        shard = stored.shard
        if self._has_regressed(shard, in_force):
            return self.retry_or_decide(
                ErrorKind.CONFIGURATION_REGRESSED,
                f'generation {shard.generation} is stored, '
                f'{in_force.generation} is in force',
                now,
                _MAX_REGRESSED_READS,
            )
        record = find_record(shard, self.request.change_id)
        if record is not None:
            return Decide(None, record.generation, record.summary)
        if self._may_still_take_effect(shard):
            return self.last_write or Retry()
        self.unresolved = False
        conflict = self._find_conflict(shard)
        if conflict:
            return Decide(ErrorKind.CONFLICT, shard.generation, conflict)
        return self._propose(stored, others, wall_time)

    def after_write(self, status: ApiStatus, in_force: Shard, now: float) -> Step:
        """Return the step after a write was answered or given up."""
        match status:
            case ApiStatus.OK if self.last_write is not None:
                return self._accept(self.last_write.shard, in_force)
            case ApiStatus.UNKNOWN:
                self.unresolved = True
                return self.retry_or_decide(ErrorKind.CHANGE_UNKNOWN, 'no answer', now)
            case ApiStatus.UNAVAILABLE:
                return self.retry_or_decide(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    'nothing was written',
                    now,
                )
            case _:
                return self.retry_or_decide(
                    ErrorKind.CONFLICT,
                    'the shard changes too often, nothing was written',
                    now,
                )

    def retry_or_decide(
        self,
        error: ErrorKind,
        detail: str,
        now: float,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> Step:
        """Return one more try, or the outcome if there were enough."""
        self.attempts += 1
        if self.attempts < max_attempts and now < self.deadline:
            return Retry()
        if self.unresolved:
            return Decide(
                ErrorKind.CHANGE_UNKNOWN,
                Generation(0),
                'a write was sent and its outcome could not be read',
            )
        return Decide(error, Generation(0), detail)

    def _after_restore_read(
        self,
        stored: StoredShard,
        in_force: Shard,
        change: RestoreConfiguration,
        wall_time: float,
    ) -> Step:
        shard = stored.shard
        record = find_record(shard, self.request.change_id)
        if record is not None:
            return Decide(None, record.generation, record.summary)
        if self._may_still_take_effect(shard):
            return self.last_write or Retry()
        self.unresolved = False
        if not self._has_regressed(shard, in_force):
            return Decide(
                ErrorKind.CONFLICT,
                shard.generation,
                f'generation {shard.generation} is stored, which is not older than '
                f'{in_force.generation} in force',
            )
        # A read that was stale fails at the conditional update.
        return self._write_or_decide(
            stored,
            lambda: restore_shard(
                shard,
                in_force,
                change,
                self.request.change_id,
                wall_time,
            ),
        )

    def _has_regressed(self, shard: Shard, in_force: Shard) -> bool:
        # An object that was deleted and made anew can reach the generation
        # in force with other content.
        if shard.generation == in_force.generation:
            return shard != in_force
        return shard.generation < in_force.generation

    def _accept(self, written: Shard, in_force: Shard) -> Step:
        # The object may have been replaced by an older one between the read
        # and the write; then other hosts hold a higher generation without
        # this change and will not apply it.
        known = find_record(in_force, self.request.change_id)
        if known is None and in_force.generation >= written.generation:
            return Decide(
                ErrorKind.CHANGE_UNKNOWN,
                Generation(0),
                f'stored as generation {written.generation}, '
                f'but {in_force.generation} is in force',
            )
        return Decide(
            None,
            written.generation,
            summarize(self.request.change),
            written,
        )

    def _may_still_take_effect(self, shard: Shard) -> bool:
        # A generation as high as the one written, without the record of this
        # change, proves that another change took its place.
        if not self.unresolved or self.last_write is None:
            return False
        return shard.generation < self.last_write.shard.generation

    def _find_conflict(self, shard: Shard) -> str:
        if self.base is None:
            return ''
        name = self.request.change.service
        if find_service(self.base, name) == find_service(shard, name):
            return ''
        newer = [
            record
            for record in shard.changes
            if record.generation > self.base.generation
        ]
        related = [one for one in newer if name in one.summary.split()]
        first = next(iter(related or newer), None)
        if first is None:
            return f'service {name} was changed'
        return f'{first.summary} came first (generation {first.generation})'

    def _propose(
        self,
        stored: StoredShard,
        others: Iterable[Service],
        wall_time: float,
    ) -> Step:
        self.base = stored.shard
        return self._write_or_decide(
            stored,
            lambda: self._change_shard(stored.shard, others, wall_time),
        )

    def _change_shard(
        self,
        stored: Shard,
        others: Iterable[Service],
        wall_time: float,
    ) -> Shard:
        request = self.request
        shard = apply_change(stored, request.change, request.change_id, wall_time)
        service = find_service(shard, request.change.service)
        if service is not None:
            check_against_others(service, others)
        return shard

    def _write_or_decide(
        self,
        stored: StoredShard,
        propose: Callable[[], Shard],
    ) -> Step:
        try:
            shard = propose()
            body = encode_shard(shard)
        except InvalidConfigurationError as error:
            return Decide(
                ErrorKind.INVALID_CONFIGURATION,
                stored.shard.generation,
                error.detail,
            )
        if self.request.dry_run:
            summary = summarize(self.request.change)
            return Decide(None, stored.shard.generation, summary)
        self.last_write = Write(shard, stored.version, body)
        return self.last_write
