"""Queue of the requests of one kind of work that wait for a slot."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lycheedeal.admission._floors import FloorAccount
from lycheedeal.model import FlowId, KindId, RequestNumber, WorkKind

RequestKey = tuple[FlowId, RequestNumber]

# Estimates that are used until the first requests have been observed.
_INITIAL_SERVICE_MS: Final = 50
_INITIAL_BUDGET_MS: Final = 1000
# Weight of a new value in a moving average.
_SMOOTHING_FACTOR: Final = 0.1
# If service times are evenly distributed, twice the mean deviation from the
# mean covers the whole range.
_DEVIATION_FACTOR: Final = 2
# Removed requests stay in the deque until they outnumber the waiting ones by
# this number.
_COMPACTION_SLACK: Final = 64


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A complete request that is to be given a slot; times are Unix milliseconds.

    ``waiting`` tells whether it is in its queue.
    """

    key: RequestKey
    kind_id: KindId
    arrived_ms: int
    deadline_ms: int
    waiting: bool = False


class KindQueue:
    """Waiting requests of one kind, oldest first, with moving averages.

    ``service_ms`` is the mean time that an upstream needs for this kind,
    ``mean_deviation_ms`` the mean deviation from it, and ``budget_ms`` the
    mean time from arrival to deadline.
    """

    def __init__(self, kind: WorkKind) -> None:
        """Start without requests and with initial estimates."""
        self.kind = kind
        self.floor_account = FloorAccount(kind.floor)
        self.count = 0
        self.service_ms: float = _INITIAL_SERVICE_MS
        self.mean_deviation_ms: float = 0
        self.budget_ms: float = _INITIAL_BUDGET_MS
        self._requests: deque[QueuedRequest] = deque()

    @property
    def upper_service_ms(self) -> float:
        """Time within which upstreams finish nearly all requests of this kind."""
        return self.service_ms + _DEVIATION_FACTOR * self.mean_deviation_ms

    def reconfigure(self, kind: WorkKind) -> None:
        """Apply a changed priority or floor."""
        self.kind = kind
        self.floor_account.floor = kind.floor

    def append(self, request: QueuedRequest) -> None:
        """Add a new request as the newest."""
        budget_ms = request.deadline_ms - request.arrived_ms
        self.budget_ms += _SMOOTHING_FACTOR * (budget_ms - self.budget_ms)
        self._requests.append(request)
        self._mark_waiting(request)

    def requeue(self, request: QueuedRequest, lifo_depth: int) -> None:
        """Add a request that was taken but not run, so that it is taken next.

        ``lifo_depth`` has the same meaning as for ``take``.
        """
        if self.count >= lifo_depth:
            self._requests.append(request)
        else:
            self._requests.appendleft(request)
        self._mark_waiting(request)

    def take(self, lifo_depth: int) -> QueuedRequest:
        """Remove and return the next request; the queue must not be empty.

        With more than ``lifo_depth`` requests the newest one is next: when not
        all can be served, the callers of the newest still have time to wait,
        while the oldest would expire just before or while they are run.
        """
        self._trim()
        if self.count > lifo_depth:
            request = self._requests.pop()
        else:
            request = self._requests.popleft()
        self._mark_removed(request)
        return request

    def take_oldest(self) -> QueuedRequest:
        """Remove and return the oldest request; the queue must not be empty."""
        self._trim()
        request = self._requests.popleft()
        self._mark_removed(request)
        return request

    def discard(self, request: QueuedRequest) -> None:
        """Remove a waiting request from any position."""
        self._mark_removed(request)
        if len(self._requests) > 2 * self.count + _COMPACTION_SLACK:
            self._requests = deque(
                queued for queued in self._requests if queued.waiting
            )

    def oldest_arrival_ms(self) -> int:
        """Return when the oldest request arrived; the queue must not be empty."""
        self._trim()
        return self._requests[0].arrived_ms

    def observe_service(self, elapsed_ms: float) -> None:
        """Add a service time to the mean and the mean deviation."""
        deviation_ms = elapsed_ms - self.service_ms
        self.service_ms += _SMOOTHING_FACTOR * deviation_ms
        self.mean_deviation_ms += _SMOOTHING_FACTOR * (
            abs(deviation_ms) - self.mean_deviation_ms
        )

    def _mark_waiting(self, request: QueuedRequest) -> None:
        request.waiting = True
        self.count += 1

    def _mark_removed(self, request: QueuedRequest) -> None:
        request.waiting = False
        self.count -= 1

    def _trim(self) -> None:
        requests = self._requests
        while requests and not requests[0].waiting:
            requests.popleft()
        while requests and not requests[-1].waiting:
            requests.pop()
