"""Steering: bounded flow table, choice of upstreams, damaged flow ids."""

import random
from collections import Counter
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import kernel, messages, model
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.membership._candidates import parse_host_list
from lycheedeal.steering import RouteTable, SteeringPlugin
from lycheedeal.steering._routes import FlowOwner
from lycheedeal.wire import unpack_fabric_header

ZONE = model.Zone('coyhaique')
OWN = model.Endpoint('10.0.0.1', 2)
CALLER = model.Endpoint('172.16.0.1', 4000)
NUMBER = model.ServiceNumber(17)
FEED = model.WorkKind(model.KindId(1), 'feed', 1, long=True)
CHECKIN = model.WorkKind(model.KindId(2), 'checkin', 0)
UPSTREAMS = tuple(
    model.Upstream(model.UpstreamId(f'u{one}'), model.Endpoint('10.9.0.1', one), ZONE)
    for one in range(1, 4)
)
SERVICE = model.Service(
    NUMBER,
    model.ServiceName('api'),
    model.Endpoint('192.0.2.1', 443),
    kinds=(FEED, CHECKIN),
    upstreams=UPSTREAMS,
)
KEY = b'unit test flow key'


class Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def fields(
    nonce: int, upstream: int = 1, owner: model.Endpoint = OWN
) -> model.FlowFields:
    return model.FlowFields(
        flow_class=model.FlowClass.LONG,
        kind_id=FEED.kind_id,
        service=NUMBER,
        owner=owner,
        owner_incarnation=model.Incarnation(1),
        nonce=nonce,
        upstream=UPSTREAMS[upstream - 1].endpoint,
        upstream_incarnation=model.Incarnation(1),
    )


def host(max_flows: int = 1000) -> kernel.Kernel:
    own = model.Endpoint('10.0.0.1', 1)
    host_settings = model.HostSettings(
        host_id=model.HostId('h1'),
        region=model.Region('south'),
        zone=ZONE,
        data=own,
        peer=OWN,
        gossip=own,
        admin=own,
        platform_url='',
        flow_key=KEY,
        max_flows=max_flows,
    )
    context = kernel.Context(
        host_settings, Clock(), random.Random(1), model.Incarnation(1)
    )
    found = kernel.Kernel(context, kernel.load_plugins(('steering',)))
    view = model.ConfigurationView(MappingProxyType({NUMBER: SERVICE}))
    found.dispatch(kernel.ViewChanged(view))
    found.dispatch(kernel.MembersChanged((context.member,)))
    return found


def ready(found: kernel.Kernel, place: int, weight: float = 1) -> None:
    upstream = UPSTREAMS[place - 1]
    found.dispatch(
        kernel.UpstreamChanged(
            NUMBER,
            upstream.upstream_id,
            upstream.endpoint,
            model.UpstreamState.READY,
            model.Incarnation(1),
            weight,
        ),
    )


def admitted(nonce: int, kind: model.WorkKind = FEED) -> kernel.OpenAdmitted:
    message = messages.Open(nonce, kind.kind_id)
    return kernel.OpenAdmitted(CALLER, SERVICE, message, relayed_by=None)


def chosen(effects: list[kernel.Effect]) -> model.Endpoint:
    sent = [one for one in effects if isinstance(one, kernel.SendToUpstream)]
    assert len(sent) == 1
    return sent[0].upstream


def test_table_keeps_its_bound_and_scales_counts() -> None:
    """Guards against memory that grows with flows and counts that shrink."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    for nonce in range(8000):
        place = fields(nonce, nonce % 2 + 1)
        table.add(codec.mint(place), place)
        assert len(table) <= 1000
    counts = table.counts(frozenset())
    assert set(counts) == {UPSTREAMS[0].endpoint, UPSTREAMS[1].endpoint}
    assert all(abs(one - 4000) < 800 for one in counts.values())


def test_idle_entries_go_after_two_rotations_and_used_ones_stay() -> None:
    """Guards against entries that never expire and busy ones that do."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    idle, busy = (codec.mint(fields(nonce)) for nonce in (1, 2))
    table.add(idle, fields(1))
    table.add(busy, fields(2))
    for _ in range(2):
        assert table.lookup(busy) == UPSTREAMS[0].endpoint
        table.rotate()
    assert table.lookup(busy) == UPSTREAMS[0].endpoint
    assert table.lookup(idle) is None


