"""Times at which a host tries upstreams that were silent.

The hosts of a zone share the trials, so that their number does not grow with the hosts
or with the traffic.
"""

import math
import random
from collections.abc import Iterable
from typing import Final

from lycheedeal.ids import UpstreamId

# Time between two trials of all hosts of a zone together. Failure votes end after
# 6.4 s; an upstream that answers again is to be found well before.
_ZONE_INTERVAL_SECONDS: Final = 1.0
# Shortest time between those of one host, which may not know the others.
_MIN_INTERVAL_SECONDS: Final = 3.0
# Factors on the interval: hosts that notice a silence at the same time do not try the
# upstream together.
_JITTER: Final = (0.5, 1.5)


class ProbeSchedule:
    """When this host tries each silent upstream; times are monotonic seconds."""

    def __init__(self, rng: random.Random) -> None:
        """Start without upstreams and without other hosts."""
        self._rng = rng
        self._interval = _MIN_INTERVAL_SECONDS
        self._due_by_id: dict[UpstreamId, float] = {}

    def set_hosts(self, hosts: int) -> None:
        """Set the number of hosts of the zone."""
        self._interval = max(_ZONE_INTERVAL_SECONDS * hosts, _MIN_INTERVAL_SECONDS)

    def follow(self, silent_ids: Iterable[UpstreamId], now: float) -> None:
        """Replace the upstreams that are tried; known ones keep their times."""
        self._due_by_id = {
            upstream_id: self._due_by_id.get(upstream_id, now + self._delay())
            for upstream_id in silent_ids
        }

    def is_due(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether the next opening may try an upstream."""
        return self._due_by_id.get(upstream_id, math.inf) <= now

    def record(self, upstream_id: UpstreamId, now: float) -> None:
        """Note that an opening goes to an upstream."""
        due = self._due_by_id.get(upstream_id)
        if due is not None:
            self._due_by_id[upstream_id] = now + self._delay()

    def _delay(self) -> float:
        return self._interval * self._rng.uniform(*_JITTER)
