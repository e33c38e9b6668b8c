"""Content of requests, answers and feed packets.

The first line of a body is JSON, so that callers and upstreams can check
what they got without trusting the hosts between them.
"""

import hashlib
import struct
from dataclasses import dataclass
from typing import Final

import msgspec

from lycheedeal.model import ServiceName

PART_SIZE_BYTES: Final = 32 * 1024
_NUMBER: Final = struct.Struct('!Q')
_NEWLINE: Final = b'\n'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """First line of a request body."""

    token: str
    service: ServiceName


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """First line of an answer; ``filler`` is the length of what follows."""

    digest: str
    filler: int


@dataclass(frozen=True, slots=True)
class Keepalive:
    """Payload of a caller: last number without a gap before it."""

    last_number: int
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Entry:
    """Payload of an upstream; an echo has no text and is no entry."""

    number: int
    text: bytes


def digest_of(body: bytes) -> str:
    """Return the digest that names a request body."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def build_request(head: RequestHead, size: int) -> bytes:
    """Return a request body of at least ``size`` bytes."""
    line = msgspec.json.encode(head) + _NEWLINE
    return line + _filler(head.token, max(0, size - len(line)))


def read_request(body: bytes) -> RequestHead | None:
    """Return the first line of a request body, None if it has none."""
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
    """Tell whether the answer is complete and belongs to the request."""
    line, _, filler = answer.partition(_NEWLINE)
    try:
        head = msgspec.json.decode(line, type=AnswerHead)
    except msgspec.MsgspecError:
        return False
    digest = digest_of(request)
    return head.digest == digest and filler == _filler(digest, head.filler)


def split_parts(body: bytes) -> list[bytes]:
    """Return the parts in which a body travels; at least one."""
    return [
        body[start : start + PART_SIZE_BYTES]
        for start in range(0, max(len(body), 1), PART_SIZE_BYTES)
    ]


def build_keepalive(keepalive: Keepalive) -> bytes:
    """Return the payload of a keepalive."""
    return _NUMBER.pack(keepalive.last_number) + keepalive.service.encode()


def read_keepalive(payload: bytes) -> Keepalive | None:
    """Return the keepalive in a payload, None if it is something else."""
    if len(payload) < _NUMBER.size:
        return None
    name = payload[_NUMBER.size :].decode(errors='replace')
    return Keepalive(_NUMBER.unpack_from(payload)[0], ServiceName(name))


def build_entry(entry: Entry) -> bytes:
    """Return the payload of a feed entry or an echo."""
    return _NUMBER.pack(entry.number) + entry.text


def read_entry(payload: bytes) -> Entry | None:
    """Return the entry in a payload, None if it is something else."""
    if len(payload) < _NUMBER.size:
        return None
    return Entry(_NUMBER.unpack_from(payload)[0], payload[_NUMBER.size :])


def _filler(seed: str, size: int) -> bytes:
    return hashlib.shake_128(seed.encode()).digest(size)
