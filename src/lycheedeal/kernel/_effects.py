"""Effects that the core asks its surroundings to carry out."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

from lycheedeal import messages
from lycheedeal.dispatch import Publish
from lycheedeal.model import Endpoint, FlowId, QueryId

CallerOutput = (
    messages.Opened
    | messages.OpenRefused
    | messages.Answer
    | messages.Outcome
    | messages.FlowBroken
)
PeerOutput = (
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
UpstreamOutput = (
    messages.Hello
    | messages.FlowOpen
    | messages.UpstreamClose
    | messages.Run
    | messages.CancelRun
)


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Sends a message to a caller."""

    caller: Endpoint
    message: CallerOutput


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Sends a message to another host over UDP."""

    peer: Endpoint
    message: PeerOutput


@dataclass(frozen=True, slots=True)
class SendToUpstream:
    """Sends a message to an upstream; ``path`` None means the current path."""

    upstream: Endpoint
    message: UpstreamOutput
    path: int | None = None


@dataclass(frozen=True, slots=True)
class SendPacketToUpstream:
    """Forwards a packet of a flow to its upstream."""

    upstream: Endpoint
    flow_id: FlowId
    caller: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class SendPacketToCaller:
    """Forwards a packet of a flow to its caller."""

    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class Gossip:
    """Sends a message to all neighbours on the gossip link."""

    message: messages.Digest | messages.ShardCopy


@dataclass(frozen=True, slots=True)
class SetNeighbours:
    """Replaces the set of neighbours that the gossip link dials."""

    neighbours: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SwitchPath:
    """Uses another local port for an upstream from now on."""

    upstream: Endpoint
    path: int


@unique
class ApiCall(Enum):
    """Operations of the object API; each counts as one call."""

    READ = 'read'
    LIST = 'list'
    WRITE = 'write'
    WATCH = 'watch'
    UNWATCH = 'unwatch'
    HOSTS = 'hosts'


@dataclass(frozen=True, slots=True)
class CallApi:
    """Calls the object API; ``version`` 0 on a write means "must not exist".

    WATCH keeps one watch on the prefix ``key`` until UNWATCH.
    """

    call_id: int
    operation: ApiCall
    key: str
    version: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a statement; ``content`` is made of JSON types."""

    query_id: QueryId
    exit_code: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Observe:
    """Adds to a metric; labels are pairs of name and bounded value."""

    metric: str
    amount: float = 1
    labels: tuple[tuple[str, str], ...] = ()


@unique
class LogLevel(Enum):
    """Severity of a log line."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line; ``part`` is the fixed prefix."""

    part: str
    level: LogLevel
    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """Ends the process with this status."""

    status: int


Effect = (
    SendToCaller
    | SendToPeer
    | SendToUpstream
    | SendPacketToUpstream
    | SendPacketToCaller
    | Gossip
    | SetNeighbours
    | SwitchPath
    | CallApi
    | Reply
    | Observe
    | Log
    | Publish
    | Exit
)
