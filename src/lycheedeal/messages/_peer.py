"""Messages between hosts over UDP.

They relay messages of callers, exchange load and probe membership. To relay a
message is to pass it on to the owner of its service, request or flow.
"""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.messages._caller import CancelRequest, Open, Request
from lycheedeal.model import (
    Endpoint,
    FlowId,
    Generation,
    HostId,
    KindId,
    Member,
    RejectedShard,
    ServiceNumber,
    ShardIndex,
    Zone,
)


@dataclass(frozen=True, slots=True)
class RelayedOpen:
    """An ``Open`` relayed to the owner of the service.

    The owner may relay it once more, to the owner in another zone; ``final``
    says that this has been done.
    """

    caller: Endpoint
    service: ServiceNumber
    message: Open
    final: bool = False


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A ``Request`` relayed to the owner that its flow id names."""

    caller: Endpoint
    message: Request


@dataclass(frozen=True, slots=True)
class RelayedCancel:
    """A ``CancelRequest`` relayed to the owner that its flow id names."""

    caller: Endpoint
    message: CancelRequest


@dataclass(frozen=True, slots=True)
class RelayedClose:
    """Tells the owner named by a flow id that the flow has ended.

    ``error`` says why the flow was broken; None if it was closed.
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
    """Open flows of a service by upstream, as far as the sender knows.

    Within a zone these are the flows that the sender opened while it was the
    owner; to other zones, the owner reports all flows opened in its zone.
    ``arrivals`` is the number of request flows per second that callers
    request in the zone.
    """

    service: ServiceNumber
    zone: Zone
    arrivals: float
    counts: tuple[FlowCount, ...]


@dataclass(frozen=True, slots=True)
class Pushback:
    """Asks a host to refuse new flows of some kinds for ``ttl_ms``.

    The kinds are listed, since a kind with a floor may be served while a
    more urgent one is not.
    """

    service: ServiceNumber
    kinds: tuple[KindId, ...]
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Direct membership probe.

    ``sequence`` matches the answer to it; ``updates`` is a bounded list of
    membership records that the sender spreads.
    """

    sequence: int
    sender: Member
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Answer to the probe with the same sequence number."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks a peer to probe ``target`` and to forward the answer.

    Used when ``target`` has not answered the sender, since only the path
    between the two may be faulty.
    """

    sequence: int
    sender: Member
    target: Endpoint


@dataclass(frozen=True, slots=True)
class ConfigurationReport:
    """Tells the reporter of the zone which configuration the sender holds.

    ``rejected`` lists the shards that the sender received and found invalid.
    """

    sender: HostId
    generations: dict[ShardIndex, Generation]
    rejected: tuple[RejectedShard, ...] = ()
