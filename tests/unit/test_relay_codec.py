"""Encoding of the messages between relay hosts, and refusal of invalid ones."""

import json
from string import ascii_letters

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.relay._entry_codec import decode_entry
from lycheedeal.relay.peer_codec import (
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    decode_message,
    encode_message,
)

names = st.text(min_size=1, max_size=12)
# Hosts pass on no other names of upstreams, services and zones.
readable_names = st.text(ascii_letters + ' -\u00e9', min_size=1, max_size=12)
numbers = st.integers(0, 2**40)
positions = st.builds(
    relay.Position, numbers.map(relay.Era), numbers.map(relay.Revision)
)
editions = st.tuples(numbers, numbers).map(relay.Edition)
endpoints = st.builds(Endpoint, st.just('10.0.0.1'), st.integers(1, 65535))
peers = st.builds(
    relay.Peer,
    names.map(HostId),
    names.map(Zone),
    endpoints,
    st.floats(0.1, 4),
    st.booleans(),
)
routes = st.builds(
    relay.Route,
    names.map(relay.RouteName),
    numbers.map(relay.RouteKey),
    st.tuples(st.tuples(names.map(ServiceName), st.integers(1, 100))),
    st.integers(0, 9),
    st.booleans(),
    st.integers(0, 60_000),
    st.integers(0, 60_000),
)
quantities = st.none() | st.floats(0, 1e6)
terms = st.builds(
    relay.ServiceTerms,
    readable_names.map(ServiceName),
    st.none() | st.integers(0, 10**7),
    quantities,
    quantities,
    st.lists(names, max_size=3).map(tuple),
)
evacuations = st.builds(relay.Evacuation, readable_names.map(Zone))
listings = st.builds(
    relay.Listing,
    readable_names.map(UpstreamId),
    readable_names.map(ServiceName),
    endpoints,
    readable_names.map(Zone),
    st.integers(1, 64),
    st.booleans(),
    numbers,
    numbers,
)
parts = st.builds(
    relay.ContentPart,
    names.map(HostId),
    st.sampled_from(relay.StoreKind),
    editions,
    positions,
    st.just(0),
    st.just(1),
    st.booleans(),
    st.booleans(),
    st.none() | numbers,
    st.lists(routes | terms | evacuations | listings, max_size=4).map(tuple),
    st.lists(names, max_size=3).map(tuple),
    st.lists(names, max_size=3).map(tuple),
    st.booleans(),
)
loads = st.dictionaries(
    st.integers(1, 2**32 - 1).map(relay.Token),
    st.builds(relay.Load, st.integers(0, 99).map(float), st.integers(0, 99)),
    max_size=4,
)
spread_messages = (
    st.builds(
        relay.Beacon,
        peers,
        st.tuples(numbers, numbers, numbers),
        st.tuples(editions, editions, editions),
        numbers,
        st.tuples(peers, peers),
    )
    | parts
    | st.builds(
        relay.LoadReport,
        peers,
        st.sampled_from(relay.LoadScope),
        st.lists(names.map(Zone), max_size=3).map(tuple),
        numbers,
        st.just(0),
        st.integers(1, 9),
        loads,
    )
)
messages = (
    st.builds(relay.Greeting, peers, st.booleans())
    | st.builds(relay.Roster, names.map(Zone), st.tuples(peers))
    | st.builds(relay.BeaconRequest, peers)
    | st.builds(
        relay.RegionBeacon,
        peers,
        st.tuples(numbers, numbers),
        st.tuples(editions, editions),
    )
    | st.builds(
        relay.SnapshotRequest, names.map(HostId), st.sampled_from(relay.StoreKind)
    )
    | st.builds(relay.Spread, numbers, numbers, numbers, spread_messages)
    | spread_messages
)


@given(messages)
def test_messages_round_trip(message: relay.PeerMessage) -> None:
    datagram = encode_message(message)
    decoded = decode_message(datagram)
    assert type(decoded) is type(message)
    assert encode_message(decoded) == datagram


