"""Findings of the soak test: violated guarantees, counts and injected faults."""

import asyncio
from dataclasses import dataclass, field

# The bounds are those of the platform's documentation.
# No new flow reaches a target later than this after its entry says that it drains.
DRAIN_SECONDS = 3.0
# A change of the configuration is in force at all relays within this time.
CONFIG_SECONDS = 3.0
# No new flow reaches a target of a zone later than this after its evacuation.
EVACUATE_SECONDS = 5.0
# All guarantees hold again within this time after a fault has ended.
RECOVERY_SECONDS = 4.0
# A relay exits within this time after SIGTERM.
STOP_SECONDS = 6.0


def now() -> float:
    """Return the monotonic time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class Findings:
    """Results of one run.

    ``violations`` and ``events`` are texts that begin with the seconds since
    the start; ``counts`` are of events that are not faults by themselves.
    """

    started_at: float
    violations: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    events: list[str] = field(default_factory=list)

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f'{now() - self.started_at:.2f} s {guarantee}: {detail}')

    def count(self, name: str) -> None:
        """Count an event that is not a violation by itself."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_event(self, event: str) -> None:
        """Record an injected fault or a change."""
        self.events.append(f'{now() - self.started_at:.2f} s {event}')


@dataclass(slots=True)
class Stability:
    """Tracks whether a relay or the store has recovered from its last fault.

    ``disturbed_until`` is the time of the event loop at which the last fault ends.
    """

    disturbed_until: float = 0

    def disturb(self, until: float) -> None:
        """Record a fault that lasts until a time of the event loop."""
        self.disturbed_until = max(self.disturbed_until, until)

    def is_stable(self) -> bool:
        """Return whether the last fault ended more than RECOVERY_SECONDS ago."""
        return now() - self.disturbed_until > RECOVERY_SECONDS
