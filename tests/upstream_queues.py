"""Queues of upstreams behind simulated hosts, and callers that load them.

Each upstream has two slots and a short queue, and refuses at once what exceeds it.
Callers repeat nothing. All of it runs on the virtual time of the simulation.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheedeal import relay
from tests.relay_simulation import (
    CALLER,
    STEP_SECONDS,
    RelayHost,
    RelaySimulation,
    packet,
)

SLOTS = 2
QUEUE = 8
# Mean time of a request at an upstream of speed 1.
SERVICE_SECONDS = 0.1
REFUSAL_SECONDS = 0.002


@dataclass
class Queue:
    """One upstream; ``free_at`` has the time at which each slot is free."""

    speed: float
    free_at: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    ends: list[float] = field(default_factory=list)
    arrivals: int = 0
    refused: int = 0

    def is_full(self, now: float) -> bool:
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends) >= SLOTS + QUEUE

    def answer_at(self, now: float, rng: random.Random) -> float:
        """Return when a request that arrives now is answered."""
        if self.is_full(now):
            return now + REFUSAL_SECONDS
        seconds = rng.expovariate(self.speed / SERVICE_SECONDS)
        start = max(heapq.heappop(self.free_at), now)
        heapq.heappush(self.free_at, start + seconds)
        heapq.heappush(self.ends, start + seconds)
        return start + seconds


@dataclass
class Caller:
    host: RelayHost
    number: int
    requests_left: int
    token: int = 0


class Workload:
    """Callers that open flows at random hosts; ``usual`` is the usual rate of flows.

    A flow carries ``requests`` requests, each a while after the answer to the previous
    one.
    """

    def __init__(
        self, simulation: RelaySimulation, speeds_by_id: dict[str, float]
    ) -> None:
        self.simulation = simulation
        self.queues_by_id = {name: Queue(speed) for name, speed in speeds_by_id.items()}
        self.rng = random.Random(7)
        self.opened_by_id: Counter[str] = Counter()
        self.openings = 0
        # Whether arrivals are not counted at present.
        self.pause_counts = False
        self._order = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def capacity(self) -> float:
        """Return the requests a second that all upstreams can answer."""
        slots = SLOTS / SERVICE_SECONDS
        return slots * sum(one.speed for one in self.queues_by_id.values())

    def run(
        self,
        seconds: float,
        utilization: float,
        requests: int = 1,
        think_seconds: float = 0.5,
    ) -> None:
        """Open flows at the rate that uses a part of the capacity."""
        rate = self.capacity * utilization / requests
        clock = self.simulation.clock
        end = clock.now + seconds
        next_opening = clock.now + self.rng.expovariate(rate)
        while clock.now < end - STEP_SECONDS / 2:
            start = clock.now
            while next_opening < start + STEP_SECONDS:
                self._at(next_opening, self._opening(requests, think_seconds))
                next_opening += self.rng.expovariate(rate)
            while self._due and self._due[0][0] < start + STEP_SECONDS:
                clock.now, _, act = heapq.heappop(self._due)
                act()
            clock.now = start
            self.simulation.run(STEP_SECONDS)

    def reset_counts(self) -> None:
        for queue in self.queues_by_id.values():
            queue.arrivals = queue.refused = 0

    def imbalance(self) -> float:
        """Return the arrivals of the busiest upstream in those its speed allows."""
        arrivals = sum(one.arrivals for one in self.queues_by_id.values())
        speed = sum(one.speed for one in self.queues_by_id.values())
        return max(
            one.arrivals / one.speed * speed / arrivals
            for one in self.queues_by_id.values()
        )

    def refused_share(self) -> float:
        arrivals = sum(one.arrivals for one in self.queues_by_id.values())
        return sum(one.refused for one in self.queues_by_id.values()) / arrivals

    def _at(self, due: float, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (due, self._order, act))

    def _opening(self, requests: int, think_seconds: float) -> Callable[[], None]:
        self.openings += 1
        number = CALLER + self.openings

        def open_flow() -> None:
            host = self.rng.choice(list(self.simulation.hosts.values()))
            resets = len(host.resets)
            upstream = host.open(number)
            if len(host.resets) > resets:
                return
            name = upstream.listing.upstream_id
            self.opened_by_id[name] += 1
            caller = Caller(host, number, requests, host.sent[-1].token)
            self._request(caller, self.queues_by_id[name], think_seconds)

        return open_flow

    def _request(self, caller: Caller, queue: Queue, think_seconds: float) -> None:
        position = caller.requests_left
        self._send(caller, relay.PacketKind.DATA, position)
        caller.requests_left -= 1
        now = self.simulation.clock.now
        if not self.pause_counts:
            queue.arrivals += 1
            queue.refused += queue.is_full(now)
        done = queue.answer_at(now, self.rng)

        def answered() -> None:
            if caller.requests_left <= 0:
                self._send(caller, relay.PacketKind.FINISH, position - 1)
                return
            self._send(caller, relay.PacketKind.ACKNOWLEDGEMENT, position - 1)
            pause = self.rng.expovariate(1 / think_seconds)
            self._at(
                self.simulation.clock.now + pause,
                lambda: self._request(caller, queue, think_seconds),
            )

        self._at(done, answered)

    def _send(self, caller: Caller, kind: relay.PacketKind, acknowledged: int) -> None:
        if self.simulation.hosts.get(caller.host.endpoint) is caller.host:
            caller.host.dispatch(
                relay.PacketArrived(
                    packet(
                        kind,
                        caller.token,
                        caller.number,
                        acknowledged=acknowledged,
                    )
                )
            )
