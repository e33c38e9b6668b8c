"""Estimate of the speed of upstreams, without hosts and without a network."""

import random

import pytest

from lycheedeal.ids import UpstreamId
from lycheedeal.placement import Answered, SpeedEstimates

SLOTS = 2
SERVICE_SECONDS = 0.03
LARGEST = 2.5


def answered(
    speed: float, utilization: float, rng: random.Random | None = None
) -> Answered:
    """Return a second of a queue with two slots and random arrivals.

    With ``rng``, each answer's time varies as much as its mean.
    """
    service = SERVICE_SECONDS / speed
    rate = SLOTS * utilization / service
    time = service / (1 - utilization**2)
    if rng is None:
        return Answered(rate, rate * time, SLOTS)
    count = max(round(rng.gauss(rate, rate**0.5)), 0)
    return Answered(count, sum(rng.expovariate(1 / time) for _ in range(count)), SLOTS)


def names(count: int) -> list[UpstreamId]:
    return [UpstreamId(f'i-{one}') for one in range(count)]


def learn(
    estimates: SpeedEstimates,
    answered_by_id: dict[UpstreamId, Answered],
    seconds: int,
    start: float = 0,
) -> float:
    """Give the same answers each second; returns the time afterwards."""
    for second in range(seconds):
        estimates.update(answered_by_id, start + second)
    return start + seconds


def test_slow_upstreams_are_found_within_seconds() -> None:
    slow, *usual = names(4)
    estimates = SpeedEstimates()
    loads = {slow: answered(0.55, 0.5), **{one: answered(1, 0.5) for one in usual}}
    now = learn(estimates, loads, 8)
    assert dict(estimates.differing(now)) == {slow: pytest.approx(1 / 0.55, rel=0.05)}


@pytest.mark.parametrize('utilization', [0.05, 0.8, 0.85])
def test_busy_upstream_is_not_taken_for_a_slow_one(utilization: float) -> None:
    """Guards against the wait in the queue counting as time of service."""
    busy, *usual = names(6)
    estimates = SpeedEstimates()
    loads = {busy: answered(1, utilization), **{one: answered(1, 0.3) for one in usual}}
    now = learn(estimates, loads, 60)
    assert dict(estimates.differing(now)) == {}


def test_slow_upstream_is_found_though_it_is_less_busy() -> None:
    """Guards against an estimate that ends as soon as it has an effect."""
    slow, *usual = names(6)
    estimates = SpeedEstimates()
    loads = {slow: answered(0.55, 0.2), **{one: answered(1.2, 0.7) for one in usual}}
    now = learn(estimates, loads, 30)
    slowness = dict(estimates.differing(now))[slow]
    assert slowness == pytest.approx(1.2 / 0.55, rel=0.05)


@pytest.mark.parametrize('answers', [1, 2, 4])
def test_few_answers_prove_little(answers: int) -> None:
    """Guards against a choice by chance in a service with few requests a second."""
    upstreams = names(7)
    rng = random.Random(1)
    estimates = SpeedEstimates()
    for second in range(300):
        loads = {
            one: Answered(answers, rng.gammavariate(answers, SERVICE_SECONDS), SLOTS)
            for one in upstreams
        }
        estimates.update(loads, second)
        slowness = dict(estimates.differing(second)).values()
        assert all(1 / 1.5 < one < 1.5 for one in slowness)


@pytest.mark.parametrize('utilization', [0.1, 0.3, 0.6, 0.8])
def test_equally_fast_upstreams_stay_usual(utilization: float) -> None:
    """Guards against another choice where all upstreams are alike."""
    upstreams = names(16)
    rng = random.Random(2)
    estimates = SpeedEstimates()
    different = 0
    for second in range(300):
        loads = {one: answered(1, utilization, rng) for one in upstreams}
        estimates.update(loads, second)
        different += len(dict(estimates.differing(second)))
    assert different <= 0.01 * 300 * len(upstreams)


@pytest.mark.parametrize('factor', [0.001, 1000])
def test_false_report_has_a_bounded_effect_for_a_bounded_time(factor: float) -> None:
    liar, *usual = names(6)
    estimates = SpeedEstimates()
    honest = {one: answered(1, 0.4) for one in (liar, *usual)}
    now = learn(estimates, honest, 20)
    false = Answered(60_000, 60_000 * SERVICE_SECONDS * factor, SLOTS)
    estimates.update({**honest, liar: false}, now)
    slowness = dict(estimates.differing(now)).values()
    assert all(1 / LARGEST - 0.01 <= one <= LARGEST + 0.01 for one in slowness)
    now = learn(estimates, honest, 30, now + 1)
    assert dict(estimates.differing(now)) == {}


