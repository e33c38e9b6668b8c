"""Ramp-up of upstreams that start or recover.

The pace of an upstream is the part of the flows of an average sibling that it may
get. It starts low and grows with each step, the faster the better the upstream
answers; it falls while answers are late or missing. Without traffic to learn from it
grows at a moderate rate. Upstreams that are neither new nor recovering have none.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from lycheedeal.ids import UpstreamId
from lycheedeal.placement._candidates import Candidate, Exclusion
from lycheedeal.placement._selection import draw_weight

# Time between two steps: half the interval of reports.
STEP_SECONDS: Final = 0.5
# Paces at the start, halved by each relapse. An upstream that was silent is not cold,
# and is tried before.
_START_PACE: Final = 0.1
_RETURN_PACE: Final = 0.25
# Low enough for one that fails all the time, high enough to notice that it recovers.
_MIN_PACE: Final = 0.02
# Largest growth in a step. From the start, the pace of a sibling takes 2.5 s; reports
# of late answers arrive within 2 s.
_GROWTH: Final = 1.6
# Exponents of the growth: openings answered, but answer times unknown; nothing known.
_OPENING_QUALITY: Final = 0.75
_UNKNOWN_QUALITY: Final = 0.5
# Answer times relative to those of the siblings: full growth up to the first, none
# at the second. A cold upstream takes 1.6 times as long and is not overloaded.
_GOOD_SLOWNESS: Final = 1.2
_HOLDING_SLOWNESS: Final = 2.0
# Below this weight relative to the siblings, which is 1.25 times their load, the pace
# does not grow.
_MIN_ATTRACTION: Final = 0.64
# An idle upstream among loaded ones attracts many times their flows; the pace need
# not reach more than this.
_MAX_ATTRACTION: Final = 8.0
# From then on the pace grows at the rate of an unknown upstream at least, so that a
# ramp-up ends within 22 s.
_LEARNING_SECONDS: Final = 8.0
# A silence within this time after a ramp-up is a relapse.
_MEMORY_SECONDS: Final = 30.0
_MAX_RELAPSES: Final = 2
# Factor on the growth for each relapse.
_RELAPSE_FACTOR: Final = 0.75
# Changes of direction that a ramp-up tells; more would only fill the log.
_MAX_TURNS: Final = 4
# Paces have effect only while this part of a service does not ramp up; the rest could
# not carry the load.
_MIN_STEADY_SHARE: Final = 0.5
# Upstreams with one of these carry no load in place of those that ramp up.
_UNAVAILABLE: Final = frozenset(
    (
        Exclusion.EVACUATED,
        Exclusion.FULL,
        Exclusion.UNANSWERED,
        Exclusion.AVOIDED,
    )
)


@unique
class RampCause(Enum):
    """Why an upstream ramps up; the value is part of log lines."""

    START = 'start'
    RELISTED = 'accepts flows again'
    RESUMED = 'zone resumed'
    SILENCE = 'was silent'


@unique
class RampChange(Enum):
    """What a step changed; the value is part of log lines and metrics."""

    STARTED = 'started'
    FASTER = 'faster'
    SLOWER = 'slower'
    SILENT = 'silent again'
    ENDED = 'ended'


@unique
class _Phase(Enum):
    SILENT = 'silent'
    RAMPING = 'ramping'
    # Kept for a while to recognize a relapse.
    ENDED = 'ended'


@dataclass(slots=True, eq=False, repr=False)
class Observation:
    """What this host knows of an upstream at a step.

    ``is_silent`` means that it is avoided or suspected, ``unanswered`` is the number
    of openings of this host since the last answered one. The votes are those of the
    zone, or None if no recent report tells. ``is_answering`` means that it answered
    this host since the previous step. ``slowness`` is its answer time divided by that
    of its siblings, or None if unknown, and ``attraction`` its weight by load alone
    divided by theirs.
    """

    is_silent: bool = False
    unanswered: int = 0
    failure_votes: int | None = None
    success_votes: int | None = None
    is_answering: bool = False
    slowness: float | None = None
    attraction: float = 1


@dataclass(slots=True, eq=False, repr=False)
class Ramp:
    """Ramp-up of one upstream; times are seconds of the monotonic clock.

    ``is_early`` means that it answers again although failure votes or the avoidance
    have not ended. ``was_unheard`` means that the zone had no success vote for it
    during its silence, so that a later one proves an answer; ``was_heard`` that it has
    answered since, so that a further silence is a relapse.
    """

    cause: RampCause
    phase: _Phase
    since: float
    pace: float
    relapses: int = 0
    is_early: bool = False
    was_unheard: bool = False
    was_heard: bool = False
    unanswered: int = 0
    failure_votes: int = 0
    is_rising: bool = True
    turns: int = 0
    slowness: float | None = None


class Pacer:
    """Ramp-ups of the upstreams that start or recover, by their ids."""

    def __init__(self) -> None:
        """Start without ramp-ups."""
        self._ramps_by_id: dict[UpstreamId, Ramp] = {}

    def start(
        self,
        upstream_id: UpstreamId,
        cause: RampCause,
        now: float,
        elapsed: float = 0,
    ) -> Ramp:
        """Begin a ramp-up, as if ``elapsed`` seconds ago and without traffic since."""
        relapses = 0
        known = self._ramps_by_id.get(upstream_id)
        if known is not None and cause is RampCause.START:
            # A silence before a restart belongs to it.
            is_relapse = known.phase is not _Phase.SILENT
            relapses = min(known.relapses + is_relapse, _MAX_RELAPSES)
        steps = max(elapsed, 0) / STEP_SECONDS
        grown = math.pow(_GROWTH, _UNKNOWN_QUALITY * steps)
        pace = min(_start_pace(relapses, cause) * grown, 1)
        ramp = Ramp(cause, _Phase.RAMPING, now - max(elapsed, 0), pace, relapses)
        self._ramps_by_id[upstream_id] = ramp
        return ramp

    def latest(self, upstream_id: UpstreamId) -> Ramp | None:
        """Return the latest ramp-up, which may have ended, or None if forgotten."""
        return self._ramps_by_id.get(upstream_id)

    def slowness(self, upstream_id: UpstreamId) -> float | None:
        """Return the relative answer time of an upstream that ramps up, if known."""
        ramp = self._ramps_by_id.get(upstream_id)
        return None if ramp is None else ramp.slowness

    def is_back_since(self, upstream_id: UpstreamId) -> float | None:
        """Return since when an upstream answers despite votes or an avoidance."""
        ramp = self._ramps_by_id.get(upstream_id)
        if ramp is None or ramp.phase is not _Phase.RAMPING or not ramp.is_early:
            return None
        return ramp.since

    def paces_by_id(self) -> Mapping[UpstreamId, float]:
        """Return the paces of the upstreams that ramp up or are silent."""
        return {
            upstream_id: ramp.pace
            for upstream_id, ramp in self._ramps_by_id.items()
            if ramp.phase is not _Phase.ENDED
        }

    def is_silent(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream was last seen to be silent."""
        ramp = self._ramps_by_id.get(upstream_id)
        return ramp is not None and ramp.phase is _Phase.SILENT

    def ids(self) -> Collection[UpstreamId]:
        """Return the upstreams that need steps although they may not be silent."""
        return self._ramps_by_id.keys()

    def retain(self, upstream_ids: Collection[UpstreamId]) -> None:
        """Forget all other upstreams."""
        for upstream_id in self._ramps_by_id.keys() - upstream_ids:
            self._ramps_by_id.pop(upstream_id)

    def step(
        self, upstream_id: UpstreamId, seen: Observation, now: float
    ) -> RampChange | None:
        """Adapt the pace of an upstream to what was seen since the previous step."""
        ramp = self._ramps_by_id.get(upstream_id)
        if ramp is None:
            if seen.is_silent:
                cause = RampCause.SILENCE
                ramp = Ramp(cause, _Phase.SILENT, now, _start_pace(0, cause))
                self._ramps_by_id[upstream_id] = ramp
                _note(ramp, seen)
            return None
        change = None
        match ramp.phase:
            case _Phase.SILENT:
                change = _step_silent(ramp, seen, now)
            case _Phase.RAMPING:
                change = _step_ramping(ramp, seen, now)
            case _Phase.ENDED if seen.is_silent:
                _fall_silent(ramp, now)
            case _Phase.ENDED if now - ramp.since > _MEMORY_SECONDS:
                self._ramps_by_id.pop(upstream_id)
        _note(ramp, seen)
        return change


