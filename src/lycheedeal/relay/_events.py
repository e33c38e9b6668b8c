"""Events of the packet relay.

Events are never compared or printed. Their classes leave out both methods, which
saves 5% of the processor time of a start.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lycheedeal.relay._messages import PeerMessage, SpreadMessage
from lycheedeal.relay._records import (
    ConfigurationVersion,
    Entry,
    Packet,
    Position,
    Route,
    RouteKey,
    ServiceTerms,
    Source,
    StoreFault,
    StoreKind,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheedeal.ids import ServiceName, Zone
    from lycheedeal.relay._context import RelaySettings
    from lycheedeal.relay._copies import ContentCopy
    from lycheedeal.relay._peer_table import PeerTable
    from lycheedeal.relay._upstream_table import UpstreamTable


@dataclass(slots=True, eq=False, repr=False)
class Started:
    """The process is up and its sockets are open."""


@dataclass(slots=True, eq=False, repr=False)
class Tick:
    """Time has passed; ``now`` is in seconds of the monotonic clock."""

    now: float


@dataclass(slots=True, eq=False, repr=False)
class StopRequested:
    """The platform asked the process to stop."""


@dataclass(slots=True, eq=False, repr=False)
class SettingsRead:
    """The settings file was read again.

    ``settings`` is None if the file is not usable; ``detail`` then tells why.
    """

    settings: 'RelaySettings | None'
    detail: str


@dataclass(slots=True, eq=False, repr=False)
class PacketArrived:
    """A packet arrived from a caller."""

    packet: Packet


@dataclass(slots=True, eq=False, repr=False)
class ListAnswered:
    """The store listed all objects of a kind, as of a position.

    ``unusable`` names objects that exist but could not be decoded. For the
    configuration, ``version`` is None if the store contains none.
    """

    kind: StoreKind
    position: Position
    entries: tuple[Entry, ...]
    unusable: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None


@dataclass(slots=True, eq=False, repr=False)
class CallProgressed:
    """A call to the store goes on: a part of its answer arrived, or was decoded."""

    kind: StoreKind


@dataclass(slots=True, eq=False, repr=False)
class WatchAnswered:
    """A watch returned the changes of a kind since the watched position.

    The fields have the meaning that they have in ``ListAnswered``; ``removed``
    names deleted objects.
    """

    kind: StoreKind
    position: Position
    entries: tuple[Entry, ...]
    removed: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    version: ConfigurationVersion | None = None


@dataclass(slots=True, eq=False, repr=False)
class CallFailed:
    """A call to the store failed or returned no usable answer.

    ``readable`` has the objects of a list that does not come to an end.
    """

    kind: StoreKind
    fault: StoreFault
    detail: str
    readable: ListAnswered | None = None


@dataclass(slots=True, eq=False, repr=False)
class LeadershipChanged:
    """This host became a leader of its zone, or is not one any more.

    Repeated with each tick, for plug-ins that failed to handle it.
    """

    is_leader: bool


@dataclass(slots=True, eq=False, repr=False)
class WatchingChanged:
    """This host is to watch the store from now on, or to stop watching it.

    Repeated with each tick, for plug-ins that failed to handle it.
    """

    watches: bool


@dataclass(slots=True, eq=False, repr=False)
class RegionBeaconDue:
    """The other zones are to hear that the store confirmed the content."""


@dataclass(slots=True, eq=False, repr=False)
class ContentChanged:
    """The content of a kind changed.

    ``complete`` means that objects in neither ``entries`` nor ``unusable`` do not
    exist. ``settled`` means that the store had answered from one history for some time,
    so that a missing entry was deleted rather than expired while the store failed, or
    lost with its history. ``exact`` marks the difference between two editions; other
    changes contain each object that was written between them.
    """

    kind: StoreKind
    position: Position
    complete: bool
    entries: tuple[Entry, ...]
    removed: tuple[str, ...]
    unusable: tuple[str, ...]
    version: ConfigurationVersion | None
    settled: bool
    source: Source
    exact: bool = False


@dataclass(slots=True, eq=False, repr=False)
class ContentConfirmed:
    """The store confirmed the content of a kind at the monotonic time ``at``.

    ``source`` tells whether it answered this host or a peer.
    """

    kind: StoreKind
    at: float
    source: Source = Source.STORE


@dataclass(slots=True, eq=False, repr=False)
class EditionConfirmed:
    """The leader confirmed the edition that this host has, as of the time ``at``."""

    kind: StoreKind
    at: float


@dataclass(slots=True, eq=False, repr=False)
class RefreshRequested:
    """The content of a kind may be stale and is to be read from the store."""

    kind: StoreKind


@dataclass(slots=True, eq=False, repr=False)
class ContentNotApplied:
    """A plug-in failed while it applied content, which has to be read again."""


@dataclass(slots=True, eq=False, repr=False)
class RoutesChanged:
    """The routes in force changed; ``removed`` are keys of earlier routes."""

    version: ConfigurationVersion
    routes_by_key: dict[RouteKey, Route]
    removed: frozenset[RouteKey]
    terms_by_service: 'dict[ServiceName, ServiceTerms]' = field(default_factory=dict)


@dataclass(slots=True, eq=False, repr=False)
class EvacuationsChanged:
    """The evacuated zones changed; ``resumed`` get new flows again from now on."""

    evacuated: 'frozenset[Zone]'
    resumed: 'frozenset[Zone]'


@dataclass(slots=True, eq=False, repr=False)
class UpstreamsChanged:
    """The table of upstreams changed; the table is shared and not copied.

    ``is_full_list`` means that the store has just listed all upstreams.
    """

    table: 'UpstreamTable'
    position: Position
    is_full_list: bool = False


@dataclass(slots=True, eq=False, repr=False)
class PeerTableReady:
    """The table of known hosts was created; it is shared and not copied."""

    peer_table: 'PeerTable'


@dataclass(slots=True, eq=False, repr=False)
class CopiesReady:
    """The copies of the store's content were created; they are shared."""

    copies_by_kind: 'Mapping[StoreKind, ContentCopy]'


@dataclass(slots=True, eq=False, repr=False)
class SpreadRequested:
    """A message is to be sent to all hosts of the own zone."""

    message: SpreadMessage


@dataclass(slots=True, eq=False, repr=False)
class PeerMessageReceived:
    """A message arrived from another host."""

    message: PeerMessage


Event = (
    Started
    | Tick
    | StopRequested
    | SettingsRead
    | PacketArrived
    | ListAnswered
    | CallProgressed
    | WatchAnswered
    | CallFailed
    | LeadershipChanged
    | WatchingChanged
    | RegionBeaconDue
    | ContentChanged
    | ContentConfirmed
    | EditionConfirmed
    | RefreshRequested
    | ContentNotApplied
    | RoutesChanged
    | EvacuationsChanged
    | UpstreamsChanged
    | PeerTableReady
    | CopiesReady
    | PeerMessageReceived
    | SpreadRequested
)
