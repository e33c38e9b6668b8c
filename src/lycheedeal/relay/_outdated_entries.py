"""Entries of a restored store that may be older than what a host knows.

For a while such a store holds entries of upstreams that are leaving, have left or have
restarted since its copy was made. The upstreams that live write theirs again, and the
store removes the others after some heartbeats of silence.
"""

from typing import Final

from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._records import (
    START_POSITION,
    Listing,
    Position,
    Upstream,
    UpstreamState,
    is_same_incarnation,
)

# The store removes the entry of an upstream after this many heartbeats of silence.
_LAPSE_HEARTBEATS: Final = 3
# Time until the removal of an entry has reached all hosts.
_SPREAD_SECONDS: Final = 0.5


class OutdatedEntries:
    """Holds entries back that would take an upstream back in a new era."""

    def __init__(self, context: RelayContext) -> None:
        """Start without entries; the first era of a host is not a new one."""
        self._context = context
        self._era_entered_at = float('-inf')
        self._listings_by_name: dict[str, Listing] = {}

    def follow(self, previous: Position, position: Position) -> None:
        """Note the position of new content after the previous one."""
        if START_POSITION < previous and previous.era < position.era:
            self._era_entered_at = self._context.clock.monotonic()

    def hold_back(self, listing: Listing, known: Upstream | None) -> bool:
        """Return whether an entry must not be used yet, and keep it if so.

        ``known`` is the upstream that has its id.
        """
        self.discard(listing.upstream_id)
        if known is None or self._context.clock.monotonic() >= self._due_at():
            return False
        if not _takes_back(listing, known):
            return False
        self._listings_by_name[listing.upstream_id] = listing
        return True

    def discard(self, name: str) -> None:
        """Drop the entry that is held back under a name, if any."""
        self._listings_by_name.pop(name, None)

    def take_due(self, answered_at: float) -> tuple[Listing, ...]:
        """Return and drop the entries that the store has kept for long enough.

        ``answered_at`` is a time at which the store had the content of this host.
        """
        if not self._listings_by_name or answered_at < self._due_at():
            return ()
        listings = tuple(self._listings_by_name.values())
        self._listings_by_name.clear()
        return listings

    def _due_at(self) -> float:
        heartbeat = self._context.settings.heartbeat_seconds
        return self._era_entered_at + _LAPSE_HEARTBEATS * heartbeat + _SPREAD_SECONDS


def _takes_back(listing: Listing, known: Upstream) -> bool:
    if not is_same_incarnation(listing, known.listing):
        return listing.started_ms < known.listing.started_ms
    match known.state:
        case UpstreamState.GONE:
            return True
        case UpstreamState.DRAINING:
            return not listing.draining
        case _:
            return False
