"""Read-modify-write of one configuration change, without input or output.

A shard is read, changed and written back on the condition that the object
still has the version that was read. The methods return the next step, which
the caller carries out.
"""

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
# A stale read passes after some retries, whereas an object that was replaced by
# an older one does not.
_MAX_REGRESSED_READS: Final = 4
# Operators wait for the answer, so no retry starts after this time.
CHANGE_TIMEOUT_SECONDS: Final = 8.0


@dataclass(frozen=True, slots=True)
class StoredShard:
    """A shard read from the object API; version 0 if the object did not exist."""

    shard: Shard
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Step that writes the shard if the object still has this version."""

    shard: Shard
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Retry:
    """Step that reads the shard again after a delay."""


@dataclass(frozen=True, slots=True)
class Decide:
    """Last step, with the outcome of the change; ``error`` None means accepted.

    ``generation`` is 0 if it is not known. ``shard`` is the shard that this
    transaction stored, to be applied at once, or None.
    """

    error: ErrorKind | None
    generation: Generation
    detail: str
    shard: Shard | None = None


Step = Write | Retry | Decide


@dataclass(slots=True)
class ChangeTransaction:
    """State of one requested change.

    ``deadline`` is a monotonic time in seconds. ``base`` is the shard that the
    change was last applied to, and ``last_write`` the last write that was sent.
    ``unresolved`` is true while that write may have taken effect or may still
    do so. ``may_be_stored`` is true once any write was left without an answer:
    a later shard without the record of the change does not prove that the write
    failed, because the object may have been recreated from an older body.
    """

    request: ChangeRequested
    deadline: float
    attempts: int = 0
    base: Shard | None = None
    last_write: Write | None = None
    unresolved: bool = False
    may_be_stored: bool = False
    index: ShardIndex = field(init=False)

    def __post_init__(self) -> None:
        """Compute the index of the shard that has the service of the change."""
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
        on this host before the read. ``now`` is a monotonic time and
        ``wall_time`` Unix time, both in seconds.
        """
        change = self.request.change
        if isinstance(change, RestoreConfiguration):
            return self._after_restore_read(stored, in_force, change, wall_time)
        shard = stored.shard
        if self._has_regressed(shard, in_force):
            return self.retry_or_decide(
                ErrorKind.CONFIGURATION_REGRESSED,
                f'stored generation {shard.generation} does not continue '
                f'generation {in_force.generation} in force',
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
            return self._refuse(ErrorKind.CONFLICT, shard.generation, conflict)
        return self._propose(stored, others, wall_time)

    def after_write(self, status: ApiStatus, in_force: Shard, now: float) -> Step:
        """Return the step after a write was answered or timed out."""
        match status:
            case ApiStatus.OK if self.last_write is not None:
                return self._accept(self.last_write.shard, in_force)
            case ApiStatus.UNKNOWN:
                self.unresolved = True
                self.may_be_stored = True
                return self.retry_or_decide(
                    ErrorKind.CHANGE_UNKNOWN,
                    'the platform did not answer the write',
                    now,
                )
            case ApiStatus.UNAVAILABLE:
                return self.retry_or_decide(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    'the platform is not available, nothing was written',
                    now,
                )
            case _:
                return self.retry_or_decide(
                    ErrorKind.CONFLICT,
                    'the shard was changed during each attempt, nothing was written',
                    now,
                )

    def retry_or_decide(
        self,
        error: ErrorKind,
        detail: str,
        now: float,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> Step:
        """Return a retry, or the outcome after the last attempt or the deadline.

        ``error`` and ``detail`` describe the failure of this attempt. They are
        replaced by CHANGE_UNKNOWN if an earlier write may have taken effect.
        """
        self.attempts += 1
        if self.attempts < max_attempts and now < self.deadline:
            return Retry()
        return self._refuse(error, Generation(0), detail)

    def _refuse(self, error: ErrorKind, generation: Generation, detail: str) -> Decide:
        """Return a refusal, or CHANGE_UNKNOWN if the change may be stored."""
        if not self.may_be_stored:
            return Decide(error, generation, detail)
        return Decide(
            ErrorKind.CHANGE_UNKNOWN,
            Generation(0),
            'a write was sent, but its outcome could not be read back; '
            f'last attempt: {detail}',
        )

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
            return self._refuse(
                ErrorKind.CONFLICT,
                shard.generation,
                f'stored generation {shard.generation} is not older than '
                f'generation {in_force.generation} in force',
            )
        # If the read was stale, the conditional write fails.
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
        # A recreated object can reach the generation in force with other content.
        if shard.generation == in_force.generation:
            return shard != in_force
        return shard.generation < in_force.generation

    def _accept(self, written: Shard, in_force: Shard) -> Step:
        # The object may have been replaced by an older one between the read and
        # the write. Other hosts then have a higher generation without this
        # change in force and will not apply it.
        known = find_record(in_force, self.request.change_id)
        if known is None and in_force.generation >= written.generation:
            return Decide(
                ErrorKind.CHANGE_UNKNOWN,
                Generation(0),
                f'the change is stored as generation {written.generation}, '
                f'but generation {in_force.generation} without it is in force',
            )
        return Decide(
            None,
            written.generation,
            summarize(self.request.change),
            written,
        )

    def _may_still_take_effect(self, shard: Shard) -> bool:
        # The caller found no record of this change. At a generation as high as the
        # one written, the object was changed or recreated since it was read, and
        # the condition of the write does not hold any more.
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
            return f'service {name} was changed since it was read'
        return (
            f'change "{first.summary}" was stored first (generation {first.generation})'
        )

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
            return self._refuse(
                ErrorKind.INVALID_CONFIGURATION,
                stored.shard.generation,
                error.detail,
            )
        if self.request.dry_run:
            summary = summarize(self.request.change)
            return Decide(None, stored.shard.generation, summary)
        self.last_write = Write(shard, stored.version, body)
        return self.last_write
