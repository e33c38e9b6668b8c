"""Events by which plug-ins inform each other."""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.messages import Open
from lycheedeal.model import (
    Change,
    ChangeId,
    ConfigurationView,
    Endpoint,
    FlowId,
    Generation,
    Incarnation,
    KindId,
    Member,
    QueryId,
    Service,
    ServiceNumber,
    ShardIndex,
    UpstreamId,
    UpstreamState,
    Zone,
    ZoneStatus,
)


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Configuration in force on this host changed."""

    view: ConfigurationView


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The hosts of this zone that may own services changed.

    ``members`` includes this host unless it is leaving.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's lagging list of hosts of all zones of the region."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """State of an upstream as this host sees it.

    ``weight`` is from 0 to 1 and rises while a cold start is ramped.
    """

    service: ServiceNumber
    upstream_id: UpstreamId
    endpoint: Endpoint
    state: UpstreamState
    incarnation: Incarnation
    weight: float


@dataclass(frozen=True, slots=True)
class OpenAdmitted:
    """A new flow may be opened.

    ``relayed_by`` is the host that relayed the message; None if it came
    straight from the fabric. ``final`` means that it came from another zone.
    """

    caller: Endpoint
    service: Service
    message: Open
    relayed_by: Endpoint | None
    final: bool = False


@dataclass(frozen=True, slots=True)
class OwnedServicesChanged:
    """Health wants to observe the upstreams of a service that this host owns."""

    services: tuple[ServiceNumber, ...]


@dataclass(frozen=True, slots=True)
class UpstreamsInUse:
    """Upstreams that this host forwards flows to, owned or not.

    Published about every 5 s; bounded. Health watches their paths.
    """

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """A flow was opened by this host."""

    service: ServiceNumber
    kind_id: KindId
    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """A flow seen by this host ended; ``error`` is set if it was broken."""

    service: ServiceNumber
    flow_id: FlowId
    error: ErrorKind | None


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request owned by this host ended; ``error`` None means answered.

    ``seconds`` is the time from arrival to the end.
    """

    service: ServiceNumber
    kind_id: KindId
    upstream: Endpoint | None
    error: ErrorKind | None
    seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Something was refused; counted by kind of error.

    ``kind_id`` is set only for a refused new flow. It then counts towards
    the service level, since no other event reports that flow.
    """

    error: ErrorKind
    service: ServiceNumber | None
    detail: str
    kind_id: KindId | None = None


@dataclass(frozen=True, slots=True)
class StopStarted:
    """A planned stop began: take no new work, finish what is in hand."""

    deadline: float


@dataclass(frozen=True, slots=True)
class QueueMeasured:
    """Requests measured the queue of a service for which this host owns work.

    ``saturated`` holds the kinds for which new flows must wait; ``drain_ms``
    is the expected time to serve all that waits.
    """

    service: ServiceNumber
    saturated: frozenset[KindId]
    drain_ms: int


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator asks for a change; answered by one ``ChangeDecided``."""

    query_id: QueryId
    change_id: ChangeId
    change: Change
    dry_run: bool


@dataclass(frozen=True, slots=True)
class ChangeDecided:
    """Outcome of a change; ``error`` None means accepted (or valid, if dry run).

    ``generation`` is that of the shard after the change, 0 if unknown.
    """

    query_id: QueryId
    change_id: ChangeId
    error: ErrorKind | None
    generation: Generation
    detail: str


@dataclass(frozen=True, slots=True)
class WorkRemaining:
    """A plug-in reports how much work it still has before a stop."""

    plugin: str
    count: int


@dataclass(frozen=True, slots=True)
class ShardRejected:
    """A shard that arrived breaks a rule; the last good one stays in force.

    ``generation`` is 0 if the shard could not be read.
    """

    index: ShardIndex
    generation: Generation
    reason: str


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """A query needs the configuration status; answered by ``StatusKnown``."""

    query_id: QueryId


@dataclass(frozen=True, slots=True)
class StatusKnown:
    """Configuration status of the zones of the region.

    ``statuses`` has a fresh status at most once for each zone, and
    ``not_reporting`` the zones without one.
    """

    query_id: QueryId
    statuses: tuple[ZoneStatus, ...]
    not_reporting: tuple[Zone, ...]
