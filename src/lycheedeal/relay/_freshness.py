"""When the store last confirmed what a host knows."""

from typing import Final

from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._records import StoreKind

# Age of content that was never confirmed, in seconds.
_MAX_AGE_SECONDS: Final = 3600.0


class Freshness:
    """Ages of the content of each kind, in seconds."""

    def __init__(self, context: RelayContext) -> None:
        """Start with content that was never confirmed."""
        self._context = context
        self._confirmed_at = dict.fromkeys(StoreKind, float('-inf'))

    def confirm(self, kind: StoreKind, at: float) -> None:
        """Note that the content of a kind was right at a time."""
        self._confirmed_at[kind] = max(self._confirmed_at[kind], at)

    def renew(self, kind: StoreKind, at: float, limit_seconds: float) -> bool:
        """Confirm a kind; True if its content was older than a limit till now."""
        was_old = self.oldest_age() >= limit_seconds
        self.confirm(kind, at)
        return was_old and self.oldest_age() < limit_seconds

    def age(self, kind: StoreKind) -> float:
        """Return the age of one kind."""
        age = self._context.clock.monotonic() - self._confirmed_at[kind]
        return min(age, _MAX_AGE_SECONDS)

    def oldest_age(self) -> float:
        """Return the age of the kind that was confirmed longest ago."""
        return max(map(self.age, StoreKind))

    def ages_ms(self) -> tuple[int, ...]:
        """Return all ages in milliseconds, in the order of StoreKind."""
        return tuple(int(self.age(kind) * 1000) for kind in StoreKind)

    def update_metrics(self) -> None:
        """Set the levels of the metrics."""
        for kind in StoreKind:
            self._context.metrics.set_gauge('age_seconds', kind.value, self.age(kind))
