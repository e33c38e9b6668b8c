"""Sends the results of requests and keeps them for duplicates."""

from collections import deque
from collections.abc import Iterator
from typing import Final

from lycheedeal.admission import RequestKey, jittered_retry_after_ms
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    Context,
    Effect,
    Publish,
    Refused,
    RequestFinished,
    SendToCaller,
)
from lycheedeal.messages import Answer, Outcome
from lycheedeal.model import Endpoint
from lycheedeal.requests._parts import ByteBudget, split_body
from lycheedeal.requests._records import RecordTable, RequestRecord
from lycheedeal.requests._states import RequestState

# Limit of the bytes of request bodies and answers that are held at a time.
_BYTE_LIMIT: Final = 48 * 1024 * 1024


class ResultStore:
    """Ends requests, notifies their callers and keeps the results.

    A result is an answer or an error outcome. Only an unknown outcome may
    still be replaced by an answer.
    """

    def __init__(self, context: Context, table: RecordTable | None = None) -> None:
        """Create a store; ``table`` None means an empty table of default size."""
        self.context = context
        self.table = RecordTable() if table is None else table
        self.budget = ByteBudget(_BYTE_LIMIT)
        self._latest_ms = 0
        self._answered_records: deque[RequestRecord] = deque()

    def now_ms(self) -> int:
        """Return Unix time in milliseconds, which never decreases.

        A clock that is set back must not make an expired request current again.
        Until the clock has caught up, new requests seem late and are refused.
        """
        self._latest_ms = max(self._latest_ms, self.context.wall_ms())
        return self._latest_ms

    def reserve(self, record: RequestRecord, size: int) -> bool:
        """Reserve bytes for a record; return False if the limit would be exceeded.

        Stored answers are dropped to make room, oldest first. They serve only
        callers that ask again, while a refusal affects work that has not run.
        """
        while not self.budget.reserve(size):
            if not self._answered_records:
                return False
            self._drop_stored_answer(self._answered_records.popleft())
        record.reserved_bytes += size
        return True

    def send_outcome(
        self,
        caller: Endpoint,
        key: RequestKey,
        error: ErrorKind,
    ) -> SendToCaller:
        """Return the effect that sends an outcome with a jittered retry delay."""
        flow_id, number = key
        retry_after_ms = jittered_retry_after_ms(self.context.rng, error)
        return SendToCaller(caller, Outcome(flow_id, number, error, retry_after_ms))

    def refuse_new(
        self,
        caller: Endpoint,
        key: RequestKey,
        keep_until_ms: int,
        error: ErrorKind,
    ) -> Iterator[Effect]:
        """Refuse a request that has no record.

        Sends nothing if the refusal cannot be stored, because a duplicate could
        then get another result.
        """
        if self.table.store_refusal(key, keep_until_ms, error):
            yield self.send_outcome(caller, key, error)
            yield Publish(Refused(error, None, 'request was not run'))

    def refuse(self, record: RequestRecord, error: ErrorKind) -> Iterator[Effect]:
        """End a request that was not run and will never be run."""
        if not self.table.change_state(record, RequestState.REFUSED):
            return
        record.error = error
        self._release_bytes(record)
        self.table.compact(record, error)
        yield self.send_outcome(record.caller, record.key, error)
        yield Publish(Refused(error, record.service.number, 'request was not run'))
        yield self._finished_event(record, None, error)

    def end_unknown(
        self,
        record: RequestRecord,
        upstream: Endpoint | None,
        error: ErrorKind,
    ) -> Iterator[Effect]:
        """End a request that may or may not have been run.

        ``upstream`` is the one to which the outcome is attributed; None if there
        is none.
        """
        if not self.table.change_state(record, RequestState.UNKNOWN):
            return
        record.error = error
        self._release_bytes(record)
        yield self.send_outcome(record.caller, record.key, error)
        yield self._finished_event(record, upstream, error)

    def answer(
        self,
        record: RequestRecord,
        upstream: Endpoint,
        body: bytes,
    ) -> Iterator[Effect]:
        """Send the answer of a request, and store it if the byte limit allows.

        Without room, duplicates are told that the record has expired.
        """
        is_first_result = record.state is not RequestState.UNKNOWN
        if not self.table.change_state(record, RequestState.ANSWERED):
            return
        self._release_bytes(record)
        record.error = ErrorKind.RECORD_EXPIRED
        if self.reserve(record, len(body)):
            record.error = None
            record.answer = body
            self._answered_records.append(record)
        yield from _send_answer(record.caller, record.key, body)
        if is_first_result:
            yield self._finished_event(record, upstream, None)

    def resend(self, record: RequestRecord, caller: Endpoint) -> Iterator[Effect]:
        """Send the result of a request again; send nothing while there is none.

        Later messages about the request go to ``caller``.
        """
        record.caller = caller
        if record.answer is not None:
            yield from _send_answer(caller, record.key, record.answer)
        elif record.error is not None:
            yield self.send_outcome(caller, record.key, record.error)

    def release(self, record: RequestRecord) -> None:
        """Release the bytes and the answer of an expired record."""
        if record.state not in {RequestState.ANSWERED, RequestState.REFUSED}:
            self.table.change_state(record, RequestState.UNKNOWN)
        record.answer = None
        self._release_bytes(record)
        while self._answered_records and self._answered_records[0].answer is None:
            self._answered_records.popleft()

    def _drop_stored_answer(self, record: RequestRecord) -> None:
        if record.answer is not None:
            record.answer = None
            record.error = ErrorKind.RECORD_EXPIRED
            self._release_bytes(record)

    def _release_bytes(self, record: RequestRecord) -> None:
        self.budget.release(record.reserved_bytes)
        record.reserved_bytes = 0
        record.body = b''

    def _finished_event(
        self,
        record: RequestRecord,
        upstream: Endpoint | None,
        error: ErrorKind | None,
    ) -> Effect:
        return Publish(
            RequestFinished(
                service=record.service.number,
                kind_id=record.kind.kind_id,
                upstream=upstream,
                error=error,
                seconds=(self.now_ms() - record.arrived_ms) / 1000,
            ),
        )


def _send_answer(
    caller: Endpoint,
    key: RequestKey,
    body: bytes,
) -> Iterator[SendToCaller]:
    flow_id, number = key
    for part, parts, chunk in split_body(body):
        yield SendToCaller(caller, Answer(flow_id, number, part, parts, chunk))
