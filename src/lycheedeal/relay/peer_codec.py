"""JSON encoding of the messages between hosts; one datagram each."""

import json
from typing import Any, Final

from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.relay._events import (
    Beacon,
    ContentPart,
    Greeting,
    LoadReport,
    PeerMessage,
    Roster,
    SnapshotWanted,
)
from lycheedeal.relay._records import (
    Entry,
    Listing,
    Load,
    Loads,
    Peer,
    Route,
    RouteKey,
    RouteName,
    StoreKind,
    Token,
)

# Hosts of two versions do not understand each other's messages.
PROTOCOL_VERSION: Final = 1
# Largest datagram that is decoded, in bytes.
MAX_BYTES: Final = 8192
# Resolution of the mean number of requests in flight.
_BUSY_STEPS: Final = 100


def encode_message(message: PeerMessage) -> bytes:
    """Return a message as one datagram."""
    return json.dumps(
        [PROTOCOL_VERSION, *_fields(message)],
        separators=(',', ':'),
    ).encode()


def decode_message(datagram: bytes) -> PeerMessage:
    """Return the message of a datagram; raises DecodeError."""
    if len(datagram) > MAX_BYTES:
        raise DecodeError('datagram is too long', ErrorKind.OVERSIZED)
    try:
        version, *fields = json.loads(datagram)
        if version != PROTOCOL_VERSION:
            raise DecodeError('other version', ErrorKind.UNSUPPORTED_VERSION)
        return _message(fields)
    except (ValueError, TypeError, RecursionError) as error:
        raise DecodeError(f'message of a host: {error}') from error


def _fields(message: PeerMessage) -> list[Any]:
    match message:
        case Greeting(peer=peer, asks=asks):
            return ['greeting', _peer_fields(peer), asks]
        case Roster(zone=zone, peers=peers):
            return ['roster', zone, [_peer_fields(peer) for peer in peers]]
        case Beacon():
            peers_fields = [_peer_fields(peer) for peer in message.peers]
            own = _peer_fields(message.peer)
            return ['beacon', own, message.ages_ms, message.revisions, peers_fields]
        case ContentPart():
            return ['content', *_part_fields(message)]
        case SnapshotWanted(host_id=host_id, kind=kind):
            return ['snapshot', host_id, kind.value]
        case LoadReport(peer=peer, total=total, loads_by_zone=loads_by_zone):
            zones = [[zone, _load_rows(loads)] for zone, loads in loads_by_zone.items()]
            return ['load', _peer_fields(peer), total, zones]


def _load_rows(loads: Loads) -> list[Any]:
    return [
        [token, round(load.busy * _BUSY_STEPS), load.open_flows]
        for token, load in loads.items()
    ]


def _part_fields(part: ContentPart) -> list[Any]:
    return [
        part.host_id,
        part.kind.value,
        part.base,
        part.revision,
        part.part,
        part.parts,
        part.complete,
        part.settled,
        part.version,
        [_entry_fields(entry) for entry in part.entries],
        part.removed,
        part.unusable,
    ]


def _peer_fields(peer: Peer) -> list[Any]:
    return [peer.host_id, peer.zone, *peer.endpoint, peer.strength, peer.on_duty]


def _entry_fields(entry: Entry) -> list[Any]:
    match entry:
        case Route():
            services = entry.services
            return [
                'route',
                entry.name,
                entry.key,
                services,
                entry.priority,
                entry.bulky,
            ]
        case Listing():
            return [
                'upstream',
                entry.upstream_id,
                entry.service,
                *entry.endpoint,
                entry.zone,
                entry.slots,
                entry.draining,
                entry.warmup_ms,
                entry.started_ms,
            ]


def _message(fields: list[Any]) -> PeerMessage:
    match fields:
        case ['greeting', peer, bool() as asks]:
            return Greeting(_peer(peer), asks)
        case ['roster', str() as zone, list() as peers]:
            return Roster(Zone(zone), tuple(map(_peer, peers)))
        case [
            'beacon',
            peer,
            [int(), int()] as ages,
            [int(), int()] as revisions,
            peers,
        ]:
            others = tuple(map(_peer, peers))
            return Beacon(_peer(peer), tuple(ages), tuple(revisions), others)
        case ['content', *rest]:
            return _content_part(rest)
        case ['snapshot', str() as host_id, kind]:
            return SnapshotWanted(HostId(host_id), StoreKind(kind))
        case ['load', peer, bool() as total, list() as zones]:
            return LoadReport(_peer(peer), total, dict(map(_zone_loads, zones)))
    raise DecodeError('unknown message')


def _content_part(fields: list[Any]) -> ContentPart:
    match fields:
        case [
            str() as host_id,
            kind,
            int() as base,
            int() as revision,
            int() as part,
            int() as parts,
            bool() as complete,
            bool() as settled,
            int() | None as version,
            list() as entries,
            list() as removed,
            list() as unusable,
        ] if 0 <= part < parts:
            return ContentPart(
                host_id=HostId(host_id),
                kind=StoreKind(kind),
                base=base,
                revision=revision,
                part=part,
                parts=parts,
                complete=complete,
                settled=settled,
                version=version,
                entries=tuple(map(_entry, entries)),
                removed=tuple(map(str, removed)),
                unusable=tuple(map(str, unusable)),
            )
        case _:
            raise DecodeError('malformed content')


def _zone_loads(fields: Any) -> tuple[Zone, Loads]:
    match fields:
        case [str() as zone, list() as rows]:
            return Zone(zone), dict(map(_load, rows))
        case _:
            raise DecodeError('malformed loads of a zone')


def _load(fields: Any) -> tuple[Token, Load]:
    match fields:
        case [int() as token, int() as steps, int() as open_flows]:
            return Token(token), Load(steps / _BUSY_STEPS, open_flows)
        case _:
            raise DecodeError('malformed load')


def _peer(fields: Any) -> Peer:
    match fields:
        case [
            str() as host_id,
            str() as zone,
            str() as ip,
            int() as port,
            int() | float() as strength,
            bool() as on_duty,
        ]:
            endpoint = Endpoint(ip, port)
            return Peer(HostId(host_id), Zone(zone), endpoint, strength, on_duty)
        case _:
            raise DecodeError('malformed host')


def _entry(fields: Any) -> Entry:
    match fields:
        case [
            'route',
            str() as name,
            int() as key,
            list() as services,
            int() as priority,
            bool() as bulky,
        ]:
            shares = tuple(
                (ServiceName(str(one)), int(share)) for one, share in services
            )
            return Route(RouteName(name), RouteKey(key), shares, priority, bulky)
        case [
            'upstream',
            str() as upstream_id,
            str() as service,
            str() as ip,
            int() as port,
            str() as zone,
            int() as slots,
            bool() as draining,
            int() as warmup_ms,
            int() as started_ms,
        ]:
            return Listing(
                UpstreamId(upstream_id),
                ServiceName(service),
                Endpoint(ip, port),
                Zone(zone),
                slots,
                draining,
                warmup_ms,
                started_ms,
            )
    raise DecodeError('malformed entry')
