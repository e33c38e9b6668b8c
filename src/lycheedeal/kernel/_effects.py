"""Effects: what the core asks the runtime to carry out."""

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
    """Sends a message to a caller over UDP."""

    caller: Endpoint
    message: CallerOutput


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Sends a message to another host over UDP."""

    peer: Endpoint
    message: PeerOutput


@dataclass(frozen=True, slots=True)
class SendToUpstream:
    """Sends a message to an upstream over UDP.

    ``path`` is the number of the local port to send from; None means the one
    in use for this upstream, see ``SwitchPath``.
    """

    upstream: Endpoint
    message: UpstreamOutput
    path: int | None = None


@dataclass(frozen=True, slots=True)
class SendPacketToUpstream:
    """Forwards a packet of an established flow to its upstream."""

    upstream: Endpoint
    flow_id: FlowId
    caller: Endpoint
    payload: bytes


@dataclass(frozen=True, slots=True)
class SendPacketToCaller:
    """Forwards a packet of an established flow to its caller."""

    caller: Endpoint
    flow_id: FlowId
    payload: bytes


@dataclass(frozen=True, slots=True)
class Gossip:
    """Sends a message to all neighbours, the hosts connected by the gossip link."""

    message: messages.Digest | messages.ShardCopy


@dataclass(frozen=True, slots=True)
class SetNeighbours:
    """Replaces the set of neighbours to which the gossip link connects."""

    neighbours: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class SwitchPath:
    """Makes ``path`` the local port that is used for an upstream.

    Requested when the path in use is silent while another one is answered.
    """

    upstream: Endpoint
    path: int


@unique
class ApiCall(Enum):
    """Operations of the object API; each counts as one call.

    HOSTS reads the platform's list of hosts; the others work on objects.
    """

    READ = 'read'
    LIST = 'list'
    WRITE = 'write'
    WATCH = 'watch'
    UNWATCH = 'unwatch'
    HOSTS = 'hosts'


@dataclass(frozen=True, slots=True)
class CallApi:
    """Calls the object API; the outcome comes back as ``ApiReplied``.

    On a write, ``version`` is the version that the stored object must have;
    0 means that the object must not exist. LIST and WATCH take ``key`` as a
    prefix and report objects as ``ObjectChanged``. WATCH has no reply: it
    keeps one watch on the prefix until UNWATCH.
    """

    call_id: int
    operation: ApiCall
    key: str
    version: int = 0
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers the statement with this query id.

    ``exit_code`` is the exit status for ``lycheectl``; ``content`` consists
    of JSON types.
    """

    query_id: QueryId
    exit_code: int
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Observe:
    """Records one observation of a metric, named without its prefix.

    A counter rises by ``amount``, a gauge is set to it, and a histogram of
    durations takes it in seconds. ``labels`` holds pairs of name and value;
    the set of values must be bounded.
    """

    metric: str
    amount: float = 1
    labels: tuple[tuple[str, str], ...] = ()


@unique
class LogLevel(Enum):
    """Severity of a log line, in rising order."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a log line; ``part`` is its prefix, usually the plug-in's name."""

    part: str
    level: LogLevel
    text: str


@dataclass(frozen=True, slots=True)
class Exit:
    """Ends the process with this exit status."""

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
