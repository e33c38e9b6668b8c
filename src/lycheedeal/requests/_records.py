"""Records of the requests that this process owns.

Every verdict is remembered until the deadline plus a grace period, so that a
late duplicate neither runs nor gets another verdict.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import xxhash

from lycheedeal.admission import QueuedRequest, RequestKey
from lycheedeal.errors import ErrorKind
from lycheedeal.model import Endpoint, Service, WorkKind
from lycheedeal.requests._parts import PartBuffer
from lycheedeal.requests._states import ACTIVE_STATES, TRANSITIONS, RequestState

if TYPE_CHECKING:
    from lycheedeal.requests._attempts import Attempt

RECORD_GRACE_MS: Final = 10_000
_MS_PER_SECOND: Final = 1000
# A timer may run a tick of 100 ms late; the rest is for the way to the caller.
_RESULT_LEAD_MS: Final = 150
# Measured without bodies: 0.6 KB for an answered request (1.5 KB until its
# timers have run) and 0.27 KB for a remembered refusal.
_MAX_RECORDS: Final = 40_000
_MAX_REFUSALS: Final = 150_000


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request; times are Unix milliseconds.

    ``attempts`` are those with an unknown result. ``unresolved_error`` is set when
    one of them was given up although it may have run.
    """

    key: RequestKey
    caller: Endpoint
    service: Service
    kind: WorkKind
    arrived_ms: int
    deadline_ms: int
    buffer: PartBuffer
    state: RequestState = RequestState.ASSEMBLING
    body: bytes = b''
    answer: bytes | None = None
    error: ErrorKind | None = None
    queue_entry: QueuedRequest | None = None
    attempts: 'list[Attempt]' = field(default_factory=list)
    unresolved_error: ErrorKind | None = None
    cancelled: bool = False
    attempt_count: int = 0
    retry_count: int = 0
    reserved_bytes: int = 0

    @property
    def queue_deadline_ms(self) -> int:
        """Latest time for a verdict that can reach the caller before its deadline."""
        lead = (self.deadline_ms - self.arrived_ms) // 4
        return self.deadline_ms - min(lead, _RESULT_LEAD_MS)


class RecordTable:
    """Bounded table of records and of compactly remembered refusals."""

    def __init__(
        self,
        max_records: int = _MAX_RECORDS,
        max_refusals: int = _MAX_REFUSALS,
    ) -> None:
        """Start empty."""
        self.active_count = 0
        self._max_records = max_records
        self._max_refusals = max_refusals
        self._records_by_key: dict[RequestKey, RequestRecord] = {}
        self._refusals_by_digest: dict[int, ErrorKind] = {}
        self._keys_by_expiry_second: dict[int, list[RequestKey | int]] = {}

    def find(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a request, if it is kept."""
        return self._records_by_key.get(key)

    def find_refusal(self, key: RequestKey) -> ErrorKind | None:
        """Return the error of a refusal that is remembered compactly."""
        return self._refusals_by_digest.get(_digest(key))

    def add(self, record: RequestRecord) -> bool:
        """Keep a new record; False if the table is full."""
        if len(self._records_by_key) >= self._max_records:
            return False
        self._records_by_key[record.key] = record
        self._expire_after(record.deadline_ms, record.key)
        self.active_count += 1
        return True

    def change_state(self, record: RequestRecord, state: RequestState) -> bool:
        """Change the state; False and no effect if that is not allowed."""
        if state not in TRANSITIONS[record.state]:
            return False
        if record.state in ACTIVE_STATES and state not in ACTIVE_STATES:
            self.active_count -= 1
        record.state = state
        return True

    def remember_refusal(
        self,
        key: RequestKey,
        deadline_ms: int,
        error: ErrorKind,
    ) -> bool:
        """Remember a refusal compactly; False if there is no room."""
        if len(self._refusals_by_digest) >= self._max_refusals:
            return False
        digest = _digest(key)
        self._refusals_by_digest[digest] = error
        self._expire_after(deadline_ms, digest)
        return True

    def compact(self, record: RequestRecord, error: ErrorKind) -> None:
        """Replace the record of a refused request by a compact one."""
        if self.remember_refusal(record.key, record.deadline_ms, error):
            self._records_by_key.pop(record.key)

    def expire(self, now_ms: int) -> Iterator[RequestRecord]:
        """Forget what is past its deadline and grace; yield such records."""
        this_second = now_ms // _MS_PER_SECOND
        past = tuple(
            expiry for expiry in self._keys_by_expiry_second if expiry < this_second
        )
        for second in past:
            for key in self._keys_by_expiry_second.pop(second):
                record = self._forget(key)
                if record is not None:
                    yield record

    def _forget(self, key: RequestKey | int) -> RequestRecord | None:
        if isinstance(key, int):
            self._refusals_by_digest.pop(key, None)
            return None
        return self._records_by_key.pop(key, None)

    def _expire_after(self, deadline_ms: int, key: RequestKey | int) -> None:
        second = (deadline_ms + RECORD_GRACE_MS) // _MS_PER_SECOND
        self._keys_by_expiry_second.setdefault(second, []).append(key)


def _digest(key: RequestKey) -> int:
    flow_id, number = key
    return xxhash.xxh3_128_intdigest(flow_id + str(number).encode())
