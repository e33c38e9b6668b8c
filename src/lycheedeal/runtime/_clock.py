"""The clock of a real process."""

import time


class SystemClock:
    """Reads the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
