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
_PROBE_SHARE: Final = 0.05
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


def select(
    candidates: Iterable[Candidate], demand: Demand, rng: random.Random
) -> Selected | Refused:
    """Return the upstream for a new flow, preferably one with little load."""
    known = tuple(candidates)
    allowed = [one for one in known if not one.exclusions & HARD_EXCLUSIONS]
    if not allowed:
        return Refused(_refusal_reason(known))
    group = _group(allowed, demand, rng)
    weights = [one.share * one.load**-_WEIGHT_EXPONENT for one in group]
    return Selected(rng.choices(group, weights)[0], len(group))


def _refusal_reason(candidates: tuple[Candidate, ...]) -> RefusalReason:
    """Return the reason that ends first."""
    found = {exclusion for one in candidates for exclusion in one.exclusions}
    for exclusion, reason in _REASON_BY_EXCLUSION:
        if exclusion in found:
            return reason
    return RefusalReason.NO_UPSTREAM


def _group(
    allowed: list[Candidate], demand: Demand, rng: random.Random
) -> list[Candidate]:
    """Return the upstreams among which one flow is drawn."""
    others = [one for one in allowed if Exclusion.UNANSWERED not in one.exclusions]
    usable = [one for one in others if Exclusion.AVOIDED not in one.exclusions]
    if rng.random() >= _PROBE_SHARE:
        usable = _without_suspected(usable)
    local = [one for one in usable if one.is_local]
    remote = [one for one in usable if not one.is_local]
    if not local:
        return remote or others or allowed
    reported = [one for one in remote if Exclusion.UNREPORTED not in one.exclusions]
    return _local_or_remote(local, reported, demand, rng)


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


def _local_or_remote(
    local: list[Candidate],
    remote: list[Candidate],
    demand: Demand,
    rng: random.Random,
) -> list[Candidate]:
    """Return the group of upstreams for one flow.

    A zone with more load than the others sends a share of its flows to them.
    """
    if not remote:
        return local
    margin = _BULK_SPILL_MARGIN if demand.bulk else _SPILL_MARGIN
    here = _mean_load(local)
    there = _mean_load(remote) + margin
    return remote if rng.random() < 1 - there / here else local


def _mean_load(group: list[Candidate]) -> float:
    """Return the mean of the expected waits, by the flows that their speed gives them.

    With equal weights, an idle zone with slow upstreams would send flows away, though
    they get few of its flows.
    """
    weights = [one.speed**_WEIGHT_EXPONENT for one in group]
    waits = (one.load * weight for one, weight in zip(group, weights, strict=True))
    return sum(waits) / sum(weights)
