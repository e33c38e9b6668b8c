"""Speed of upstreams relative to the others of their service, from their answers.

The time of an answer includes the wait in the queue of the upstream. Little's law
gives the requests that were in flight, and these the part of the time that was spent
in service. An upstream counts as slower or faster only as far as its answers prove it;
without new answers the proof fades, and all upstreams count as equally fast again.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import UpstreamId

# A sample is taken from at least this many answers: the logarithm of the mean of few
# times is biased.
_MIN_ANSWERS: Final = 8
# Answers of one report count as at most this many, so that a false report has little
# weight against those that follow.
_MAX_ANSWERS: Final = 40
# The proof of one upstream counts as at most this many answers; a change of its speed
# then shows within seconds under load.
_MAX_EVIDENCE: Final = 300
# Time in which the proof loses two thirds of its weight.
_FADE_SECONDS: Final = 20
# The same for an upstream that is too crowded to measure. Its load would jump if it
# counted as usual during an overload.
_CROWDED_FADE_SECONDS: Final = 120
# Mean requests in flight for each slot above which answers are not used: the queue of
# an upstream is then often full, and quick refusals look like quick answers.
_MAX_IN_FLIGHT_PER_SLOT: Final = 2.0
# Samples of other upstreams that are older than this are no reference.
_REFERENCE_SECONDS: Final = 10
# Reports come each second. After a longer gap, earlier answers are not known.
_MAX_INTERVAL_SECONDS: Final = 2.0
# Difference of logarithms that counts as none: zones differ in distance by a tenth
# of an answer's time.
_MIN_DIFFERENCE: Final = 0.08
# Answers that prove nothing: the estimate of a usual upstream errs, too, if there are
# few.
_FEW_ANSWERS: Final = 20
# Standard errors that the difference has to exceed, with a deviation of the times as
# large as their mean.
_STANDARD_ERRORS: Final = 2.25
# Upstreams differ in speed from 0.55 to 1.2, by a factor of 2.2.
_MAX_LOG_SLOWNESS: Final = math.log(2.5)
# An estimate is forgotten after this time without answers.
_RETENTION_SECONDS: Final = 120
# The formula of the wait is exact for this number of slots.
_USUAL_SLOTS: Final = 2
_NEVER: Final = float('-inf')


@dataclass(slots=True, eq=False, repr=False)
class Answered:
    """Requests that an upstream with ``slots`` slots answered, for each second.

    ``seconds`` adds up the time that each of the ``answers`` took.
    """

    answers: float
    seconds: float
    slots: int


@dataclass(slots=True, eq=False, repr=False)
class _Estimate:
    """Estimate of one upstream.

    ``log_slowness`` is the mean of samples, ``evidence`` the answers that they stand
    for at ``faded_at``. ``answers``, ``seconds`` and ``interval`` collect the next
    sample.
    """

    log_slowness: float = 0
    evidence: float = 0
    faded_at: float = _NEVER
    is_crowded: bool = False
    answers: float = 0
    seconds: float = 0
    interval: float = 0
    # Logarithm of the service time of the last sample.
    log_service: float = 0
    sampled_at: float = _NEVER

    def evidence_at(self, now: float) -> float:
        fade_seconds = _CROWDED_FADE_SECONDS if self.is_crowded else _FADE_SECONDS
        return self.evidence * math.exp(
            min(self.faded_at - now, 0) / fade_seconds,
        )

    def fade(self, now: float) -> None:
        self.evidence = self.evidence_at(now)
        self.faded_at = now

    def collect(self, answered: Answered, interval: float) -> None:
        """Add the answers of an interval."""
        slots = max(answered.slots, 1)
        self.is_crowded = answered.seconds > _MAX_IN_FLIGHT_PER_SLOT * slots
        if self.is_crowded:
            self.answers = self.seconds = self.interval = 0
            return
        self.answers += answered.answers * interval
        self.seconds += answered.seconds * interval
        self.interval += interval

    def take_sample(self, slots: int, now: float) -> float:
        """Return the weight of a new sample; 0 if there are too few answers."""
        if self.answers < _MIN_ANSWERS or self.seconds <= 0:
            return 0
        in_flight = self.seconds / self.interval
        self.log_service = math.log(
            self.seconds / self.answers / _wait_factor(in_flight, slots)
        )
        self.sampled_at = now
        weight = min(self.answers, _MAX_ANSWERS)
        self.answers = self.seconds = self.interval = 0
        return weight

    def learn(self, log_slowness: float, weight: float) -> None:
        """Add a sample to the mean."""
        total = self.evidence + weight
        bounded = _clamp(log_slowness)
        self.log_slowness += (bounded - self.log_slowness) * weight / total
        self.evidence = min(total, _MAX_EVIDENCE)

    def proven(self, now: float) -> float:
        """Return the part of the logarithm that the answers prove."""
        if abs(self.log_slowness) <= _MIN_DIFFERENCE:
            return 0
        evidence = self.evidence_at(now) - _FEW_ANSWERS
        if evidence <= 0:
            return 0
        doubt = _MIN_DIFFERENCE + _STANDARD_ERRORS / math.sqrt(evidence)
        # Rises from none to all between one and two times the doubt, so the choice
        # of upstreams does not jump.
        share = min(max((abs(self.log_slowness) / doubt - 1) * 2, 0), 1)
        return self.log_slowness * share


class SpeedEstimates:
    """Estimates of the upstreams of one service.

    Times are seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._estimates_by_id: dict[UpstreamId, _Estimate] = {}
        self._updated_at = _NEVER

    def update(self, answered_by_id: Mapping[UpstreamId, Answered], now: float) -> None:
        """Take in the answers since the previous update."""
        interval = min(now - self._updated_at, _MAX_INTERVAL_SECONDS)
        if interval <= 0:
            return
        self._updated_at = now
        weights_by_id: dict[UpstreamId, float] = {}
        for upstream_id, answered in answered_by_id.items():
            estimate = self._estimates_by_id.setdefault(upstream_id, _Estimate())
            estimate.fade(now)
            estimate.collect(answered, interval)
            weight = estimate.take_sample(answered.slots, now)
            if weight:
                weights_by_id[upstream_id] = weight
        self._learn(weights_by_id, now)

    def differing(self, now: float) -> Iterator[tuple[UpstreamId, float]]:
        """Yield the upstreams that are proven not to be usual, with their slowness.

        It is the service time of an upstream in that of a usual one.
        """
        for upstream_id, estimate in self._estimates_by_id.items():
            proven = estimate.proven(now)
            if proven:
                yield upstream_id, math.exp(proven)

    def forget(self, now: float) -> bool:
        """Forget upstreams without answers; returns whether any are left."""
        oldest = now - _RETENTION_SECONDS
        if any(one.faded_at < oldest for one in self._estimates_by_id.values()):
            self._estimates_by_id = {
                upstream_id: one
                for upstream_id, one in self._estimates_by_id.items()
                if one.faded_at >= oldest
            }
        return bool(self._estimates_by_id)

    def _learn(self, weights_by_id: Mapping[UpstreamId, float], now: float) -> None:
        if not weights_by_id:
            return
        recent = [
            one
            for one in self._estimates_by_id.values()
            if one.sampled_at > now - _REFERENCE_SECONDS
        ]
        # What a usual upstream would take now; the requests change with the hours.
        reference = _low_median(one.log_service - one.log_slowness for one in recent)
        for upstream_id, weight in weights_by_id.items():
            estimate = self._estimates_by_id[upstream_id]
            estimate.learn(estimate.log_service - reference, weight)
        estimates = self._estimates_by_id.values()
        usual = _low_median(one.log_slowness for one in estimates if one.evidence)
        for one in estimates:
            one.log_slowness = _clamp(one.log_slowness - usual)


def _wait_factor(in_flight: float, slots: int) -> float:
    """Return the time of an answer in its service time, with random arrivals.

    A queue with two slots and the utilization ``u`` has ``2 * u / (1 - u ** 2)``
    requests in flight, each of which takes ``1 / (1 - u ** 2)`` service times.
    """
    scaled = in_flight * _USUAL_SLOTS / max(slots, 1)
    return (1 + math.hypot(1, scaled)) / 2


def _clamp(log_slowness: float) -> float:
    return max(-_MAX_LOG_SLOWNESS, min(log_slowness, _MAX_LOG_SLOWNESS))


def _low_median(numbers: Iterable[float]) -> float:
    """Return the middle number, of two the lower one, so the faster half is usual."""
    ordered = sorted(numbers)
    return ordered[(len(ordered) - 1) // 2]
