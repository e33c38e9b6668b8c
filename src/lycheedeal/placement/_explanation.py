"""Probabilities of the choice that ``select`` makes, without a draw."""

from collections.abc import Iterable, Iterator

from lycheedeal.placement._candidates import Candidate
from lycheedeal.placement._selection import (
    PROBE_SHARE,
    Demand,
    Groups,
    Refused,
    groups,
    refusal_reason,
    weight,
    without_hard_exclusions,
)

# A group, and the probability with which a flow is drawn from it.
_GroupShare = tuple[list[Candidate], float]


def explain(
    candidates: Iterable[Candidate], demand: Demand
) -> dict[Candidate, float] | Refused:
    """Return the probability with which ``select`` returns each candidate."""
    known = tuple(candidates)
    allowed = without_hard_exclusions(known)
    if not allowed:
        return Refused(refusal_reason(known))
    probabilities = dict.fromkeys(known, 0.0)
    for is_probe, share in ((True, PROBE_SHARE), (False, 1 - PROBE_SHARE)):
        for group, group_share in _drawn(groups(allowed, demand, is_probe)):
            total = sum(map(weight, group))
            for one in group:
                probabilities[one] += share * group_share * weight(one) / total
    return probabilities


def _drawn(split: Groups) -> Iterator[_GroupShare]:
    """Yield the groups that a flow may be drawn from."""
    if not split.local:
        yield split.rest, 1
        return
    yield split.local, 1 - split.rest_share
    if split.rest:
        yield split.rest, split.rest_share
