"""Table of the other hosts that a host knows, and their order for leadership."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import Clock
from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._records import Peer

# A host that was not heard for this long is removed.
_PEER_TIMEOUT_SECONDS: Final = 7.0
# A leader that was not heard for this long does not count as one; leaders are heard
# more often.
_LEADER_VALID_SECONDS: Final = 2.0
# Hosts named in one roster, which answers a greeting, and in one beacon. A leader
# sends 2.5 beacons a second.
_ROSTER_SIZE: Final = 16
_BEACON_PEERS: Final = 4
# In a large zone hosts are kept longer, by a time that grows with their number. On
# a follower, beacons name all hosts four times within it.
_ADVERTISED_SECONDS_PER_HOST: Final = 0.4
# On a leader, each host reports its loads three times within it.
_REPORT_SECONDS_PER_HOST: Final = 0.1


class PeerTable:
    """Hosts that were heard recently, by id."""

    def __init__(self, own: Peer, clock: Clock) -> None:
        """Start without known hosts."""
        self.own = own
        self._clock = clock
        self._peers_by_id: dict[HostId, Peer] = {}
        self._beacon_count = 0
        # The leader that this host follows; None if unknown, or if this host leads.
        self.leader_id: HostId | None = None
        # Hosts of the zone as the leader counts them; this host may know fewer.
        self.zone_size = 1

    def __len__(self) -> int:
        """Return the number of known hosts, without this one."""
        return len(self._peers_by_id)

    def record_heard(self, peer: Peer) -> bool:
        """Record a host as heard now; returns True if it was not known."""
        if peer.host_id == self.own.host_id:
            return False
        peer.heard_at = self._clock.monotonic()
        is_new = peer.host_id not in self._peers_by_id
        self._peers_by_id[peer.host_id] = peer
        return is_new

    def record_named(self, peer: Peer) -> None:
        """Record that a leader named a host in its beacon.

        On a leader this does not extend the time of a known host: leaders hear the
        hosts themselves, and would keep a dead one by naming it to each other.
        """
        known = self._peers_by_id.get(peer.host_id)
        if known is None:
            self.record_heard(peer)
        elif not self.own.is_leader:
            known.heard_at = self._clock.monotonic()

    def find(self, host_id: HostId | None) -> Peer | None:
        """Return a host by its id, or None if it is not known."""
        return self._peers_by_id.get(host_id) if host_id else None

    def expire(self) -> None:
        """Remove hosts that were not heard for too long."""
        if self.own.is_leader:
            by_zone_size = _REPORT_SECONDS_PER_HOST * len(self._peers_by_id)
        else:
            by_zone_size = _ADVERTISED_SECONDS_PER_HOST * self.zone_size
        oldest = self._clock.monotonic() - max(_PEER_TIMEOUT_SECONDS, by_zone_size)
        self._peers_by_id = {
            host_id: peer
            for host_id, peer in self._peers_by_id.items()
            if peer.heard_at >= oldest
        }

    def of_zone(self, zone: Zone) -> Iterator[Peer]:
        """Yield the known hosts of a zone, without this host."""
        return (peer for peer in self._peers_by_id.values() if peer.zone == zone)

    def of_own_zone(self) -> Iterator[Peer]:
        """Yield the known hosts of the own zone, without this host."""
        return self.of_zone(self.own.zone)

    def other_zone_leaders(self) -> Iterator[Peer]:
        """Yield the first leader of each other zone."""
        first_by_zone: dict[Zone, Peer] = {}
        for peer in self._peers_by_id.values():
            if peer.is_leader and peer.zone != self.own.zone:
                first = first_by_zone.setdefault(peer.zone, peer)
                first_by_zone[peer.zone] = min(first, peer, key=rank)
        yield from first_by_zone.values()

    def own_zone_leaders(self) -> list[Peer]:
        """Return the leaders of the own zone, without this host."""
        oldest = self._clock.monotonic() - _LEADER_VALID_SECONDS
        return [
            peer
            for peer in self.of_own_zone()
            if peer.is_leader and peer.heard_at >= oldest
        ]

    def first_leader(self) -> Peer:
        """Return the first leader of the own zone; this host counts as one."""
        return min((self.own, *self.own_zone_leaders()), key=rank)

    def rosters(self, asking: Peer) -> Iterator[tuple[Peer, ...]]:
        """Yield the hosts of an asking host's zone, in groups for one datagram."""
        known = [
            one for one in self.of_zone(asking.zone) if one.host_id != asking.host_id
        ]
        if asking.zone == self.own.zone:
            known.append(self.own)
        for start in range(0, len(known), _ROSTER_SIZE):
            yield tuple(known[start : start + _ROSTER_SIZE])

    def next_advertised(self) -> tuple[Peer, ...]:
        """Return the hosts that the next beacon names; all get their turn.

        One of them is a leader of another zone, if any is known: a host that becomes
        a leader has to know the others.
        """
        self._beacon_count += 1
        own_zone = list(self.of_own_zone())
        leaders = list(self.other_zone_leaders())
        return (
            *_take_turns(own_zone, _BEACON_PEERS, self._beacon_count),
            *_take_turns(leaders, 1, self._beacon_count),
        )

    def own_rank(self) -> int:
        """Return the number of known hosts of the zone that come before this one."""
        own = rank(self.own)
        return sum(rank(peer) < own for peer in self.of_own_zone())


def _take_turns(peers: list[Peer], count: int, turn: int) -> list[Peer]:
    """Return ``count`` of the hosts, others in each turn; all if there are fewer."""
    if len(peers) <= count:
        return peers
    start = count * turn % len(peers)
    return (peers[start:] + peers)[:count]


def rank(peer: Peer) -> tuple[float, str]:
    """Return the sort key for leadership: the largest share of a core first."""
    return -peer.core_share, peer.host_id
