"""Status objects of the zones of the region, read for queries."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.kernel import (
    ApiCall,
    ApiReplied,
    ApiStatus,
    CallApi,
    Context,
    Effect,
    ObjectChanged,
    Publish,
    StatusKnown,
    StatusRequested,
)
from lycheedeal.model import QueryId, Zone, ZoneStatus
from lycheedeal.status._codec import decode_status, status_key
from lycheedeal.status._publisher import RENEW_SECONDS, WRITE_SECONDS

_LIST_SECONDS: Final = 5.0
# The platform client gives up after 2 s.
_REPLY_SECONDS: Final = 3.0
# The renewal may fail three times.
FRESH_SECONDS: Final = RENEW_SECONDS + 3 * WRITE_SECONDS
# A region has four zones at the target size.
_MAX_ZONES: Final = 64
_MAX_WAITING: Final = 256

# Makes the status of the own zone; only its reporter has one.
_Own = Callable[[], ZoneStatus | None]


@dataclass(frozen=True, slots=True)
class _Listing:
    """A LIST under way; its objects replace the known ones when it ends."""

    call_id: int
    until: float
    found: dict[Zone, ZoneStatus | None]


class StatusReader:
    """Lists the status objects on demand and answers from the last list."""

    def __init__(self, context: Context) -> None:
        """Start without knowing any zone."""
        self._context = context
        self._prefix = status_key(context.settings.region, '')
        self._own_zone = context.settings.zone
        self._listing: _Listing | None = None
        self._listed_at = -_LIST_SECONDS
        # None stands for an object that cannot be read.
        self._known: dict[Zone, ZoneStatus | None] = {}
        self._zones: frozenset[Zone] = frozenset((self._own_zone,))
        self._waiting: list[QueryId] = []

    def learn_zones(self, zones: Iterable[Zone]) -> None:
        """Take the zones of the platform's host list."""
        self._zones = frozenset((self._own_zone, *sorted(set(zones))[:_MAX_ZONES]))

    def request(
        self,
        event: StatusRequested,
        own: _Own,
        now: float,
    ) -> Iterator[Effect]:
        """Answer from a recent list, or after a new one."""
        recent = now - self._listed_at < _LIST_SECONDS
        if self._listing is None and recent or len(self._waiting) >= _MAX_WAITING:
            yield self._answer(event.query_id, own)
            return
        self._waiting.append(event.query_id)
        if self._listing is None:
            call_id = self._context.rng.getrandbits(63)
            self._listed_at = now
            self._listing = _Listing(call_id, now + _REPLY_SECONDS, {})
            yield CallApi(call_id, ApiCall.LIST, self._prefix)

    def take_object(self, event: ObjectChanged) -> None:
        """Take one object of the list."""
        listing = self._listing
        zone = Zone(event.key.removeprefix(self._prefix))
        if listing is None or zone == event.key or len(listing.found) >= _MAX_ZONES:
            return
        status = decode_status(event.body) if event.version else None
        named = status is not None and status.zone == zone
        listing.found[zone] = status if named else None

    def take_reply(
        self,
        reply: ApiReplied,
        own: _Own,
    ) -> Iterator[Effect]:
        """Answer the queries that wait for the list."""
        listing = self._listing
        if listing is None or reply.call_id != listing.call_id:
            return
        if reply.status is ApiStatus.OK:
            self._known = listing.found
        yield from self._finish(own)

    def tick(self, own: _Own, now: float) -> Iterator[Effect]:
        """Answer without a list whose reply is lost."""
        if self._listing is not None and now >= self._listing.until:
            yield from self._finish(own)

    def _finish(self, own: _Own) -> Iterator[Effect]:
        self._listing = None
        waiting = self._waiting
        self._waiting = []
        for query_id in waiting:
            yield self._answer(query_id, own)

    def _answer(self, query_id: QueryId, own: _Own) -> Publish:
        wall = self._context.clock.wall()
        collected = own()
        known = dict(self._known)
        if collected is not None:
            known[self._own_zone] = collected
        fresh = {
            zone: status
            for zone, status in sorted(known.items())
            if status is not None and wall - status.at < FRESH_SECONDS
        }
        missing = (self._zones | known.keys()) - fresh.keys()
        return Publish(
            StatusKnown(query_id, tuple(fresh.values()), tuple(sorted(missing))),
        )
