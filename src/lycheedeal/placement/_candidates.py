"""Upstreams that accept new flows, as one host sees them."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.ids import UpstreamId


@unique
class Exclusion(Enum):
    """Why an upstream should not, or must not, get a flow."""

    EVACUATED = 'evacuated'
    WARMING_UP = 'warming_up'
    FULL = 'full'
    # It did not answer an earlier copy of the opening.
    UNANSWERED = 'unanswered'
    # It recently left openings of this host unanswered.
    AVOIDED = 'avoided'
    # Hosts of the zone voted that it does not answer.
    SUSPECTED = 'suspected'
    # The load that its own zone causes is not known.
    UNREPORTED = 'unreported'


# An upstream with one of these gets no flow, even if there is no other one.
HARD_EXCLUSIONS: Final = frozenset(
    (Exclusion.EVACUATED, Exclusion.WARMING_UP, Exclusion.FULL)
)
NOT_EXCLUDED: Final[frozenset[Exclusion]] = frozenset()


@dataclass(slots=True, eq=False, repr=False)
class Candidate:
    """An upstream that accepts new flows.

    ``load`` is the expected wait in requests for each slot, with the new one, in the
    time that a usual upstream takes for one. ``speed`` is 1 for a usual upstream.
    ``share`` is the part of the flows of its load that it gets while it ramps up.
    """

    upstream_id: UpstreamId
    is_local: bool
    load: float
    share: float = 1
    exclusions: frozenset[Exclusion] = NOT_EXCLUDED
    speed: float = 1
