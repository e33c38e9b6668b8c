"""Goodput, floors and balance of the queue of a service, on virtual time."""

import heapq
import random
from dataclasses import replace

import pytest

from lycheedeal import model
from lycheedeal.admission import Assignment, QueuedRequest, ServiceQueue, Shed
from lycheedeal.errors import ErrorKind

HOME = model.Zone('home')
AWAY = model.Zone('away')
URGENT = model.WorkKind(model.KindId(0), 'urgent', priority=0)
BULK = model.WorkKind(model.KindId(1), 'bulk', priority=5)
SERVICE_MS = 50
DEADLINE_MS = 1000
# Requests a second: 7 upstreams with 2 slots each, 50 ms a request.
CAPACITY_PER_SECOND = 280


def upstream(index: int, zone: model.Zone = HOME) -> model.Upstream:
    return model.Upstream(
        model.UpstreamId(f'u{index}'), model.Endpoint('127.0.0.1', 100 + index), zone
    )


UPSTREAMS = tuple(upstream(index) for index in range(7))
SERVICE = model.Service(
    model.ServiceNumber(1),
    model.ServiceName('api'),
    model.Endpoint('127.0.0.1', 50),
    kinds=(URGENT, BULK),
    upstreams=UPSTREAMS,
)


def set_state(
    queue: ServiceQueue,
    target: model.Upstream,
    state: model.UpstreamState = model.UpstreamState.READY,
    weight: float = 1,
) -> None:
    queue.pool.update_state(target.endpoint, state, model.Incarnation(1), weight)


def ready_queue(service: model.Service = SERVICE, seed: int = 1) -> ServiceQueue:
    queue = ServiceQueue(service, HOME, random.Random(seed))
    for target in service.upstreams:
        set_state(queue, target)
    return queue


def request(number: int, kind: model.WorkKind, now_ms: int) -> QueuedRequest:
    key = (model.FlowId(b'flow'), model.RequestNumber(number))
    return QueuedRequest(key, kind.kind_id, now_ms, now_ms + DEADLINE_MS)


class Simulation:
    """Poisson arrivals by kind; service times are uniform, 50% either way.

    ``goodput`` counts requests answered by their deadline, ``late`` the others.
    """

    def __init__(self, queue: ServiceQueue, rates: dict[model.WorkKind, float]) -> None:
        self.queue = queue
        self.rng = random.Random(7)
        # A source for each kind, so that a flood does not change other arrivals.
        self.arrivals = {kind: random.Random(kind.kind_id) for kind in rates}
        self.now = 1_000_000.0
        self.goodput = dict.fromkeys((kind.kind_id for kind in rates), 0)
        self.slot_ms = dict.fromkeys((kind.kind_id for kind in rates), 0.0)
        self.work_by_upstream: dict[model.Endpoint, int] = {}
        self.late = 0
        self._number = 0
        self._events: list[tuple[float, int, model.WorkKind | Assignment]] = []
        self._rates = rates
        for kind in rates:
            self._next_arrival(kind)

    def run(self, seconds: float) -> 'Simulation':
        end = self.now + seconds * 1000
        while self._events[0][0] < end:
            self.now, _, event = heapq.heappop(self._events)
            now_ms = int(self.now)
            if isinstance(event, Assignment):
                self._finish(event, now_ms)
            else:
                arrived = request(self._number, event, now_ms)
                list(self.queue.push(arrived, now_ms))
                self._next_arrival(event)
            self._dispatch(now_ms)
        return self

    def max_over_mean(self) -> float:
        work = [self.work_by_upstream.get(target.endpoint, 0) for target in UPSTREAMS]
        return max(work) / (sum(work) / len(work))

    def _finish(self, assignment: Assignment, now_ms: int) -> None:
        self.queue.observe_answer(assignment, now_ms)
        self.queue.release(assignment, now_ms)
        if now_ms <= assignment.request.deadline_ms:
            self.goodput[assignment.request.kind_id] += 1
        else:
            self.late += 1

    def _dispatch(self, now_ms: int) -> None:
        while (step := self.queue.take(now_ms)) is not None:
            if isinstance(step, Shed):
                continue
            endpoint = step.slots.upstream.endpoint
            self.work_by_upstream[endpoint] = self.work_by_upstream.get(endpoint, 0) + 1
            duration = SERVICE_MS * self.rng.uniform(0.5, 1.5)
            self.slot_ms[step.request.kind_id] += duration
            self._add(self.now + duration, step)

    def _next_arrival(self, kind: model.WorkKind) -> None:
        gap = self.arrivals[kind].expovariate(self._rates[kind]) * 1000
        self._add(self.now + gap, kind)

    def _add(self, when: float, event: model.WorkKind | Assignment) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, event))


