"""Selection of the upstream for a new flow.

Flows go to upstreams of the own zone unless these are so loaded that a part of
the flows is better served in another zone. Within a group, upstreams are drawn at
random, with weights that fall with their load.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.placement._candidates import (
    HARD_EXCLUSIONS,
    Candidate,
    Exclusion,
)

# Difference in load for each slot from which flows go to other zones. Traffic
# between zones is paid by the byte, so the margin is larger for bulk requests.
_SPILL_MARGIN: Final = 0.1
_BULK_SPILL_MARGIN: Final = 0.8
# Suspected upstreams are avoided only while at least this share of their group is
# not suspected.
_MIN_UNSUSPECTED_SHARE: Final = 0.5
# Share of the flows that also go to suspected upstreams, so that one that answers
# again is noticed.
PROBE_SHARE: Final = 0.05
# The weight of an upstream is its load to the power of minus this. A random draw
# keeps hosts with the same reports from all choosing the same upstream.
_WEIGHT_EXPONENT: Final = 2


@unique
class RefusalReason(Enum):
    """Why a new flow gets no upstream; the value is part of log lines and metrics."""

    NO_UPSTREAM = 'no upstream'
    EVACUATED = 'evacuated'
    WARMING_UP = 'upstreams warm up'
    FULL = 'upstreams are full'


_REASON_BY_EXCLUSION: Final = (
    (Exclusion.FULL, RefusalReason.FULL),
    (Exclusion.WARMING_UP, RefusalReason.WARMING_UP),
    (Exclusion.EVACUATED, RefusalReason.EVACUATED),
)


@dataclass(slots=True, eq=False, repr=False)
class Demand:
    """What a new flow needs; requests of a ``bulk`` flow carry tens of kilobytes."""

    bulk: bool


@dataclass(slots=True, eq=False, repr=False)
class Selected:
    """The upstream of a new flow; ``candidates`` is the number it was drawn from."""

    candidate: Candidate
    candidates: int


@dataclass(slots=True, eq=False, repr=False)
class Refused:
    """A new flow gets no upstream."""

    reason: RefusalReason


@dataclass(slots=True, eq=False, repr=False)
class Groups:
    """The two groups of upstreams among which a new flow may be drawn.

    ``local`` are those of the own zone. A flow goes to ``rest`` if there is none, and
    with the probability ``rest_share`` otherwise.
    """

    local: list[Candidate]
    rest: list[Candidate]
    rest_share: float


def select(
    candidates: Iterable[Candidate], demand: Demand, rng: random.Random
) -> Selected | Refused:
    """Return the upstream for a new flow, preferably one with little load."""
    known = tuple(candidates)
    allowed = without_hard_exclusions(known)
    if not allowed:
        return Refused(refusal_reason(known))
    group = _draw_group(allowed, demand, rng)
    return Selected(rng.choices(group, list(map(weight, group)))[0], len(group))


def without_hard_exclusions(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the upstreams that may get a flow at all."""
    return [one for one in candidates if not one.exclusions & HARD_EXCLUSIONS]


def weight(candidate: Candidate) -> float:
    """Return the weight with which an upstream is drawn from its group."""
    return candidate.share * draw_weight(candidate.load)


def draw_weight(load: float) -> float:
    """Return the weight of an upstream by its load alone."""
    return load**-_WEIGHT_EXPONENT


def refusal_reason(candidates: Iterable[Candidate]) -> RefusalReason:
    """Return the reason that ends first."""
    found = {exclusion for one in candidates for exclusion in _reasons(one)}
    for exclusion, reason in _REASON_BY_EXCLUSION:
        if exclusion in found:
            return reason
    return RefusalReason.NO_UPSTREAM


def _reasons(candidate: Candidate) -> frozenset[Exclusion]:
    """Return what keeps flows from an upstream; an evacuation outlasts the others."""
    if Exclusion.EVACUATED in candidate.exclusions:
        return frozenset((Exclusion.EVACUATED,))
    return candidate.exclusions


def groups(allowed: list[Candidate], demand: Demand, is_probe: bool) -> Groups:
    """Return the groups for a flow, which is a probe with ``PROBE_SHARE``."""
    others = [one for one in allowed if Exclusion.UNANSWERED not in one.exclusions]
    usable = [one for one in others if Exclusion.AVOIDED not in one.exclusions]
    if not is_probe:
        usable = _without_suspected(usable)
    local = [one for one in usable if one.is_local]
    remote = [one for one in usable if not one.is_local]
    if not local:
        return Groups(local, remote or others or allowed, 1)
    reported = [one for one in remote if Exclusion.UNREPORTED not in one.exclusions]
    return Groups(local, reported, _remote_share(local, reported, demand))


def _draw_group(
    allowed: list[Candidate], demand: Demand, rng: random.Random
) -> list[Candidate]:
    """Return the upstreams among which one flow is drawn."""
    drawn = groups(allowed, demand, rng.random() < PROBE_SHARE)
    if not drawn.local:
        return drawn.rest
    if drawn.rest and rng.random() < drawn.rest_share:
        return drawn.rest
    return drawn.local


def _without_suspected(usable: list[Candidate]) -> list[Candidate]:
    """Return the upstreams that hosts of this zone do not suspect.

    Upstreams of the own zone and of the others are separate groups. If much of a
    group is suspected, the fault is more likely elsewhere, and the rest could not
    carry the load, so the whole group is returned.
    """
    accepted: list[Candidate] = []
    for is_local in (True, False):
        group = [one for one in usable if one.is_local is is_local]
        kept = [one for one in group if Exclusion.SUSPECTED not in one.exclusions]
        enough = len(kept) >= len(group) * _MIN_UNSUSPECTED_SHARE
        accepted.extend(kept if enough else group)
    return accepted


def _remote_share(
    local: list[Candidate], remote: list[Candidate], demand: Demand
) -> float:
    """Return the probability with which a flow goes to other zones.

    A zone with more load than the others sends a share of its flows to them.
    """
    if not remote:
        return 0
    margin = _BULK_SPILL_MARGIN if demand.bulk else _SPILL_MARGIN
    here = _mean_load(local)
    there = _mean_load(remote) + margin
    # If all upstreams of the zone ramp up, the rest of its flows goes elsewhere.
    kept = min(max(one.share for one in local), 1)
    return 1 - kept * min(there / here, 1)


def _mean_load(group: list[Candidate]) -> float:
    """Return the mean of the expected waits, by the flows that upstreams get.

    With equal weights, an idle zone with slow upstreams would send flows away, though
    they get few of its flows.
    """
    weights = [min(one.share, 1) * one.speed**_WEIGHT_EXPONENT for one in group]
    waits = (one.load * weight for one, weight in zip(group, weights, strict=True))
    return sum(waits) / sum(weights)
