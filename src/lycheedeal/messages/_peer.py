"""Messages between hosts over UDP: relays and membership probes."""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.messages._caller import CancelRequest, Open, Request
from lycheedeal.model import (
    Endpoint,
    FlowId,
    Generation,
    HostId,
    Member,
    RejectedShard,
    ServiceNumber,
    ShardIndex,
    Zone,
)


@dataclass(frozen=True, slots=True)
class RelayedOpen:
    """An ``Open`` passed on to the owner of the service.

    The owner may pass it on once more, to the owner in another zone;
    ``final`` says that this has been done.
    """

    caller: Endpoint
    service: ServiceNumber
    message: Open
    final: bool = False


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A ``Request`` passed on to the owner that its flow id names."""

    caller: Endpoint
    message: Request


@dataclass(frozen=True, slots=True)
class RelayedCancel:
    """A ``CancelRequest`` passed on to the owner that its flow id names."""

    caller: Endpoint
    message: CancelRequest


@dataclass(frozen=True, slots=True)
class RelayedClose:
    """Tells the owner that a flow id names that the flow has ended.

    ``error`` is set if the flow was broken.
    """

    flow_id: FlowId
    error: ErrorKind | None = None


@dataclass(frozen=True, slots=True)
class FlowCount:
    """Number of open flows on one upstream."""

    upstream: Endpoint
    flows: int


@dataclass(frozen=True, slots=True)
class FlowCounts:
    """Open flows of a service that the sender knows of.

    Within a zone these are the flows that the sender opened while it was the
    owner; to other zones, the owner reports all flows opened in its zone.
    ``arrivals`` is the number of request flows that callers asked for in the
    zone, a second.
    """

    service: ServiceNumber
    zone: Zone
    arrivals: float
    counts: tuple[FlowCount, ...]


@dataclass(frozen=True, slots=True)
class Pushback:
    """Asks a host to refuse new flows whose priority number is above a bound."""

    service: ServiceNumber
    max_priority: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Direct membership probe with a bounded list of member updates."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answer to a probe, sent to whoever asked for it."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks a peer to probe ``target`` and pass the answer back."""

    sequence: int
    sender: Member
    target: Endpoint


@dataclass(frozen=True, slots=True)
class ConfigurationReport:
    """Tells the reporter of the zone which configuration the sender holds."""

    sender: HostId
    generations: dict[ShardIndex, Generation]
    rejected: tuple[RejectedShard, ...] = ()
