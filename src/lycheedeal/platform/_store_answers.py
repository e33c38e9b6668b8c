"""Checks of the store's answers, and what they become."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from lycheedeal import relay
from lycheedeal.platform._connection import CallError, Connection
from lycheedeal.platform._objects import DecodedObjects

_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
# Bad request, URI too long, unprocessable content, header fields too large.
_REJECTED_STATUSES: Final = frozenset((400, 414, 422, 431))


class RequestRejectedError(CallError):
    """The store cannot read a request."""


class EndlessListError(CallError):
    """A list does not come to an end; ``readable`` is what has been read of it."""

    def __init__(self, detail: str) -> None:
        super().__init__(relay.StoreFault.MALFORMED, detail)
        self.readable: relay.ListAnswered | None = None


class Page(NamedTuple):
    """Fields of an answer with status 200, and the position of the store."""

    fields: dict[str, Any]
    position: relay.Position

    @property
    def items(self) -> list[Any]:
        """Return the objects of a list; raises CallError if there are none."""
        items: list[Any] = required_field(self.fields, 'items', list)
        return items


def as_list(
    kind: relay.StoreKind, position: relay.Position | None, objects: DecodedObjects
) -> relay.ListAnswered:
    """Return the event for the objects of a list."""
    return relay.ListAnswered(
        kind,
        position or relay.START_POSITION,
        tuple(objects.entries),
        tuple(objects.unusable),
        objects.version,
    )


def failed_call(kind: relay.StoreKind, error: Exception) -> relay.CallFailed:
    """Return the event for a call that ended with an error."""
    match error:
        case EndlessListError(fault=fault, detail=detail, readable=readable):
            return relay.CallFailed(kind, fault, detail, readable)
        case CallError(fault=fault, detail=detail):
            return relay.CallFailed(kind, fault, detail)
        case TimeoutError():
            detail = 'store did not answer before the timeout'
            return relay.CallFailed(kind, relay.StoreFault.SILENT, detail)
        case OSError():
            return relay.CallFailed(kind, relay.StoreFault.UNREACHABLE, str(error))
        case _:
            detail = f'{type(error).__name__}: {error}'
            return relay.CallFailed(kind, relay.StoreFault.MALFORMED, detail)


def check_status(status: int) -> None:
    """Raise CallError unless a status is that of an answer."""
    if status == _STATUS_GONE:
        raise CallError(
            relay.StoreFault.HISTORY_LOST,
            'store no longer has the history since the watched revision',
        )
    if status in _REJECTED_STATUSES:
        raise RequestRejectedError(
            relay.StoreFault.REFUSED, f'request is rejected with status {status}'
        )
    if status != _STATUS_OK:
        raise CallError(
            relay.StoreFault.REFUSED, f'expected HTTP status 200, got {status}'
        )


def check_era(position: relay.Position, earlier: relay.Position) -> None:
    """Raise CallError if two answers to one call are of different histories."""
    if position.era != earlier.era:
        raise CallError(
            relay.StoreFault.HISTORY_LOST,
            'store came back from an older copy between two pages',
        )


def check_order(connection: Connection, position: relay.Position) -> None:
    """Check the position of an answer against earlier ones on the connection.

    The store's position only increases, so an earlier one is that of a late copy of
    an answer. Raises CallError, which ends the connection.
    """
    if position < connection.latest_position:
        raise CallError(
            relay.StoreFault.MALFORMED,
            f'position {position} comes after {connection.latest_position}',
        )
    connection.latest_position = position


def required_field(answer: dict[str, Any], name: str, expected: type) -> Any:
    """Return a field of an answer; raises CallError without one of this type."""
    content = answer.get(name)
    if not isinstance(content, expected):
        raise CallError(
            relay.StoreFault.MALFORMED, f'field {name} is missing or of another type'
        )
    return content


def decode_events(events: list[Any]) -> Iterator[tuple[Any, bool]]:
    """Yield the object of each change, and whether it was deleted."""
    for event in events:
        match event:
            case {'object': item, 'deleted': bool() as deleted}:
                yield item, deleted
            case {'object': item}:
                yield item, False
            case _:
                # Of which object this is a change cannot be determined.
                yield None, False


def check_event(item: Any, watched: relay.Revision) -> None:
    """Raise CallError for a change that a watch from this revision cannot report."""
    revision = _object_revision(item)
    if revision is not None and revision <= watched:
        raise CallError(
            relay.StoreFault.MALFORMED,
            f'watch from revision {watched} reports revision {revision}',
        )


def _object_revision(item: Any) -> int | None:
    match item:
        case {'meta': {'revision': int() as revision}}:
            return revision
        case _:
            return None
