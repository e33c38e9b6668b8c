"""Messages between hosts and upstreams.

Each message that hands over work names the service and the incarnation it
is meant for; the upstream refuses work meant for another.
"""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.model import (
    AttemptId,
    Endpoint,
    FlowId,
    Incarnation,
    KindId,
    ServiceName,
    UpstreamState,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """Health probe."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer to a health probe; the load figures may be stale or false."""

    nonce: int
    service: ServiceName
    incarnation: Incarnation
    state: UpstreamState
    slots: int
    running: int
    flows: int


@dataclass(frozen=True, slots=True)
class FlowOpen:
    """Opens a long flow on the upstream."""

    flow_id: FlowId
    service: ServiceName
    incarnation: Incarnation
    kind_id: KindId
    caller: Endpoint


@dataclass(frozen=True, slots=True)
class FlowAccepted:
    """The upstream holds the flow."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowRejected:
    """The upstream refuses a flow or does not know it."""

    flow_id: FlowId
    error: ErrorKind
    caller: Endpoint


@dataclass(frozen=True, slots=True)
class UpstreamClose:
    """Ends a long flow on the upstream."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class Run:
    """One part of a request; the upstream must not start it past its deadline."""

    attempt_id: AttemptId
    service: ServiceName
    incarnation: Incarnation
    kind_id: KindId
    deadline_ms: int
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """One part of the answer to an attempt."""

    attempt_id: AttemptId
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The upstream refused the attempt before it started."""

    attempt_id: AttemptId
    error: ErrorKind


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Asks the upstream to cancel an attempt."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RunCancelled:
    """Acknowledges a cancellation; ``started`` tells whether work had begun."""

    attempt_id: AttemptId
    started: bool
