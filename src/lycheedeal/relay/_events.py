"""Events of the packet relay.

Events are never compared or printed; leaving both methods out saves 5% of the
processor time of a start.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._records import (
    ConfigurationVersion,
    Entry,
    Loads,
    LoadScope,
    Packet,
    Peer,
    Revision,
    Route,
    RouteKey,
    Source,
    StoreFault,
    StoreKind,
)

if TYPE_CHECKING:
    from lycheedeal.relay._context import RelaySettings
    from lycheedeal.relay._peer_table import PeerTable
    from lycheedeal.relay._upstream_table import UpstreamTable


@dataclass(slots=True, eq=False, repr=False)
class Started:
    """The process is up and its sockets are open."""


@dataclass(slots=True, eq=False, repr=False)
class Tick:
    """Some time has passed; seconds of the monotonic clock."""

    now: float


@dataclass(slots=True, eq=False, repr=False)
class StopRequested:
    """The platform asked the process to stop."""


@dataclass(slots=True, eq=False, repr=False)
class SettingsRead:
    """The settings were read again; None if they cannot be used."""

    settings: 'RelaySettings | None'
    detail: str


@dataclass(slots=True, eq=False, repr=False)
class PacketArrived:
    """A packet of a caller arrived."""

    packet: Packet


@dataclass(slots=True, eq=False, repr=False)
class ListAnswered:
    """All objects of a kind, as of a revision.

    ``unusable`` names objects that exist but could not be understood. For the
    configuration, ``version`` is None if the store holds none.
    """

    kind: StoreKind
    revision: Revision
    entries: tuple[Entry, ...]
    unusable: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None


@dataclass(slots=True, eq=False, repr=False)
class WatchAnswered:
    """What changed in a kind since the watched revision."""

    kind: StoreKind
    revision: Revision
    entries: tuple[Entry, ...]
    removed: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None


@dataclass(slots=True, eq=False, repr=False)
class CallFailed:
    """A call to the store gave no usable answer."""

    kind: StoreKind
    fault: StoreFault
    detail: str


@dataclass(slots=True, eq=False, repr=False)
class LeadershipChanged:
    """This host is, or is no longer, one that follows the store."""

    is_leader: bool


@dataclass(slots=True, eq=False, repr=False)
class ContentChanged:
    """New content of a kind.

    ``complete`` means that what is not in ``entries`` or ``unusable`` is
    absent. ``settled`` means that the store had answered for long enough for
    absence to be meant.
    """

    kind: StoreKind
    revision: Revision
    complete: bool
    entries: tuple[Entry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...]
    version: ConfigurationVersion | None
    settled: bool
    source: Source


@dataclass(slots=True, eq=False, repr=False)
class ContentConfirmed:
    """The store confirmed what is known of a kind, as of ``at`` seconds."""

    kind: StoreKind
    at: float


@dataclass(slots=True, eq=False, repr=False)
class RefreshRequested:
    """The content of a kind may be old and should be read from the store."""

    kind: StoreKind


@dataclass(slots=True, eq=False, repr=False)
class RoutesChanged:
    """The routes in force, and those that were in force before."""

    version: ConfigurationVersion
    routes_by_key: dict[RouteKey, Route]
    removed: frozenset[RouteKey]


@dataclass(slots=True, eq=False, repr=False)
class UpstreamsChanged:
    """The table of upstreams changed; it is shared and not copied.

    ``listed`` means that the store has just told all upstreams there are.
    """

    table: 'UpstreamTable'
    revision: Revision
    is_full_list: bool = False


@dataclass(slots=True, eq=False, repr=False)
class PeerTableReady:
    """The hosts that this one knows; the object is shared and not copied."""

    peer_table: 'PeerTable'


@dataclass(slots=True, eq=False, repr=False)
class Greeting:
    """A host announces itself; it asks hosts that it does not know yet."""

    peer: Peer
    wants_answer: bool


@dataclass(slots=True, eq=False, repr=False)
class Roster:
    """Hosts that the sender knows in a zone."""

    zone: Zone
    peers: tuple[Peer, ...]


@dataclass(slots=True, eq=False, repr=False)
class Beacon:
    """A host that follows the store tells its zone how current it is.

    ``ages_ms`` is the time since the store confirmed each kind, in the order
    of StoreKind; a negative age means that the sender gives the duty up.
    ``peers`` are some of the ``zone_size`` hosts that it knows in the zone.
    """

    peer: Peer
    ages_ms: tuple[int, ...]
    revisions: tuple[int, ...]
    zone_size: int
    peers: tuple[Peer, ...]


@dataclass(slots=True, eq=False, repr=False)
class ContentPart:
    """A part of a change, or of everything, of a kind."""

    host_id: HostId
    kind: StoreKind
    base: int
    revision: int
    part: int
    parts: int
    complete: bool
    settled: bool
    version: int | None
    entries: tuple[Entry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...] = ()


@dataclass(slots=True, eq=False, repr=False)
class SnapshotRequest:
    """A host asks for everything of a kind."""

    host_id: HostId
    kind: StoreKind


@dataclass(slots=True, eq=False, repr=False)
class LoadReport:
    """Part of the loads of upstreams as the hosts of some zones cause them.

    Upstreams that no part of a report names have no load. Reports of a host
    are numbered.
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
    """A host asks the one on duty, which it has not heard lately, for a sign."""

    peer: Peer


SpreadMessage = Beacon | ContentPart | LoadReport


@dataclass(slots=True, eq=False, repr=False)
class Spread:
    """A message for the hosts of a zone that the receiver passes on.

    It goes to the hosts with a place from ``start`` before ``end`` in the order
    of this message. The receiver's own place comes before ``start``.
    """

    order_seed: int
    start: int
    end: int
    message: SpreadMessage


@dataclass(slots=True, eq=False, repr=False)
class SpreadRequested:
    """A message should reach all hosts of the own zone."""

    message: SpreadMessage


PeerMessage = (
    Greeting
    | Roster
    | Beacon
    | BeaconRequest
    | ContentPart
    | SnapshotRequest
    | LoadReport
    | Spread
)


@dataclass(slots=True, eq=False, repr=False)
class PeerMessageReceived:
    """A message of another host arrived."""

    message: PeerMessage


Event = (
    Started
    | Tick
    | StopRequested
    | SettingsRead
    | PacketArrived
    | ListAnswered
    | WatchAnswered
    | CallFailed
    | LeadershipChanged
    | ContentChanged
    | ContentConfirmed
    | RefreshRequested
    | RoutesChanged
    | UpstreamsChanged
    | PeerTableReady
    | PeerMessageReceived
    | SpreadRequested
)
