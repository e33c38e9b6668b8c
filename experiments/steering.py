"""Compares two ways of steering established flows between hosts.

Packets of a flow reach any of the hosts, while an upstream leaves and comes
back, views differ for up to two seconds, and hosts are replaced.

- ``self_describing``: the flow id names the upstream; the owner of the
  service picks the upstream with the fewest flows.
- ``tracked_hashing``: rendezvous hashing over the target set that a host
  knows; before a change, each host tells its peers about the flows it has
  seen whose choice the change alters, and all keep those.

Prints one JSON line for each way and number of flows.
"""

import json
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

HOST_COUNT = 16
UPSTREAM_COUNT = 7
RUN_SECONDS = 60
KEEPALIVE_SECONDS = 1.0
MAX_VIEW_LAG_SECONDS = 2.0
# A tracked flow on the wire: 8 bytes of key, 2 of upstream.
TRACKED_FLOW_BYTES = 10
FLOW_ID_BYTES = 52


def rendezvous(flow: int, upstreams: frozenset[int]) -> int:
    """Return the upstream with the highest score for a flow."""
    return max(
        upstreams, key=lambda upstream: xxhash.xxh3_64_intdigest(b'%d' % flow, upstream)
    )


@dataclass
class View:
    """Target set of one host and when the next one arrives there."""

    upstreams: frozenset[int]
    pending: list[tuple[float, frozenset[int]]] = field(default_factory=list)

    def at(self, now: float) -> frozenset[int]:
        """Return the target set in force on the host."""
        while self.pending and self.pending[0][0] <= now:
            self.upstreams = self.pending.pop(0)[1]
        return self.upstreams


class Steering(Protocol):
    """One way of steering."""

    control_bytes: int
    packet_bytes: int

    def open_flow(self, flow: int, host: int, now: float) -> int:
        """See the class."""

    def upstream_for_packet(self, flow: int, host: int, now: float) -> int:
        """See the class."""

    def change_upstreams(
        self, now: float, upstreams: frozenset[int], lags: list[float]
    ) -> None:
        """See the class."""

    def replace_host(self, host: int, now: float) -> None:
        """See the class."""

    def state_entries(self) -> float:
        """See the class."""


class SelfDescribing:
    """The flow id names the upstream."""

    def __init__(self) -> None:
        self.control_bytes = 0
        self.packet_bytes = FLOW_ID_BYTES
        self._views = [
            View(frozenset(range(UPSTREAM_COUNT))) for _ in range(HOST_COUNT)
        ]
        self._upstreams_by_flow: dict[int, int] = {}
        self._counts: Counter[int] = Counter()

    def open_flow(self, flow: int, host: int, now: float) -> int:
        owner_view = self._views[0].at(now)
        chosen = min(
            owner_view, key=lambda upstream: (self._counts[upstream], upstream)
        )
        self._counts[chosen] += 1
        self._upstreams_by_flow[flow] = chosen
        return chosen

    def upstream_for_packet(self, flow: int, host: int, now: float) -> int:
        return self._upstreams_by_flow[flow]

    def change_upstreams(
        self, now: float, upstreams: frozenset[int], lags: list[float]
    ) -> None:
        for view, lag in zip(self._views, lags, strict=True):
            view.pending.append((now + lag, upstreams))

    def replace_host(self, host: int, now: float) -> None:
        """Nothing is lost: hosts hold no flow state that matters."""

    def state_entries(self) -> float:
        return 0


