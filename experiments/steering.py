"""Compares two strategies for steering the packets of established flows.

Packets of a flow reach any of the hosts. Meanwhile upstreams are drained and
one is undrained, the hosts' views of the upstreams differ for up to two
seconds, and hosts are replaced.

- ``self_describing``: the flow id names the upstream; the owner of the
  service picks the upstream with the fewest flows.
- ``tracked_hashing``: rendezvous hashing over the upstreams that a host knows.
  Before a change, each host announces to its peers the flows it has seen whose
  upstream the change alters, and all hosts track these flows.

Prints one JSON line for each strategy and number of flows.
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
# Size of a tracked flow in a message: 8 bytes of key and 2 of upstream.
TRACKED_FLOW_BYTES = 10
FLOW_ID_BYTES = 52


def rendezvous(flow: int, upstreams: frozenset[int]) -> int:
    """Return the upstream with the highest score for a flow."""
    return max(
        upstreams, key=lambda upstream: xxhash.xxh3_64_intdigest(b'%d' % flow, upstream)
    )


@dataclass
class View:
    """Upstreams that one host knows, and the changes on their way to it.

    ``pending`` holds the arrival time and the new set of each change, in order.
    """

    upstreams: frozenset[int]
    pending: list[tuple[float, frozenset[int]]] = field(default_factory=list)

    def at(self, now: float) -> frozenset[int]:
        """Apply the changes that have arrived; return the upstreams in force."""
        while self.pending and self.pending[0][0] <= now:
            self.upstreams = self.pending.pop(0)[1]
        return self.upstreams


class Steering(Protocol):
    """A steering strategy; times are in seconds of virtual time."""

    control_bytes: int
    packet_bytes: int

    def open_flow(self, flow: int, host: int, now: float) -> int:
        """Open a flow at a host; return its upstream."""

    def upstream_for_packet(self, flow: int, host: int, now: float) -> int:
        """Return the upstream to which a host sends a packet of a flow."""

    def change_upstreams(
        self, now: float, upstreams: frozenset[int], lags: list[float]
    ) -> None:
        """Change the set of upstreams; host ``i`` learns of it after ``lags[i]``."""

    def replace_host(self, host: int, now: float) -> None:
        """Replace a host by a new one without state."""

    def state_entries(self) -> float:
        """Return the mean number of tracked flows per host."""


class SelfDescribing:
    """Steering by a flow id that names the upstream."""

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
        """Do nothing, as hosts keep no flow state that steering needs."""

    def state_entries(self) -> float:
        return 0


class TrackedHashing:
    """Steering by hashing; flows that a change of upstreams alters are tracked."""

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
        # The announcement reaches every host before the first host applies the change.
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
        # A new host copies the tracked flows of another host.
        source = self._tracked[(host + 1) % HOST_COUNT]
        self._tracked[host] = dict(source)
        self.control_bytes += len(source) * TRACKED_FLOW_BYTES
        self._seen[host] = {}

    def state_entries(self) -> float:
        return sum(map(len, self._tracked)) / HOST_COUNT


def scheduled_events(
    rng: random.Random, flows: int
) -> Iterator[tuple[float, str, int]]:
    """Yield (time, kind, number of the flow, host or upstream) in order of time."""
    events = [(rng.uniform(0, RUN_SECONDS / 2), 'open', flow) for flow in range(flows)]
    events += [
        (when, 'replace', rng.randrange(HOST_COUNT))
        for when in range(5, RUN_SECONDS, 4)
    ]
    events += [(20.0, 'drain', 3), (20.5, 'drain', 5), (40.0, 'undrain', 3)]
    yield from sorted(events)


def measure(strategy: Steering, flows: int, seed: int) -> dict[str, float]:
    """Simulate the events with keepalives; return the counts as a report line.

    A flow is broken when one of its packets is steered to another upstream.
    """
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
    """Print one JSON line for each strategy and number of flows."""
    for flows in (700, 7000):
        for name, strategy in (
            ('self_describing', SelfDescribing()),
            ('tracked_hashing', TrackedHashing()),
        ):
            line = {'experiment': 'steering', 'way': name, 'flows': flows}
            print(json.dumps(line | measure(strategy, flows, seed=1)), flush=True)


if __name__ == '__main__':
    main()
