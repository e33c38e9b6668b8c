"""Flows that a host has seen lately: a hint of load, never needed to route."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.relay._records import FlowKey, Packet, PacketKind, Upstream

# An upstream is avoided this long after one opening that it did not answer,
# doubling with each further one; the callers repeat an opening after 0.2 s.
_FIRST_AVOIDANCE_SECONDS: Final = 0.8
_LAST_AVOIDANCE_SECONDS: Final = 6.4


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
        self.end(packet.flow)
        while len(self.flows_by_key) >= self._max_flows:
            self.end(next(iter(self.flows_by_key)))
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
        self._follow_request(flow, packet)
        if packet.kind in {PacketKind.FINISH, PacketKind.RESET}:
            self.end(packet.flow)

    def end(self, key: FlowKey) -> None:
        """Forget a flow."""
        flow = self.flows_by_key.pop(key, None)
        if flow is not None:
            flow.upstream.open_flows -= 1
            if flow.busy:
                flow.upstream.busy -= 1

    def expire(self, now: float) -> None:
        """Forget flows that were idle for too long."""
        cutoff = now - self.idle_seconds
        idle = [key for key, flow in self.flows_by_key.items() if flow.seen_at < cutoff]
        for key in idle:
            self.end(key)

    def _follow_request(self, flow: Flow, packet: Packet) -> None:
        if flow.busy and packet.acknowledged != flow.acknowledged:
            flow.busy = False
            flow.upstream.busy -= 1
        if packet.kind is PacketKind.DATA and not flow.busy:
            flow.busy = True
            flow.acknowledged = packet.acknowledged
            flow.upstream.busy += 1


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
