"""Messages between the hosts of the packet relay.

Messages are never compared or printed. Their classes leave out both methods, which
saves processor time of a start.
"""

from dataclasses import dataclass

from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._records import (
    Edition,
    Entry,
    Loads,
    LoadScope,
    Peer,
    Position,
    StoreKind,
)


@dataclass(slots=True, eq=False, repr=False)
class Greeting:
    """A host announces itself.

    ``wants_answer`` asks for the hosts of its zone, and for a beacon of a leader.
    """

    peer: Peer
    wants_answer: bool


@dataclass(slots=True, eq=False, repr=False)
class Roster:
    """Hosts of a zone that the sender knows."""

    zone: Zone
    peers: tuple[Peer, ...]


@dataclass(slots=True, eq=False, repr=False)
class Beacon:
    """A leader tells its zone how current its content is.

    ``ages_ms`` is the time since the store confirmed each kind, in the order of
    StoreKind; negative ages mean that the sender resigns. ``editions`` has the
    same order. ``peers`` are some of the ``zone_size`` hosts that the sender knows
    in the zone, with itself among them.
    """

    peer: Peer
    ages_ms: tuple[int, ...]
    editions: tuple[Edition, ...]
    zone_size: int
    peers: tuple[Peer, ...]


@dataclass(slots=True, eq=False, repr=False)
class RegionBeacon:
    """A leader that watches the store tells leaders of other zones how current it is.

    ``ages_ms`` and ``editions`` have the meaning that they have in ``Beacon``.
    """

    peer: Peer
    ages_ms: tuple[int, ...]
    editions: tuple[Edition, ...]


@dataclass(slots=True, eq=False, repr=False)
class ContentPart:
    """Part number ``part`` of ``parts`` of a change or snapshot of a kind.

    ``complete`` marks a snapshot. A change applies to the content of edition
    ``base`` and leads to that at ``position``. Unless it is ``exact``, it contains
    each object that was written since the base, and also applies to later content.
    ``host_id`` is the sender.
    """

    host_id: HostId
    kind: StoreKind
    base: Edition
    position: Position
    part: int
    parts: int
    complete: bool
    settled: bool
    version: int | None
    entries: tuple[Entry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()
    exact: bool = False


@dataclass(slots=True, eq=False, repr=False)
class SnapshotRequest:
    """A host asks for a snapshot of a kind."""

    host_id: HostId
    kind: StoreKind


@dataclass(slots=True, eq=False, repr=False)
class LoadReport:
    """Part of a report of the load that hosts of some zones cause at upstreams.

    An upstream that no part of a report contains has no load. ``number`` counts
    the reports of a host.
    """

    peer: Peer
    scope: LoadScope
    zones: tuple[Zone, ...]
    number: int
    part: int
    parts: int
    loads: Loads


@dataclass(slots=True, eq=False, repr=False)
class BeaconRequest:
    """A host asks its leader, whose beacon is overdue, for another one."""

    peer: Peer


SpreadMessage = Beacon | ContentPart | LoadReport


@dataclass(slots=True, eq=False, repr=False)
class Spread:
    """A message for all hosts of a zone, which the receiver passes on.

    The receiver serves the hosts at positions from ``start`` before ``end``, in
    the order that ``order_seed`` gives; its own position is before ``start``.
    """

    order_seed: int
    start: int
    end: int
    message: SpreadMessage


PeerMessage = (
    Greeting
    | Roster
    | Beacon
    | BeaconRequest
    | RegionBeacon
    | ContentPart
    | SnapshotRequest
    | LoadReport
    | Spread
)
