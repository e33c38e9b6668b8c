"""Clock of the operating system."""

import time


class SystemClock:
    """Implements the clock of the kernel by that of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()
