"""Contents of requests, answers and feed packets.

The first line of a body is JSON that names the request, so that callers and
upstreams can detect a misrouted or damaged body without relying on the hosts
between them.
"""

import hashlib
import struct
from dataclasses import dataclass
from typing import Final

import msgspec

from lycheedeal.model import ServiceName

# Bodies are split into parts that fit into one UDP datagram.
PART_SIZE_BYTES: Final = 32 * 1024
# Entry number in front of the payload of a feed packet.
_NUMBER: Final = struct.Struct('!Q')
_NEWLINE: Final = b'\n'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """First line of a request body: unique token and intended service."""

    token: str
    service: ServiceName


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """First line of an answer.

    ``digest`` is that of the request body; ``filler`` is the number of bytes
    that follow the line.
    """

    digest: str
    filler: int


@dataclass(frozen=True, slots=True)
class Keepalive:
    """Payload of a caller's packet.

    ``last_number`` is the highest entry number up to which the caller has
    received every entry.
    """

    last_number: int
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Entry:
    """Payload of an upstream's packet.

    An empty ``text`` marks the echo of a keepalive, which is not an entry.
    """

    number: int
    text: bytes


def digest_of(body: bytes) -> str:
    """Return the hexadecimal digest by which an answer names its request."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def build_request(head: RequestHead, size: int) -> bytes:
    """Return a request body, filled up to ``size`` bytes if it is shorter."""
    line = msgspec.json.encode(head) + _NEWLINE
    return line + _filler(head.token, max(0, size - len(line)))


def read_request(body: bytes) -> RequestHead | None:
    """Return the first line of a request body; None if it does not decode."""
    try:
        return msgspec.json.decode(body.partition(_NEWLINE)[0], type=RequestHead)
    except msgspec.MsgspecError:
        return None


def build_answer(request: bytes, size: int) -> bytes:
    """Return the answer to a request, with ``size`` bytes after its first line."""
    digest = digest_of(request)
    return (
        msgspec.json.encode(AnswerHead(digest, size))
        + _NEWLINE
        + _filler(
            digest,
            size,
        )
    )


def is_valid_answer(request: bytes, answer: bytes) -> bool:
    """Return whether the answer is undamaged and belongs to the request."""
    line, _, filler = answer.partition(_NEWLINE)
    try:
        head = msgspec.json.decode(line, type=AnswerHead)
    except msgspec.MsgspecError:
        return False
    digest = digest_of(request)
    return head.digest == digest and filler == _filler(digest, head.filler)


def split_parts(body: bytes) -> list[bytes]:
    """Split a body into parts; an empty body is one empty part."""
    return [
        body[start : start + PART_SIZE_BYTES]
        for start in range(0, max(len(body), 1), PART_SIZE_BYTES)
    ]


def build_keepalive(keepalive: Keepalive) -> bytes:
    """Encode a keepalive as the payload of a packet."""
    return _NUMBER.pack(keepalive.last_number) + keepalive.service.encode()


def read_keepalive(payload: bytes) -> Keepalive | None:
    """Decode a keepalive; None if the payload is too short for one."""
    if len(payload) < _NUMBER.size:
        return None
    name = payload[_NUMBER.size :].decode(errors='replace')
    return Keepalive(_NUMBER.unpack_from(payload)[0], ServiceName(name))


def build_entry(entry: Entry) -> bytes:
    """Encode a feed entry, or an echo, as the payload of a packet."""
    return _NUMBER.pack(entry.number) + entry.text


def read_entry(payload: bytes) -> Entry | None:
    """Decode a feed entry or an echo; None if the payload is too short."""
    if len(payload) < _NUMBER.size:
        return None
    return Entry(_NUMBER.unpack_from(payload)[0], payload[_NUMBER.size :])


def _filler(seed: str, size: int) -> bytes:
    return hashlib.shake_128(seed.encode()).digest(size)