def _start_pace(relapses: int, cause: RampCause) -> float:
    pace = _RETURN_PACE if cause is RampCause.SILENCE else _START_PACE
    return max(pace * math.pow(0.5, relapses), _MIN_PACE)


def _note(ramp: Ramp, seen: Observation) -> None:
    """Keep what the next step compares with."""
    ramp.unanswered = seen.unanswered
    if seen.failure_votes is not None:
        ramp.failure_votes = seen.failure_votes
    ramp.slowness = seen.slowness
    if ramp.phase is _Phase.SILENT and seen.success_votes == 0:
        ramp.was_unheard = True


def _fall_silent(ramp: Ramp, now: float) -> None:
    ramp.cause = RampCause.SILENCE
    ramp.phase = _Phase.SILENT
    ramp.since = now
    if ramp.was_heard:
        ramp.relapses = min(ramp.relapses + 1, _MAX_RELAPSES)
    ramp.pace = _start_pace(ramp.relapses, ramp.cause)
    ramp.is_early = ramp.was_unheard = ramp.was_heard = False


def _step_silent(ramp: Ramp, seen: Observation, now: float) -> RampChange | None:
    is_back = seen.is_answering or bool(ramp.was_unheard and seen.success_votes)
    if seen.is_silent and not is_back:
        return None
    ramp.phase = _Phase.RAMPING
    ramp.since = now
    ramp.is_early = seen.is_silent
    ramp.is_rising = True
    ramp.turns = 0
    return RampChange.STARTED


