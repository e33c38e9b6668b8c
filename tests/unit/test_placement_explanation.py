"""Probabilities of a choice, against the choice itself."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal.ids import UpstreamId
from lycheedeal.placement import (
    HARD_EXCLUSIONS,
    Candidate,
    Demand,
    Exclusion,
    RefusalReason,
    Refused,
    Selected,
    select,
)
from lycheedeal.placement.explanation import explain

DRAWS = 4000
# Four standard deviations of a share in this many draws, and the rounding.
TOLERANCE = 4 * 0.5 / DRAWS**0.5 + 0.001

CANDIDATES = st.lists(
    st.builds(
        lambda is_local, load, share, exclusions: Candidate(
            UpstreamId('i'), is_local, load, share, frozenset(exclusions)
        ),
        st.booleans(),
        st.floats(0.5, 8),
        st.floats(0.05, 1),
        st.sets(st.sampled_from(Exclusion), max_size=2),
    ),
    max_size=6,
)


def candidate(
    is_local: bool = True,
    load: float = 1,
    share: float = 1,
    *exclusions: Exclusion,
) -> Candidate:
    return Candidate(UpstreamId('i'), is_local, load, share, frozenset(exclusions))


def probabilities(candidates: list[Candidate], bulk: bool = False) -> list[float]:
    explained = explain(candidates, Demand(bulk))
    assert not isinstance(explained, Refused)
    return [round(explained[one], 6) for one in candidates]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(CANDIDATES, st.booleans())
def test_probabilities_are_those_of_the_choice(
    candidates: list[Candidate], bulk: bool
) -> None:
    """Guards against an explanation that follows other rules than the choice."""
    demand, rng = Demand(bulk), random.Random(1)
    explained = explain(candidates, demand)
    counts: Counter[Candidate] = Counter()
    for _ in range(DRAWS):
        match select(candidates, demand, rng):
            case Refused(reason=reason):
                assert isinstance(explained, Refused)
                assert explained.reason is reason
                return
            case Selected(candidate=selected):
                counts[selected] += 1
    assert not isinstance(explained, Refused)
    assert abs(sum(explained.values()) - 1) < 1e-9
    for one in candidates:
        assert abs(explained[one] - counts[one] / DRAWS) < TOLERANCE
        if not explained[one]:
            assert not counts[one]


def test_weight_falls_with_the_square_of_the_load() -> None:
    """Guards against probabilities that leave out the load or the ramp-up share."""
    assert probabilities([candidate(load=1), candidate(load=2)]) == [0.8, 0.2]
    assert probabilities([candidate(), candidate(share=0.25)]) == [0.8, 0.2]


def test_probes_count_for_suspected_upstreams() -> None:
    """Guards against a suspected upstream that is shown as never chosen."""
    suspected = candidate(True, 1, 1, Exclusion.SUSPECTED)
    assert probabilities([candidate(), suspected]) == [0.975, 0.025]


def test_share_of_other_zones_grows_with_the_load_of_the_own() -> None:
    """Guards against an explanation without the flows that leave an overloaded zone."""
    here, there = candidate(load=2), candidate(is_local=False, load=0.9)
    assert probabilities([here, there]) == [0.5, 0.5]
    assert probabilities([here, there], bulk=True) == [0.85, 0.15]
    unreported = candidate(False, 0.9, 1, Exclusion.UNREPORTED)
    assert probabilities([here, unreported]) == [1, 0]


def test_hard_exclusions_are_never_chosen() -> None:
    """Guards against a probability above 0 for what ``select`` never returns."""
    excluded = [candidate(True, 1, 1, one) for one in HARD_EXCLUSIONS]
    assert probabilities([*excluded, candidate(is_local=False)]) == [0, 0, 0, 1]


def test_reason_of_a_refusal_is_that_of_the_choice() -> None:
    """Guards against a reason that the log lines of the same opening do not have."""
    evacuated = candidate(True, 1, 1, Exclusion.EVACUATED)
    full = candidate(True, 1, 1, Exclusion.FULL)
    for candidates, reason in (
        ([], RefusalReason.NO_UPSTREAM),
        ([evacuated], RefusalReason.EVACUATED),
        ([evacuated, full], RefusalReason.FULL),
    ):
        explained = explain(candidates, Demand(bulk=False))
        assert isinstance(explained, Refused) and explained.reason is reason
