"""Age of the content that a host has read, since the store last confirmed it."""

from typing import Final

from lycheedeal.relay._call_times import ANSWER_TIMEOUT_SECONDS, WATCH_WAIT_SECONDS
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._receive_delay import ReceiveDelay
from lycheedeal.relay._records import StoreKind

BEACON_INTERVAL_SECONDS: Final = 0.4
# Largest age that the content of a watching host reaches while the store answers:
# a watch waits to its end, and its answer takes the whole timeout.
MAX_FRESH_AGE_SECONDS: Final = WATCH_WAIT_SECONDS + ANSWER_TIMEOUT_SECONDS
# A leader is considered gone once two beacons are missing.
LEADER_TIMEOUT_SECONDS: Final = 2.5 * BEACON_INTERVAL_SECONDS
# Added for each host that comes before this one, so that hosts do not all become
# leaders, or start to watch, at the same time.
STAGGER_SECONDS: Final = 0.12
MAX_STAGGER_SECONDS: Final = 0.6
# Ages in the beacon of a host that resigns because its process stops, and of one that
# does because another host takes its part.
_RESIGNED_AGE_MS: Final = -1
_HANDED_OVER_AGE_MS: Final = -2
# Upper limit of ages; also the age of content that was never confirmed.
_MAX_AGE_SECONDS: Final = 3600.0


class Freshness:
    """Ages of the content by kind, in seconds."""

    def __init__(self, context: RelayContext) -> None:
        """Start without a confirmation of any kind."""
        self._context = context
        self._confirmed_at = dict.fromkeys(context.settings.kinds, float('-inf'))
        self._receive_delay = ReceiveDelay(context.clock)

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        self._receive_delay.tick(now)

    def received_age(self, age_ms: int) -> float:
        """Return the seconds that an age in a message received now stands for."""
        return age_ms / 1000 + self._receive_delay.seconds()

    def confirm(self, kind: StoreKind, at: float) -> None:
        """Note that the content of a kind was current at a time."""
        self._confirmed_at[kind] = max(self._confirmed_at[kind], at)

    def forget(self) -> None:
        """Note that no content is known to be current."""
        self._confirmed_at = dict.fromkeys(self._confirmed_at, float('-inf'))

    def renew(self, kind: StoreKind, at: float, limit_seconds: float) -> bool:
        """Confirm a kind.

        Returns True if the oldest kind exceeded the limit before and does not now.
        """
        was_old = self.oldest_age() >= limit_seconds
        self.confirm(kind, at)
        return was_old and self.oldest_age() < limit_seconds

    def confirmed_at(self, kind: StoreKind) -> float:
        """Return the time of the last confirmation of a kind."""
        return self._confirmed_at[kind]

    def age(self, kind: StoreKind) -> float:
        """Return the seconds since the content of a kind was confirmed."""
        age = self._context.clock.monotonic() - self._confirmed_at[kind]
        return min(age, _MAX_AGE_SECONDS)

    def oldest_age(self) -> float:
        """Return the largest age of all kinds."""
        return max(map(self.age, self._confirmed_at))

    def ages_ms(self) -> tuple[int, ...]:
        """Return the ages in milliseconds, in the order of StoreKind."""
        return tuple(int(self.age(kind) * 1000) for kind in self._confirmed_at)

    def resigned_ages_ms(self) -> tuple[int, ...]:
        """Return the ages that the beacon of a stopping host has."""
        return (_RESIGNED_AGE_MS,) * len(self._confirmed_at)

    def handed_over_ages_ms(self) -> tuple[int, ...]:
        """Return the ages that the last beacon has before another host sends them."""
        return (_HANDED_OVER_AGE_MS,) * len(self._confirmed_at)

    def is_handed_over(self, ages_ms: tuple[int, ...]) -> bool:
        """Return whether the sender of a last beacon expects another host to send."""
        return ages_ms == self.handed_over_ages_ms()

    def update_metrics(self) -> None:
        """Set the gauges of the ages."""
        for kind in self._confirmed_at:
            self._context.metrics.set_gauge('age_seconds', kind.value, self.age(kind))
