"""Hellos to upstream endpoints and the paths they take.

A path is a local port of this host together with an upstream. Path 0 is in
use until ``SwitchPath`` names another one.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.model import Endpoint

PATHS: Final = 4
_HELLO_TIMEOUT: Final = 0.5
# Hellos come five times as often while an endpoint does not answer, but not for
# ever: a lost zone must not take the control budget.
_UNSURE_FACTOR: Final = 5
_UNSURE_LIMIT: Final = 10
_SILENT_MISSES: Final = 2
_JITTER: Final = 0.2
_NONCE_BITS: Final = 62


@dataclass(frozen=True, slots=True)
class SendHello:
    """A Hello is due."""

    endpoint: Endpoint
    path: int
    nonce: int


@dataclass(frozen=True, slots=True)
class HelloMissed:
    """A Hello on the current path was not answered in time."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class PathSilent:
    """The current path is silent and another one is answered."""

    endpoint: Endpoint
    path: int


Step = SendHello | HelloMissed | PathSilent


@dataclass(frozen=True, slots=True)
class _Sent:
    path: int
    time: float


@dataclass(slots=True)
class Watch:
    """Hellos to one endpoint; ``misses`` counts those in a row."""

    endpoint: Endpoint
    interval: float
    next_hello: float
    path: int = 0
    misses: int = 0
    is_unsure: bool = False
    alternate: int = 0
    answered_alternate: int | None = None
    last_nonce: int = 0
    sent_by_nonce: dict[int, _Sent] = field(default_factory=dict)


class Watcher:
    """Schedules Hellos and finds silent paths."""

    def __init__(self, rng: random.Random) -> None:
        """Take the source of jitter and nonces."""
        self._watches_by_endpoint: dict[Endpoint, Watch] = {}
        self._rng = rng
        self._nonce = rng.getrandbits(_NONCE_BITS)

    def keep(self, intervals_by_endpoint: dict[Endpoint, float], now: float) -> None:
        """Watch exactly these endpoints; known ones keep what is known."""
        for endpoint in self._watches_by_endpoint.keys() - intervals_by_endpoint.keys():
            self._watches_by_endpoint.pop(endpoint)
        for endpoint, interval in intervals_by_endpoint.items():
            watch = self._watches_by_endpoint.get(endpoint)
            if watch is None:
                watch = Watch(endpoint, interval, now)
                self._watches_by_endpoint[endpoint] = watch
                if interval > 1:
                    watch.next_hello += interval * self._rng.random()
            elif interval < watch.interval:
                watch.next_hello = now
            watch.interval = interval

    def mark_unsure(self, endpoints: Iterable[Endpoint]) -> None:
        """Probe these endpoints fast and the others at their interval."""
        unsure = set(endpoints)
        for watch in self._watches_by_endpoint.values():
            watch.is_unsure = watch.endpoint in unsure

    def probe_now(self, endpoint: Endpoint, now: float) -> None:
        """Send the next Hello to an endpoint at once."""
        watch = self._watches_by_endpoint.get(endpoint)
        if watch is not None:
            watch.next_hello = now

    def forget_timing(self, now: float, endpoints: Iterable[Endpoint]) -> None:
        """Drop Hellos in progress after a pause; probe some at once."""
        for watch in self._watches_by_endpoint.values():
            watch.sent_by_nonce.clear()
            watch.misses = 0
            watch.answered_alternate = None
        for endpoint in endpoints:
            self._watches_by_endpoint[endpoint].next_hello = now

    def answered(self, endpoint: Endpoint, nonce: int) -> bool:
        """Take an answer; False if it is unknown or older than another one."""
        watch = self._watches_by_endpoint.get(endpoint)
        if watch is None:
            return False
        sent = watch.sent_by_nonce.pop(nonce, None)
        if sent is None:
            return False
        if sent.path == watch.path:
            watch.misses = 0
            watch.answered_alternate = None
        elif watch.misses:
            watch.answered_alternate = sent.path
        is_newest = nonce > watch.last_nonce
        watch.last_nonce = max(nonce, watch.last_nonce)
        return is_newest

    def tick(self, now: float) -> Iterator[Step]:
        """Yield what is due."""
        for watch in self._watches_by_endpoint.values():
            if watch.sent_by_nonce:
                yield from self._check_answers(watch, now)
            if now >= watch.next_hello:
                yield self._send(watch, watch.path, now)
                watch.next_hello = now + self._jittered(self._pause(watch))

    def _pause(self, watch: Watch) -> float:
        is_unsure = watch.is_unsure or watch.misses > 0
        if is_unsure and watch.misses < _UNSURE_LIMIT:
            return watch.interval / _UNSURE_FACTOR
        return watch.interval

    def _check_answers(self, watch: Watch, now: float) -> Iterator[Step]:
        overdue = [
            (nonce, sent)
            for nonce, sent in watch.sent_by_nonce.items()
            if now - sent.time >= _HELLO_TIMEOUT
        ]
        for nonce, sent in overdue:
            watch.sent_by_nonce.pop(nonce)
            if sent.path == watch.path:
                watch.misses += 1
                watch.next_hello = min(watch.next_hello, now + self._pause(watch))
                yield HelloMissed(watch.endpoint)
                yield self._send(watch, self._next_alternate(watch), now)
        if watch.misses >= _SILENT_MISSES and watch.answered_alternate is not None:
            watch.path = watch.answered_alternate
            watch.misses = 0
            watch.answered_alternate = None
            yield PathSilent(watch.endpoint, watch.path)

    def _next_alternate(self, watch: Watch) -> int:
        watch.alternate = (watch.alternate + 1) % PATHS
        if watch.alternate == watch.path:
            watch.alternate = (watch.alternate + 1) % PATHS
        return watch.alternate

    def _send(self, watch: Watch, path: int, now: float) -> SendHello:
        self._nonce += 1
        watch.sent_by_nonce[self._nonce] = _Sent(path, now)
        return SendHello(watch.endpoint, path, self._nonce)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + _JITTER * (self._rng.random() - 0.5))
