"""Clock of the decision core."""

from typing import Protocol


class Clock(Protocol):
    """Source of time; tests pass a virtual one."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start, which never go backwards."""

    def wall(self) -> float:
        """Return Unix time in seconds."""
