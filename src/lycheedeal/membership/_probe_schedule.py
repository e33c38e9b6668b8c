"""Order in which a host probes the other members of its zone."""

import random
from bisect import bisect_left
from collections.abc import Iterable

from lycheedeal.model import HostId


class ProbeSchedule:
    """Shuffled round robin that all hosts of a zone share.

    In each period every host probes the member at the same offset in the
    ordered ring of host ids, so that every member is probed once per period.
    With independent orders a member is sometimes not probed for 3 periods, and
    a crash is detected that much later. The hosts need not agree: different
    member lists or clocks only make the order random.
    """

    def __init__(self, own: HostId) -> None:
        """Start without members; ``own`` is the id of this host."""
        self._own = own
        self._ids: list[HostId] = []
        self._offsets: list[int] = []
        self._round = -1

    def update(self, others: Iterable[HostId]) -> None:
        """Replace the other members of the zone and compute the order again."""
        self._ids = sorted(others)
        self._round = -1

    def target(self, period: int) -> HostId | None:
        """Return the member to probe in a period, or None without members.

        ``period`` is the number of probe periods since the Unix epoch, so that
        all hosts count alike.
        """
        count = len(self._ids)
        if not count:
            return None
        round_number, step = divmod(period, count)
        if round_number != self._round:
            self._round = round_number
            self._offsets = list(range(count))
            # The seed gives all hosts the same order; it protects no secret.
            random.Random(round_number).shuffle(self._offsets)
        start = bisect_left(self._ids, self._own)
        return self._ids[(start + self._offsets[step]) % count]
