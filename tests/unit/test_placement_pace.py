"""Paces of upstreams that start or recover, without hosts."""

import random

import pytest

from lycheedeal.ids import UpstreamId
from lycheedeal.placement import (
    STEP_SECONDS,
    Candidate,
    Demand,
    Exclusion,
    Observation,
    Pacer,
    ProbeSchedule,
    RampCause,
    RampChange,
    Selected,
    apply_paces,
    select,
)

NEW = UpstreamId('i-new')


def ramp_seconds(pacer: Pacer, seen: Observation) -> float:
    """Return how long a ramp-up takes if each step sees the same."""
    pacer.start(NEW, RampCause.START, 0)
    for step in range(1, 100):
        if pacer.step(NEW, seen, step * STEP_SECONDS) is RampChange.ENDED:
            return step * STEP_SECONDS
    raise AssertionError('the ramp-up does not end')


@pytest.mark.parametrize(
    ('shortest', 'longest', 'seen'),
    [
        (2, 3, Observation(success_votes=1, slowness=1)),
        (3, 4, Observation(is_answering=True)),
        (4, 6, Observation()),
        (8, 14, Observation(slowness=2)),
        (8, 18, Observation(slowness=9)),
        (8, 22, Observation(slowness=9, attraction=50)),
    ],
)
def test_rate_follows_answers_and_ends(
    shortest: float, longest: float, seen: Observation
) -> None:
    """Guards against a fixed rate, and against a ramp-up that never ends."""
    assert shortest <= ramp_seconds(Pacer(), seen) <= longest


def test_pace_falls_while_openings_are_unanswered() -> None:
    """Guards against growth by time alone while an upstream fails."""
    pacer = Pacer()
    pacer.start(NEW, RampCause.START, 0)
    for step in range(1, 8):
        pacer.step(NEW, Observation(unanswered=step, failure_votes=step), step / 2)
    assert pacer.paces_by_id()[NEW] == 0.02


def test_repeated_restart_ramps_up_more_slowly() -> None:
    """Guards against a crash loop that is flooded at each of its starts."""
    pacer, seen = Pacer(), Observation(success_votes=1, slowness=1)
    assert ramp_seconds(pacer, seen) < ramp_seconds(pacer, seen) < 6


def test_first_restart_after_a_crash_is_no_relapse() -> None:
    """Guards against a slower start because the crash was noticed as a silence."""
    pacer = Pacer()
    pacer.step(NEW, Observation(is_silent=True), 0)
    assert pacer.start(NEW, RampCause.START, 1).pace == 0.1


def test_upstream_that_answers_again_returns_before_the_votes_end() -> None:
    """Guards against idle time until old votes expire, and against their return.

    Without an answer since, the pace stays; with further failure votes it is silent.
    """
    pacer = Pacer()
    silent = Observation(is_silent=True, failure_votes=4, success_votes=0)
    assert [pacer.step(NEW, silent, one / 2) for one in range(3)] == [None] * 3
    back = Observation(is_silent=True, failure_votes=4, success_votes=1)
    assert pacer.step(NEW, back, 2) is RampChange.STARTED
    assert pacer.is_back_since(NEW) == 2
    pace = pacer.paces_by_id()[NEW]
    assert pacer.step(NEW, silent, 6) is None and pacer.paces_by_id()[NEW] == pace
    assert pacer.step(NEW, back, 6.5) is None and pacer.paces_by_id()[NEW] > pace
    again = Observation(is_silent=True, failure_votes=5, success_votes=0)
    assert pacer.step(NEW, again, 7) is RampChange.SILENT
    assert pacer.is_back_since(NEW) is None


def test_only_an_upstream_that_answered_meanwhile_relapses() -> None:
    """Guards against a slower return the more often a host tried in one silence."""
    for seen, expected in (
        (Observation(), 0.25),
        (Observation(success_votes=1), 0.125),
    ):
        pacer = Pacer()
        silent = [Observation(is_silent=True, unanswered=one) for one in (2, 3)]
        for now, one in enumerate((silent[0], seen, seen, silent[1], seen)):
            pacer.step(NEW, one, now / 2)
        assert pacer.paces_by_id()[NEW] == expected


def candidates(local: int, remote: int = 0) -> list[Candidate]:
    return [
        Candidate(UpstreamId(f'i-{one}'), one < local, 2.0)
        for one in range(local + remote)
    ]


def test_idle_upstream_gets_its_pace_of_the_flows_of_a_sibling() -> None:
    """Guards against an idle upstream whose weight is many times that of others."""
    known = candidates(8)
    known[0].load = 0.5
    apply_paces(known, {known[0].upstream_id: 0.1})
    assert known[0].share * 0.5**-2 == pytest.approx(0.1 * 2**-2)
    assert all(one.share == 1 for one in known[1:])


def test_shares_stay_while_most_of_a_service_ramps_up() -> None:
    """Guards against a service that is short, or moved to another zone, at its start.

    Upstreams that cannot take flows do not count as the rest of the service.
    """
    known = candidates(4, 4)
    for one in known[6:]:
        one.exclusions = frozenset((Exclusion.EVACUATED,))
    apply_paces(known, {one.upstream_id: 0.1 for one in known[:4]})
    assert all(one.share == 1 for one in known)


def test_few_siblings_get_at_most_twice_their_flows() -> None:
    """Guards against overload of the one upstream of a zone that does not ramp up."""
    known = candidates(8, 8)
    apply_paces(known, {one.upstream_id: 0.02 for one in known[1:8]})
    assert sum(one.share for one in known[:8]) >= 4 - 1e-9


def test_zone_that_ramps_up_leaves_flows_to_the_others() -> None:
    """Guards against a zone that gets all of its flows at once after an evacuation."""
    known, rng = candidates(4, 8), random.Random(1)
    apply_paces(known, {one.upstream_id: 0.2 for one in known[:4]})
    chosen = [select(known, Demand(bulk=False), rng) for _ in range(1000)]
    local = sum(isinstance(one, Selected) and one.candidate.is_local for one in chosen)
    assert 150 < local < 250


def test_trials_of_a_silent_upstream_do_not_grow_with_hosts_or_traffic() -> None:
    """Guards against openings lost to a silent upstream under heavy traffic."""
    probes = [ProbeSchedule(random.Random(one)) for one in range(30)]
    tried = 0
    for step in range(6000):
        for one in probes:
            one.set_hosts(len(probes))
            one.follow((NEW,), step / 100)
            if one.is_due(NEW, step / 100):
                one.record(NEW, step / 100)
                tried += 1
    assert 40 <= tried <= 75
