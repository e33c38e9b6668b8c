"""Messages between callers and hosts.

Deadlines are Unix times in milliseconds; delays are in milliseconds.
"""

from dataclasses import dataclass

from lycheedeal.errors import ErrorKind
from lycheedeal.model import FlowId, KindId, RequestNumber


@dataclass(frozen=True, slots=True)
class Open:
    """Requests a flow.

    ``nonce`` identifies the request; ``attempt`` counts its retransmissions
    from 0.
    """

    nonce: int
    kind_id: KindId
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Opened:
    """Grants the ``Open`` with the same nonce and returns the flow id.

    A caller must submit no new request on a request flow after ``ttl_ms``;
    0 means no limit. A host that stops waits for that long, so that no
    request is sent to an owner that has ended.
    """

    nonce: int
    flow_id: FlowId
    ttl_ms: int = 0


@dataclass(frozen=True, slots=True)
class OpenRefused:
    """Refuses the ``Open`` with the same nonce; no flow was opened.

    The caller should wait for ``retry_after_ms`` before it tries again.
    """

    nonce: int
    error: ErrorKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Request:
    """One part of a request on a request flow.

    ``part`` is its index, from 0; ``parts`` is their number. ``number``
    identifies the request within its flow.
    """

    flow_id: FlowId
    number: RequestNumber
    deadline_ms: int
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """One part of the answer to a request; ``part`` counts from 0."""

    flow_id: FlowId
    number: RequestNumber
    part: int
    parts: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """Tells the caller that a request has no answer.

    ``error`` implies whether the request was run, see ``errors.Verdict``.
    """

    flow_id: FlowId
    number: RequestNumber
    error: ErrorKind
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Asks to cancel a request.

    Until an ``Outcome`` confirms it, the request may still run.
    """

    flow_id: FlowId
    number: RequestNumber


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Tells the host that the caller has ended its flow."""

    flow_id: FlowId


@dataclass(frozen=True, slots=True)
class FlowBroken:
    """Tells the caller that its flow has ended because of an error."""

    flow_id: FlowId
    error: ErrorKind
