"""Time that messages may have waited in the sockets of this process."""

from typing import Final

from lycheedeal.dispatch import Clock

# Interval of Tick events.
TICK_SECONDS: Final = 0.1


class ReceiveDelay:
    """Estimates the delay from the ticks, which are late while a process is held up.

    A process that is paused, or busy for long, reads what arrived meanwhile just
    before and after its next tick.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a delay."""
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._last_tick_delay = 0.0

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        self._last_tick_delay = self._time_overdue()
        self._ticked_at = now

    def seconds(self) -> float:
        """Return how long a message that is handled now may have waited."""
        return max(self._time_overdue(), self._last_tick_delay)

    def _time_overdue(self) -> float:
        return max(self._clock.monotonic() - self._ticked_at - TICK_SECONDS, 0)
