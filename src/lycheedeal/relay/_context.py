"""What the packet relay gets from outside."""

import random
from dataclasses import dataclass, field

from lycheedeal.dispatch import Clock
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay._records import Peer


@dataclass(slots=True, repr=False)
class RelaySettings:
    """Settings of one host; all times in seconds.

    ``strength`` is the host's share of a core. ``seeds`` are addresses where
    other hosts may be asked; they may be stale.
    """

    host_id: HostId
    zone: Zone
    peer: Endpoint
    strength: float
    seeds: tuple[Endpoint, ...]
    stop_seconds: float
    flow_idle_seconds: float = 15
    max_flows: int = 100_000

    @property
    def own_peer(self) -> Peer:
        """Return this host as its peers see it."""
        return Peer(self.host_id, self.zone, self.peer, self.strength)


@dataclass(slots=True, eq=False, repr=False)
class Counters:
    """Counts of events by metric and label."""

    counts_by_label: dict[tuple[str, str], int] = field(default_factory=dict)

    def add(self, metric: str, label: str, amount: int = 1) -> None:
        """Add to a count; both names come from a closed set in the code."""
        key = metric, label
        self.counts_by_label[key] = self.counts_by_label.get(key, 0) + amount


@dataclass(slots=True, eq=False, repr=False)
class RelayContext:
    """Inputs of the decision core for one process incarnation."""

    settings: RelaySettings
    clock: Clock
    rng: random.Random
    counters: Counters = field(default_factory=Counters)
