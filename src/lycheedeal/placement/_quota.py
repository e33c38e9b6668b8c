"""Limit on the openings that a cold upstream gets in a second, from all hosts.

The limit is split without messages: a few hosts of the upstream's zone, the first in
an order that all of them compute alike, may open flows at it, each a fixed number in a
window. Other hosts send it nothing until it is warm.
"""

import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import HostId, UpstreamId

# Hosts whose tables of the zone differ for a while may count themselves among the
# first, too. The rest of the limit is for their openings.
_PLANNED_SHARE: Final = 0.8
# Longer than the second of the limit, by the time that the delays of two packets on
# their way to the upstream may differ.
_WINDOW_SECONDS: Final = 1.3


@dataclass(slots=True, eq=False, repr=False)
class WarmupLimit:
    """Openings that a cold upstream takes in a second: a rate and a fixed number."""

    rate: float
    overage: float
    slack: float

    @property
    def openings(self) -> float:
        """Return the openings that all hosts may send in a second."""
        return self.rate * self.overage + self.slack


class WarmupQuota:
    """Share of this host in the limits of cold upstreams.

    Times are seconds of the monotonic clock.
    """

    def __init__(self, host_id: HostId) -> None:
        """Start without openings."""
        self._host_id = host_id
        self._sent_by_id: dict[UpstreamId, deque[float]] = {}

    def weight(
        self,
        upstream_id: UpstreamId,
        limit: WarmupLimit,
        zone_hosts: Iterable[HostId],
        now: float,
    ) -> float:
        """Return the weight of a cold upstream for this host; 0 if it may send nothing.

        The hosts that may open flows stand in for the others of the zone, so their
        weight is larger in proportion. ``zone_hosts`` are the hosts of the upstream's
        zone, this one among them.
        """
        hosts = tuple(zone_hosts)
        planned = int(limit.openings * _PLANNED_SHARE)
        sharing = min(len(hosts), planned)
        own = _order(self._host_id, upstream_id)
        earlier = sum(_order(one, upstream_id) < own for one in hosts)
        if earlier >= sharing:
            return 0
        allowed = planned // sharing
        # The first hosts send one more each if the openings cannot be split evenly, and
        # a host that the others do not know stays within the rest of the limit.
        if earlier < planned % sharing and allowed + 1 <= limit.openings - planned:
            allowed += 1
        sent = self._sent_by_id.get(upstream_id, ())
        if sum(at > now - _WINDOW_SECONDS for at in sent) >= allowed:
            return 0
        return len(hosts) / sharing

    def record(self, upstream_id: UpstreamId, now: float) -> None:
        """Note that an opening goes to an upstream."""
        sent = self._sent_by_id.setdefault(upstream_id, deque())
        sent.append(now)
        while sent[0] <= now - _WINDOW_SECONDS:
            sent.popleft()

    def expire(self, now: float) -> None:
        """Forget upstreams that got no opening within the window."""
        self._sent_by_id = {
            upstream_id: sent
            for upstream_id, sent in self._sent_by_id.items()
            if sent[-1] > now - _WINDOW_SECONDS
        }


def _order(host_id: HostId, upstream_id: UpstreamId) -> tuple[int, HostId]:
    # A different order for each upstream spreads cold upstreams over the hosts.
    return zlib.crc32(f'{upstream_id} {host_id}'.encode()), host_id
