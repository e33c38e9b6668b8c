"""Tests of the requests plug-in: ownership, limits, resends, retries and stop."""

import random
from collections import Counter
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
    make_flow_id,
)

from lycheedeal import kernel, messages, model
from lycheedeal.errors import ErrorKind
from lycheedeal.requests import RequestsPlugin
from lycheedeal.requests._records import RecordTable

PEER = model.Endpoint('127.0.0.2', 2)


class Host:
    """The plug-in with virtual time and two ready upstreams."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.context = kernel.Context(
            HOST, self.clock, random.Random(5), model.Incarnation(1)
        )
        self.plugin = RequestsPlugin(self.context)
        self.dispatch(kernel.ConfigurationChanged(VIEW))
        for upstream in UPSTREAMS:
            self.dispatch(
                kernel.UpstreamChanged(
                    SERVICE.number,
                    upstream.upstream_id,
                    upstream.endpoint,
                    model.UpstreamState.READY,
                    model.Incarnation(1),
                    weight=1,
                )
            )

    def dispatch(self, event: kernel.Event) -> list[kernel.Effect]:
        return list(self.plugin.handle(event))

    def request(
        self, flow_id: model.FlowId = FLOWS[0], **changes: object
    ) -> list[kernel.Effect]:
        return self.dispatch(
            kernel.CallerMessage(
                CALLER, SERVICE.address, self.message(flow_id, **changes)
            )
        )

    def message(
        self, flow_id: model.FlowId = FLOWS[0], **changes: object
    ) -> messages.Request:
        deadline_ms = self.context.wall_ms() + 1000
        plain = messages.Request(
            flow_id, model.RequestNumber(1), deadline_ms, 0, 1, b'work'
        )
        return replace(plain, **changes)


def other_flow(**changes: object) -> model.FlowId:
    codec = model.FlowIdCodec(KEY)
    return codec.encode(replace(codec.decode(make_flow_id(0)), **changes))


def outcomes(effects: list[kernel.Effect]) -> list[ErrorKind]:
    sent = [
        effect.message for effect in effects if isinstance(effect, kernel.SendToCaller)
    ]
    return [message.error for message in sent if isinstance(message, messages.Outcome)]


def refusals(effects: list[kernel.Effect]) -> list[ErrorKind]:
    events = [effect.event for effect in effects if isinstance(effect, kernel.Publish)]
    return [event.error for event in events if isinstance(event, kernel.Refused)]


def runs(effects: list[kernel.Effect]) -> list[messages.Run]:
    sent = [
        effect.message
        for effect in effects
        if isinstance(effect, kernel.SendToUpstream)
    ]
    return [message for message in sent if isinstance(message, messages.Run)]


def test_forged_flow_id_gets_no_answer() -> None:
    """Guards against replies to senders whose flow id is not authentic."""
    forged = model.FlowId(FLOWS[0][:-1] + bytes((FLOWS[0][-1] ^ 1,)))
    effects = Host().request(forged)
    assert refusals(effects) == [ErrorKind.BAD_TAG]
    assert len(effects) == 1


def test_long_flow_carries_no_requests() -> None:
    """Guards against a request on a flow that is not a request flow."""
    effects = Host().request(other_flow(flow_class=model.FlowClass.LONG))
    assert outcomes(effects) == [ErrorKind.MALFORMED]


def test_request_for_another_service_address_is_dropped() -> None:
    """Guards against a flow that is used at the address of another service."""
    host = Host()
    elsewhere = model.Endpoint('127.0.0.1', 51)
    effects = host.dispatch(kernel.CallerMessage(CALLER, elsewhere, host.message()))
    assert refusals(effects) == [ErrorKind.MALFORMED]
    assert not runs(effects)


def test_request_of_another_host_is_relayed_once() -> None:
    """Guards against messages that hosts relay to each other without end."""
    host = Host()
    message = host.message(other_flow(owner=PEER))
    relayed = messages.RelayedRequest(CALLER, message)
    direct = host.dispatch(kernel.CallerMessage(CALLER, SERVICE.address, message))
    assert direct == [kernel.SendToPeer(PEER, relayed)]
    again = host.dispatch(kernel.PeerMessage(model.Endpoint('127.0.0.3', 2), relayed))
    assert refusals(again) == [ErrorKind.UNKNOWN_FLOW]
    assert len(again) == 1


def test_request_of_a_lost_owner_is_unknown() -> None:
    """Guards against requests without a result after their owner is gone.

    A host that is leaving is no longer listed but finishes its work, so it counts
    as gone only after 15 s, or when it returns with a new incarnation.
    """
    host = Host()
    earlier_flow = other_flow(owner_incarnation=model.Incarnation(9))
    assert outcomes(host.request(earlier_flow)) == [ErrorKind.OWNER_LOST]
    member = replace(host.context.member, peer=PEER)
    peer_flow = other_flow(owner=PEER)
    host.dispatch(kernel.MembersChanged((member,)))
    host.dispatch(kernel.MembersChanged(()))
    host.clock.now += 10
    assert outcomes(host.request(peer_flow)) == []
    host.clock.now += 6
    assert outcomes(host.request(peer_flow)) == [ErrorKind.OWNER_LOST]
    host.dispatch(
        kernel.MembersChanged((replace(member, incarnation=model.Incarnation(3)),))
    )
    assert outcomes(host.request(peer_flow)) == [ErrorKind.OWNER_LOST]


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
def test_duplicate_of_invalid_request_is_refused_again(
    changes: dict[str, object], error: ErrorKind
) -> None:
    """Guards against running the duplicate of a request that was refused."""
    host = Host()
    first = host.request(**changes)
    assert outcomes(first) == [error]
    host.clock.now += 2
    again = host.request(**changes)
    assert outcomes(again) == [error]
    assert not runs(first + again)


def test_full_record_table_sends_no_result() -> None:
    """Guards against a result that cannot be stored for duplicates."""
    host = Host()
    host.plugin._owner.results.table = RecordTable(max_records=1, max_refusals=0)
    assert len(runs(host.request())) == 1
    assert host.request(number=2) == []
    assert host.request(number=3, parts=65) == []


def test_clock_set_back_does_not_revive_a_request() -> None:
    """Guards against a second run after the record has expired.

    The clock is set back by 13 s, to before the deadline of the request.
    """
    host = Host()
    assert len(runs(host.request(deadline_ms=1_000_001_000))) == 1
    host.clock.now += 13
    host.dispatch(kernel.Tick(host.clock.now))
    host.clock.now -= 13
    assert not runs(host.request(deadline_ms=1_000_001_000))


def test_stop_finishes_active_requests_and_refuses_new_ones() -> None:
    """Guards against an exit with unfinished requests, and new ones during a stop."""
    host = Host()
    run = runs(host.request())[0]
    host.dispatch(kernel.StopStarted(deadline=host.clock.now + 10))
    refused = host.request(number=2)
    assert outcomes(refused) == [ErrorKind.OWNER_LEAVING]
    assert kernel.Publish(kernel.WorkRemaining('requests', 1)) in host.dispatch(
        kernel.Tick(host.clock.now)
    )
    answer = messages.RunAnswer(run.attempt_id, 0, 1, b'done')
    upstream = next(
        candidate.endpoint
        for candidate in UPSTREAMS
        if host.plugin._owner.dispatcher.attempts.find(
            run.attempt_id, candidate.endpoint
        )
    )
    done = host.dispatch(kernel.UpstreamMessage(upstream, 0, answer))
    assert any(isinstance(effect, kernel.SendToCaller) for effect in done)
    assert kernel.Publish(kernel.WorkRemaining('requests', 0)) in host.dispatch(
        kernel.Tick(host.clock.now)
    )
    assert outcomes(host.request(number=2)) == [ErrorKind.OWNER_LEAVING]


def upstream_of(effects: list[kernel.Effect]) -> model.Endpoint:
    return next(
        effect.upstream
        for effect in effects
        if isinstance(effect, kernel.SendToUpstream)
    )


def test_overdue_idempotent_request_is_retried_elsewhere() -> None:
    """Guards against idempotent requests that fail because one upstream hangs."""
    host = Host()
    first = host.request(FLOWS[1])
    host.clock.now += 0.25
    overdue = host.dispatch(kernel.Tick(host.clock.now))
    assert messages.CancelRun(runs(first)[0].attempt_id) in sent_upstream(overdue)
    host.clock.now += 0.1
    second = host.dispatch(kernel.Tick(host.clock.now))
    assert upstream_of(second) != upstream_of(first)
    assert runs(second)[0].attempt_id != runs(first)[0].attempt_id


def sent_upstream(effects: list[kernel.Effect]) -> list[object]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, kernel.SendToUpstream)
    ]


def test_retries_stay_within_a_tenth_of_first_attempts() -> None:
    """Guards against retries that multiply the load of slow upstreams."""
    host = Host()
    attempts = 0
    for number in range(300):
        sent = host.request(FLOWS[1], number=number)
        for _ in range(35):
            host.clock.now += 0.1
            sent += host.dispatch(kernel.Tick(host.clock.now))
        copies = Counter(run.attempt_id for run in runs(sent))
        attempts += len(copies)
        # Copies of an attempt are not retries: the upstream starts it only once.
        assert max(copies.values()) <= 4
    assert 300 < attempts <= 300 + 30 + 3


def test_late_answer_follows_unknown_outcome() -> None:
    """Guards against the loss of an answer that arrives after the deadline."""
    host = Host()
    first = host.request()
    host.clock.now += 1.1
    assert outcomes(host.dispatch(kernel.Tick(host.clock.now))) == [ErrorKind.NO_ANSWER]
    answer = messages.RunAnswer(runs(first)[0].attempt_id, 0, 1, b'done')
    event = kernel.UpstreamMessage(upstream_of(first), 0, answer)
    answers = [
        effect.message
        for effect in host.dispatch(event)
        if isinstance(effect, kernel.SendToCaller)
    ]
    assert [reply.body for reply in answers] == [b'done']


def test_replies_of_other_upstreams_are_ignored() -> None:
    """Guards against replies of an upstream that was not sent the attempt."""
    host = Host()
    first = host.request()
    attempt_id = runs(first)[0].attempt_id
    assigned = upstream_of(first)
    other = next(
        upstream.endpoint for upstream in UPSTREAMS if upstream.endpoint != assigned
    )
    for reply in (
        messages.RunAnswer(attempt_id, 0, 1, b'forged'),
        messages.RunRefused(attempt_id, ErrorKind.UPSTREAM_REFUSED),
        messages.RunCancelled(attempt_id, started=False),
    ):
        assert host.dispatch(kernel.UpstreamMessage(other, 0, reply)) == []
    answer = messages.RunAnswer(attempt_id, 0, 1, b'done')
    effects = host.dispatch(kernel.UpstreamMessage(assigned, 0, answer))
    assert [
        effect.message.body
        for effect in effects
        if isinstance(effect, kernel.SendToCaller)
    ] == [b'done']


def advance(host: Host, seconds: float) -> list[kernel.Effect]:
    """Advance the clock in ticks of 100 ms and return the effects of all ticks."""
    effects = []
    for _ in range(round(seconds * 10)):
        host.clock.now += 0.1
        effects += host.dispatch(kernel.Tick(host.clock.now))
    return effects


def test_unanswered_attempt_is_sent_again_until_the_deadline() -> None:
    """Guards against a lost datagram that occupies a slot until the deadline."""
    host = Host()
    first = host.request()
    times = []
    for _ in range(30):
        again = advance(host, 0.1)
        assert {run.attempt_id for run in runs(again)} <= {runs(first)[0].attempt_id}
        times += [host.clock.now - 1_000_000] * len(runs(again))
    # The mean service time is 50 ms: the first copy follows after 150 ms, each
    # later one after twice the previous delay.
    assert 0.1 < times[0] < 0.3
    assert 2 <= len(times) <= 3
    assert times[1] - times[0] < times[2] - times[1] if times[2:] else True
    assert times[-1] < 1


def test_answered_attempt_is_not_sent_again() -> None:
    """Guards against resending a request that is answered or cancelled."""
    host = Host()
    first = host.request()
    answer = messages.RunAnswer(runs(first)[0].attempt_id, 0, 1, b'done')
    host.dispatch(kernel.UpstreamMessage(upstream_of(first), 0, answer))
    cancelled = host.request(number=2)
    host.dispatch(
        kernel.CallerMessage(
            CALLER,
            SERVICE.address,
            messages.CancelRequest(FLOWS[0], model.RequestNumber(2)),
        )
    )
    assert len(runs(cancelled)) == 1
    assert not runs(advance(host, 2))


def test_missing_part_of_an_answer_is_asked_for_with_one_part() -> None:
    """Guards against resending a large request to get a lost part of its answer."""
    host = Host()
    first = host.request(body=bytes(40_000))
    assert len(runs(first)) == 2
    part = messages.RunAnswer(runs(first)[0].attempt_id, 0, 2, b'done')
    host.dispatch(kernel.UpstreamMessage(upstream_of(first), 0, part))
    assert [run.part for run in runs(advance(host, 0.2))] == [0]


@pytest.mark.parametrize(
    ('error', 'expected'),
    [
        (ErrorKind.UPSTREAM_REPLACED, [ErrorKind.UPSTREAM_LOST]),
        (ErrorKind.NOT_READY, [ErrorKind.UPSTREAM_LOST]),
        (ErrorKind.QUEUE_FULL, []),
        (ErrorKind.DEADLINE_PASSED, [ErrorKind.UPSTREAM_REFUSED]),
    ],
)
def test_refusal_after_resend_counts_only_if_it_proves_not_started(
    error: ErrorKind, expected: list[ErrorKind]
) -> None:
    """Guards against a "not run" result although an earlier copy was run.

    After a resend, the refusal may come from a new upstream process, while the
    first copy reached its predecessor.
    """
    host = Host()
    first = host.request()
    assert runs(advance(host, 0.2))
    refusal = messages.RunRefused(runs(first)[0].attempt_id, error)
    event = kernel.UpstreamMessage(upstream_of(first), 0, refusal)
    assert outcomes(host.dispatch(event)) == expected


def test_request_refused_by_a_replaced_process_is_sent_elsewhere() -> None:
    """Guards against an unknown outcome of a request that was not run."""
    host = Host()
    first = host.request()
    attempt_id = runs(first)[0].attempt_id
    refusal = messages.RunRefused(attempt_id, ErrorKind.UPSTREAM_REPLACED)
    event = kernel.UpstreamMessage(upstream_of(first), 0, refusal)
    second = host.dispatch(event)
    assert len(runs(second)) == 1
    assert runs(second)[0].attempt_id != attempt_id


def test_refusal_after_the_deadline_does_not_prove_not_started() -> None:
    """Guards against trusting an upstream that has dropped the attempt.

    Upstreams drop attempts after the deadline, so a later refusal says nothing
    about an earlier copy.
    """
    host = Host()
    first = host.request()
    advance(host, 0.8)
    host.clock.now += 3
    error = ErrorKind.DEADLINE_PASSED
    refusal = messages.RunRefused(runs(first)[0].attempt_id, error)
    event = kernel.UpstreamMessage(upstream_of(first), 0, refusal)
    assert outcomes(host.dispatch(event)) == [ErrorKind.UPSTREAM_LOST]


def test_waiting_request_gets_its_result_before_the_deadline() -> None:
    """Guards against a result that reaches the caller after its deadline."""
    host = Host()
    for number in range(3):
        host.request(number=number)
    early = advance(host, 0.9)
    assert outcomes(early) == [ErrorKind.DEADLINE_PASSED]
    late = advance(host, 0.2)
    assert outcomes(late) == [ErrorKind.NO_ANSWER, ErrorKind.NO_ANSWER]


def test_request_for_a_service_now_owned_elsewhere_is_refused() -> None:
    """Guards against requests on old flows that wait without observed upstreams."""
    host = Host()
    host.dispatch(kernel.OwnedServicesChanged((SERVICE.number,)))
    first = host.request(parts=2)
    taken = host.request(number=2)
    assert len(runs(taken)) == 1
    host.dispatch(kernel.OwnedServicesChanged(()))
    refused = host.request(number=3)
    assert outcomes(refused) == [ErrorKind.OWNER_LEAVING]
    # Accepted requests are still run, and a refused one stays refused when the
    # host owns the service again.
    assert len(runs(first + host.request(parts=2, part=1))) == 1
    host.dispatch(kernel.OwnedServicesChanged((SERVICE.number,)))
    again = host.request(number=3)
    assert outcomes(again) == [ErrorKind.OWNER_LEAVING]
    assert not runs(refused + again)


def test_stored_answers_are_dropped_for_new_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing requests because stored answers take all the bytes."""
    monkeypatch.setattr('lycheedeal.requests._results._BYTE_LIMIT', 100_000)
    host = Host()
    for number in range(1, 11):
        sent = host.request(number=model.RequestNumber(number))
        answer = messages.RunAnswer(runs(sent)[0].attempt_id, 0, 1, bytes(30_000))
        event = kernel.UpstreamMessage(upstream_of(sent), 0, answer)
        answers = [
            effect.message
            for effect in host.dispatch(event)
            if isinstance(effect, kernel.SendToCaller)
        ]
        assert [len(reply.body) for reply in answers] == [30_000]
    assert outcomes(host.request(number=model.RequestNumber(1))) == [
        ErrorKind.RECORD_EXPIRED
    ]
