"""Builds probes and acks: the record of this host and a few member updates."""

from typing import Final

from lycheedeal.membership._roster import Entry, Roster
from lycheedeal.membership._updates import MAX_UPDATES, UpdateQueue
from lycheedeal.messages import Probe, ProbeAck
from lycheedeal.model import HostId, Member, MemberState

# A host that was first seen this recently gets as many records as fit, so that
# it learns the members of the zone.
_NEWCOMER_SECONDS: Final = 20.0


class MessageBuilder:
    """Builds probes and acks that carry member updates."""

    def __init__(self, roster: Roster, updates: UpdateQueue) -> None:
        """Take updates from the queue first, and fill up from the roster."""
        self._roster = roster
        self._updates = updates

    def probe(self, sequence: int, receiver: HostId | None, now: float) -> Probe:
        """Return a probe; ``receiver`` is None if the host id is not known yet."""
        updates = self._updates_for(receiver, now)
        return Probe(sequence, self._roster.own, updates)

    def ack(self, sequence: int, receiver: HostId, now: float) -> ProbeAck:
        """Return the answer to a probe; ``sequence`` is that of the probe."""
        updates = self._updates_for(receiver, now)
        return ProbeAck(sequence, self._roster.own, updates)

    def _updates_for(self, receiver: HostId | None, now: float) -> tuple[Member, ...]:
        entry = None if receiver is None else self._roster.find(receiver)
        # A host that is suspected or declared dead must learn it to refute it.
        chosen = [] if entry is None or _is_alive(entry) else [entry.member]
        queued = self._updates.take(MAX_UPDATES - len(chosen), len(self._roster))
        chosen.extend(one for one in queued if one.host_id != receiver)
        spare = MAX_UPDATES - len(chosen)
        if spare > 0:
            # One random record in each message eventually replaces lost updates.
            wanted = spare if _is_newcomer(entry, now) else 1
            named = {one.host_id for one in chosen}
            filling = self._roster.sample_active(wanted, receiver)
            chosen.extend(one for one in filling if one.host_id not in named)
        return tuple(chosen)


def _is_alive(entry: Entry) -> bool:
    return entry.member.state is MemberState.ALIVE


def _is_newcomer(entry: Entry | None, now: float) -> bool:
    return entry is not None and now - entry.first_seen_at < _NEWCOMER_SECONDS
