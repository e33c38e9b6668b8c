"""Encoding of the messages between hosts.

A message is one datagram: a JSON array of the protocol version, a tag and fields.
"""

import json
import struct
from binascii import a2b_base64, b2a_base64
from collections.abc import Iterator
from typing import Any, Final

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay._entry_codec import decode_entry, encode_entry
from lycheedeal.relay._messages import (
    Beacon,
    BeaconRequest,
    ContentPart,
    Greeting,
    LoadReport,
    PeerMessage,
    RegionBeacon,
    Roster,
    SnapshotRequest,
    Spread,
    SpreadMessage,
)
from lycheedeal.relay._records import (
    Edition,
    Era,
    Load,
    Loads,
    LoadScope,
    Peer,
    Position,
    Revision,
    StoreKind,
    Token,
)

# Hosts of different versions refuse each other's messages.
PROTOCOL_VERSION: Final = 6
# Largest datagram that is decoded, in bytes.
MAX_DATAGRAM_BYTES: Final = 8192
# The mean number of requests in flight is encoded in this many steps for each.
_IN_FLIGHT_STEPS: Final = 100
# Token, mean number of requests in flight, open flows, failure votes, success votes,
# answers and the milliseconds that all of these took, of an upstream.
_LOAD_ROW: Final = struct.Struct('>IHHBBHI')
_MAX_COUNT: Final = 0xFFFF
_MAX_VOTES: Final = 0xFF
_MAX_ANSWER_MS: Final = 0xFFFFFFFF
_MS_PER_SECOND: Final = 1000


def encode_message(message: PeerMessage) -> bytes:
    """Return the datagram of a message."""
    return json.dumps(
        [PROTOCOL_VERSION, *_encode_fields(message)],
        separators=(',', ':'),
    ).encode()


