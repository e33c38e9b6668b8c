"""Records of the requests that this process owns.

Every result is kept until the deadline plus a grace period, so that a late
duplicate is neither run nor given another result.
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

# Time that a record is kept after the deadline of its request.
RECORD_GRACE_MS: Final = 10_000
_MS_PER_SECOND: Final = 1000
# Time before the deadline at which a waiting request gets its result: a timer may
# run one tick of 100 ms late, and the rest is for the transfer to the caller.
_RESULT_LEAD_MS: Final = 150
# Without bodies, an answered request takes 0.6 KB (1.5 KB until its timers have
# run) and a stored refusal 0.27 KB.
_MAX_RECORDS: Final = 40_000
_MAX_REFUSALS: Final = 150_000


@dataclass(slots=True, eq=False)
class RequestRecord:
    """State of one request; times are Unix milliseconds.

    ``attempts`` holds the attempts whose result is unknown. ``unresolved_error`` is set
    when one of them was abandoned although it may have run; None otherwise.
    ``error`` is the outcome that duplicates get, if there is no ``answer``.
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
        """Latest time at which a result still reaches the caller by the deadline."""
        lead = (self.deadline_ms - self.arrived_ms) // 4
        return self.deadline_ms - min(lead, _RESULT_LEAD_MS)


class RecordTable:
    """Bounded table of records and refusals.

    A refusal is stored as a digest and an error only. ``active_count`` is the
    number of requests without a result.
    """

    def __init__(
        self,
        max_records: int = _MAX_RECORDS,
        max_refusals: int = _MAX_REFUSALS,
    ) -> None:
        """Create an empty table with these limits on the number of entries."""
        self.active_count = 0
        self._max_records = max_records
        self._max_refusals = max_refusals
        self._records_by_key: dict[RequestKey, RequestRecord] = {}
        self._refusals_by_digest: dict[int, ErrorKind] = {}
        self._keys_by_expiry_second: dict[int, list[RequestKey | int]] = {}

    def find(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a request; None if there is none."""
        return self._records_by_key.get(key)

    def find_refusal(self, key: RequestKey) -> ErrorKind | None:
        """Return the error of a stored refusal; None if there is none."""
        return self._refusals_by_digest.get(_digest(key))

    def add(self, record: RequestRecord) -> bool:
        """Add a new record; return False, without effect, if the table is full."""
        if len(self._records_by_key) >= self._max_records:
            return False
        self._records_by_key[record.key] = record
        self._expire_after(record.deadline_ms, record.key)
        self.active_count += 1
        return True

    def change_state(self, record: RequestRecord, state: RequestState) -> bool:
        """Change the state; return False, without effect, if that is not allowed."""
        if state not in TRANSITIONS[record.state]:
            return False
        if record.state in ACTIVE_STATES and state not in ACTIVE_STATES:
            self.active_count -= 1
        record.state = state
        return True

    def store_refusal(
        self,
        key: RequestKey,
        deadline_ms: int,
        error: ErrorKind,
    ) -> bool:
        """Store a refusal by its digest; return False if the table is full."""
        if len(self._refusals_by_digest) >= self._max_refusals:
            return False
        digest = _digest(key)
        self._refusals_by_digest[digest] = error
        self._expire_after(deadline_ms, digest)
        return True

    def compact(self, record: RequestRecord, error: ErrorKind) -> None:
        """Replace the record of a refused request by a digest.

        The record stays if no more refusals can be stored.
        """
        if self.store_refusal(record.key, record.deadline_ms, error):
            self._records_by_key.pop(record.key)

    def expire(self, now_ms: int) -> Iterator[RequestRecord]:
        """Remove entries past deadline and grace period; yield removed records.

        Entries expire in whole seconds of Unix time.
        """
        this_second = now_ms // _MS_PER_SECOND
        past = tuple(
            expiry for expiry in self._keys_by_expiry_second if expiry < this_second
        )
        for second in past:
            for key in self._keys_by_expiry_second.pop(second):
                record = self._remove(key)
                if record is not None:
                    yield record

    def _remove(self, key: RequestKey | int) -> RequestRecord | None:
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