@pytest.mark.parametrize('urgent_share', [0.5, 0.9])
def test_urgent_goodput_survives_bulk_flood(urgent_share: float) -> None:
    """Guards against a flood of the least urgent kind that delays urgent work."""
    urgent = CAPACITY_PER_SECOND * urgent_share
    baseline = Simulation(ready_queue(), {URGENT: urgent}).run(4)
    flooded = Simulation(
        ready_queue(), {URGENT: urgent, BULK: 100 * CAPACITY_PER_SECOND}
    ).run(4)
    assert flooded.goodput[URGENT.kind_id] >= 0.99 * baseline.goodput[URGENT.kind_id]
    assert sum(flooded.goodput.values()) >= 0.95 * CAPACITY_PER_SECOND * 4


@pytest.mark.parametrize('floor', [0.05, 0.2])
def test_floor_is_kept_under_urgent_flood(floor: float) -> None:
    """Guards against a kind with a floor that gets less or much more than it."""
    bulk = replace(BULK, floor=floor)
    service = replace(SERVICE, kinds=(URGENT, bulk))
    rates = {URGENT: 10.0 * CAPACITY_PER_SECOND, bulk: 2.0 * CAPACITY_PER_SECOND}
    flood = Simulation(ready_queue(service), rates).run(10)
    share = flood.slot_ms[BULK.kind_id] / sum(flood.slot_ms.values())
    assert 0.98 * floor <= share <= 1.2 * floor
    assert sum(flood.goodput.values()) >= 0.95 * CAPACITY_PER_SECOND * 10
    assert flood.late <= 0.01 * sum(flood.goodput.values())


@pytest.mark.parametrize('load', [0.05, 0.5, 0.9, 3])
def test_work_is_balanced(load: float) -> None:
    """Guards against an uneven distribution over upstreams at low and high load."""
    rates = {URGENT: load * CAPACITY_PER_SECOND}
    simulation = Simulation(ready_queue(), rates).run(20)
    assert simulation.max_over_mean() <= 1.10


def test_unavailable_upstreams_get_no_work() -> None:
    """Guards against new requests for an upstream that is draining or failing."""
    queue = ready_queue()
    states = (
        model.UpstreamState.DRAINING,
        model.UpstreamState.EJECTED,
        model.UpstreamState.GONE,
    )
    for target, state in zip(UPSTREAMS, states, strict=False):
        set_state(queue, target, state)
    drained = replace(UPSTREAMS[3], drained=True)
    others = (*UPSTREAMS[:3], drained, *UPSTREAMS[4:])
    queue.reconfigure(replace(SERVICE, upstreams=others))
    simulation = Simulation(queue, {URGENT: 2 * CAPACITY_PER_SECOND}).run(1)
    assert set(simulation.work_by_upstream) == {
        target.endpoint for target in UPSTREAMS[4:]
    }


def test_starting_upstream_is_ramped() -> None:
    """Guards against a full share of requests for a cold upstream at once."""
    queue = ready_queue()
    set_state(queue, UPSTREAMS[0], model.UpstreamState.STARTING, 0.1)
    simulation = Simulation(queue, {URGENT: 0.5 * CAPACITY_PER_SECOND}).run(4)
    work = simulation.work_by_upstream
    assert work.get(UPSTREAMS[0].endpoint, 0) < 0.3 * work[UPSTREAMS[1].endpoint]


@pytest.mark.parametrize('spill', model.SpillRule)
def test_other_zones_are_used_only_without_a_local_upstream(
    spill: model.SpillRule,
) -> None:
    """Guards against use of other zones while this zone has a usable upstream."""
    away = tuple(upstream(index, AWAY) for index in (7, 8))
    service = replace(SERVICE, upstreams=(*UPSTREAMS[:1], *away), spill=spill)
    queue = ready_queue(service)
    for number in range(9):
        list(queue.push(request(number, URGENT, 1000), 1000))
    own = [queue.take(1000) for _ in range(3)]
    assert [assignment.slots.upstream.zone for assignment in own if assignment] == [
        HOME,
        HOME,
    ]
    set_state(queue, UPSTREAMS[0], model.UpstreamState.EJECTED)
    spilled = [queue.take(1000) for _ in range(4)]
    used = [assignment.slots.upstream.endpoint for assignment in spilled if assignment]
    expected = (
        {target.endpoint for target in away}
        if spill is model.SpillRule.WHEN_DOWN
        else set()
    )
    assert set(used) == expected
    assert len(used) == len(expected)


