"""Order in which a host probes the others of its zone."""

import random
from bisect import bisect_left
from collections.abc import Iterable

from lycheedeal.model import HostId


class ProbeRing:
    """Shuffled round robin that all hosts of a zone share.

    In each period every host probes the member at the same distance on the
    ring of host ids, so that every member is probed once a period. With
    independent orders a member is left out for 3 periods now and then, and a
    crash is found as much later. Hosts need no agreement: different lists or
    clocks only make the order random.
    """

    def __init__(self, own: HostId) -> None:
        """Take the id of this host."""
        self._own = own
        self._ids: list[HostId] = []
        self._distances: list[int] = []
        self._round = -1

    def update(self, others: Iterable[HostId]) -> None:
        """Take the other members of the zone."""
        self._ids = sorted(others)
        self._round = -1

    def target(self, period: int) -> HostId | None:
        """Return the member to probe in a period, counted alike on all hosts."""
        count = len(self._ids)
        if not count:
            return None
        this_round, step = divmod(period, count)
        if this_round != self._round:
            self._round = this_round
            self._distances = list(range(count))
            # All hosts need the same order; nothing secret depends on it.
            random.Random(this_round).shuffle(self._distances)
        start = bisect_left(self._ids, self._own)
        return self._ids[(start + self._distances[step]) % count]
