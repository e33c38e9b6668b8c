"""Promises that the soak saw broken."""

import asyncio
from dataclasses import dataclass, field

# Bounds of the users' pages, in seconds.
DRAIN_SECONDS = 3.0
CONFIG_SECONDS = 3.0
RECOVERY_SECONDS = 4.0
STOP_SECONDS = 6.0


def now() -> float:
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class Findings:
    """Broken promises, each with its time since the start, and counts."""

    started_at: float
    violations: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    events: list[str] = field(default_factory=list)

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f'{now() - self.started_at:.2f} s {guarantee}: {detail}')

    def count(self, name: str) -> None:
        """Count something that may happen."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_event(self, event: str) -> None:
        """Note a fault or a change."""
        self.events.append(f'{now() - self.started_at:.2f} s {event}')


@dataclass(slots=True)
class Stability:
    """Until when something was disturbed."""

    disturbed_until: float = 0

    def disturb(self, until: float) -> None:
        """Extend the disturbance."""
        self.disturbed_until = max(self.disturbed_until, until)

    def is_stable(self) -> bool:
        """Tell whether all was well for the whole time before."""
        return now() - self.disturbed_until > RECOVERY_SECONDS
