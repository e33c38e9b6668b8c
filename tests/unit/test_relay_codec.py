"""Encoding of the messages between relay hosts, and refusal of invalid ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.relay.peer_codec import (
    MAX_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)

names = st.text(min_size=1, max_size=12)
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
)
listings = st.builds(
    relay.Listing,
    names.map(UpstreamId),
    names.map(ServiceName),
    endpoints,
    names.map(Zone),
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
    st.lists(routes | listings, max_size=4).map(tuple),
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
        st.tuples(numbers, numbers),
        st.tuples(editions, editions),
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


@pytest.mark.parametrize(
    'datagram',
    [
        b'[1,"snapshot","a","upstreams"]',
        b'[3,"snapshot","a","no such kind"]',
        b'[3,"content","a","upstreams",0,1,1,1,true,true,null,[],[],[],false]',
        b'[3,"load",["a","z","10.0.0.1",1,1,true],"zone",["z"],0,0,1,"AAAA"]',
        b'[3,"load",["a","z","10.0.0.1",1,1,true],"zone",["z"],0,0,1,"A"]',
        b'[3,"load",["a","z","10.0.0.1",1,1,true],"town",["z"],0,0,1,""]',
        b'[3,"load",["a","z","10.0.0.1",1,1,true],"zone",["z"],0,1,1,""]',
        b'[3,"spread",1,2,3,["snapshot","a","upstreams"]]',
        b'[3,"spread",1,2,3,["spread",1,2,3,["wanted",["a","z","10.0.0.1",1,1,true]]]]',
        b'[3,"region",["a","z","10.0.0.1",1,1,true],[1],[2,3]]',
        b'[3,"greeting",["a","z","10.0.0.1","port",1],true]',
        b'[3,"content","a","upstreams",0,1,0,1,true,true,null,[["route"]],[],[],false]',
        b' ' * (MAX_DATAGRAM_BYTES + 1),
        b'[' * 5000,
    ],
)
def test_malformed_messages_are_refused(datagram: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_message(datagram)
