"""Events that the runtime delivers to the core."""

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
    """The process is ready; delivered once, before any other event."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event, about every 100 ms; ``now`` is monotonic, in seconds."""

    now: float


@dataclass(frozen=True, slots=True)
class Resumed:
    """The process was paused for ``gap`` seconds.

    Delivered before the next tick and any other event, so that the pause is
    not taken for the silence of other hosts.
    """

    gap: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform asks for a planned stop of this process."""


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """The fabric delivered a message from a caller.

    ``service`` is the service address that the caller sent it to.
    """

    caller: Endpoint
    service: Endpoint
    message: CallerInput


@dataclass(frozen=True, slots=True)
class CallerPacket:
    """A packet from a caller for a flow that is not in the route table."""

    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class UpstreamPacket:
    """A packet from an upstream for a flow that is not in the route table."""

    upstream: Endpoint
    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another host sent a message over UDP; ``peer`` is its peer endpoint."""

    peer: Endpoint
    message: PeerInput


@dataclass(frozen=True, slots=True)
class UpstreamMessage:
    """An upstream sent a message.

    ``path`` is the number of the local port that received it.
    """

    upstream: Endpoint
    path: int
    message: UpstreamInput


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A neighbour sent a message on the gossip link."""

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
    """Outcome of the ``CallApi`` with the same call id.

    UNKNOWN means that the call may have taken effect; UNAVAILABLE that it
    certainly has not. ``version`` and ``body`` are set only if the operation
    returns them.
    """

    call_id: int
    status: ApiStatus
    key: str
    version: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class ObjectChanged:
    """A list or a watch on a prefix reported an object."""

    key: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class StatementReceived:
    """An operator sent a statement; answered by ``Reply`` with the same id.

    ``change_id`` identifies a change across repetitions of its statement;
    empty if the operator gave none. ``forwarded_by`` is the host that asks on
    behalf of an operator; None if the operator asked this host directly.
    """

    query_id: QueryId
    text: str
    change_id: str = ''
    forwarded_by: HostId | None = None
