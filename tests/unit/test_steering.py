"""Tests of steering: route table, selection of upstreams, invalid flow ids."""

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
    model.Upstream(
        model.UpstreamId(f'u{number}'), model.Endpoint('10.9.0.1', number), ZONE
    )
    for number in range(1, 4)
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


def flow_fields(
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


def make_kernel(max_flows: int = 1000) -> kernel.Kernel:
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
    core = kernel.Kernel(context, kernel.load_plugins(('steering',)))
    view = model.ConfigurationView(MappingProxyType({NUMBER: SERVICE}))
    core.dispatch(kernel.ConfigurationChanged(view))
    core.dispatch(kernel.MembersChanged((context.member,)))
    return core


def make_ready(core: kernel.Kernel, number: int, weight: float = 1) -> None:
    upstream = UPSTREAMS[number - 1]
    core.dispatch(
        kernel.UpstreamChanged(
            NUMBER,
            upstream.upstream_id,
            upstream.endpoint,
            model.UpstreamState.READY,
            model.Incarnation(1),
            weight,
        ),
    )


def admitted_open(nonce: int, kind: model.WorkKind = FEED) -> kernel.OpenAdmitted:
    message = messages.Open(nonce, kind.kind_id)
    return kernel.OpenAdmitted(CALLER, SERVICE, message, relayed_by=None)


def chosen_upstream(effects: list[kernel.Effect]) -> model.Endpoint:
    sent = [effect for effect in effects if isinstance(effect, kernel.SendToUpstream)]
    assert len(sent) == 1
    return sent[0].upstream


def test_full_route_table_samples_flows_and_scales_counts() -> None:
    """Guards against memory that grows with the number of flows.

    A full table keeps only a sample, so its counts must be scaled up to match the
    real number of flows.
    """
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    for nonce in range(8000):
        flow = flow_fields(nonce, nonce % 2 + 1)
        table.add(codec.encode(flow), flow)
        assert len(table) <= 1000
    counts = table.counts(frozenset())
    assert set(counts) == {UPSTREAMS[0].endpoint, UPSTREAMS[1].endpoint}
    assert all(abs(count - 4000) < 800 for count in counts.values())


def test_idle_routes_are_evicted_after_two_rotations() -> None:
    """Guards against idle routes that are never evicted, and used ones that are."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    idle, busy = (codec.encode(flow_fields(nonce)) for nonce in (1, 2))
    table.add(idle, flow_fields(1))
    table.add(busy, flow_fields(2))
    for _ in range(2):
        assert table.lookup(busy) == UPSTREAMS[0].endpoint
        table.rotate()
    assert table.lookup(busy) == UPSTREAMS[0].endpoint
    assert table.lookup(idle) is None


def test_flow_counts_match_entries_after_any_change() -> None:
    """Guards against flow counts that differ from the entries of the table.

    Counts are updated at each change instead of by a scan, so a missed update
    would never be corrected.
    """
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    rng = random.Random(1)
    ids = [codec.encode(flow_fields(nonce, nonce % 3 + 1)) for nonce in range(60)]
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
                table.add(ids[nonce], flow_fields(nonce, nonce % 3 + 1))
        assert table.counts(frozenset()).total() == len(table)


def test_flows_of_live_owners_are_not_counted_twice() -> None:
    """Guards against flows that count twice: by their owner and by their packets."""
    table = RouteTable(1000)
    codec = model.FlowIdCodec(KEY)
    other = model.Endpoint('10.0.0.2', 2)
    for nonce, owner in enumerate((OWN, other, other)):
        flow = flow_fields(nonce, owner=owner)
        table.add(codec.encode(flow), flow)
    live = {FlowOwner(other, model.Incarnation(1))}
    assert table.counts(live) == Counter({UPSTREAMS[0].endpoint: 1})


def test_burst_of_opens_spreads_over_upstreams_by_weight() -> None:
    """Guards against a burst of opens that overloads one upstream.

    An upstream with a low weight, for example after its start, gets few flows.
    """
    core = make_kernel()
    make_ready(core, 1)
    make_ready(core, 2)
    make_ready(core, 3, weight=0.1)
    counts = Counter(
        chosen_upstream(core.dispatch(admitted_open(nonce))) for nonce in range(210)
    )
    assert counts[UPSTREAMS[2].endpoint] <= 12
    assert abs(counts[UPSTREAMS[0].endpoint] - counts[UPSTREAMS[1].endpoint]) <= 1


def test_repeated_open_gets_the_same_flow() -> None:
    """Guards against a second flow for an ``Open`` that was retransmitted."""
    core = make_kernel()
    make_ready(core, 1)
    first = core.dispatch(admitted_open(7))
    second = core.dispatch(admitted_open(7))
    ids = {
        effect.message
        for effect in first + second
        if isinstance(effect, kernel.SendToUpstream)
    }
    assert len(ids) == 1


def test_open_without_upstream_or_members_is_refused() -> None:
    """Guards against opens that get no reply.

    Without members the host cannot know the owner of a service, so it refuses with
    NOT_READY.
    """
    core = make_kernel()
    answers = [
        effect.message
        for effect in core.dispatch(admitted_open(1))
        if isinstance(effect, kernel.SendToCaller)
    ]
    assert [
        answer.error for answer in answers if isinstance(answer, messages.OpenRefused)
    ] == [ErrorKind.NO_UPSTREAM]
    core.dispatch(kernel.MembersChanged(()))
    answers = [
        effect.message
        for effect in core.dispatch(admitted_open(2))
        if isinstance(effect, kernel.SendToCaller)
    ]
    assert [
        answer.error for answer in answers if isinstance(answer, messages.OpenRefused)
    ] == [ErrorKind.NOT_READY]


def test_packet_of_another_upstream_is_not_forwarded() -> None:
    """Guards against an upstream that sends on a flow of another upstream."""
    core = make_kernel()
    flow_id = model.FlowIdCodec(KEY).encode(flow_fields(1))
    other_upstream = UPSTREAMS[1].endpoint
    effects = core.dispatch(
        kernel.UpstreamPacket(other_upstream, CALLER, flow_id, b'x')
    )
    assert not any(isinstance(effect, kernel.SendPacketToCaller) for effect in effects)


@settings(derandomize=True)
@given(st.binary(min_size=52, max_size=52))
def test_random_flow_id_reaches_no_upstream(flow_id: bytes) -> None:
    """Guards against forwarding by a forged flow id, and against storing it."""
    core = make_kernel()
    event = kernel.CallerPacket(CALLER, model.FlowId(flow_id), b'x')
    assert not any(
        isinstance(effect, kernel.SendPacketToUpstream)
        for effect in core.dispatch(event)
    )
    assert len(core.find(SteeringPlugin).routes) == 0


@settings(derandomize=True)
@given(st.binary(max_size=40))
def test_fabric_header_and_host_list_accept_any_bytes(data: bytes) -> None:
    """Guards against decoders that raise anything but DecodeError."""
    parse_host_list(data)
    try:
        unpack_fabric_header(data)
    except DecodeError:
        return