@given(messages, st.data())
def test_truncated_messages_are_refused(
    message: relay.PeerMessage, data: st.DataObject
) -> None:
    datagram = encode_message(message)
    length = data.draw(st.integers(0, len(datagram) - 1))
    with pytest.raises(DecodeError):
        decode_message(datagram[:length])


@given(st.binary(max_size=200))
def test_arbitrary_datagrams_are_refused(datagram: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_message(datagram)


PEER = ['a', 'z', '10.0.0.1', 1, 1, True]
LOAD = ['load', PEER, 'zone', ['z'], 0, 0, 1, '']
CONTENT = ['content', 'a', 'upstreams', [0, 0], [1, 1], 0, 1, True, True, None]
SOUND_MESSAGES = [
    ['snapshot', 'a', 'upstreams'],
    ['greeting', PEER, True],
    ['wanted', PEER],
    ['region', PEER, [1, 1], [[0, 2], [1, 3]]],
    LOAD,
    [*CONTENT, [], [], [], False],
    ['spread', 1, 2, 3, LOAD],
]


def datagram_of(*fields: object, version: int = PROTOCOL_VERSION) -> bytes:
    return json.dumps([version, *fields]).encode()


@pytest.mark.parametrize('fields', SOUND_MESSAGES)
def test_only_messages_of_the_own_version_are_accepted(fields: list[object]) -> None:
    """Guards against tests of malformed messages that are refused for their version."""
    decode_message(datagram_of(*fields))
    for version in (0, PROTOCOL_VERSION - 1, PROTOCOL_VERSION + 1):
        with pytest.raises(DecodeError):
            decode_message(datagram_of(*fields, version=version))


@pytest.mark.parametrize(
    'datagram',
    [
        datagram_of('snapshot', 'a', 'no such kind'),
        datagram_of(*CONTENT[:5], 1, *CONTENT[6:], [], [], [], False),
        datagram_of(*CONTENT[:3], 0, *CONTENT[4:], [], [], [], False),
        datagram_of(*CONTENT[:4], [1], *CONTENT[5:], [], [], [], False),
        datagram_of(*CONTENT, [['route']], [], [], False),
        datagram_of(*LOAD[:-1], 'AAAA'),
        datagram_of(*LOAD[:-1], 'A'),
        datagram_of(*LOAD[:2], 'town', *LOAD[3:]),
        datagram_of(*LOAD[:5], 1, 1, ''),
        datagram_of('spread', 1, 2, 3, ['snapshot', 'a', 'upstreams']),
        datagram_of('spread', 1, 2, 3, ['spread', 1, 2, 3, ['wanted', PEER]]),
        datagram_of('region', PEER, [1], [[0, 2], [1, 3]]),
        datagram_of('region', PEER, [1, 1], [2, 3]),
        datagram_of('greeting', [*PEER[:3], 'port', 1, True], True),
        b' ' * (MAX_DATAGRAM_BYTES + 1),
        b'[' * 5000,
    ],
)
def test_malformed_messages_are_refused(datagram: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_message(datagram)


ENTRIES = (
    ['service', 'api', True, 2.0, 10.0, []],
    ['service', 'api', -1, 2.0, 10.0, []],
    ['service', 'api', 100, -0.5, 10.0, []],
    ['service', 'api', 100, 2.0, False, []],
    ['service', 'api', 100, 2.0, float('inf'), []],
    ['service', 'api', 100, float('nan'), 10.0, []],
    ['service', 'api', 100, 2.0, '10', []],
    ['service', '', 100, 2.0, 10.0, []],
    ['service', 'x' * 500, 100, 2.0, 10.0, []],
    ['evacuation', ''],
    ['evacuation', None],
    ['evacuation', 'x' * 500],
    ['evacuation', 'a\nb'],
)


@pytest.mark.parametrize('entry', ENTRIES)
def test_terms_and_evacuations_of_peers_are_checked(entry: list[object]) -> None:
    """Guards against numbers and names that a later part of a host cannot use."""
    with pytest.raises(DecodeError):
        decode_entry(entry)
