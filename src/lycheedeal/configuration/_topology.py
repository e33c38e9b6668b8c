"""Choice of gossip neighbours and of the hosts that watch the object API."""

from collections.abc import Iterable
from typing import Final

import xxhash

from lycheedeal.model import Endpoint, HostId, Member, Zone

# Hosts of a zone that watch; the second covers a failure of the first.
WATCHER_COUNT: Final = 2


def choose_neighbours(
    host_id: HostId,
    zone: Zone,
    members: Iterable[Member],
) -> tuple[Endpoint, ...]:
    """Return the gossip endpoints at distances 1, 2, 4, ... on the ring of hosts.

    The ring orders the hosts of the zone by the hash of their ids. Each host
    dials about log2(n) others and is dialled by as many.
    """
    ring = sorted(
        (
            member
            for member in members
            if member.host_id != host_id and member.zone == zone
        ),
        key=lambda member: _ring_position(member.host_id),
    )
    own = _ring_position(host_id)
    start = sum(_ring_position(member.host_id) < own for member in ring)
    neighbours: list[Endpoint] = []
    distance = 1
    while distance <= len(ring):
        neighbours.append(ring[(start + distance - 1) % len(ring)].gossip)
        distance *= 2
    return tuple(neighbours)


def is_watcher(host_id: HostId, zone: Zone, members: Iterable[Member]) -> bool:
    """Return whether this host is one of the first in the watcher order.

    A host that knows no other host of its zone is a watcher too.
    """
    order = watcher_order(zone, members)
    if not set(order) - {host_id}:
        return True
    return host_id in order[:WATCHER_COUNT]


def watcher_order(zone: Zone, members: Iterable[Member]) -> list[HostId]:
    """Return the hosts of the zone in their order of precedence as watchers.

    The order depends only on the zone and the host ids, so that hosts with the
    same members agree on it.
    """
    return sorted(
        {one.host_id for one in members if one.zone == zone},
        key=lambda one: xxhash.xxh64_intdigest(f'watch/{zone}/{one}'.encode()),
    )


def _ring_position(host_id: HostId) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(host_id.encode()), host_id
