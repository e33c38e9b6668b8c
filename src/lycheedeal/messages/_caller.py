"""Messages between callers and hosts.

Deadlines are Unix times in milliseconds; delays are in milliseconds.
"""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.model import FlowId, KindId, RequestNumber


@dataclass(frozen=True, slots=True)
class Open:
    """Asks for a flow; ``attempt`` counts retransmissions from 0."""

    nonce: int
    kind_id: KindId
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Opened:
    """Gives the flow id for an ``Open`` with the same nonce.

    A caller must submit no new request on a request flow after ``ttl_ms``;
    0 means no limit. A host that stops waits for that long, so that no
    request meets an owner that is gone.
    """

    nonce: int
    flow_id: FlowId
    ttl_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """Refuses an ``Open``; nothing was started."""

    nonce: int
    error: ErrorKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Request:
    """One part of a request on a request flow; parts count from 0."""

    flow_id: FlowId
    number: RequestNumber
    deadline_ms: int
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """One part of the answer to a request."""

    flow_id: FlowId
    number: RequestNumber
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """Tells that a request has no answer; the kind implies the verdict."""

    flow_id: FlowId
    number: RequestNumber
    error: ErrorKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Asks to cancel a request; proves nothing until acknowledged."""

    flow_id: FlowId
    number: RequestNumber


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Ends a flow."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowBroken:
    """Tells the caller that its flow cannot go on."""

    flow_id: FlowId
    error: ErrorKind
