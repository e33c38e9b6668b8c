"""Self-describing flow identifiers.

Every host that shares the key can forward an established flow from the
identifier alone, without configuration, membership or flow state.
"""

import hashlib
import hmac
import socket
import struct
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, NamedTuple

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, FlowId, Incarnation, KindId, ServiceNumber
from lycheedeal.model._states import FlowClass

_LAYOUT_VERSION: Final = 1
# All sizes and offsets are in bytes.
_TAG_SIZE: Final = 8
# version, flow class, kind, padding, service, owner ip, owner port,
# owner incarnation, upstream ip, upstream port, upstream incarnation, nonce
_BODY: Final = struct.Struct('!BBBxI4sHQ4sHQQ')
FLOW_ID_SIZE: Final = _BODY.size + _TAG_SIZE
# Stands for the upstream in the id of a request flow.
NO_UPSTREAM: Final = Endpoint('0.0.0.0', 0)


@dataclass(frozen=True, slots=True)
class FlowFields:
    """Fields of a flow id.

    A long flow belongs to one upstream. A request flow has none, since its
    owner selects an upstream for each request. ``nonce`` makes the id unique.
    """

    flow_class: FlowClass
    kind_id: KindId
    service: ServiceNumber
    owner: Endpoint
    owner_incarnation: Incarnation
    nonce: int
    upstream: Endpoint = NO_UPSTREAM
    upstream_incarnation: Incarnation = Incarnation(0)


class FlowSummary(NamedTuple):
    """The fields of a flow id by which flows are counted."""

    flow_class: FlowClass
    kind_id: KindId
    upstream: Endpoint


_FLOW_CLASSES_BY_VALUE: Final = MappingProxyType(
    {known_class.value: known_class for known_class in FlowClass}
)
# Offset of the upstream in the body: the size of all fields before it.
_UPSTREAM_OFFSET: Final = struct.calcsize('!BBBxI4sHQ')
_UPSTREAM: Final = struct.Struct('!4sH')


def summarize_flow(flow_id: FlowId) -> FlowSummary | None:
    """Return some fields of a flow id without checking its tag.

    Only for flow ids that this host has already authenticated. It is much
    faster than ``FlowIdCodec.decode``, so that it can be called for each flow.
    Returns None if the size, the layout version or the flow class is unknown.
    """
    if len(flow_id) != FLOW_ID_SIZE or flow_id[0] != _LAYOUT_VERSION:
        return None
    flow_class = _FLOW_CLASSES_BY_VALUE.get(flow_id[1])
    if flow_class is None:
        return None
    ip, port = _UPSTREAM.unpack_from(flow_id, _UPSTREAM_OFFSET)
    return FlowSummary(
        flow_class,
        KindId(flow_id[2]),
        Endpoint(socket.inet_ntoa(ip), port),
    )


class FlowIdCodec:
    """Encodes and authenticates flow ids with a key shared by all hosts."""

    def __init__(self, key: bytes) -> None:
        """Create a codec; the key of keyed BLAKE2b has at most 64 bytes."""
        self._key = key

    def encode(self, fields: FlowFields) -> FlowId:
        """Return the flow id for these fields, with its authentication tag."""
        body = _BODY.pack(
            _LAYOUT_VERSION,
            fields.flow_class,
            fields.kind_id,
            fields.service,
            socket.inet_aton(fields.owner.ip),
            fields.owner.port,
            fields.owner_incarnation,
            socket.inet_aton(fields.upstream.ip),
            fields.upstream.port,
            fields.upstream_incarnation,
            fields.nonce,
        )
        return FlowId(body + self._tag(body))

    def decode(self, flow_id: bytes) -> FlowFields:
        """Return the fields of an authentic flow id.

        Raises DecodeError with kind MALFORMED, UNSUPPORTED_VERSION or
        BAD_TAG. The tag is compared in constant time.
        """
        if len(flow_id) != FLOW_ID_SIZE:
            raise DecodeError('flow id has the wrong size')
        if flow_id[0] != _LAYOUT_VERSION:
            raise DecodeError(
                'layout version of the flow id is not supported',
                ErrorKind.UNSUPPORTED_VERSION,
            )
        body = flow_id[:-_TAG_SIZE]
        if not hmac.compare_digest(self._tag(body), flow_id[-_TAG_SIZE:]):
            raise DecodeError(
                'authentication tag of the flow id does not match', ErrorKind.BAD_TAG
            )
        return _unpack_fields(body)

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=_TAG_SIZE, key=self._key).digest()


def _unpack_fields(body: bytes) -> FlowFields:
    (
        _,
        flow_class,
        kind_id,
        service,
        owner_ip,
        owner_port,
        owner_incarnation,
        upstream_ip,
        upstream_port,
        upstream_incarnation,
        nonce,
    ) = _BODY.unpack(body)
    try:
        known_class = FlowClass(flow_class)
    except ValueError as error:
        raise DecodeError('flow class in the flow id is unknown') from error
    return FlowFields(
        flow_class=known_class,
        kind_id=KindId(kind_id),
        service=ServiceNumber(service),
        owner=Endpoint(socket.inet_ntoa(owner_ip), owner_port),
        owner_incarnation=Incarnation(owner_incarnation),
        upstream=Endpoint(socket.inet_ntoa(upstream_ip), upstream_port),
        upstream_incarnation=Incarnation(upstream_incarnation),
        nonce=nonce,
    )
