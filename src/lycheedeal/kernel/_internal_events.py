"""Events that plug-ins publish to each other."""

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
    """The configuration in force on this host changed."""

    view: ConfigurationView


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of hosts of this zone that may own services changed.

    ``members`` is the whole set; it includes this host unless it is leaving.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform returned its list of hosts of all zones of the region.

    The list lags behind the actual set of running hosts.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The state of an upstream, as this host observes it, changed.

    ``weight`` is the share of its normal load that the upstream may get, from
    0 to 1; it rises step by step after a cold start.
    """

    service: ServiceNumber
    upstream_id: UpstreamId
    endpoint: Endpoint
    state: UpstreamState
    incarnation: Incarnation
    weight: float


@dataclass(frozen=True, slots=True)
class OpenAdmitted:
    """Admission lets a new flow be opened.

    ``relayed_by`` is the host that relayed the message; None if it came
    directly from the fabric. ``final`` means that it came from another zone
    and must not be passed on again.
    """

    caller: Endpoint
    service: Service
    message: Open
    relayed_by: Endpoint | None
    final: bool = False


@dataclass(frozen=True, slots=True)
class OwnedServicesChanged:
    """The set of services that this host owns changed.

    ``services`` is the whole set, sorted. It includes services for which this
    host is the standby or was the owner until recently; health observes the
    upstreams of all of them.
    """

    services: tuple[ServiceNumber, ...]


@dataclass(frozen=True, slots=True)
class UpstreamsInUse:
    """Upstreams to which this host forwards flows, whether it owns them or not.

    Published about every 5 s, with the most used upstreams first. Health
    monitors the paths of a bounded number of them.
    """

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """This host opened a flow; its id contains the flow class and the upstream."""

    service: ServiceNumber
    kind_id: KindId
    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """A flow opened by this host ended.

    ``error`` says why the flow was broken; None if it was closed.
    """

    service: ServiceNumber
    flow_id: FlowId
    error: ErrorKind | None


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request owned by this host ended; ``error`` None means answered.

    ``upstream`` is the one to which the outcome is attributed, None if there
    is none. ``seconds`` is the time from arrival to the end.
    """

    service: ServiceNumber
    kind_id: KindId
    upstream: Endpoint | None
    error: ErrorKind | None
    seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A message or a piece of work was refused; counted by kind of error.

    ``service`` is None if it is not known or no service is concerned.
    ``detail`` says in a few words what was refused or why. ``kind_id`` is set
    only for a refused new flow, which then counts towards the service level,
    since no other event reports that flow.
    """

    error: ErrorKind
    service: ServiceNumber | None
    detail: str
    kind_id: KindId | None = None


@dataclass(frozen=True, slots=True)
class StopStarted:
    """A planned stop began: accept no new work, finish what was accepted.

    The process ends at ``deadline`` at the latest, a monotonic time in
    seconds.
    """

    deadline: float


@dataclass(frozen=True, slots=True)
class QueueMeasured:
    """Load of the queue of a service whose requests this host owns.

    ``saturated`` holds the kinds for which new flows must wait; ``drain_ms``
    is the expected time to serve all waiting requests, in milliseconds.
    """

    service: ServiceNumber
    saturated: frozenset[KindId]
    drain_ms: int


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator requests a configuration change.

    Answered by one ``ChangeDecided``. A dry run only validates the change.
    """

    query_id: QueryId
    change_id: ChangeId
    change: Change
    dry_run: bool


@dataclass(frozen=True, slots=True)
class ChangeDecided:
    """Outcome of a requested configuration change.

    ``error`` None means that the change was accepted or, in a dry run, is
    valid. ``generation`` is that of the shard after the change, 0 if unknown.
    """

    query_id: QueryId
    change_id: ChangeId
    error: ErrorKind | None
    generation: Generation
    detail: str


@dataclass(frozen=True, slots=True)
class WorkRemaining:
    """Number of pieces of work of a plug-in that a planned stop waits for."""

    plugin: str
    count: int


@dataclass(frozen=True, slots=True)
class ShardRejected:
    """A received shard is invalid; the last valid one stays in force.

    ``generation`` is 0 if the shard could not be decoded.
    """

    index: ShardIndex
    generation: Generation
    reason: str


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """A query asks for the configuration status; answered by ``StatusKnown``."""

    query_id: QueryId


@dataclass(frozen=True, slots=True)
class StatusKnown:
    """Configuration status of the zones of the region, for one query.

    ``statuses`` holds at most one recent status for each zone, and
    ``not_reporting`` the zones that have none.
    """

    query_id: QueryId
    statuses: tuple[ZoneStatus, ...]
    not_reporting: tuple[Zone, ...]
