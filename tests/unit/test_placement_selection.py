"""Selection among candidates, and the reasons of refusals."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedeal.ids import UpstreamId
from lycheedeal.placement import (
    HARD_EXCLUSIONS,
    Candidate,
    Demand,
    Exclusion,
    Refused,
    RefusalReason,
    Selected,
    select,
)

DRAWS = 2000
SMALL = Demand(bulk=False)

candidates = st.builds(
    Candidate,
    st.sampled_from([UpstreamId(f'i-{one}') for one in range(9)]),
    st.booleans(),
    st.floats(0.1, 100),
    st.floats(0.01, 10),
    st.frozensets(st.sampled_from(Exclusion)),
)


def candidate(
    name: str, *exclusions: Exclusion, is_local: bool = True, load: float = 1
) -> Candidate:
    return Candidate(UpstreamId(name), is_local, load, exclusions=frozenset(exclusions))


def drawn(*known: Candidate) -> Counter[str]:
    """Return how often each candidate is selected."""
    rng = random.Random(0)
    counts: Counter[str] = Counter()
    for _ in range(DRAWS):
        selected = select(known, SMALL, rng)
        assert isinstance(selected, Selected)
        counts[selected.candidate.upstream_id] += 1
    return counts


@given(st.lists(candidates, max_size=8), st.booleans(), st.integers(0, 99))
def test_hard_exclusions_are_never_selected_and_others_never_refused(
    known: list[Candidate], bulk: bool, seed: int
) -> None:
    """Guards against a fall-back to an evacuated, cold or full upstream."""
    allowed = [one for one in known if not one.exclusions & HARD_EXCLUSIONS]
    match select(known, Demand(bulk), random.Random(seed)):
        case Selected(candidate=selected):
            assert selected in allowed
        case Refused():
            assert not allowed


@pytest.mark.parametrize(
    ('known', 'reason'),
    [
        ((), RefusalReason.NO_UPSTREAM),
        ((candidate('i-1', Exclusion.EVACUATED),), RefusalReason.EVACUATED),
        (
            (candidate('i-1', Exclusion.EVACUATED, Exclusion.WARMING_UP),),
            RefusalReason.EVACUATED,
        ),
        (
            (candidate('i-1', Exclusion.EVACUATED, Exclusion.FULL),),
            RefusalReason.EVACUATED,
        ),
        (
            (
                candidate('i-1', Exclusion.EVACUATED),
                candidate('i-2', Exclusion.WARMING_UP),
            ),
            RefusalReason.WARMING_UP,
        ),
        (
            (candidate('i-1', Exclusion.FULL), candidate('i-2', Exclusion.WARMING_UP)),
            RefusalReason.FULL,
        ),
    ],
)
def test_reason_of_a_refusal_is_the_one_that_ends_first(
    known: tuple[Candidate, ...], reason: RefusalReason
) -> None:
    """Guards against a reason that sends an operator to the wrong cause."""
    refused = select(known, SMALL, random.Random(0))
    assert isinstance(refused, Refused)
    assert refused.reason is reason


@pytest.mark.parametrize('soft', sorted(set(Exclusion) - HARD_EXCLUSIONS, key=str))
def test_upstream_with_a_doubt_is_selected_if_nothing_else_is_left(
    soft: Exclusion,
) -> None:
    """Guards against refusals because of a doubt that may be wrong."""
    evacuated = candidate('i-2', Exclusion.EVACUATED)
    assert set(drawn(candidate('i-1', soft), evacuated)) == {'i-1'}


@pytest.mark.parametrize('soft', [Exclusion.UNANSWERED, Exclusion.AVOIDED])
def test_upstream_with_a_doubt_is_not_selected_beside_another(
    soft: Exclusion,
) -> None:
    """Guards against a repeated opening that gets no answer again."""
    assert set(drawn(candidate('i-1', soft), candidate('i-2'))) == {'i-2'}


def test_evacuated_zone_sends_its_flows_to_another_zone() -> None:
    """Guards against a zone whose own upstreams are all evacuated."""
    own = candidate('i-1', Exclusion.EVACUATED)
    unreported = candidate('i-2', Exclusion.UNREPORTED, is_local=False)
    assert set(drawn(own, unreported)) == {'i-2'}


def test_upstreams_get_flows_by_share_and_inverse_square_of_load() -> None:
    """Guards against loaded or cold upstreams that get as many flows as the rest."""
    busy = candidate('i-1', load=2)
    cold = candidate('i-2')
    cold.share = 0.25
    counts = drawn(busy, cold, candidate('i-3'))
    assert counts['i-1'] == pytest.approx(DRAWS / 6, rel=0.15)
    assert counts['i-2'] == pytest.approx(DRAWS / 6, rel=0.15)