@pytest.mark.parametrize('answers', [0, 1, 65_535])
@pytest.mark.parametrize('seconds', [0, 0.001, 4_294_967])
def test_odd_rows_are_safe(answers: int, seconds: float) -> None:
    """Guards against a division by 0 or a logarithm of 0 for what a row can hold."""
    odd, *usual = names(3)
    estimates = SpeedEstimates()
    loads = {one: answered(1, 0.4) for one in usual}
    for second in range(30):
        estimates.update({**loads, odd: Answered(answers, seconds, 0)}, second)
        slowness = dict(estimates.differing(second)).values()
        assert all(1 / LARGEST - 0.01 <= one <= LARGEST + 0.01 for one in slowness)


def test_estimate_fades_without_reports() -> None:
    """Guards against the estimate of an hour ago after the reports come back."""
    slow, *usual = names(4)
    estimates = SpeedEstimates()
    loads = {slow: answered(0.5, 0.5), **{one: answered(1, 0.5) for one in usual}}
    now = learn(estimates, loads, 60)
    before = dict(estimates.differing(now + 5))[slow]
    assert before == pytest.approx(2, rel=0.05)
    assert dict(estimates.differing(now + 80)) == {}
    assert estimates.forget(now + 80)
    assert not estimates.forget(now + 130)


def test_change_of_speed_is_followed() -> None:
    slow, *usual = names(4)
    estimates = SpeedEstimates()
    others = {one: answered(1, 0.5) for one in usual}
    now = learn(estimates, {slow: answered(0.5, 0.5), **others}, 60)
    now = learn(estimates, {slow: answered(1, 0.5), **others}, 40, now)
    assert dict(estimates.differing(now)) == {}


def test_refusals_of_a_full_queue_do_not_look_fast() -> None:
    """Guards against more flows for an upstream that refuses most requests at once."""
    crowded, *usual = names(4)
    estimates = SpeedEstimates()
    now = learn(estimates, {one: answered(1, 0.5) for one in (crowded, *usual)}, 20)
    served = SLOTS / SERVICE_SECONDS
    refusing = Answered(served * 4, 9.5, SLOTS)
    loads = {crowded: refusing, **{one: answered(1, 0.5) for one in usual}}
    now = learn(estimates, loads, 60, now)
    assert dict(estimates.differing(now)) == {}


def test_slow_upstream_stays_known_through_an_overload() -> None:
    """Guards against a rush on slow upstreams once all queues are full."""
    slow, *usual = names(4)
    estimates = SpeedEstimates()
    loads = {slow: answered(0.5, 0.6), **{one: answered(1, 0.6) for one in usual}}
    now = learn(estimates, loads, 30)
    full = {one: Answered(100, 9, SLOTS) for one in loads}
    now = learn(estimates, full, 30, now)
    assert dict(estimates.differing(now))[slow] == pytest.approx(2, rel=0.05)


def test_report_that_arrives_twice_counts_once() -> None:
    once, twice = SpeedEstimates(), SpeedEstimates()
    slow, *usual = names(4)
    loads = {slow: answered(0.6, 0.3), **{one: answered(1, 0.3) for one in usual}}
    for second in range(4):
        once.update(loads, second)
        twice.update(loads, second)
        twice.update(loads, second)
    assert dict(once.differing(4)) == dict(twice.differing(4))


def test_general_change_is_no_slowness() -> None:
    """Guards against requests that grow for all taking the estimates along."""
    slow, *usual = names(4)
    estimates = SpeedEstimates()
    loads = {slow: answered(0.5, 0.4), **{one: answered(1, 0.4) for one in usual}}
    now = learn(estimates, loads, 30)
    longer = {
        one: Answered(each.answers / 3, each.seconds, SLOTS)
        for one, each in loads.items()
    }
    for _ in range(30):
        now = learn(estimates, longer, 1, now)
        assert dict(estimates.differing(now)) == {
            slow: pytest.approx(2, rel=0.1),
        }
