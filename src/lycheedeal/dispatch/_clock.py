"""Source of time of the decision core."""

from typing import Protocol


class Clock(Protocol):
    """Source of time; a test hands in a virtual one."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
