"""Schedules the Hellos to upstream endpoints and chooses their path.

A path is a local port of this host together with an upstream. Path 0 is the
current path until ``SwitchPath`` names another one. Times are monotonic, in
seconds.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.model import Endpoint

# Paths to each upstream.
PATH_COUNT: Final = 4
_HELLO_TIMEOUT_SECONDS: Final = 0.5
# Hellos are sent five times as often while the state of an upstream is unknown or
# starting, or it does not answer, but only up to this number of misses in a row: the
# loss of a zone must not use up the budget of control traffic.
_FAST_FACTOR: Final = 5
_FAST_MISS_LIMIT: Final = 10
# Misses in a row after which a path is silent if another one is answered.
_PATH_SILENT_MISSES: Final = 2
# Intervals vary by half of this share either way.
_JITTER_SHARE: Final = 0.2
# The first nonce is random with this size; later ones count up from it.
_NONCE_BITS: Final = 62


@dataclass(frozen=True, slots=True)
class SendHello:
    """A Hello is to be sent on a path."""

    endpoint: Endpoint
    path: int
    nonce: int


@dataclass(frozen=True, slots=True)
class HelloMissed:
    """A Hello on the current path was not answered within the timeout."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class PathSilent:
    """The current path is silent and ``path``, which is answered, replaces it."""

    endpoint: Endpoint
    path: int


HelloStep = SendHello | HelloMissed | PathSilent


@dataclass(frozen=True, slots=True)
class _SentHello:
    path: int
    time: float


@dataclass(slots=True)
class HelloState:
    """Hellos to one endpoint.

    ``misses`` counts unanswered Hellos on the current path since an answer on
    it. ``alternate`` is the other path that was tried last, and
    ``answered_alternate`` one that was answered since the first miss.
    """

    endpoint: Endpoint
    interval: float
    next_hello: float
    path: int = 0
    misses: int = 0
    is_fast: bool = False
    alternate: int = 0
    answered_alternate: int | None = None
    last_nonce: int = 0
    sent_by_nonce: dict[int, _SentHello] = field(default_factory=dict)


class HelloScheduler:
    """Decides when a Hello is sent to each endpoint, and finds silent paths."""

    def __init__(self, rng: random.Random) -> None:
        """Start without endpoints; ``rng`` gives jitter and the first nonce."""
        self._states_by_endpoint: dict[Endpoint, HelloState] = {}
        self._rng = rng
        self._nonce = rng.getrandbits(_NONCE_BITS)

    def set_intervals(
        self, intervals_by_endpoint: dict[Endpoint, float], now: float
    ) -> None:
        """Send Hellos to exactly these endpoints, at intervals in seconds.

        Known endpoints keep their state. The first Hello to a new endpoint comes at
        once, or at a random time within an interval of more than one second.
        """
        for endpoint in self._states_by_endpoint.keys() - intervals_by_endpoint.keys():
            self._states_by_endpoint.pop(endpoint)
        for endpoint, interval in intervals_by_endpoint.items():
            state = self._states_by_endpoint.get(endpoint)
            if state is None:
                state = HelloState(endpoint, interval, now)
                self._states_by_endpoint[endpoint] = state
                if interval > 1:
                    state.next_hello += interval * self._rng.random()
            elif interval < state.interval:
                state.next_hello = now
            state.interval = interval

    def set_fast(self, endpoints: Iterable[Endpoint]) -> None:
        """Send Hellos to these endpoints fast, to others at their interval."""
        fast = set(endpoints)
        for state in self._states_by_endpoint.values():
            state.is_fast = state.endpoint in fast

    def schedule_now(self, endpoint: Endpoint, now: float) -> None:
        """Send the next Hello to an endpoint on the next tick."""
        state = self._states_by_endpoint.get(endpoint)
        if state is not None:
            state.next_hello = now

    def reset_after_pause(self, now: float, endpoints: Iterable[Endpoint]) -> None:
        """Discard unanswered Hellos and misses after a pause of this process.

        Hellos to ``endpoints`` are sent on the next tick.
        """
        for state in self._states_by_endpoint.values():
            state.sent_by_nonce.clear()
            state.misses = 0
            state.answered_alternate = None
        for endpoint in endpoints:
            self._states_by_endpoint[endpoint].next_hello = now

    def accept(self, endpoint: Endpoint, nonce: int) -> bool:
        """Record an answer to a Hello; return whether its content is current.

        The content is stale if a later Hello was answered. An answer to a Hello that
        is not awaited is ignored.
        """
        state = self._states_by_endpoint.get(endpoint)
        if state is None:
            return False
        sent = state.sent_by_nonce.pop(nonce, None)
        if sent is None:
            return False
        if sent.path == state.path:
            state.misses = 0
            state.answered_alternate = None
        elif state.misses:
            state.answered_alternate = sent.path
        is_newest = nonce > state.last_nonce
        state.last_nonce = max(nonce, state.last_nonce)
        return is_newest

    def tick(self, now: float) -> Iterator[HelloStep]:
        """Yield timeouts, changes of path, and the Hellos that are due."""
        for state in self._states_by_endpoint.values():
            if state.sent_by_nonce:
                yield from self._check_timeouts(state, now)
            if now >= state.next_hello:
                yield self._send(state, state.path, now)
                state.next_hello = now + self._jittered(self._current_interval(state))

    def _current_interval(self, state: HelloState) -> float:
        is_fast = state.is_fast or state.misses > 0
        if is_fast and state.misses < _FAST_MISS_LIMIT:
            return state.interval / _FAST_FACTOR
        return state.interval

    def _check_timeouts(self, state: HelloState, now: float) -> Iterator[HelloStep]:
        overdue = [
            (nonce, sent)
            for nonce, sent in state.sent_by_nonce.items()
            if now - sent.time >= _HELLO_TIMEOUT_SECONDS
        ]
        for nonce, sent in overdue:
            state.sent_by_nonce.pop(nonce)
            if sent.path == state.path:
                state.misses += 1
                state.next_hello = min(
                    state.next_hello, now + self._current_interval(state)
                )
                yield HelloMissed(state.endpoint)
                yield self._send(state, self._next_alternate(state), now)
        if state.misses >= _PATH_SILENT_MISSES and state.answered_alternate is not None:
            state.path = state.answered_alternate
            state.misses = 0
            state.answered_alternate = None
            yield PathSilent(state.endpoint, state.path)

    def _next_alternate(self, state: HelloState) -> int:
        state.alternate = (state.alternate + 1) % PATH_COUNT
        if state.alternate == state.path:
            state.alternate = (state.alternate + 1) % PATH_COUNT
        return state.alternate

    def _send(self, state: HelloState, path: int, now: float) -> SendHello:
        self._nonce += 1
        state.sent_by_nonce[self._nonce] = _SentHello(path, now)
        return SendHello(state.endpoint, path, self._nonce)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + _JITTER_SHARE * (self._rng.random() - 0.5))
