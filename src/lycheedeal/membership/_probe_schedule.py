"""Order in which a host probes the others of its zone."""

import random
from bisect import bisect_left
from collections.abc import Iterable

from lycheedeal.model import HostId


class ProbeSchedule:
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
        self._offsets: list[int] = []
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
        round_number, step = divmod(period, count)
        if round_number != self._round:
            self._round = round_number
            self._offsets = list(range(count))
            # All hosts need the same order; nothing secret depends on it.
            random.Random(round_number).shuffle(self._offsets)
        start = bisect_left(self._ids, self._own)
        return self._ids[(start + self._offsets[step]) % count]
