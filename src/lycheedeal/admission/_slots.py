"""Slots of the upstreams of one service, as used by one owner of requests."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Final

from lycheedeal.model import (
    Endpoint,
    Incarnation,
    SpillRule,
    Upstream,
    UpstreamState,
    Zone,
)

_USABLE: Final = frozenset((UpstreamState.STARTING, UpstreamState.READY))
_POSSIBLY_USABLE: Final = frozenset((UpstreamState.UNKNOWN,)) | _USABLE
# The limit on own requests in flight at an upstream rises by a step with each
# answer and falls by a factor with each refusal.
_LIMIT_INCREASE: Final = 0.1
_LIMIT_DECREASE_FACTOR: Final = 0.5
# Pause after the first refusal, doubled by each further one. It is about one
# service time, after which a request of another owner has freed a slot.
_BASE_PAUSE_MS: Final = 50
_MAX_PAUSE_MS: Final = 800
# Largest difference between the dispatch counts of upstreams, so that one that was
# slow for long gets at most this many additional requests to catch up.
_MAX_CATCH_UP: Final = 16


@dataclass(slots=True, eq=False)
class UpstreamSlots:
    """Use of one upstream by this owner.

    ``limit`` is the number of slots that this owner may use; it falls below
    the configured number when another owner uses some of them. ``capacity`` is
    the resulting limit on requests in flight. ``overruns`` counts requests of
    this owner that were abandoned and may still occupy a slot. ``refusals``
    counts refused requests since the last answer, ``dispatched`` breaks ties
    between upstreams of equal load, and ``paused_until_ms`` is Unix time.
    """

    upstream: Upstream
    limit: float
    state: UpstreamState = UpstreamState.UNKNOWN
    incarnation: Incarnation = Incarnation(0)
    weight: float = 0
    capacity: int = 0
    in_flight: int = 0
    dispatched: int = 0
    refusals: int = 0
    overruns: int = 0
    paused_until_ms: int = 0
    configured: bool = True

    @property
    def usable(self) -> bool:
        """Whether the upstream may be sent new requests."""
        return (
            self.configured
            and not self.upstream.drained
            and self.state in _USABLE
            and self.weight > 0
            and self.upstream.slots > 0
        )

    def record_overrun(self) -> None:
        """Count a request that was abandoned and may still be running."""
        self.overruns = min(self.overruns + 1, self.upstream.slots)

    def ramped_limit(self) -> int:
        """Return how many requests of this owner may be in flight.

        A weight below 1 lowers the number while the load is ramped after a cold start.
        """
        return max(1, min(int(self.limit), ceil(self.upstream.slots * self.weight)))

    def load_after_dispatch(self) -> float:
        """Return requests in flight after one more dispatch, for each weighted slot."""
        return (self.in_flight + 1) / (self.upstream.slots * self.weight)


class UpstreamPool:
    """Chooses the upstream for the next request of a service.

    ``capacity`` is the number of slots that may be used now. The eligible
    upstreams and their capacities are computed when something changes, not
    for each request.
    """

    def __init__(self, zone: Zone, rng: random.Random) -> None:
        """Start without upstreams."""
        self.capacity = 0
        self._slots_by_endpoint: dict[Endpoint, UpstreamSlots] = {}
        self._zone = zone
        self._rng = rng
        self._spill = SpillRule.NEVER
        self._eligible: list[UpstreamSlots] = []

    def reconfigure(self, upstreams: Iterable[Upstream], spill: SpillRule) -> None:
        """Apply the configured upstreams; removed ones only finish their requests."""
        self._spill = spill
        for previous in self._slots_by_endpoint.values():
            previous.configured = False
        for upstream in upstreams:
            self._configure(upstream)
        self._slots_by_endpoint = {
            endpoint: candidate
            for endpoint, candidate in self._slots_by_endpoint.items()
            if candidate.configured or candidate.in_flight
        }
        self._refresh()

    def update_state(
        self,
        endpoint: Endpoint,
        state: UpstreamState,
        incarnation: Incarnation,
        weight: float,
    ) -> None:
        """Apply the state of an upstream as health published it."""
        known = self._slots_by_endpoint.get(endpoint)
        if known is None:
            return
        if not known.usable or known.incarnation != incarnation:
            known.dispatched = self._most_dispatched()
            known.limit = known.upstream.slots
            known.overruns = 0
        known.state = state
        known.incarnation = incarnation
        known.weight = weight
        self._refresh()

    def choose(self, now_ms: int) -> UpstreamSlots | None:
        """Return the upstream for the next request; None if no slot is free."""
        free = [
            candidate
            for candidate in self._eligible
            if candidate.in_flight < candidate.capacity
            and now_ms >= candidate.paused_until_ms
        ]
        if not free:
            return None
        return min(
            free,
            key=lambda candidate: (
                candidate.load_after_dispatch(),
                candidate.dispatched,
                self._rng.random(),
            ),
        )

    def occupy(self, chosen: UpstreamSlots) -> None:
        """Count a request as dispatched to an upstream."""
        chosen.in_flight += 1
        least = min(candidate.dispatched for candidate in self._eligible)
        chosen.dispatched = min(chosen.dispatched + 1, least + _MAX_CATCH_UP)

    def record_answer(self, slots: UpstreamSlots) -> None:
        """Raise the limit by a step, up to the configured slots."""
        slots.refusals = 0
        if slots.limit < slots.upstream.slots:
            slots.limit = min(slots.limit + _LIMIT_INCREASE, slots.upstream.slots)
            self._refresh()

    def record_refusal(self, slots: UpstreamSlots, now_ms: int) -> None:
        """Lower the limit of an upstream and pause dispatches to it.

        The pause has a jitter of 50% either way, so that owners do not return
        together. The limit stays if an overrun of this owner may occupy the
        slot, since the refusal is then no sign of another owner.
        """
        if slots.overruns:
            slots.overruns -= 1
        else:
            slots.limit = max(1, slots.limit * _LIMIT_DECREASE_FACTOR)
        pause_ms = min(_BASE_PAUSE_MS << min(slots.refusals, 8), _MAX_PAUSE_MS)
        slots.refusals += 1
        slots.paused_until_ms = now_ms + round(pause_ms * self._rng.uniform(0.5, 1.5))
        self._refresh()

    def is_unavailable(self) -> bool:
        """Return whether no upstream is usable or may soon become usable."""
        if self._eligible:
            return False
        return not any(
            candidate.configured
            and not candidate.upstream.drained
            and candidate.state in _POSSIBLY_USABLE
            and self._is_zone_allowed(candidate)
            for candidate in self._slots_by_endpoint.values()
        )

    def _configure(self, upstream: Upstream) -> None:
        known = self._slots_by_endpoint.get(upstream.endpoint)
        if known is None:
            known = UpstreamSlots(upstream, limit=upstream.slots)
            known.dispatched = self._most_dispatched()
            self._slots_by_endpoint[upstream.endpoint] = known
        elif known.upstream.slots != upstream.slots:
            known.limit = upstream.slots
        known.upstream = upstream
        known.configured = True

    def _refresh(self) -> None:
        """Compute the eligible upstreams and their capacities.

        Upstreams of other zones are used only without a usable one in this zone,
        and each is given one request at a time.
        """
        usable = [
            candidate
            for candidate in self._slots_by_endpoint.values()
            if candidate.usable
        ]
        local = [
            candidate for candidate in usable if candidate.upstream.zone == self._zone
        ]
        self._eligible = local or [
            candidate for candidate in usable if self._is_zone_allowed(candidate)
        ]
        for candidate in self._eligible:
            candidate.capacity = candidate.ramped_limit() if local else 1
        self.capacity = sum(slots.capacity for slots in self._eligible)

    def _is_zone_allowed(self, candidate: UpstreamSlots) -> bool:
        return (
            candidate.upstream.zone == self._zone or self._spill is SpillRule.WHEN_DOWN
        )

    def _most_dispatched(self) -> int:
        counts = (
            candidate.dispatched for candidate in self._slots_by_endpoint.values()
        )
        return max(counts, default=0)
