"""Gives verdicts on requests and remembers them."""

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
from lycheedeal.requests._parts import ByteBudget, split
from lycheedeal.requests._records import Record, RecordTable
from lycheedeal.requests._states import RequestState

_BYTE_LIMIT: Final = 48 * 1024 * 1024


class Ledger:
    """Record table with the effects that each verdict calls for."""

    def __init__(self, context: Context, table: RecordTable | None = None) -> None:
        """Start without records."""
        self.context = context
        self.table = RecordTable() if table is None else table
        self.budget = ByteBudget(_BYTE_LIMIT)
        self._latest_ms = 0
        self._stored: deque[Record] = deque()

    def now_ms(self) -> int:
        """Return Unix milliseconds that never go backwards.

        A clock that is set back must not make an expired request current;
        until it catches up, new requests appear late and are refused.
        """
        self._latest_ms = max(self._latest_ms, self.context.wall_ms())
        return self._latest_ms

    def reserve(self, record: Record, size: int) -> bool:
        """Reserve bytes for a record; False if the limit would be passed.

        Stored answers make room, oldest first: they only serve callers that
        ask again, while a refusal would cost work that has not run yet.
        """
        while not self.budget.take(size):
            if not self._stored:
                return False
            self._drop_answer(self._stored.popleft())
        record.reserved += size
        return True

    def outcome(
        self,
        caller: Endpoint,
        key: RequestKey,
        error: ErrorKind,
    ) -> SendToCaller:
        """Return the effect that tells an outcome; the delay is spread."""
        flow_id, number = key
        delay = jittered_retry_after_ms(self.context.rng, error)
        return SendToCaller(caller, Outcome(flow_id, number, error, delay))

    def refuse_arrival(
        self,
        caller: Endpoint,
        key: RequestKey,
        remember_until_ms: int,
        error: ErrorKind,
    ) -> Iterator[Effect]:
        """Refuse a request without a record, silently if it cannot be remembered."""
        if self.table.remember_refusal(key, remember_until_ms, error):
            yield self.outcome(caller, key, error)
            yield Publish(Refused(error, None, 'request'))

    def refuse(self, record: Record, error: ErrorKind) -> Iterator[Effect]:
        """Give the verdict that a request was not run and never will be."""
        if not self.table.move(record, RequestState.REFUSED):
            return
        record.error = error
        self._release_bytes(record)
        self.table.compact(record, error)
        yield self.outcome(record.caller, record.key, error)
        yield Publish(Refused(error, record.service.number, 'request'))
        yield self._finished(record, None, error)

    def leave_unknown(
        self,
        record: Record,
        upstream: Endpoint | None,
        error: ErrorKind,
    ) -> Iterator[Effect]:
        """Give the verdict that a request may or may not have run."""
        if not self.table.move(record, RequestState.UNKNOWN):
            return
        record.error = error
        self._release_bytes(record)
        yield self.outcome(record.caller, record.key, error)
        yield self._finished(record, upstream, error)

    def answer(
        self,
        record: Record,
        upstream: Endpoint,
        body: bytes,
    ) -> Iterator[Effect]:
        """Give the answer; it is kept if the byte limit allows."""
        first_verdict = record.state is not RequestState.UNKNOWN
        if not self.table.move(record, RequestState.ANSWERED):
            return
        self._release_bytes(record)
        record.error = ErrorKind.RECORD_EXPIRED
        if self.reserve(record, len(body)):
            record.error = None
            record.answer = body
            self._stored.append(record)
        yield from _answer_parts(record.caller, record.key, body)
        if first_verdict:
            yield self._finished(record, upstream, None)

    def repeat(self, record: Record, caller: Endpoint) -> Iterator[Effect]:
        """Give a verdict again to a duplicate; nothing while in progress."""
        record.caller = caller
        if record.answer is not None:
            yield from _answer_parts(caller, record.key, record.answer)
        elif record.error is not None:
            yield self.outcome(caller, record.key, record.error)

    def forget(self, record: Record) -> None:
        """Release what an expired record held."""
        if record.state not in {RequestState.ANSWERED, RequestState.REFUSED}:
            self.table.move(record, RequestState.UNKNOWN)
        record.answer = None
        self._release_bytes(record)
        while self._stored and self._stored[0].answer is None:
            self._stored.popleft()

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            record.answer = None
            record.error = ErrorKind.RECORD_EXPIRED
            self._release_bytes(record)

    def _release_bytes(self, record: Record) -> None:
        self.budget.give_back(record.reserved)
        record.reserved = 0
        record.body = b''

    def _finished(
        self,
        record: Record,
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


def _answer_parts(
    caller: Endpoint,
    key: RequestKey,
    body: bytes,
) -> Iterator[SendToCaller]:
    flow_id, number = key
    for part, parts, chunk in split(body):
        yield SendToCaller(caller, Answer(flow_id, number, part, parts, chunk))
