"""Entries that are missing from a store that has just recovered.

Upstreams write entries again that expired during an outage, or that the store lost
when it came back from an older copy. A host may hear late of an entry that is back.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.relay._context import RelayContext

# Entries that are missing while the store recovers may come back within this time.
_RETURN_SECONDS: Final = 2.0


class MissingEntries:
    """Decides how long an entry may be missing before its upstream is gone."""

    def __init__(self, context: RelayContext) -> None:
        """Start without missing entries."""
        self._context = context
        self._since_by_name: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Note that an entry is missing."""
        self._since_by_name.setdefault(name, self._context.clock.monotonic())

    def discard(self, name: str) -> None:
        """Note that an entry is back, or that its upstream is gone."""
        self._since_by_name.pop(name, None)

    def restart(self) -> None:
        """Let all entries be missing for the whole time again."""
        now = self._context.clock.monotonic()
        self._since_by_name = dict.fromkeys(self._since_by_name, now)

    def tick(self, now: float) -> tuple[str, ...]:
        """Return the names that did not come back in time, as far as is known."""
        return tuple(self._missing_until(now))

    def take_ended(self, answered_at: float) -> tuple[str, ...]:
        """Return and drop the names that the store did not have in time.

        ``answered_at`` is a time at which the store had the content of this host.
        """
        names = tuple(self._missing_until(answered_at))
        for name in names:
            self._since_by_name.pop(name)
        return names

    def _missing_until(self, at: float) -> Iterator[str]:
        for name, since in self._since_by_name.items():
            if since + _RETURN_SECONDS <= at:
                yield name
