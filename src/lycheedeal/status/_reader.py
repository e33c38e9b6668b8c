"""Status objects of the zones of the region, listed when queries need them."""

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
from lycheedeal.status._publisher import (
    MIN_WRITE_INTERVAL_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)

# Least time between two lists.
_LIST_INTERVAL_SECONDS: Final = 5.0
# Covers a lost reply; the platform client reports a silent platform after 2 s.
_REPLY_TIMEOUT_SECONDS: Final = 3.0
# A status object older than this is ignored; its renewal may fail three times.
MAX_STATUS_AGE_SECONDS: Final = (
    RENEWAL_INTERVAL_SECONDS + 3 * MIN_WRITE_INTERVAL_SECONDS
)
# A region has four zones at the target size.
_MAX_ZONES: Final = 64
# Further queries are answered at once, from the last list.
_MAX_WAITING_QUERIES: Final = 256

# Returns the status of this host's zone; None if this host is not its reporter or
# has not had time to collect reports.
_OwnStatus = Callable[[], ZoneStatus | None]


@dataclass(frozen=True, slots=True)
class _Listing:
    """A LIST in progress; its objects replace the known ones when it succeeds."""

    call_id: int
    timeout_at: float
    statuses_by_zone: dict[Zone, ZoneStatus | None]


class StatusReader:
    """Answers queries from the last list of status objects, or from a new one."""

    def __init__(self, context: Context) -> None:
        """Start without status objects and with only this host's zone."""
        self._context = context
        self._prefix = status_key(context.settings.region, '')
        self._own_zone = context.settings.zone
        self._listing: _Listing | None = None
        self._listed_at = -_LIST_INTERVAL_SECONDS
        # None for an object that cannot be decoded.
        self._statuses_by_zone: dict[Zone, ZoneStatus | None] = {}
        self._zones: frozenset[Zone] = frozenset((self._own_zone,))
        self._waiting_queries: list[QueryId] = []

    def set_zones(self, zones: Iterable[Zone]) -> None:
        """Set the zones that exist according to the platform's host list."""
        self._zones = frozenset((self._own_zone, *sorted(set(zones))[:_MAX_ZONES]))

    def request(
        self,
        event: StatusRequested,
        own_status: _OwnStatus,
        now: float,
    ) -> Iterator[Effect]:
        """Answer a query from a recent list, or start a new list and wait for it."""
        is_recent = now - self._listed_at < _LIST_INTERVAL_SECONDS
        if (
            self._listing is None
            and is_recent
            or len(self._waiting_queries) >= _MAX_WAITING_QUERIES
        ):
            yield self._answer(event.query_id, own_status)
            return
        self._waiting_queries.append(event.query_id)
        if self._listing is None:
            call_id = self._context.rng.getrandbits(63)
            self._listed_at = now
            self._listing = _Listing(call_id, now + _REPLY_TIMEOUT_SECONDS, {})
            yield CallApi(call_id, ApiCall.LIST, self._prefix)

    def add_object(self, event: ObjectChanged) -> None:
        """Add an object of the list in progress."""
        listing = self._listing
        zone = Zone(event.key.removeprefix(self._prefix))
        if (
            listing is None
            or zone == event.key
            or len(listing.statuses_by_zone) >= _MAX_ZONES
        ):
            return
        status = decode_status(event.body) if event.version else None
        is_valid = status is not None and status.zone == zone
        listing.statuses_by_zone[zone] = status if is_valid else None

    def handle_reply(
        self,
        reply: ApiReplied,
        own_status: _OwnStatus,
    ) -> Iterator[Effect]:
        """Answer the waiting queries when the list ends, even if it failed."""
        listing = self._listing
        if listing is None or reply.call_id != listing.call_id:
            return
        if reply.status is ApiStatus.OK:
            self._statuses_by_zone = listing.statuses_by_zone
        yield from self._finish(own_status)

    def tick(self, own_status: _OwnStatus, now: float) -> Iterator[Effect]:
        """Answer the waiting queries from old data if the list timed out."""
        if self._listing is not None and now >= self._listing.timeout_at:
            yield from self._finish(own_status)

    def _finish(self, own_status: _OwnStatus) -> Iterator[Effect]:
        self._listing = None
        query_ids = self._waiting_queries
        self._waiting_queries = []
        for query_id in query_ids:
            yield self._answer(query_id, own_status)

    def _answer(self, query_id: QueryId, own_status: _OwnStatus) -> Publish:
        wall_time = self._context.clock.wall()
        current = own_status()
        statuses_by_zone = dict(self._statuses_by_zone)
        if current is not None:
            statuses_by_zone[self._own_zone] = current
        fresh_by_zone = {
            zone: status
            for zone, status in sorted(statuses_by_zone.items())
            if status is not None and wall_time - status.at < MAX_STATUS_AGE_SECONDS
        }
        missing = (self._zones | statuses_by_zone.keys()) - fresh_by_zone.keys()
        return Publish(
            StatusKnown(
                query_id, tuple(fresh_by_zone.values()), tuple(sorted(missing))
            ),
        )
