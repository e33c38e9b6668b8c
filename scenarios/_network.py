"""Simulated links: latency, loss, duplication and partitions."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from scenarios._time import VirtualTime

PLATFORM = 'platform'
CALLERS = 'callers'


@dataclass
class Network:
    """Delivers callbacks between locations: zones, the platform, the callers.

    Latencies are in seconds; loss and duplication are probabilities. ``cuts``
    holds pairs of source and target whose messages are dropped.
    """

    time: VirtualTime
    rng: random.Random
    zone_latency: float = 0.0015
    caller_latency: float = 0.003
    local_latency: float = 0.0002
    loss: float = 0.0
    duplication: float = 0.0
    cuts: set[tuple[str, str]] = field(default_factory=set)

    def cut(self, first: str, second: str) -> None:
        """Drop everything between two locations in both directions."""
        self.cuts |= {(first, second), (second, first)}

    def cut_one_way(self, source: str, target: str) -> None:
        """Drop everything from one location to another."""
        self.cuts.add((source, target))

    def heal(self, first: str, second: str) -> None:
        """Remove the cuts between two locations, in both directions."""
        self.cuts -= {(first, second), (second, first)}

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether all messages from source to target are dropped."""
        return (source, target) in self.cuts

    def send(
        self,
        source: str,
        target: str,
        deliver: Callable[[], object],
        *,
        reliable: bool = False,
    ) -> None:
        """Deliver after the latency of the link unless the message is lost.

        A duplicate takes about three times the latency. ``reliable`` messages,
        as on TCP, are neither lost nor duplicated, but cuts drop them too.
        """
        if self.is_cut(source, target):
            return
        if not reliable and self.rng.random() < self.loss:
            return
        self.time.call_later(self._latency(source, target), deliver)
        if not reliable and self.rng.random() < self.duplication:
            self.time.call_later(self._latency(source, target) * 3, deliver)

    def _latency(self, source: str, target: str) -> float:
        if CALLERS in {source, target}:
            base = self.caller_latency
        elif source == target:
            base = self.local_latency
        else:
            base = self.zone_latency
        return base * self.rng.uniform(0.8, 1.6)