def decode_message(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram.

    Raises DecodeError if the datagram is too long, of another version or malformed.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise DecodeError(
            'datagram is longer than the protocol allows', ErrorKind.OVERSIZED
        )
    try:
        version, *fields = json.loads(datagram)
        if version != PROTOCOL_VERSION:
            raise DecodeError(
                'datagram is of another protocol version',
                ErrorKind.UNSUPPORTED_VERSION,
            )
        return _decode_fields(fields)
    except (ValueError, TypeError, RecursionError) as error:
        raise DecodeError(
            f'datagram is not a valid message of a host: {error}'
        ) from error


def _encode_fields(message: PeerMessage) -> list[Any]:
    match message:
        case Greeting(peer=peer, wants_answer=wants_answer):
            return ['greeting', _encode_peer(peer), wants_answer]
        case Roster(zone=zone, peers=peers):
            return ['roster', zone, [_encode_peer(peer) for peer in peers]]
        case Beacon() | RegionBeacon():
            return _encode_beacon(message)
        case ContentPart():
            return ['content', *_encode_part(message)]
        case BeaconRequest(peer=peer):
            return ['wanted', _encode_peer(peer)]
        case SnapshotRequest(host_id=host_id, kind=kind):
            return ['snapshot', host_id, kind.value]
        case Spread(order_seed=order_seed, start=start, end=end, message=inner):
            return ['spread', order_seed, start, end, _encode_fields(inner)]
        case LoadReport():
            return [
                'load',
                _encode_peer(message.peer),
                message.scope.value,
                message.zones,
                message.number,
                message.part,
                message.parts,
                _encode_loads(message.loads),
            ]


def _encode_beacon(beacon: Beacon | RegionBeacon) -> list[Any]:
    own = _encode_peer(beacon.peer)
    common = [own, beacon.ages_ms, beacon.editions]
    match beacon:
        case RegionBeacon():
            return ['region', *common]
        case Beacon():
            peers = [_encode_peer(peer) for peer in beacon.peers]
            return ['beacon', *common, beacon.zone_size, peers]


def _encode_loads(loads: Loads) -> str:
    rows = b''.join(
        _LOAD_ROW.pack(
            token,
            min(round(load.in_flight * _IN_FLIGHT_STEPS), _MAX_COUNT),
            min(load.open_flows, _MAX_COUNT),
            min(load.failure_votes, _MAX_VOTES),
            min(load.success_votes, _MAX_VOTES),
            min(load.answers, _MAX_COUNT),
            min(round(load.answer_seconds * _MS_PER_SECOND), _MAX_ANSWER_MS),
        )
        for token, load in loads.items()
    )
    return b2a_base64(rows, newline=False).decode()


def _encode_part(part: ContentPart) -> list[Any]:
    return [
        part.host_id,
        part.kind.value,
        part.base,
        part.position,
        part.part,
        part.parts,
        part.complete,
        part.settled,
        part.version,
        [encode_entry(entry) for entry in part.entries],
        part.removed,
        part.unusable,
        part.exact,
    ]


def _encode_peer(peer: Peer) -> list[Any]:
    return [peer.host_id, peer.zone, *peer.endpoint, peer.core_share, peer.is_leader]


def _decode_fields(fields: list[Any]) -> PeerMessage:
    match fields:
        case ['greeting', peer, bool() as wants_answer]:
            return Greeting(_decode_peer(peer), wants_answer)
        case ['roster', str() as zone, list() as peers]:
            return Roster(Zone(zone), tuple(map(_decode_peer, peers)))
        case ['beacon' | 'region', *rest]:
            return _decode_beacon(rest)
        case ['content', *rest]:
            return _decode_part(rest)
        case ['wanted', peer]:
            return BeaconRequest(_decode_peer(peer))
        case [
            'spread',
            int() as order_seed,
            int() as start,
            int() as end,
            list() as inner,
        ]:
            return Spread(order_seed, start, end, _decode_spread_message(inner))
        case ['snapshot', str() as host_id, kind]:
            return SnapshotRequest(HostId(host_id), StoreKind(kind))
        case [
            'load',
            peer,
            scope,
            list() as zones,
            int() as number,
            int() as part,
            int() as parts,
            str() as rows,
        ] if 0 <= part < parts:
            return LoadReport(
                _decode_peer(peer),
                LoadScope(scope),
                tuple(Zone(str(zone)) for zone in zones),
                number,
                part,
                parts,
                dict(_decode_loads(rows)),
            )
    raise DecodeError('no known message has this tag and these fields')


def _decode_beacon(fields: list[Any]) -> Beacon | RegionBeacon:
    match fields:
        case [peer, ages, editions, int() as zone_size, list() as peers]:
            return Beacon(
                _decode_peer(peer),
                *_decode_contents(ages, editions),
                zone_size,
                tuple(map(_decode_peer, peers)),
            )
        case [peer, ages, editions]:
            return RegionBeacon(_decode_peer(peer), *_decode_contents(ages, editions))
        case _:
            raise DecodeError('beacon has wrong fields')


def _decode_contents(
    ages: Any, editions: Any
) -> tuple[tuple[int, ...], tuple[Edition, ...]]:
    """Return the ages and editions of the kinds that the sender reads."""
    if isinstance(ages, list) and isinstance(editions, list):
        has_ages = all(isinstance(age, int) for age in ages)
        if has_ages and ages and len(ages) == len(editions):
            return tuple(ages), tuple(map(_decode_edition, editions))
    raise DecodeError('beacon does not have an age and an edition for each kind')


def _decode_spread_message(inner: list[Any]) -> SpreadMessage:
    message = _decode_fields(inner)
    match message:
        case Beacon() | ContentPart() | LoadReport():
            return message
        case _:
            raise DecodeError(
                'a spread message contains no beacon, content or load report'
            )


def _decode_part(fields: list[Any]) -> ContentPart:
    match fields:
        case [
            str() as host_id,
            kind,
            base,
            position,
            int() as part,
            int() as parts,
            bool() as complete,
            bool() as settled,
            int() | None as version,
            list() as entries,
            list() as removed,
            list() as unusable,
            bool() as exact,
        ] if 0 <= part < parts:
            return ContentPart(
                host_id=HostId(host_id),
                kind=StoreKind(kind),
                base=_decode_edition(base),
                position=_decode_position(position),
                part=part,
                parts=parts,
                complete=complete,
                settled=settled,
                version=version,
                entries=tuple(map(decode_entry, entries)),
                removed=tuple(map(str, removed)),
                unusable=tuple(map(str, unusable)),
                exact=exact,
            )
        case _:
            raise DecodeError('content message has wrong fields or part numbers')


def _decode_edition(fields: Any) -> Edition:
    match fields:
        case [int() as major, int() as minor]:
            return Edition((major, minor))
        case _:
            raise DecodeError('edition is not a pair of numbers')


def _decode_position(fields: Any) -> Position:
    match fields:
        case [int() as era, int() as revision]:
            return Position(Era(era), Revision(revision))
        case _:
            raise DecodeError('position is not an era and a revision')


def _decode_loads(rows: str) -> Iterator[tuple[Token, Load]]:
    try:
        for token, scaled, *counts, answer_ms in _LOAD_ROW.iter_unpack(
            a2b_base64(rows)
        ):
            load = Load(scaled / _IN_FLIGHT_STEPS, *counts)
            load.answer_seconds = answer_ms / _MS_PER_SECOND
            yield Token(token), load
    except struct.error as error:
        raise DecodeError(
            'size of the load rows is not a multiple of the row size'
        ) from error


def _decode_peer(fields: Any) -> Peer:
    match fields:
        case [
            str() as host_id,
            str() as zone,
            str() as ip,
            int() as port,
            int() | float() as core_share,
            bool() as is_leader,
        ]:
            endpoint = Endpoint(ip, port)
            return Peer(HostId(host_id), Zone(zone), endpoint, core_share, is_leader)
        case _:
            raise DecodeError('host record has wrong fields')
