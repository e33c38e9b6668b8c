"""Messages between hosts and upstreams.

Each message that hands over work names the service and the incarnation it
is meant for; the upstream refuses work for any other, since another process
may have taken over its address.
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
    """Health probe; ``nonce`` matches the ``Welcome`` to it."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer to the health probe with the same nonce.

    ``slots``, ``running`` and ``flows`` describe the load of the upstream; they
    may be stale or wrong.
    """

    nonce: int
    service: ServiceName
    incarnation: Incarnation
    state: UpstreamState
    slots: int
    running: int
    flows: int


@dataclass(frozen=True, slots=True)
class FlowOpen:
    """Opens a long flow on the upstream.

    Answered by ``FlowAccepted`` or ``FlowRejected``.
    """

    flow_id: FlowId
    service: ServiceName
    incarnation: Incarnation
    kind_id: KindId
    caller: Endpoint


@dataclass(frozen=True, slots=True)
class FlowAccepted:
    """The upstream has accepted the flow."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowRejected:
    """The upstream refuses to open a flow, or does not know it any more."""

    flow_id: FlowId
    error: ErrorKind
    caller: Endpoint


@dataclass(frozen=True, slots=True)
class UpstreamClose:
    """Tells the upstream that a long flow has ended."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class Run:
    """One part of an attempt to run a request.

    The upstream must not start the attempt after ``deadline_ms``, Unix time in
    milliseconds. ``part`` counts from 0.
    """

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
    """One part of the answer to an attempt; ``part`` counts from 0."""

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
    """Acknowledges a cancellation.

    ``started`` tells whether the upstream had started to run the attempt.
    """

    attempt_id: AttemptId
    started: bool
