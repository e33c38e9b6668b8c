"""Inputs of the decision core: settings, clock, random numbers and metrics."""

import random
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.dispatch import Clock
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay._records import Peer, StoreKind

# Upper bounds of the histogram buckets: from the time to forward a packet to a
# store call without an answer.
BUCKET_SECONDS: Final = (
    0.00005,
    0.0001,
    0.00025,
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
)
_NO_COUNTS: Final = (0,) * (len(BUCKET_SECONDS) + 1)


@dataclass(slots=True, repr=False)
class RelaySettings:
    """Settings of one host; all times in seconds.

    ``core_share`` is the share of a processor core that the host may use.
    ``seeds`` are addresses at which other hosts may be found; they may be stale.
    ``stop_seconds`` is the time that the platform gives a process to stop.
    ``heartbeat_seconds`` is the interval in which upstreams write their entries.
    ``evacuation_seconds`` is the time in which an evacuation takes effect on all hosts;
    0 means that the deployment has none, and they are not read. A cold upstream takes
    ``warmup_overage`` times its rate and ``warmup_slack`` openings in a second; None
    means that the deployment does not limit them.
    """

    host_id: HostId
    zone: Zone
    peer: Endpoint
    core_share: float
    seeds: tuple[Endpoint, ...]
    stop_seconds: float
    heartbeat_seconds: float = 1
    flow_idle_seconds: float = 15
    max_flows: int = 100_000
    evacuation_seconds: float = 0
    warmup_overage: float | None = None
    warmup_slack: float | None = None

    @property
    def kinds(self) -> tuple[StoreKind, ...]:
        """Return the kinds of objects that hosts read, in the order of StoreKind."""
        if self.evacuation_seconds:
            return tuple(StoreKind)
        return StoreKind.CONFIGURATION, StoreKind.UPSTREAMS

    @property
    def own_peer(self) -> Peer:
        """Return the record of this host that is sent to its peers."""
        return Peer(self.host_id, self.zone, self.peer, self.core_share)


@dataclass(slots=True, eq=False, repr=False)
class Histogram:
    """Counts of durations by bucket, and the sum of the durations in seconds.

    The last count is that of durations above all bounds in ``BUCKET_SECONDS``.
    """

    counts: list[int] = field(default_factory=lambda: list(_NO_COUNTS))
    total: float = 0


@dataclass(slots=True, eq=False, repr=False)
class Metrics:
    """Counters, histograms and gauges by metric name and label.

    Names and labels come from fixed sets in the code, so memory is bounded.
    """

    counts_by_label: dict[tuple[str, str], int] = field(default_factory=dict)
    histograms_by_label: dict[tuple[str, str], Histogram] = field(default_factory=dict)
    gauges_by_label: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, metric: str, label: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        key = metric, label
        self.counts_by_label[key] = self.counts_by_label.get(key, 0) + amount

    def observe(self, metric: str, label: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self.histograms_by_label.setdefault((metric, label), Histogram())
        histogram.counts[bisect_left(BUCKET_SECONDS, seconds)] += 1
        histogram.total += seconds

    def set_gauge(self, metric: str, label: str, amount: float) -> None:
        """Set a gauge, such as an age in seconds."""
        self.gauges_by_label[metric, label] = amount


@dataclass(slots=True, eq=False, repr=False)
class RelayContext:
    """Inputs of the decision core, created once for a process."""

    settings: RelaySettings
    clock: Clock
    rng: random.Random
    metrics: Metrics = field(default_factory=Metrics)
