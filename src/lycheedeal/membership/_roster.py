"""Member records of the hosts of one zone."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final

from lycheedeal.model import Endpoint, HostId, Member, MemberState

# A dead host is kept for longer than old updates or a lagging host list are
# expected to name it, so that they do not bring it back.
_DEAD_RETENTION_SECONDS: Final = 600.0
# A leaving host is declared dead after this time; every drain is over by then.
_LEAVING_TIMEOUT_SECONDS: Final = 120.0
_MAX_DEAD: Final = 1024
# A zone has about 343 hosts; the limit guards against a flood of false records.
_MAX_ENTRIES: Final = 4096

_STATE_PRECEDENCE: Final = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    },
)
ACTIVE: Final = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the sort key of records of one host; the highest replaces the others."""
    return member.incarnation, member.revision, _STATE_PRECEDENCE[member.state]


@dataclass(slots=True)
class Entry:
    """Record of one host; times are monotonic seconds.

    ``first_seen_at`` is when this incarnation of the host was first seen.
    """

    member: Member
    changed_at: float
    first_seen_at: float


class Roster:
    """Newest known record of each other host, and the record of this host.

    ``is_changed`` is set when the published members may have changed; the
    reader clears it.
    """

    def __init__(self, own: Member, rng: random.Random) -> None:
        """Start with only ``own``, the record of this host."""
        self.own = own
        self.active_count = 0
        self.is_changed = True
        self._rng = rng
        self._entries_by_id: dict[HostId, Entry] = {}
        self._ids_by_peer: dict[Endpoint, HostId] = {}
        self._active_ids: list[HostId] = []
        self._dead_ids: list[HostId] = []
        self._has_samples = False

    def __len__(self) -> int:
        """Return the number of active members, this host included."""
        return self.active_count + 1

    def find(self, host_id: HostId) -> Entry | None:
        """Return the entry of another host, or None if the id is unknown."""
        return self._entries_by_id.get(host_id)

    def knows_endpoint(self, peer: Endpoint) -> bool:
        """Return whether a host at this endpoint is known, dead or alive."""
        return peer in self._ids_by_peer or peer == self.own.peer

    def find_by_peer(self, peer: Endpoint) -> Entry | None:
        """Return the entry of the host at this peer endpoint, or None."""
        host_id = self._ids_by_peer.get(peer)
        return None if host_id is None else self._entries_by_id[host_id]

    def accepts(self, record: Member) -> bool:
        """Return whether a record replaces what is known.

        New hosts are not accepted above the limit of entries.
        """
        holder = self.find_by_peer(record.peer)
        if holder is not None and not _may_take_endpoint(record, holder.member):
            return False
        entry = self._entries_by_id.get(record.host_id)
        if entry is None:
            return len(self._entries_by_id) < _MAX_ENTRIES
        return precedence(record) > precedence(entry.member)

    def store(self, record: Member, now: float) -> Member | None:
        """Store a record and return the one it replaced, or None for a new host."""
        entry = self._entries_by_id.get(record.host_id)
        previous = None if entry is None else entry.member
        first_seen_at = now if previous is None else self._first_seen_at(record, now)
        self.is_changed |= previous is None or _published_fields(
            previous
        ) != _published_fields(record)
        self._discard(record.host_id)
        self._entries_by_id[record.host_id] = Entry(record, now, first_seen_at)
        self._ids_by_peer[record.peer] = record.host_id
        self.active_count += record.state in ACTIVE
        self._has_samples = False
        return previous

    def active(self) -> Iterator[Member]:
        """Yield the records of other hosts that are alive or suspect."""
        for entry in self._entries_by_id.values():
            if entry.member.state in ACTIVE:
                yield entry.member

    def sample_active(self, count: int, excluded: HostId | None = None) -> list[Member]:
        """Return up to ``count`` random active members other than ``excluded``."""
        self._refresh_samples()
        ids = self._active_ids
        if len(ids) > count:
            ids = self._rng.sample(ids, min(count + 1, len(ids)))
        chosen = [self._entries_by_id[one].member for one in ids if one != excluded]
        return chosen[:count]

    def sample_dead(self) -> Member | None:
        """Return a random dead member, or None if there is none."""
        self._refresh_samples()
        if not self._dead_ids:
            return None
        return self._entries_by_id[self._rng.choice(self._dead_ids)].member

    def expire(self, now: float) -> list[Member]:
        """Remove hosts that died long ago, and return those whose stop is over.

        The returned records have the state dead and are not stored yet.
        """
        departed: list[Member] = []
        for entry in tuple(self._entries_by_id.values()):
            age = now - entry.changed_at
            if entry.member.state is MemberState.DEAD and age > _DEAD_RETENTION_SECONDS:
                self._discard(entry.member.host_id)
            elif (
                entry.member.state is MemberState.LEAVING
                and age > _LEAVING_TIMEOUT_SECONDS
            ):
                departed.append(replace(entry.member, state=MemberState.DEAD))
        self._drop_oldest_dead()
        return departed

    def _first_seen_at(self, record: Member, now: float) -> float:
        entry = self._entries_by_id[record.host_id]
        restarted = record.incarnation > entry.member.incarnation
        return now if restarted else entry.first_seen_at

    def _discard(self, host_id: HostId) -> None:
        entry = self._entries_by_id.pop(host_id, None)
        if entry is None:
            return
        self.active_count -= entry.member.state in ACTIVE
        if self._ids_by_peer.get(entry.member.peer) == host_id:
            self._ids_by_peer.pop(entry.member.peer)
        self._has_samples = False

    def _drop_oldest_dead(self) -> None:
        self._refresh_samples()
        excess = len(self._dead_ids) - _MAX_DEAD
        if excess > 0:
            oldest = sorted(
                self._dead_ids, key=lambda one: self._entries_by_id[one].changed_at
            )
            for host_id in oldest[:excess]:
                self._discard(host_id)

    def _refresh_samples(self) -> None:
        if self._has_samples:
            return
        self._active_ids = []
        self._dead_ids = []
        for host_id, entry in self._entries_by_id.items():
            if entry.member.state in ACTIVE:
                self._active_ids.append(host_id)
            elif entry.member.state is MemberState.DEAD:
                self._dead_ids.append(host_id)
        self._has_samples = True


def _published_fields(member: Member) -> tuple[bool, int, Endpoint]:
    return member.state in ACTIVE, member.incarnation, member.peer


def _may_take_endpoint(record: Member, holder: Member) -> bool:
    if record.host_id == holder.host_id or holder.state is MemberState.DEAD:
        return True
    return record.incarnation > holder.incarnation