class TrackedHashing:
    """Hashing over versioned target sets; altered flows are tracked."""

    def __init__(self) -> None:
        self.control_bytes = 0
        self.packet_bytes = 0
        self._views = [
            View(frozenset(range(UPSTREAM_COUNT))) for _ in range(HOST_COUNT)
        ]
        self._tracked: list[dict[int, int]] = [{} for _ in range(HOST_COUNT)]
        self._seen: list[dict[int, int]] = [{} for _ in range(HOST_COUNT)]

    def open_flow(self, flow: int, host: int, now: float) -> int:
        chosen = rendezvous(flow, self._views[host].at(now))
        self._seen[host][flow] = chosen
        return chosen

    def upstream_for_packet(self, flow: int, host: int, now: float) -> int:
        tracked = self._tracked[host].get(flow)
        if tracked is None:
            tracked = rendezvous(flow, self._views[host].at(now))
        self._seen[host][flow] = tracked
        return tracked

    def change_upstreams(
        self, now: float, upstreams: frozenset[int], lags: list[float]
    ) -> None:
        # The announcement reaches every host before the first applies it.
        altered: dict[int, int] = {}
        for seen in self._seen:
            for flow, chosen in seen.items():
                if rendezvous(flow, upstreams) != chosen:
                    altered[flow] = chosen
        for tracked in self._tracked:
            tracked.update(altered)
        self.control_bytes += len(altered) * TRACKED_FLOW_BYTES * (HOST_COUNT - 1)
        for view, lag in zip(self._views, lags, strict=True):
            view.pending.append((now + lag, upstreams))

    def replace_host(self, host: int, now: float) -> None:
        newest = max(self._views, key=lambda view: len(view.pending))
        self._views[host] = View(newest.at(now))
        # A new host copies what a neighbour tracks.
        source = self._tracked[(host + 1) % HOST_COUNT]
        self._tracked[host] = dict(source)
        self.control_bytes += len(source) * TRACKED_FLOW_BYTES
        self._seen[host] = {}

    def state_entries(self) -> float:
        return sum(map(len, self._tracked)) / HOST_COUNT


def scheduled_events(
    rng: random.Random, flows: int
) -> Iterator[tuple[float, str, int]]:
    """Yield (time, what, number) in order."""
    events = [(rng.uniform(0, RUN_SECONDS / 2), 'open', flow) for flow in range(flows)]
    events += [
        (when, 'replace', rng.randrange(HOST_COUNT))
        for when in range(5, RUN_SECONDS, 4)
    ]
    events += [(20.0, 'drain', 3), (20.5, 'drain', 5), (40.0, 'undrain', 3)]
    yield from sorted(events)


def measure(strategy: Steering, flows: int, seed: int) -> dict[str, float]:
    """Run the timeline with keepalives and count broken flows."""
    rng = random.Random(seed)
    upstreams = set(range(UPSTREAM_COUNT))
    first_upstreams: dict[int, int] = {}
    broken: set[int] = set()
    steady_imbalance = 0.0
    events = list(scheduled_events(rng, flows))
    now = 0.0
    while events or now < RUN_SECONDS:
        while events and events[0][0] <= now:
            when, kind, number = events.pop(0)
            match kind:
                case 'open':
                    first_upstreams[number] = strategy.open_flow(
                        number, rng.randrange(HOST_COUNT), when
                    )
                case 'replace':
                    strategy.replace_host(number, when)
                case 'drain' | 'undrain':
                    steady_imbalance = steady_imbalance or _imbalance(first_upstreams)
                    (upstreams.discard if kind == 'drain' else upstreams.add)(number)
                    lags = [
                        rng.uniform(0, MAX_VIEW_LAG_SECONDS) for _ in range(HOST_COUNT)
                    ]
                    strategy.change_upstreams(when, frozenset(upstreams), lags)
        for flow, chosen in first_upstreams.items():
            if (
                strategy.upstream_for_packet(flow, rng.randrange(HOST_COUNT), now)
                != chosen
            ):
                broken.add(flow)
        now += KEEPALIVE_SECONDS
    return {
        'broken': len(broken),
        'imbalance_max_over_mean': round(steady_imbalance, 3),
        'control_bytes_per_host_second': round(
            strategy.control_bytes / HOST_COUNT / RUN_SECONDS, 1
        ),
        'tracked_entries_per_host': round(strategy.state_entries(), 1),
        'bytes_in_each_packet': strategy.packet_bytes,
    }


def _imbalance(first_upstreams: dict[int, int]) -> float:
    counts = Counter(first_upstreams.values())
    return max(counts.values()) * UPSTREAM_COUNT / counts.total()


def main() -> None:
    """Print the comparison."""
    for flows in (700, 7000):
        for name, strategy in (
            ('self_describing', SelfDescribing()),
            ('tracked_hashing', TrackedHashing()),
        ):
            line = {'experiment': 'steering', 'way': name, 'flows': flows}
            print(json.dumps(line | measure(strategy, flows, seed=1)), flush=True)


if __name__ == '__main__':
    main()