def _step_ramping(ramp: Ramp, seen: Observation, now: float) -> RampChange | None:
    if seen.is_answering or seen.success_votes:
        ramp.was_heard = True
    if seen.is_silent and _has_relapsed(ramp, seen):
        _fall_silent(ramp, now)
        return RampChange.SILENT
    ramp.is_early = seen.is_silent
    quality = _quality(ramp, seen, now)
    ramp.pace = max(ramp.pace * math.pow(_GROWTH, quality), _MIN_PACE)
    if ramp.pace >= min(max(seen.attraction, 1), _MAX_ATTRACTION):
        ramp.phase = _Phase.ENDED
        ramp.since = now
        return RampChange.ENDED
    return _turn(ramp, quality)


def _turn(ramp: Ramp, quality: float) -> RampChange | None:
    """Return the change of direction, if any; a quality of 0 is none."""
    if not quality or ramp.is_rising is (quality > 0):
        return None
    ramp.is_rising = quality > 0
    ramp.turns += 1
    if ramp.turns > _MAX_TURNS:
        return None
    return RampChange.FASTER if ramp.is_rising else RampChange.SLOWER


def _has_relapsed(ramp: Ramp, seen: Observation) -> bool:
    """Return whether a silence is new; one that ends leaves votes behind for a time."""
    return ramp.cause is not RampCause.SILENCE or _has_failed(ramp, seen)


def _has_failed(ramp: Ramp, seen: Observation) -> bool:
    """Return whether openings were unanswered since the previous step."""
    failure_votes = seen.failure_votes or 0
    has_new_votes = failure_votes > max(ramp.failure_votes, seen.success_votes or 0)
    return has_new_votes or seen.unanswered > ramp.unanswered


def _quality(ramp: Ramp, seen: Observation, now: float) -> float:
    """Return how good the answers are, from -1 to 1."""
    quality = _answer_quality(ramp, seen)
    if seen.attraction < _MIN_ATTRACTION:
        quality = min(quality, 0)
    if quality > 0:
        quality *= math.pow(_RELAPSE_FACTOR, ramp.relapses)
    if now - ramp.since > _LEARNING_SECONDS:
        return max(quality, _UNKNOWN_QUALITY)
    return quality


def _answer_quality(ramp: Ramp, seen: Observation) -> float:
    if _has_failed(ramp, seen):
        return -1
    if seen.slowness is None:
        if seen.is_answering or seen.success_votes:
            was_silent = ramp.cause is RampCause.SILENCE
            return 1 if was_silent else _OPENING_QUALITY
        # Old votes against it leave no doubt in its favour.
        return 0 if seen.is_silent else _UNKNOWN_QUALITY
    quality = _HOLDING_SLOWNESS - seen.slowness
    return max(min(quality / (_HOLDING_SLOWNESS - _GOOD_SLOWNESS), 1), -1)


def apply_paces(
    candidates: Iterable[Candidate], paces_by_id: Mapping[UpstreamId, float]
) -> None:
    """Lower the shares of the upstreams of a service that ramp up.

    The shares stay as they are while most of the service ramps up.
    """
    available = [
        one
        for one in candidates
        if not one.exclusions & _UNAVAILABLE
        # Some flows ignore suspicions; a silent upstream gets few of them.
        and (
            Exclusion.SUSPECTED not in one.exclusions or one.upstream_id in paces_by_id
        )
    ]
    ramping = [one for one in available if one.upstream_id in paces_by_id]
    if len(ramping) > len(available) * (1 - _MIN_STEADY_SHARE):
        return
    for is_local in (True, False):
        group = [one for one in available if one.is_local is is_local]
        _pace_group(group, paces_by_id)


def _pace_group(
    group: list[Candidate], paces_by_id: Mapping[UpstreamId, float]
) -> None:
    steady = [one for one in group if one.upstream_id not in paces_by_id]
    ramping = [one for one in group if one.upstream_id in paces_by_id]
    for one in ramping:
        part = paces_by_id[one.upstream_id]
        if steady:
            # At most twice the usual flows are left to the others of the group.
            missing = len(group) * _MIN_STEADY_SHARE - len(steady)
            part = max(part, missing / len(ramping))
            part /= attraction(one, steady)
        one.share *= min(part, 1)


def attraction(candidate: Candidate, siblings: Collection[Candidate]) -> float:
    """Return the weight of an upstream by load alone, relative to its siblings."""
    mean_load = sum(one.load for one in siblings) / len(siblings)
    return draw_weight(candidate.load) / draw_weight(mean_load)
