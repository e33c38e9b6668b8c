"""Limit on the flows that an upstream holds, over all hosts.

Reports tell the open flows of all hosts a second or two late. A margin stands for
what the other hosts open meanwhile. It follows the growth between reports.
"""

import math
from dataclasses import dataclass
from typing import Final

# Age of the flows in a report when it arrives: each host reports to its leader once a
# second, and the leaders their sums.
_REPORT_AGE_SECONDS: Final = 2.5
# Part of a limit that is kept free in any case.
_MIN_MARGIN: Final = 0.005
# Largest margin, as part of the limit: an odd report must not exclude an upstream that
# has room.
_MAX_MARGIN: Final = 0.1
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
    """Open flows of an upstream as of its last report, and their growth in a second."""

    flows: float = 0
    growth: float = 0
    counted_at: float = _NEVER

    def update(self, reported: float, limit: int, now: float) -> None:
        """Take in the open flows of a report."""
        elapsed = now - self.counted_at
        if elapsed <= 0:
            return
        self.counted_at = now
        if math.isinf(elapsed):
            self.flows = reported
            return
        grown = (reported - self.flows) / elapsed
        self.growth = max(grown, self.growth * _GROWTH_RETENTION, 0)
        fallen = self.flows - limit * _MAX_FALL_PER_SECOND * elapsed
        self.flows = max(reported, fallen)

    def room(self, limit: int, newer_flows: int, now: float) -> float:
        """Return the flows that an upstream has room for, as part of its limit.

        ``newer_flows`` are those that this host opened since its last report. The
        result is not positive for an upstream at its limit.
        """
        margin = 0.0
        if self.growth:
            age = _REPORT_AGE_SECONDS + now - self.counted_at
            margin = min(self.growth * age / limit, _MAX_MARGIN)
        used = (self.flows + newer_flows) / limit
        return 1 - used - max(margin, _MIN_MARGIN)


def taper(room: float) -> float:
    """Return the weight of an upstream with little room, from 1 down to 0."""
    return max(min(room / _TAPER, 1), 0)
