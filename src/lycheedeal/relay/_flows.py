"""Flows that a host has seen lately: a hint of load, never needed to route."""

import math
from dataclasses import dataclass
from typing import Final

from lycheedeal.relay._records import FlowKey, Packet, PacketKind, Upstream

# An upstream is avoided this long after one opening that it did not answer,
# doubling with each further one; the callers repeat an opening after 0.2 s.
_FIRST_AVOIDANCE_SECONDS: Final = 0.8
_LAST_AVOIDANCE_SECONDS: Final = 6.4
# Age at which a sample has lost two thirds of its weight in the mean; a report
# goes out each second.
_MEAN_SECONDS: Final = 1.0


@dataclass(slots=True, eq=False, repr=False)
class Flow:
    """What this host knows of a flow; times are monotonic seconds."""

    upstream: Upstream
    opened_at: float
    seen_at: float
    confirmed: bool = False
    busy: bool = False
    acknowledged: int = 0


class FlowMemory:
    """Bounded memory of flows, the least recently used go first."""

    def __init__(self, max_flows: int, idle_seconds: float) -> None:
        """Keep at most ``max_flows`` flows, each while it is in use."""
        self._max_flows = max_flows
        self.idle_seconds = idle_seconds
        self.flows_by_key: dict[FlowKey, Flow] = {}

    def opening(self, packet: Packet, upstream: Upstream, now: float) -> None:
        """Remember where an opening was sent."""
        self.end(packet.flow, now)
        while len(self.flows_by_key) >= self._max_flows:
            self.end(next(iter(self.flows_by_key)), now)
        self.flows_by_key[packet.flow] = Flow(upstream, now, now)
        upstream.open_flows += 1

    def seen(self, packet: Packet, upstream: Upstream, now: float) -> None:
        """Update a flow from a packet after its opening."""
        flow = self.flows_by_key.get(packet.flow)
        if flow is None or flow.upstream is not upstream:
            # Opened through another host: no news of the upstream by itself.
            self.opening(packet, upstream, now)
            flow = self.flows_by_key[packet.flow]
            flow.confirmed = True
        flow.seen_at = now
        if not flow.confirmed:
            flow.confirmed = True
            answered(upstream, now)
        _follow_request(flow, packet, now)
        if packet.kind in {PacketKind.FINISH, PacketKind.RESET}:
            self.end(packet.flow, now)

    def end(self, key: FlowKey, now: float) -> None:
        """Forget a flow."""
        flow = self.flows_by_key.pop(key, None)
        if flow is not None:
            flow.upstream.open_flows -= 1
            if flow.busy:
                _count_busy(flow.upstream, -1, now)

    def expire(self, now: float) -> None:
        """Forget flows that were idle for too long."""
        cutoff = now - self.idle_seconds
        idle = [key for key, flow in self.flows_by_key.items() if flow.seen_at < cutoff]
        for key in idle:
            self.end(key, now)


def _follow_request(flow: Flow, packet: Packet, now: float) -> None:
    if flow.busy and packet.acknowledged != flow.acknowledged:
        flow.busy = False
        _count_busy(flow.upstream, -1, now)
    if packet.kind is PacketKind.DATA and not flow.busy:
        flow.busy = True
        flow.acknowledged = packet.acknowledged
        _count_busy(flow.upstream, 1, now)


def _count_busy(upstream: Upstream, change: int, now: float) -> None:
    upstream.busy_mean = mean_busy(upstream, now)
    upstream.busy_at = now
    upstream.busy += change


def mean_busy(upstream: Upstream, now: float) -> float:
    """Return the requests in flight of this host, a mean over about a second."""
    weight = math.exp((upstream.busy_at - now) / _MEAN_SECONDS)
    return upstream.busy + weight * (upstream.busy_mean - upstream.busy)


def unanswered(upstream: Upstream, now: float) -> bool:
    """Count an opening without an answer; True if the upstream is newly avoided."""
    newly = upstream.avoided_until <= now
    if newly:
        delay = _FIRST_AVOIDANCE_SECONDS * 2 ** min(upstream.strikes, 8)
        upstream.avoided_until = now + min(delay, _LAST_AVOIDANCE_SECONDS)
    upstream.strikes += 1
    upstream.unanswered_at = now
    return newly


def answered(upstream: Upstream, now: float) -> None:
    """Take the upstream back: it has answered an opening."""
    upstream.answered_at = now
    upstream.strikes = 0
    upstream.avoided_until = 0
