"""Limit on the flows that an upstream holds, over all hosts.

Reports tell the open flows of all hosts a second or two late. A margin stands for
what the other hosts open meanwhile. It follows the growth between reports, and what
this host opens itself: if room appears at all hosts at once, each takes its share.
"""

import math
from dataclasses import dataclass
from typing import Final

# Age of the flows in a report when it arrives, without the time between two reports
# of a host: leaders report their sums once a second.
_SUM_AGE_SECONDS: Final = 1.5
# Part of a limit that is kept free at most for openings that no host has made yet: one
# for each host.
_MAX_RESERVE: Final = 0.05
# Largest margin, as part of the limit: an odd report must not exclude an upstream that
# has room.
_MAX_MARGIN: Final = 0.2
# Growth that gives the largest margin.
_MAX_GROWTH_PER_SECOND: Final = 0.08
# Open flows, as part of the limit, that a report counts as at most.
_MAX_KNOWN: Final = 1.1
# Part of the limit over which the weight of an upstream falls to nothing.
_TAPER: Final = 0.1
# Part of the limit by which the known flows fall in a second at most. The first sums
# of a new leader lack the flows of hosts that have not reported to it.
_MAX_FALL_PER_SECOND: Final = 0.03
# Part of its growth that counts after each further report without any.
_GROWTH_RETENTION: Final = 0.7
_NEVER: Final = float('-inf')


@dataclass(slots=True, eq=False, repr=False)
class FlowCount:
    """Open flows of an upstream as of its last report, and their growth in a second.

    ``own_flows`` are those of them that this host reported. Hosts report once an
    ``interval``, in seconds.
    """

    flows: float = 0
    own_flows: int = 0
    interval: float = 1
    growth: float = 0
    counted_at: float = _NEVER

    def update(self, reported: float, own_flows: int, limit: int, now: float) -> None:
        """Take in the open flows of a report, and those of this host among them."""
        known = min(reported, limit * _MAX_KNOWN)
        elapsed = now - self.counted_at
        if elapsed <= 0:
            return
        self.counted_at = now
        self.own_flows = own_flows
        if math.isinf(elapsed):
            self.flows = known
            return
        grown = min((known - self.flows) / elapsed, limit * _MAX_GROWTH_PER_SECOND)
        self.growth = max(grown, self.growth * _GROWTH_RETENTION, 0)
        fallen = self.flows - limit * _MAX_FALL_PER_SECOND * elapsed
        self.flows = max(known, fallen)

    def room(self, limit: int, open_flows: int, hosts: int, now: float) -> float:
        """Return the flows that an upstream has room for, as part of its limit.

        ``open_flows`` are those of this host now. The others of ``hosts`` hosts are
        expected to have opened as many since the report. The result is not positive
        for an upstream at its limit.
        """
        newer_flows = max(open_flows - self.own_flows, 0)
        opened_elsewhere = float(newer_flows * (hosts - 1))
        if self.growth:
            age = _SUM_AGE_SECONDS + self.interval + now - self.counted_at
            opened_elsewhere = max(opened_elsewhere, self.growth * age)
        margin = min(opened_elsewhere / limit, _MAX_MARGIN)
        reserve = min(hosts / limit, _MAX_RESERVE)
        used = (self.flows + newer_flows) / limit
        return 1 - used - margin - reserve


def taper(room: float) -> float:
    """Return the weight of an upstream with little room, from 1 down to 0."""
    return max(min(room / _TAPER, 1), 0)
