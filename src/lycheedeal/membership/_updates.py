"""Member updates that travel with probes and acks."""

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from lycheedeal.model import HostId, Member

MAX_UPDATES: Final = 6
# Sends of one update for each doubling of the zone.
_SENDS_PER_DOUBLING: Final = 3
# Extra probes for each new update; without them it needs a period for each hop
# and a crash in a zone of 64 is not known everywhere within 6 s.
_PUSHES: Final = 4
_MAX_PUSHES: Final = 8
# In a zone of 343 with a fifth of the datagrams lost, pushes without this limit
# took 12 KB a second.
_PUSHES_PER_SECOND: Final = 1.0


@dataclass(slots=True)
class _Update:
    member: Member
    sent: int = 0


class UpdateQueue:
    """Holds at most one update for each host; the least sent go first.

    Without that order a suspicion waits behind the updates of a zone that
    has just started.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._updates_by_id: dict[HostId, _Update] = {}
        self._queues_by_sent: list[deque[_Update]] = [deque()]

    def __len__(self) -> int:
        """Return the number of updates that still are to be sent."""
        return len(self._updates_by_id)

    def add(self, member: Member) -> None:
        """Queue an update in place of an older one about the same host."""
        update = _Update(member)
        self._updates_by_id[member.host_id] = update
        self._queues_by_sent[0].appendleft(update)

    def take(self, limit: int, zone_size: int) -> list[Member]:
        """Return up to ``limit`` updates and count them as sent."""
        taken: list[_Update] = []
        for queue in self._queues_by_sent:
            while queue and len(taken) < limit:
                update = queue.popleft()
                if self._updates_by_id.get(update.member.host_id) is update:
                    taken.append(update)
        budget = _SENDS_PER_DOUBLING * math.ceil(math.log2(zone_size + 1))
        for sent in taken:
            self._count(sent, budget)
        return [update.member for update in taken]

    def _count(self, update: _Update, budget: int) -> None:
        update.sent += 1
        if update.sent >= budget:
            self._updates_by_id.pop(update.member.host_id)
            return
        while len(self._queues_by_sent) <= update.sent:
            self._queues_by_sent.append(deque())
        self._queues_by_sent[update.sent].append(update)


class PushBudget:
    """Limits the probes that are sent only to spread updates faster."""

    def __init__(self, now: float) -> None:
        """Start with a full budget."""
        self._wanted = 0
        self._saved = float(_MAX_PUSHES)
        self._refilled = now

    def ask(self) -> None:
        """Ask for pushes of a new update."""
        self._wanted = min(self._wanted + _PUSHES, _MAX_PUSHES)

    def take(self, now: float) -> bool:
        """Tell whether a push is wanted and allowed now."""
        saved = self._saved + (now - self._refilled) * _PUSHES_PER_SECOND
        self._saved = min(saved, _MAX_PUSHES)
        self._refilled = now
        if not self._wanted or self._saved < 1:
            return False
        self._wanted -= 1
        self._saved -= 1
        return True
