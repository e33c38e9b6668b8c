"""Table of the flows that pass through a host.

Flows and requests in flight are counted for each upstream as a measure of load.
The table is not needed to forward packets and may be lost.
"""

import math
from dataclasses import dataclass
from typing import Final

from lycheedeal.relay._records import FlowKey, Packet, PacketKind, Upstream

# An upstream is avoided for this long after an unanswered opening; the time doubles
# with each further one. Callers repeat an opening after 0.2 s.
_MIN_AVOIDANCE_SECONDS: Final = 0.8
_MAX_AVOIDANCE_SECONDS: Final = 6.4
# Time constant of the exponential mean, which is reported each second: a sample of
# this age has lost two thirds of its weight.
_MEAN_SECONDS: Final = 1.0


@dataclass(slots=True, eq=False, repr=False)
class Flow:
    """State of a flow; times are seconds of the monotonic clock.

    ``confirmed`` means that a packet after the opening was seen. ``acknowledged``
    is the caller's position in the answer when it sent the current request, which
    was at ``asked_at``.
    """

    upstream: Upstream
    opened_at: float
    seen_at: float
    confirmed: bool = False
    awaiting_answer: bool = False
    acknowledged: int = 0
    asked_at: float = 0


class FlowTable:
    """Flows by key, with a bounded size; the flows opened first are evicted."""

    def __init__(self, max_flows: int, idle_seconds: float) -> None:
        """Keep at most ``max_flows`` flows, each until it is idle for too long."""
        self._max_flows = max_flows
        self.idle_seconds = idle_seconds
        self.flows_by_key: dict[FlowKey, Flow] = {}

    def add(self, packet: Packet, upstream: Upstream, now: float) -> None:
        """Add a flow with the upstream that its opening is sent to."""
        self.remove(packet.flow, now)
        while len(self.flows_by_key) >= self._max_flows:
            self.remove(next(iter(self.flows_by_key)), now)
        self.flows_by_key[packet.flow] = Flow(upstream, now, now)
        upstream.open_flows += 1

    def update(self, packet: Packet, upstream: Upstream, now: float) -> None:
        """Update a flow with a packet after its opening."""
        flow = self.flows_by_key.get(packet.flow)
        if flow is None or flow.upstream is not upstream:
            # Opened through another host, so this packet does not tell whether
            # the upstream answers openings of this host.
            self.add(packet, upstream, now)
            flow = self.flows_by_key[packet.flow]
            flow.confirmed = True
        flow.seen_at = now
        if not flow.confirmed:
            flow.confirmed = True
            record_answered(upstream, now)
        _update_request(flow, packet, now)
        if packet.kind in {PacketKind.FINISH, PacketKind.RESET}:
            self.remove(packet.flow, now)

    def remove(self, key: FlowKey, now: float) -> None:
        """Remove a flow; does nothing if it is not in the table."""
        flow = self.flows_by_key.pop(key, None)
        if flow is not None:
            flow.upstream.open_flows -= 1
            if flow.awaiting_answer:
                _change_in_flight(flow.upstream, -1, now)

    def expire(self, now: float) -> None:
        """Remove flows without a packet during ``idle_seconds``."""
        cutoff = now - self.idle_seconds
        idle = [key for key, flow in self.flows_by_key.items() if flow.seen_at < cutoff]
        for key in idle:
            self.remove(key, now)


def _update_request(flow: Flow, packet: Packet, now: float) -> None:
    if flow.awaiting_answer and packet.acknowledged != flow.acknowledged:
        flow.awaiting_answer = False
        flow.upstream.answers += 1
        flow.upstream.answer_seconds += now - flow.asked_at
        _change_in_flight(flow.upstream, -1, now)
    if packet.kind is PacketKind.DATA and not flow.awaiting_answer:
        flow.awaiting_answer = True
        flow.acknowledged = packet.acknowledged
        flow.asked_at = now
        _change_in_flight(flow.upstream, 1, now)


def _change_in_flight(upstream: Upstream, change: int, now: float) -> None:
    upstream.in_flight_mean = mean_in_flight(upstream, now)
    upstream.in_flight_at = now
    upstream.in_flight += change


def mean_in_flight(upstream: Upstream, now: float) -> float:
    """Return this host's requests in flight, averaged over about a second."""
    weight = math.exp((upstream.in_flight_at - now) / _MEAN_SECONDS)
    return upstream.in_flight + weight * (upstream.in_flight_mean - upstream.in_flight)


def record_unanswered(upstream: Upstream, now: float) -> bool:
    """Count an unanswered opening.

    Returns True if the upstream is avoided from now on, False if it already was.
    """
    newly_avoided = upstream.avoided_until <= now
    if newly_avoided:
        delay = _MIN_AVOIDANCE_SECONDS * 2 ** min(upstream.unanswered_openings, 8)
        upstream.avoided_until = now + min(delay, _MAX_AVOIDANCE_SECONDS)
    upstream.unanswered_openings += 1
    upstream.unanswered_at = now
    return newly_avoided


def record_answered(upstream: Upstream, now: float) -> None:
    """Note that an upstream answered an opening; it is not avoided any more."""
    upstream.answered_at = now
    upstream.unanswered_openings = 0
    upstream.avoided_until = 0
