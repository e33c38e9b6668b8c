"""Contact of a host with the store, by its own calls or through its peers.

Upstreams write their entries again within about 2 s once they reach the store. Those
of a zone that was cut off lost their entries meanwhile, and the host may be in that
zone: what the others know of these entries proves nothing yet.
"""

from typing import Final

from lycheedeal.relay._context import RelayContext
from lycheedeal.relay.reading import SETTLING_SECONDS

# In contact, news comes each 0.4 s from a leader, and each 1.5 s from a watch, which
# may fail once.
_MAX_GAP_SECONDS: Final = 2.5
# Time by which a confirmation may be later than the store's answer behind it.
_MAX_ANSWER_DELAY_SECONDS: Final = 0.5


class StoreContact:
    """Tells for how long a host has heard of the store without a gap."""

    def __init__(self, context: RelayContext) -> None:
        """Take a host that hears of the store soon after its start for in contact."""
        self._context = context
        self._since = float('-inf')
        self._heard_at = self._last_tick = context.clock.monotonic()
        self._tick_before_last = self._last_tick

    def note(self) -> None:
        """Note that content, or a confirmation of it, has just been received."""
        now = self._context.clock.monotonic()
        if now - self._heard_at > _MAX_GAP_SECONDS:
            self._since = now
        self._heard_at = now

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        self._tick_before_last = self._last_tick
        self._last_tick = now

    def is_settled(self) -> bool:
        """Return whether upstreams have had time to write their entries again."""
        now = self._context.clock.monotonic()
        if now - self._heard_at > _MAX_GAP_SECONDS:
            return False
        return now - self._since >= SETTLING_SECONDS

    def answered_at(self, confirmed_at: float) -> float:
        """Return a time at which the store surely answered before a confirmation.

        The message may have waited while the process was paused.
        """
        return min(confirmed_at, self._tick_before_last) - _MAX_ANSWER_DELAY_SECONDS
