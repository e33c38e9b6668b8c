"""Content of a host that is older than what a leader of its zone announces."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._records import Edition, StoreKind

# Longer than two beacons of the leader, which each lead to a request for a snapshot.
_MAX_LAG_SECONDS: Final = 0.9


class Lag:
    """For how long the content of each kind has been behind that of a leader."""

    def __init__(self, context: RelayContext) -> None:
        """Start with nothing behind."""
        self._context = context
        self._since: dict[StoreKind, float] = {}
        # Latest edition that a leader announced while the content was behind.
        self._announced: dict[StoreKind, Edition] = {}

    def end(self, kind: StoreKind) -> None:
        """Note that the content of a kind has just changed."""
        self._since.pop(kind, None)
        self._announced.pop(kind, None)

    def end_at(self, kind: StoreKind, own: Edition) -> None:
        """Note that a leader announced no later edition than the own one.

        Another leader may have announced one.
        """
        if self._announced.get(kind, own) <= own:
            self.end(kind)

    def begin(
        self, kind: StoreKind, own: Edition, announced: Edition, leader: HostId
    ) -> Iterator[Effect]:
        """Note that a leader announced a later edition than the own one."""
        self._announced[kind] = max(self._announced.get(kind, announced), announced)
        if kind in self._since:
            return
        self._since[kind] = self._context.clock.monotonic()
        self._context.metrics.add('content_behind', kind.value)
        own_era, own_number = own
        era, number = announced
        yield LogRecord(
            Part.ZONE,
            'behind',
            'Content is older than what a leader announces; it is requested.',
            {
                'objects': kind.value,
                'leader': leader,
                'era': era,
                'own_era': own_era,
                'edition': number,
                'own_edition': own_number,
            },
        )

    def restart_overdue(self, kind: StoreKind) -> bool:
        """Return whether requests have not helped for long; starts the time anew."""
        now = self._context.clock.monotonic()
        if now - self._since.get(kind, now) <= _MAX_LAG_SECONDS:
            return False
        self._since[kind] = now
        return True
