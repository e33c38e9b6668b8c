"""Attempts: one for each time a request is handed to an upstream."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from lycheedeal.admission import Assignment
from lycheedeal.model import AttemptId, Endpoint, Incarnation
from lycheedeal.requests._parts import PartBuffer
from lycheedeal.requests._records import RequestRecord


@dataclass(slots=True, eq=False)
class Attempt:
    """A request handed to an upstream.

    ``open`` is true until the upstream or its loss ended the attempt; the
    slot may be freed earlier or later than that. ``send_count`` counts how often
    the parts were sent, ``sent_ms`` is the time of the last one.
    ``cancel_requested`` is set once the upstream was asked to cancel.
    """

    attempt_id: AttemptId
    record: RequestRecord
    assignment: Assignment
    upstream: Endpoint
    incarnation: Incarnation
    sent_ms: int
    send_count: int = 1
    cancel_requested: bool = False
    open: bool = True
    holds_slot: bool = True
    buffer: PartBuffer | None = None


class AttemptTable:
    """Attempts by id; ids are never reused.

    An id is a random prefix of the process and a counter, so that a late
    answer to an attempt of an earlier process is not taken for a current one.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the prefix of this process."""
        self._prefix = rng.getrandbits(32) << 32
        self._counter = 0
        self._attempts_by_id: dict[AttemptId, Attempt] = {}

    def start(self, record: RequestRecord, assignment: Assignment) -> Attempt:
        """Add an attempt for a record that was given a slot."""
        self._counter += 1
        attempt_id = AttemptId(self._prefix | self._counter)
        slots = assignment.slots
        attempt = Attempt(
            attempt_id,
            record,
            assignment,
            slots.upstream.endpoint,
            slots.incarnation,
            assignment.sent_ms,
        )
        self._attempts_by_id[attempt_id] = attempt
        record.attempts.append(attempt)
        return attempt

    def find(self, attempt_id: AttemptId, upstream: Endpoint) -> Attempt | None:
        """Return an attempt if it was sent to this upstream."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None or attempt.upstream != upstream:
            return None
        return attempt

    def remove(self, attempt: Attempt) -> None:
        """Forget an attempt; nothing more is accepted for it."""
        self._attempts_by_id.pop(attempt.attempt_id, None)
        if attempt in attempt.record.attempts:
            attempt.record.attempts.remove(attempt)

    def open_at(self, upstream: Endpoint) -> Iterator[Attempt]:
        """Yield the open attempts at an upstream; the table may change."""
        for attempt in tuple(self._attempts_by_id.values()):
            if attempt.open and attempt.upstream == upstream:
                yield attempt


def has_open_attempt(record: RequestRecord) -> bool:
    """Tell whether an attempt of a record may still be answered."""
    return any(attempt.open for attempt in record.attempts)
