"""Configuration changes that an operator can request."""

from dataclasses import dataclass

from lycheedeal.ids import Endpoint, ServiceName, UpstreamId, Zone
from lycheedeal.model._states import SpillRule


@dataclass(frozen=True, slots=True)
class CreateService:
    """Creates a service that has no kinds of work and no upstreams yet."""

    service: ServiceName
    address: Endpoint
    spill: SpillRule = SpillRule.NEVER


@dataclass(frozen=True, slots=True)
class DeleteService:
    """Deletes a service; refused while it still has upstreams."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class CreateKind:
    """Adds a kind of work to a service; see ``WorkKind`` for the fields."""

    service: ServiceName
    name: str
    priority: int
    floor: float = 0
    idempotent: bool = False
    long: bool = False


@dataclass(frozen=True, slots=True)
class DeleteKind:
    """Removes a kind of work from a service; its id is never used again."""

    service: ServiceName
    name: str


@dataclass(frozen=True, slots=True)
class CreateUpstream:
    """Adds an upstream to a service; see ``Upstream`` for the fields."""

    service: ServiceName
    upstream_id: UpstreamId
    endpoint: Endpoint
    zone: Zone
    slots: int = 2
    connections: int = 4000


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Stops new work for an upstream; its flows and requests continue."""

    service: ServiceName
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class UndrainUpstream:
    """Allows new work for a drained upstream again."""

    service: ServiceName
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class DeleteUpstream:
    """Removes an upstream; refused unless it is drained."""

    service: ServiceName
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class RestoreConfiguration:
    """Writes the shard in force back to the object API if the stored one is older.

    It concerns the shard of this service. The service must be in force on the
    host that handles the change.
    """

    service: ServiceName


Change = (
    CreateService
    | DeleteService
    | CreateKind
    | DeleteKind
    | CreateUpstream
    | DrainUpstream
    | UndrainUpstream
    | DeleteUpstream
    | RestoreConfiguration
)
