"""Plug-in that executes the statements of operators."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from lycheedeal.errors import ErrorKind, answer_for
from lycheedeal.exceptions import LycheedealError, StatementError
from lycheedeal.kernel import (
    ChangeDecided,
    ChangeRequested,
    Context,
    Effect,
    Event,
    Log,
    LogLevel,
    Observe,
    Publish,
    Reply,
    StatementReceived,
    StatusKnown,
    StatusRequested,
    Tick,
)
from lycheedeal.model import ChangeId, QueryId
from lycheedeal.operators._answers import (
    affected_by,
    answer_query,
    error_content,
    status_content,
)
from lycheedeal.operators._host_state import HostState
from lycheedeal.operators._parser import parse_statement
from lycheedeal.operators._statements import (
    ChangeStatement,
    Query,
    ShowConfig,
    Statement,
)

_PART: Final = 'operators'
# Long enough for one conditional update of the object API and its retries.
_DECISION_TIMEOUT_SECONDS: Final = 10
# Changes, and queries for the status of zones, that wait at the same time. A
# region has 15,000 changes a day, so more than this many on one host come from
# a script in a loop.
_MAX_PENDING: Final = 256
# Length of a change id in characters.
_MAX_CHANGE_ID_LENGTH: Final = 64
# Long enough for one list call of the object API, including its timeout.
_STATUS_TIMEOUT_SECONDS: Final = 4
_CHANGE_ID_BITS: Final = 128


@dataclass(frozen=True, slots=True)
class _PendingChange:
    """A change that waits for its decision until ``expires_at``, monotonic time."""

    request: ChangeRequested
    expires_at: float


class OperatorsPlugin:
    """Answers queries from the state of this host, and changes once decided.

    ``show config`` waits for the status of the zones, and is answered without
    it if that does not come in time.
    """

    def __init__(self, context: Context) -> None:
        """Create the plug-in without pending statements."""
        self._context = context
        self._host_state = HostState()
        self._pending_changes: dict[QueryId, _PendingChange] = {}
        # Queries that wait for the status of the zones; each expires at a
        # monotonic time in seconds.
        self._status_query_expiries: dict[QueryId, float] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Handle one event and yield the resulting effects."""
        match event:
            case StatementReceived():
                yield from self._handle_statement(event)
            case ChangeDecided():
                yield from self._handle_decided(event)
            case StatusKnown(query_id):
                if self._status_query_expiries.pop(query_id, None) is not None:
                    yield from self._answer_query(query_id, ShowConfig(), event)
            case Tick(now):
                yield from self._expire(now)
            case _:
                self._host_state.apply(event, self._context.clock.wall())

    def _handle_statement(self, event: StatementReceived) -> Iterator[Effect]:
        try:
            yield from self._execute(event, parse_statement(event.text))
        except LycheedealError as error:
            content = error_content(error.kind, str(error))
            if isinstance(error, StatementError):
                content |= {'line': error.line, 'column': error.column}
            yield from self._reply(event.query_id, error.kind, content)

    def _execute(
        self, event: StatementReceived, statement: Statement
    ) -> Iterator[Effect]:
        match statement:
            case ChangeStatement():
                yield from self._request_change(event, statement)
            case ShowConfig() if len(self._status_query_expiries) < _MAX_PENDING:
                expires_at = self._context.clock.monotonic() + _STATUS_TIMEOUT_SECONDS
                self._status_query_expiries[event.query_id] = expires_at
                yield Publish(StatusRequested(event.query_id))
            case _:
                yield from self._answer_query(event.query_id, statement, None)

    def _answer_query(
        self,
        query_id: QueryId,
        query: Query,
        status: StatusKnown | None,
    ) -> Iterator[Effect]:
        now = self._context.clock.wall()
        content = answer_query(query, self._host_state, now)
        if status is not None:
            own_zone = self._context.settings.zone
            content |= status_content(status, own_zone, now)
        yield from self._reply(query_id, None, content)

    def _request_change(
        self,
        event: StatementReceived,
        statement: ChangeStatement,
    ) -> Iterator[Effect]:
        error_reply = self._check_change_request(event)
        if error_reply is not None:
            yield from self._reply(event.query_id, *error_reply)
            return
        request = ChangeRequested(
            event.query_id,
            ChangeId(event.change_id or self._new_change_id()),
            statement.change,
            statement.dry_run,
        )
        expires_at = self._context.clock.monotonic() + _DECISION_TIMEOUT_SECONDS
        self._pending_changes[event.query_id] = _PendingChange(request, expires_at)
        yield Log(
            _PART, LogLevel.INFO, f'change {request.change_id} requested: {event.text}'
        )
        yield Publish(request)

    def _check_change_request(
        self,
        event: StatementReceived,
    ) -> tuple[ErrorKind, dict[str, Any]] | None:
        if len(event.change_id) > _MAX_CHANGE_ID_LENGTH:
            kind = ErrorKind.BAD_STATEMENT
            detail = f'change id is longer than {_MAX_CHANGE_ID_LENGTH} characters'
        elif len(self._pending_changes) >= _MAX_PENDING:
            kind = ErrorKind.RESOURCE_LIMIT
            detail = (
                f'{_MAX_PENDING} changes are already pending; nothing was requested'
            )
        else:
            return None
        return kind, error_content(kind, detail)

    def _handle_decided(self, event: ChangeDecided) -> Iterator[Effect]:
        pending = self._pending_changes.pop(event.query_id, None)
        if pending is not None:
            yield from self._reply_to_change(
                pending.request,
                event.error,
                event.detail,
                event.generation,
            )

    def _expire(self, now: float) -> Iterator[Effect]:
        for status_query_id, expires_at in tuple(self._status_query_expiries.items()):
            if now >= expires_at:
                self._status_query_expiries.pop(status_query_id)
                yield from self._answer_query(status_query_id, ShowConfig(), None)
        # Iterates over a copy because expired entries are removed.
        for query_id, pending in tuple(self._pending_changes.items()):
            if now >= pending.expires_at:
                self._pending_changes.pop(query_id)
                yield from self._reply_to_change(
                    pending.request,
                    ErrorKind.CHANGE_UNKNOWN,
                    'no decision within the time limit; repeat with the same change id',
                )

    def _reply_to_change(
        self,
        request: ChangeRequested,
        error: ErrorKind | None,
        detail: str,
        generation: int = 0,
    ) -> Iterator[Effect]:
        accepted = 'valid' if request.dry_run else 'accepted'
        outcome = accepted if error is None else error.name.lower()
        content: dict[str, Any] = {
            'outcome': outcome,
            'change_id': request.change_id,
            'generation': generation,
            'detail': detail,
        }
        if error is not None:
            content |= error_content(error, detail)
        if request.dry_run:
            content['affected'] = affected_by(request.change, self._host_state)
        yield Log(
            _PART,
            LogLevel.INFO,
            f'change {request.change_id} ended: {outcome}, generation {generation}',
        )
        yield from self._reply(request.query_id, error, content)

    def _reply(
        self,
        query_id: QueryId,
        error: ErrorKind | None,
        content: dict[str, Any],
    ) -> Iterator[Effect]:
        exit_code = 0 if error is None else answer_for(error).exit_code
        yield Observe('statements_total', 1, (('exit_code', str(exit_code)),))
        source = {
            'host': self._context.settings.host_id,
            'as_of': self._context.clock.wall(),
        }
        yield Reply(query_id, exit_code, source | content)

    def _new_change_id(self) -> str:
        return f'{self._context.rng.getrandbits(_CHANGE_ID_BITS):032x}'
