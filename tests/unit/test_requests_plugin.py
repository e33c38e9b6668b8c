"""Routing, limits and stop of the requests plug-in."""

import random
from dataclasses import replace

import pytest
from test_requests_machine import (
    CALLER,
    FLOWS,
    HOST,
    KEY,
    SERVICE,
    UPSTREAMS,
    VIEW,
    Clock,
    mint,
)

from lycheedeal import messages
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    CallerMessage,
    Context,
    Effect,
    Event,
    MembersChanged,
    PeerMessage,
    Publish,
    Refused,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    ViewChanged,
    WorkRemaining,
)
from lycheedeal.model import (
    Endpoint,
    FlowClass,
    FlowId,
    FlowIdCodec,
    Incarnation,
    RequestNumber,
    UpstreamState,
)
from lycheedeal.requests import Requests
from lycheedeal.requests._records import RecordTable

PEER = Endpoint('127.0.0.2', 2)


class Host:
    """Plug-in on virtual time with two ready upstreams."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.context = Context(HOST, self.clock, random.Random(5), Incarnation(1))
        self.plugin = Requests(self.context)
        self.dispatch(ViewChanged(VIEW))
        for one in UPSTREAMS:
            self.dispatch(
                UpstreamChanged(
                    SERVICE.number,
                    one.upstream_id,
                    one.endpoint,
                    UpstreamState.READY,
                    Incarnation(1),
                    weight=1,
                ),
            )

    def dispatch(self, event: Event) -> list[Effect]:
        return list(self.plugin.handle(event))

    def request(self, flow_id: FlowId = FLOWS[0], **changes: object) -> list[Effect]:
        return self.dispatch(
            CallerMessage(CALLER, SERVICE.address, self.one(flow_id, **changes))
        )

    def one(self, flow_id: FlowId = FLOWS[0], **changes: object) -> messages.Request:
        deadline_ms = self.context.wall_ms() + 1000
        plain = messages.Request(flow_id, RequestNumber(1), deadline_ms, 0, 1, b'work')
        return replace(plain, **changes)


def other_flow(**changes: object) -> FlowId:
    codec = FlowIdCodec(KEY)
    return codec.mint(replace(codec.parse(mint(0)), **changes))


def outcomes(effects: list[Effect]) -> list[ErrorKind]:
    sent = [one.message for one in effects if isinstance(one, SendToCaller)]
    return [one.error for one in sent if isinstance(one, messages.Outcome)]


def refusals(effects: list[Effect]) -> list[ErrorKind]:
    events = [one.event for one in effects if isinstance(one, Publish)]
    return [one.error for one in events if isinstance(one, Refused)]


def runs(effects: list[Effect]) -> list[messages.Run]:
    sent = [one.message for one in effects if isinstance(one, SendToUpstream)]
    return [one for one in sent if isinstance(one, messages.Run)]


def test_forged_flow_id_gets_no_answer() -> None:
    """Guards against replies to senders that are not authenticated."""
    forged = FlowId(FLOWS[0][:-1] + bytes((FLOWS[0][-1] ^ 1,)))
    effects = Host().request(forged)
    assert refusals(effects) == [ErrorKind.BAD_TAG]
    assert len(effects) == 1


def test_long_flow_carries_no_requests() -> None:
    """Guards against a request on a flow of another class."""
    effects = Host().request(other_flow(flow_class=FlowClass.LONG))
    assert outcomes(effects) == [ErrorKind.MALFORMED]


def test_request_for_another_service_address_is_dropped() -> None:
    """Guards against a flow of one service used at the address of another."""
    host = Host()
    elsewhere = Endpoint('127.0.0.1', 51)
    effects = host.dispatch(CallerMessage(CALLER, elsewhere, host.one()))
    assert refusals(effects) == [ErrorKind.MALFORMED]
    assert not runs(effects)


def test_request_of_another_host_is_relayed_once() -> None:
    """Guards against relays that go round in circles."""
    host = Host()
    message = host.one(other_flow(owner=PEER))
    relayed = messages.RelayedRequest(CALLER, message)
    direct = host.dispatch(CallerMessage(CALLER, SERVICE.address, message))
    assert direct == [SendToPeer(PEER, relayed)]
    again = host.dispatch(PeerMessage(Endpoint('127.0.0.3', 2), relayed))
    assert refusals(again) == [ErrorKind.UNKNOWN_FLOW]
    assert len(again) == 1


def test_request_of_a_lost_owner_is_unknown() -> None:
    """Guards against silence, and against taking a leaving owner for lost."""
    host = Host()
    earlier = other_flow(owner_incarnation=Incarnation(9))
    assert outcomes(host.request(earlier)) == [ErrorKind.OWNER_LOST]
    member = replace(host.context.member, peer=PEER)
    theirs = other_flow(owner=PEER)
    host.dispatch(MembersChanged((member,)))
    host.dispatch(MembersChanged(()))
    host.clock.now += 10
    assert outcomes(host.request(theirs)) == []
    host.clock.now += 6
    assert outcomes(host.request(theirs)) == [ErrorKind.OWNER_LOST]
    host.dispatch(MembersChanged((replace(member, incarnation=Incarnation(3)),)))
    assert outcomes(host.request(theirs)) == [ErrorKind.OWNER_LOST]


@pytest.mark.parametrize(
    ('changes', 'error'),
    [
        ({'parts': 65}, ErrorKind.OVERSIZED),
        ({'body': bytes(256 * 1024 + 1)}, ErrorKind.OVERSIZED),
        ({'part': 1}, ErrorKind.MALFORMED),
        ({'parts': 0}, ErrorKind.MALFORMED),
        ({'deadline_ms': 1_000_061_000}, ErrorKind.MALFORMED),
        ({'deadline_ms': 1_000_000_000}, ErrorKind.DEADLINE_PASSED),
        ({'deadline_ms': 999_989_000}, ErrorKind.RECORD_EXPIRED),
    ],
)
def test_unacceptable_request_is_refused_for_good(
    changes: dict[str, object],
    error: ErrorKind,
) -> None:
    """Guards against a refusal that a duplicate turns into a run."""
    host = Host()
    first = host.request(**changes)
    assert outcomes(first) == [error]
    host.clock.now += 2
    again = host.request(**changes)
    assert outcomes(again) == [error]
    assert not runs(first + again)


def test_full_table_gives_no_verdict() -> None:
    """Guards against a verdict that is not remembered."""
    host = Host()
    host.plugin._owner.ledger.table = RecordTable(most_records=1, most_refusals=0)
    assert len(runs(host.request())) == 1
    assert host.request(number=2) == []
    assert host.request(number=3, parts=65) == []


def test_clock_set_back_does_not_revive_a_request() -> None:
    """Guards against a second run after the record has expired."""
    host = Host()
    assert len(runs(host.request(deadline_ms=1_000_001_000))) == 1
    host.clock.now += 13
    host.dispatch(Tick(host.clock.now))
    host.clock.now -= 13
    assert not runs(host.request(deadline_ms=1_000_001_000))


def test_stop_finishes_work_and_takes_no_more() -> None:
    """Guards against an exit with work in hand, and new work during a stop."""
    host = Host()
    run = runs(host.request())[0]
    host.dispatch(StopStarted(deadline=host.clock.now + 10))
    refused = host.request(number=2)
    assert outcomes(refused) == [ErrorKind.OWNER_LEAVING]
    assert Publish(WorkRemaining('requests', 1)) in host.dispatch(Tick(host.clock.now))
    answer = messages.RunAnswer(run.attempt_id, 0, 1, b'done')
    upstream = next(
        one.endpoint
        for one in UPSTREAMS
        if host.plugin._owner.dispatcher.attempts.find(run.attempt_id, one.endpoint)
    )
    done = host.dispatch(UpstreamMessage(upstream, 0, answer))
    assert any(isinstance(one, SendToCaller) for one in done)
    assert Publish(WorkRemaining('requests', 0)) in host.dispatch(Tick(host.clock.now))
    assert outcomes(host.request(number=2)) == [ErrorKind.OWNER_LEAVING]