def test_refused_request_is_sent_next_and_the_limit_recovers() -> None:
    """Guards against losing a refused request, and a limit that stays low."""
    queue = ready_queue(replace(SERVICE, upstreams=UPSTREAMS[:1]))
    for number in range(3):
        list(queue.push(request(number, URGENT, 1000), 1000))
    first, second = queue.take(1000), queue.take(1000)
    assert isinstance(first, Assignment)
    assert isinstance(second, Assignment)
    queue.observe_refusal(second, 1001)
    queue.requeue(second)
    queue.release(second, 1001)
    queue.release(first, 1001)
    assert queue.take(1001) is None
    again = queue.take(1200)
    assert isinstance(again, Assignment)
    assert again.request is second.request
    assert queue.take(1200) is None
    for _ in range(10):
        queue.observe_answer(again, 1200)
    assert isinstance(queue.take(1200), Assignment)


def test_full_queue_sheds_the_least_urgent_kind_first() -> None:
    """Guards against shedding urgent requests while bulk requests are waiting."""
    queue = ready_queue(replace(SERVICE, upstreams=UPSTREAMS[:1]))
    shed = []
    for number in range(2000):
        kind = BULK if number < 1000 else URGENT
        shed += queue.push(request(number, kind, 1000), 1000)
        if number == 1000:
            assert {dropped.request.kind_id for dropped in shed} == {BULK.kind_id}
    assert queue.count <= 128
    urgent = [dropped for dropped in shed if dropped.request.kind_id == URGENT.kind_id]
    last_shed_kinds = [dropped.request.kind_id for dropped in shed[-len(urgent) :]]
    assert set(last_shed_kinds) == {URGENT.kind_id}
    assert queue.saturated() == {URGENT.kind_id, BULK.kind_id}


def test_expired_request_is_never_dispatched() -> None:
    """Guards against running requests whose callers no longer wait."""
    queue = ready_queue()
    list(queue.push(request(1, URGENT, 1000), 1000))
    step = queue.take(1000 + DEADLINE_MS)
    assert isinstance(step, Shed)
    assert step.error is ErrorKind.DEADLINE_PASSED


def test_no_usable_upstream_refuses_at_once() -> None:
    """Guards against queueing requests for upstreams that are all gone."""
    queue = ready_queue()
    for target in UPSTREAMS:
        set_state(queue, target, model.UpstreamState.GONE)
    shed = list(queue.push(request(1, URGENT, 1000), 1000))
    assert [dropped.error for dropped in shed] == [ErrorKind.NO_UPSTREAM]


def test_request_that_would_outlive_its_caller_is_not_dispatched() -> None:
    """Guards against runs that end after their deadline and occupy a slot."""
    queue = ready_queue()
    for number in range(200):
        list(queue.push(request(number, URGENT, 1000), 1000))
        step = queue.take(1000)
        assert isinstance(step, Assignment)
        ended_ms = 1000 + (25 if number % 2 else 75)
        queue.observe_answer(step, ended_ms)
        queue.release(step, ended_ms)
    deadline_ms = 1000 + DEADLINE_MS
    # The mean is 50 ms, but half of the runs take 75 ms.
    for left_ms, expected in ((70, Shed), (120, Assignment)):
        list(queue.push(request(900, URGENT, 1000), deadline_ms - left_ms))
        assert isinstance(queue.take(deadline_ms - left_ms), expected)
    short = replace(request(901, URGENT, 1000), deadline_ms=1040)
    list(queue.push(short, 1000))
    assert isinstance(queue.take(1000), Shed)


def test_refusal_after_an_own_overrun_keeps_the_limit() -> None:
    """Guards against a limit that falls because of an overrun of the same owner.

    The upstream refuses because the abandoned run still occupies the slot; with
    a lower limit the slot would stay idle after that run ends.
    """
    queue = ready_queue(replace(SERVICE, upstreams=UPSTREAMS[:1]))
    for number in range(4):
        list(queue.push(request(number, URGENT, 1000), 1000))
    overrun, running = queue.take(1000), queue.take(1000)
    assert isinstance(overrun, Assignment)
    assert isinstance(running, Assignment)
    queue.release(overrun, 1001, ended=False)
    refused = queue.take(1001)
    assert isinstance(refused, Assignment)
    queue.observe_refusal(refused, 1002)
    queue.requeue(refused)
    queue.release(refused, 1002)
    assert queue.take(1002) is None
    again = queue.take(1200)
    assert isinstance(again, Assignment)
    # No overrun explains the next refusal, so it lowers the limit.
    queue.observe_refusal(again, 1201)
    queue.requeue(again)
    queue.release(again, 1201)
    assert queue.take(1900) is None