def test_counts_follow_use_removal_and_rotation() -> None:
    """Guards against counts that drift from the entries they stand for."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    rng = random.Random(1)
    ids = [codec.mint(fields(nonce, nonce % 3 + 1)) for nonce in range(60)]
    for _ in range(600):
        nonce = rng.randrange(60)
        match rng.randrange(8):
            case 0:
                table.remove(ids[nonce])
            case 1:
                table.rotate()
            case 2 | 3:
                table.lookup(ids[nonce])
            case _:
                table.add(ids[nonce], fields(nonce, nonce % 3 + 1))
        assert table.counts(frozenset()).total() == len(table)


def test_flows_of_live_owners_are_not_counted_twice() -> None:
    """Guards against an owner that counts a flow by report and by its packets."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    other = model.Endpoint('10.0.0.2', 2)
    for nonce, owner in enumerate((OWN, other, other)):
        place = fields(nonce, owner=owner)
        table.add(codec.mint(place), place)
    live = {FlowOwner(other, model.Incarnation(1))}
    assert table.counts(live) == Counter({UPSTREAMS[0].endpoint: 1})


def test_burst_of_opens_spreads_over_upstreams_by_weight() -> None:
    """Guards against a burst that lands on one upstream, and on a cold one."""
    found = host()
    ready(found, 1)
    ready(found, 2)
    ready(found, 3, weight=0.1)
    counts = Counter(chosen(found.dispatch(admitted(nonce))) for nonce in range(210))
    assert counts[UPSTREAMS[2].endpoint] <= 12
    assert abs(counts[UPSTREAMS[0].endpoint] - counts[UPSTREAMS[1].endpoint]) <= 1


def test_repeated_open_gets_the_same_flow() -> None:
    """Guards against two flows for one retransmitted open."""
    found = host()
    ready(found, 1)
    first = found.dispatch(admitted(7))
    second = found.dispatch(admitted(7))
    ids = {
        one.message for one in first + second if isinstance(one, kernel.SendToUpstream)
    }
    assert len(ids) == 1


def test_open_without_upstream_or_members_is_refused() -> None:
    """Guards against opens that wait for nothing."""
    found = host()
    answers = [
        one.message
        for one in found.dispatch(admitted(1))
        if isinstance(one, kernel.SendToCaller)
    ]
    assert [one.error for one in answers if isinstance(one, messages.OpenRefused)] == [
        ErrorKind.NO_UPSTREAM
    ]
    found.dispatch(kernel.MembersChanged(()))
    answers = [
        one.message
        for one in found.dispatch(admitted(2))
        if isinstance(one, kernel.SendToCaller)
    ]
    assert [one.error for one in answers if isinstance(one, messages.OpenRefused)] == [
        ErrorKind.NOT_READY
    ]


def test_packet_of_another_upstream_is_not_forwarded() -> None:
    """Guards against an upstream that sends on a flow which is not its own."""
    found = host()
    flow_id = model.FlowIdCodec(KEY).mint(fields(1))
    stranger = UPSTREAMS[1].endpoint
    effects = found.dispatch(kernel.UpstreamPacket(stranger, CALLER, flow_id, b'x'))
    assert not any(isinstance(one, kernel.SendPacketToCaller) for one in effects)


@settings(derandomize=True)
@given(st.binary(min_size=52, max_size=52))
def test_random_flow_id_reaches_no_upstream(flow_id: bytes) -> None:
    """Guards against forwarding by a forged flow id, and against memory for it."""
    found = host()
    event = kernel.CallerPacket(CALLER, model.FlowId(flow_id), b'x')
    assert not any(
        isinstance(one, kernel.SendPacketToUpstream) for one in found.dispatch(event)
    )
    assert len(found.find(SteeringPlugin).routes) == 0


@settings(derandomize=True)
@given(st.binary(max_size=40))
def test_fabric_header_and_host_list_take_any_bytes(data: bytes) -> None:
    """Guards against decoders that raise something unexpected."""
    parse_host_list(data)
    try:
        unpack_fabric_header(data)
    except DecodeError:
        return
