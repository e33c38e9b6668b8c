"""Slots of the upstreams of one service, as one owner uses them."""

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
_LIMIT_INCREASE: Final = 0.1
_LIMIT_DECREASE_FACTOR: Final = 0.5
# About one service time; another owner's work then frees a slot.
_BASE_PAUSE_MS: Final = 50
_MAX_PAUSE_MS: Final = 800
# An upstream that was slow for long makes up for at most this many dispatches.
_MAX_CATCH_UP: Final = 16


@dataclass(slots=True, eq=False)
class UpstreamSlots:
    """Own use of one upstream.

    ``limit`` is the number of slots that this owner takes for its own; it
    falls below the configured number when another owner uses some of them.
    ``capacity`` is what follows for requests in flight. ``overruns`` counts
    own requests that were given up and may still occupy a slot.
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
        """Whether the upstream may get new work at all."""
        return (
            self.configured
            and not self.upstream.drained
            and self.state in _USABLE
            and self.weight > 0
            and self.upstream.slots > 0
        )

    def record_overrun(self) -> None:
        """Note that an own request was given up and may still be running."""
        self.overruns = min(self.overruns + 1, self.upstream.slots)

    def ramped_limit(self) -> int:
        """Return the number of own requests that may be in flight."""
        return max(1, min(int(self.limit), ceil(self.upstream.slots * self.weight)))

    def load_after_dispatch(self) -> float:
        """Return the requests in flight after a dispatch, relative to weight."""
        return (self.in_flight + 1) / (self.upstream.slots * self.weight)


class UpstreamPool:
    """Chooses the upstream for the next request of a service.

    ``total`` is the number of slots that may be used now. The upstreams in
    reach and their capacities are computed when something changes, not at
    each request.
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
        """Take over configured upstreams; removed ones only finish their work."""
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
        """Take over what health knows about an upstream."""
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
        """Count a dispatch."""
        chosen.in_flight += 1
        least = min(candidate.dispatched for candidate in self._eligible)
        chosen.dispatched = min(chosen.dispatched + 1, least + _MAX_CATCH_UP)

    def record_answer(self, slots: UpstreamSlots) -> None:
        """Raise the own limit by a step, up to the configured slots."""
        slots.refusals = 0
        if slots.limit < slots.upstream.slots:
            slots.limit = min(slots.limit + _LIMIT_INCREASE, slots.upstream.slots)
            self._refresh()

    def record_refusal(self, slots: UpstreamSlots, now_ms: int) -> None:
        """Lower the own limit and pause; the pause is spread over owners.

        A slot that an own overrun may occupy is no sign of another owner, so
        that the limit stays.
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
        """Tell whether no upstream is usable or may soon turn out to be."""
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
        """Find the upstreams in reach; those of other zones take one request."""
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
