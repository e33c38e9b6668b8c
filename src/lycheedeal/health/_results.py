"""Own results of an upstream and the ejection that follows from them."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from lycheedeal.errors import ErrorKind

_WINDOW_SECONDS: Final = 10
_MIN_RESULTS: Final = 10
_MAX_FAILED_SHARE: Final = 0.5
_FIRST_EJECTION_SECONDS: Final = 5.0
_MAX_EJECTION_SECONDS: Final = 60.0


@unique
class Result(Enum):
    """What the end of a request says about its upstream."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    NEITHER = 'neither'


_FAILURES: Final = MappingProxyType(
    {
        ErrorKind.NO_ANSWER: Result.FAILURE,
        ErrorKind.UPSTREAM_LOST: Result.FAILURE,
        ErrorKind.UPSTREAM_REFUSED: Result.FAILURE,
    },
)


def result_of(error: ErrorKind | None) -> Result:
    """Return what the outcome of a request says about the upstream."""
    if error is None:
        return Result.SUCCESS
    return _FAILURES.get(error, Result.NEITHER)


@dataclass(slots=True)
class _Bucket:
    second: int
    succeeded: int = 0
    failed: int = 0


class ResultWindow:
    """Counts of the last 10 s, one bucket for each second."""

    def __init__(self) -> None:
        """Start without results."""
        self._buckets: deque[_Bucket] = deque()

    def add(self, result: Result, now: float) -> None:
        """Count one result."""
        second = int(now)
        if not self._buckets or self._buckets[-1].second != second:
            self._buckets.append(_Bucket(second))
        match result:
            case Result.SUCCESS:
                self._buckets[-1].succeeded += 1
            case Result.FAILURE:
                self._buckets[-1].failed += 1

    def is_failing(self, now: float) -> bool:
        """Tell whether most of enough recent results are failures."""
        while self._buckets and self._buckets[0].second <= now - _WINDOW_SECONDS:
            self._buckets.popleft()
        failed = sum(bucket.failed for bucket in self._buckets)
        total = failed + sum(bucket.succeeded for bucket in self._buckets)
        return total >= _MIN_RESULTS and failed > _MAX_FAILED_SHARE * total

    def clear(self) -> None:
        """Forget all results."""
        self._buckets.clear()


class Ejection:
    """Time without new work, twice as long for each repetition."""

    def __init__(self) -> None:
        """Start without an ejection."""
        self.since = 0.0
        self.until = 0.0
        self._seconds = _FIRST_EJECTION_SECONDS

    def begin(self, now: float) -> None:
        """Eject; an ejection long after the last one is short again."""
        if self.until and now - self.until > _MAX_EJECTION_SECONDS:
            self._seconds = _FIRST_EJECTION_SECONDS
        self.since = now
        self.until = now + self._seconds
        self._seconds = min(2 * self._seconds, _MAX_EJECTION_SECONDS)

    def is_active(self, now: float) -> bool:
        """Tell whether the upstream is ejected now."""
        return now < self.until
