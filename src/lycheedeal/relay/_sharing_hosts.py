"""Hosts of a zone that split the limits of its cold upstreams."""

from typing import Final

from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._events import Event, PeerTableReady, Tick
from lycheedeal.relay._peer_table import PeerTable

# A host has a share in the limits of cold upstreams after running for this long
# without a pause. By then its peers know it: beacons name all hosts of a zone of 30
# within 3 s.
_KNOWN_AFTER_SECONDS: Final = 6.0
# Ticks come each 0.1 s; a longer gap means that the process was paused.
_MAX_TICK_GAP_SECONDS: Final = 1.5
# Nor has it one unless it knows this part of the hosts that its leader counts.
_MIN_KNOWN_SHARE: Final = 0.9
# A host that is no longer heard keeps its share for this long: it may be cut off from
# its peers and still carry flows. Longer than most failures of links; upstreams that
# start meanwhile ramp up more slowly, but only for their warm-up of about 2 s.
_RETENTION_SECONDS: Final = 120.0
_UPDATE_INTERVAL_SECONDS: Final = 1.0


class SharingHosts:
    """Tells which hosts have a share, unless this one may not know all of them."""

    def __init__(self, context: RelayContext) -> None:
        """Start without other hosts."""
        self._context = context
        self._peer_table = PeerTable(context.settings.own_peer, context.clock)
        self._last_tick = context.clock.monotonic()
        self._running_since = self._last_tick
        self._next_update = 0.0
        # When each other host of the zone was last in the table of peers.
        self._known_at_by_id: dict[HostId, float] = {}

    def follow(self, event: Event) -> None:
        """Take in what an event tells."""
        match event:
            case PeerTableReady(peer_table=peer_table):
                self._peer_table = peer_table
            case Tick(now=now):
                if now - self._last_tick > _MAX_TICK_GAP_SECONDS:
                    self._running_since = now
                self._last_tick = now
                if now >= self._next_update:
                    self._next_update = now + _UPDATE_INTERVAL_SECONDS
                    self._update(now)

    def ids(self, now: float) -> tuple[HostId, ...]:
        """Return the hosts of the zone; none if this host takes no share."""
        if now - self._running_since < _KNOWN_AFTER_SECONDS:
            return ()
        if not (self._follows_leader() or self._leads()):
            return ()
        self._note_known(now)
        own = self._peer_table.own
        return own.host_id, *self._known_at_by_id

    @property
    def known_hosts(self) -> int:
        """Return the number of hosts that this one knows in all zones, with itself."""
        return len(self._peer_table) + 1

    def count(self) -> int:
        """Return the number of hosts of the zone, as far as this host knows."""
        known = 1 + sum(1 for _ in self._peer_table.of_own_zone())
        # A leader gets no beacon that tells the number.
        return max(known, self._peer_table.zone_size)

    def _follows_leader(self) -> bool:
        """Return whether this host follows a leader, and knows the hosts that it does.

        The size of the zone is that of the last beacon, which on a leader is old.
        """
        table = self._peer_table
        if table.own.is_leader or table.leader_id is None:
            return False
        known = 1 + sum(1 for _ in table.of_own_zone())
        return known >= table.zone_size * _MIN_KNOWN_SHARE

    def _leads(self) -> bool:
        """Return whether this host leads its zone.

        A host that leads because it has found none of its seeds knows nothing of it.
        """
        table = self._peer_table
        seeds = self._context.settings.seeds
        is_alone = all(seed == table.own.endpoint for seed in seeds)
        has_met_hosts = bool(len(table) or self._known_at_by_id)
        return table.own.is_leader and (is_alone or has_met_hosts)

    def _update(self, now: float) -> None:
        self._note_known(now)
        oldest = now - _RETENTION_SECONDS
        self._known_at_by_id = {
            host_id: known_at
            for host_id, known_at in self._known_at_by_id.items()
            if known_at >= oldest
        }

    def _note_known(self, now: float) -> None:
        for peer in self._peer_table.of_own_zone():
            self._known_at_by_id[peer.host_id] = now
