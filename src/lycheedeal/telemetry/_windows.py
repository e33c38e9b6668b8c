"""Counts of good and bad events of the last six hours, in one-minute buckets."""

from array import array
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from lycheedeal.model import KindId, ServiceNumber

_BUCKET_SECONDS: Final = 60
_BUCKET_COUNT: Final = 360
# Length in minutes by the name of the window.
WINDOW_MINUTES: Final = MappingProxyType({'5m': 5, '1h': 60, '6h': _BUCKET_COUNT})
# A host owns few services at a time. Adding up takes 0.1 ms for each series and
# blocks the event loop.
_MAX_SERIES: Final = 128

SeriesKey = tuple[ServiceNumber, KindId]


@unique
class Outcome(Enum):
    """What one event means for the service level; IGNORED is not counted."""

    GOOD = 'good'
    BAD = 'bad'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Number of good and bad events of one service and kind in one window."""

    service: ServiceNumber
    kind_id: KindId
    window: str
    good: int
    bad: int


class _Series:
    """Ring of buckets by minute; a bucket is cleared before it is used again."""

    def __init__(self, minute: int) -> None:
        self.last_minute = minute
        self._good = array('L', bytes(array('L').itemsize * _BUCKET_COUNT))
        self._bad = array('L', bytes(array('L').itemsize * _BUCKET_COUNT))

    def add(self, minute: int, outcome: Outcome) -> None:
        self.advance(minute)
        index = self.last_minute % _BUCKET_COUNT
        match outcome:
            case Outcome.GOOD:
                self._good[index] += 1
            case Outcome.BAD:
                self._bad[index] += 1

    def advance(self, minute: int) -> None:
        skipped = min(minute - self.last_minute, _BUCKET_COUNT)
        for passed in range(1, skipped + 1):
            index = (minute - skipped + passed) % _BUCKET_COUNT
            self._good[index] = 0
            self._bad[index] = 0
        self.last_minute = max(self.last_minute, minute)

    def count(self, minutes: int) -> tuple[int, int]:
        indexes = [(self.last_minute - age) % _BUCKET_COUNT for age in range(minutes)]
        return (
            sum(self._good[index] for index in indexes),
            sum(self._bad[index] for index in indexes),
        )


class ServiceLevelWindows:
    """Good and bad events by service and kind.

    Times are monotonic, in seconds. The number of series is bounded; the one
    that was updated least recently makes room for a new one.
    """

    def __init__(self) -> None:
        """Start without events."""
        self._series_by_key: dict[SeriesKey, _Series] = {}

    def add(self, key: SeriesKey, outcome: Outcome, now: float) -> None:
        """Count one event, unless it is ignored."""
        if outcome is not Outcome.IGNORED:
            minute = _minute(now)
            self._series(key, minute).add(minute, outcome)

    def counts(self, now: float) -> Iterator[WindowCount]:
        """Yield the counts of each service, kind and window."""
        minute = _minute(now)
        for (service, kind_id), series in self._series_by_key.items():
            series.advance(minute)
            for window, minutes in WINDOW_MINUTES.items():
                good, bad = series.count(minutes)
                yield WindowCount(service, kind_id, window, good, bad)

    def _series(self, key: SeriesKey, minute: int) -> _Series:
        series = self._series_by_key.get(key)
        if series is None:
            if len(self._series_by_key) >= _MAX_SERIES:
                self._drop_least_recent()
            series = _Series(minute)
            self._series_by_key[key] = series
        return series

    def _drop_least_recent(self) -> None:
        least_recent = min(
            self._series_by_key,
            key=lambda key: self._series_by_key[key].last_minute,
        )
        self._series_by_key.pop(least_recent)


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Return how fast the error budget is used; 1 uses it up exactly in its period.

    ``objective`` is the share of events that are to be good, below 1. Without
    events the rate is 0.
    """
    total = good + bad
    if not total:
        return 0
    return bad / total / (1 - objective)


def _minute(now: float) -> int:
    return int(now // _BUCKET_SECONDS)
