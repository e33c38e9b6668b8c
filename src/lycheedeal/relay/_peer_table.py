"""The other hosts that a host knows, and their order for the duty."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import Clock
from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._records import Peer

# A host that was not heard for this long is left out.
_PEER_TIMEOUT_SECONDS: Final = 7.0
# A host on duty is heard more often than this.
_LEADER_SECONDS: Final = 2.0
# Hosts named in an answer to a greeting, and in a beacon, which comes 2.5 times
# a second.
_ROSTER_SIZE: Final = 16
_BEACON_PEERS: Final = 4
# In a large zone hosts are remembered longer, by seconds for each host of it.
# Beacons name all hosts four times in this time.
_ADVERTISED_SECONDS_PER_HOST: Final = 0.4
# Each host reports to the one on duty three times in this time.
_REPORT_SECONDS_PER_HOST: Final = 0.1


class PeerTable:
    """Hosts heard lately, by id."""

    def __init__(self, own: Peer, clock: Clock) -> None:
        """Start without any."""
        self.own = own
        self._clock = clock
        self._peers_by_id: dict[HostId, Peer] = {}
        self._beacon_offset = 0
        # The host on duty that this one hears from; None if it is itself.
        self.leader_id: HostId | None = None
        # As the host on duty knows it; this one may know fewer.
        self.zone_size = 1

    def __len__(self) -> int:
        """Return the number of known hosts."""
        return len(self._peers_by_id)

    def record_heard(self, peer: Peer) -> bool:
        """Remember a host; True if it is new."""
        if peer.host_id == self.own.host_id:
            return False
        peer.heard_at = self._clock.monotonic()
        is_new = peer.host_id not in self._peers_by_id
        self._peers_by_id[peer.host_id] = peer
        return is_new

    def record_named(self, peer: Peer) -> None:
        """Remember a host that the one on duty named.

        Hosts on duty hear the others themselves, and would keep a dead host
        among them by naming it to each other.
        """
        known = self._peers_by_id.get(peer.host_id)
        if known is None:
            self.record_heard(peer)
        elif not self.own.is_leader:
            known.heard_at = self._clock.monotonic()

    def find(self, host_id: HostId | None) -> Peer | None:
        """Return a host by its id."""
        return self._peers_by_id.get(host_id) if host_id else None

    def expire(self) -> None:
        """Leave out hosts that fell silent."""
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
        """Yield the known hosts of a zone, without this one."""
        return (peer for peer in self._peers_by_id.values() if peer.zone == zone)

    def of_own_zone(self) -> Iterator[Peer]:
        """Yield the other known hosts of the own zone."""
        return self.of_zone(self.own.zone)

    def other_zone_leaders(self) -> Iterator[Peer]:
        """Yield the first host on duty of each other zone."""
        first_by_zone: dict[Zone, Peer] = {}
        for peer in self._peers_by_id.values():
            if peer.is_leader and peer.zone != self.own.zone:
                first = first_by_zone.setdefault(peer.zone, peer)
                first_by_zone[peer.zone] = min(first, peer, key=rank)
        yield from first_by_zone.values()

    def own_zone_leaders(self) -> list[Peer]:
        """Return the other hosts of the own zone that are on duty now."""
        oldest = self._clock.monotonic() - _LEADER_SECONDS
        return [
            peer
            for peer in self.of_own_zone()
            if peer.is_leader and peer.heard_at >= oldest
        ]

    def first_leader(self) -> Peer:
        """Return the first host on duty of the own zone, with this one among them."""
        return min((self.own, *self.own_zone_leaders()), key=rank)

    def rosters(self, asking: Peer) -> Iterator[tuple[Peer, ...]]:
        """Yield the hosts of another host's zone, in groups for a datagram."""
        known = [
            one for one in self.of_zone(asking.zone) if one.host_id != asking.host_id
        ]
        if asking.zone == self.own.zone:
            known.append(self.own)
        for start in range(0, len(known), _ROSTER_SIZE):
            yield tuple(known[start : start + _ROSTER_SIZE])

    def next_advertised(self) -> tuple[Peer, ...]:
        """Return the hosts of the own zone that the next beacon names, in turn."""
        peers = list(self.of_own_zone())
        if len(peers) <= _BEACON_PEERS:
            return tuple(peers)
        self._beacon_offset = (self._beacon_offset + _BEACON_PEERS) % len(peers)
        return tuple((peers[self._beacon_offset :] + peers)[:_BEACON_PEERS])

    def own_rank(self) -> int:
        """Return how many known hosts of the zone come before this one."""
        own = rank(self.own)
        return sum(rank(peer) < own for peer in self.of_own_zone())


def rank(peer: Peer) -> tuple[float, str]:
    """Return the place of a host in the order for the duty; strong ones first."""
    return -peer.core_share, peer.host_id
