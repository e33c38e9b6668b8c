"""Attempts to run requests at upstreams."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from lycheedeal.admission import Assignment
from lycheedeal.model import AttemptId, Endpoint, Incarnation
from lycheedeal.requests._parts import PartBuffer
from lycheedeal.requests._records import RequestRecord


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at an upstream.

    ``open`` is true until the upstream replies or is lost. The slot may be
    released earlier or later than that. ``send_count`` is the number of times
    that the request was sent to the upstream, ``sent_ms`` the Unix time in
    milliseconds of the last one. ``cancel_requested`` is set once the upstream
    was asked to cancel. ``buffer`` collects the parts of the answer; None until
    the first part arrives.
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
    """Attempts of this process by id; ids are never reused.

    An id consists of a random prefix of the process and a counter. This keeps
    a late answer to an earlier process from matching a current attempt.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create an empty table and draw the id prefix of this process."""
        self._prefix = rng.getrandbits(32) << 32
        self._counter = 0
        self._attempts_by_id: dict[AttemptId, Attempt] = {}

    def start(self, record: RequestRecord, assignment: Assignment) -> Attempt:
        """Add an attempt for a request that was assigned a slot."""
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
        """Return an attempt; None if unknown or sent to another upstream."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is None or attempt.upstream != upstream:
            return None
        return attempt

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt; later replies to it are ignored."""
        self._attempts_by_id.pop(attempt.attempt_id, None)
        if attempt in attempt.record.attempts:
            attempt.record.attempts.remove(attempt)

    def open_at(self, upstream: Endpoint) -> Iterator[Attempt]:
        """Yield the open attempts at an upstream.

        The table may be changed during the iteration.
        """
        for attempt in tuple(self._attempts_by_id.values()):
            if attempt.open and attempt.upstream == upstream:
                yield attempt


def has_open_attempt(record: RequestRecord) -> bool:
    """Return whether any attempt of a request may still be answered."""
    return any(attempt.open for attempt in record.attempts)
