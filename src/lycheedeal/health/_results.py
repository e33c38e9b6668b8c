"""Results of the requests sent to an upstream, and its ejection after failures."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from lycheedeal.errors import ErrorKind

_WINDOW_SECONDS: Final = 10
# An upstream is failing if more than this share of at least this many results in
# the window are failures.
_MIN_RESULTS: Final = 10
_MAX_FAILED_SHARE: Final = 0.5
_FIRST_EJECTION_SECONDS: Final = 5.0
_MAX_EJECTION_SECONDS: Final = 60.0


@unique
class Result(Enum):
    """What the end of a request says about its upstream.

    NEITHER is an error that is not a fault of the upstream.
    """

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
    """Return the result for the error of a request; None means answered."""
    if error is None:
        return Result.SUCCESS
    return _FAILURES.get(error, Result.NEITHER)


@dataclass(slots=True)
class _Bucket:
    second: int
    succeeded: int = 0
    failed: int = 0


class ResultWindow:
    """Counts of recent results, in one bucket for each second."""

    def __init__(self) -> None:
        """Start without results."""
        self._buckets: deque[_Bucket] = deque()

    def add(self, result: Result, now: float) -> None:
        """Count a result at the monotonic time ``now``."""
        second = int(now)
        if not self._buckets or self._buckets[-1].second != second:
            self._buckets.append(_Bucket(second))
        match result:
            case Result.SUCCESS:
                self._buckets[-1].succeeded += 1
            case Result.FAILURE:
                self._buckets[-1].failed += 1

    def is_failing(self, now: float) -> bool:
        """Return whether most results in the window are failures.

        With few results the answer is False.
        """
        while self._buckets and self._buckets[0].second <= now - _WINDOW_SECONDS:
            self._buckets.popleft()
        failed = sum(bucket.failed for bucket in self._buckets)
        total = failed + sum(bucket.succeeded for bucket in self._buckets)
        return total >= _MIN_RESULTS and failed > _MAX_FAILED_SHARE * total

    def clear(self) -> None:
        """Remove all results."""
        self._buckets.clear()


class Ejection:
    """Time without new work, twice as long for each repetition, up to a limit.

    ``since`` and ``until`` are monotonic seconds; ``until`` is 0 before the
    first ejection.
    """

    def __init__(self) -> None:
        """Start without an ejection."""
        self.since = 0.0
        self.until = 0.0
        self._seconds = _FIRST_EJECTION_SECONDS

    def begin(self, now: float) -> None:
        """Start an ejection.

        It is short again if the last one ended more than the longest ejection
        time ago.
        """
        if self.until and now - self.until > _MAX_EJECTION_SECONDS:
            self._seconds = _FIRST_EJECTION_SECONDS
        self.since = now
        self.until = now + self._seconds
        self._seconds = min(2 * self._seconds, _MAX_EJECTION_SECONDS)

    def is_active(self, now: float) -> bool:
        """Return whether the upstream is ejected now."""
        return now < self.until
