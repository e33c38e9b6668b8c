"""Events that enter the core from the outside."""

from dataclasses import dataclass
from enum import Enum, unique

from lycheedeal import messages
from lycheedeal.model import Endpoint, FlowId, HostId, QueryId

CallerInput = (
    messages.Open | messages.Request | messages.CancelRequest | messages.CloseFlow
)
PeerInput = (
    messages.RelayedOpen
    | messages.RelayedRequest
    | messages.RelayedCancel
    | messages.RelayedClose
    | messages.FlowCounts
    | messages.Pushback
    | messages.Probe
    | messages.ProbeAck
    | messages.IndirectProbe
    | messages.ConfigurationReport
)
UpstreamInput = (
    messages.Welcome
    | messages.FlowAccepted
    | messages.FlowRejected
    | messages.RunAnswer
    | messages.RunRefused
    | messages.RunCancelled
)
GossipInput = messages.Digest | messages.ShardCopy


@dataclass(frozen=True, slots=True)
class Started:
    """The process is up; sent once, first."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Comes about every 100 ms; ``now`` is monotonic, in seconds."""

    now: float


@dataclass(frozen=True, slots=True)
class Resumed:
    """The process was paused for ``gap`` seconds; comes before the next tick."""

    gap: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform asks for a planned stop."""


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A message of a caller for the service at ``service`` came in."""

    caller: Endpoint
    service: Endpoint
    message: CallerInput


@dataclass(frozen=True, slots=True)
class CallerPacket:
    """A packet of an established flow that has no cached route."""

    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class UpstreamPacket:
    """A packet from an upstream for a flow that has no cached route."""

    upstream: Endpoint
    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another host came in over UDP."""

    peer: Endpoint
    message: PeerInput


@dataclass(frozen=True, slots=True)
class UpstreamMessage:
    """A message of an upstream came in on a local path."""

    upstream: Endpoint
    path: int
    message: UpstreamInput


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A neighbour sent something on the gossip link."""

    message: GossipInput


@unique
class ApiStatus(Enum):
    """Outcome of one call to the object API."""

    OK = 'ok'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not_found'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class ApiReplied:
    """Outcome of ``CallApi`` with the same call id.

    UNKNOWN means that the call may have taken effect; UNAVAILABLE that it
    certainly has not.
    """

    call_id: int
    status: ApiStatus
    key: str
    version: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class ObjectChanged:
    """The watch on a prefix reported an object."""

    key: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """An operator sent a statement; answered by ``Reply`` with the same id.

    ``forwarded_by`` is set when another host asks on behalf of an operator.
    """

    query_id: QueryId
    text: str
    change_id: str = ''
    forwarded_by: HostId | None = None
