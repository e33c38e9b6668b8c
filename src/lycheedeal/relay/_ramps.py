"""Ramp-ups of upstreams, from what this host and the reports tell of them.

Every host decides for itself. The reports are the same for all hosts of a zone, so
their paces are alike without further messages.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import ServiceName, UpstreamId, Zone
from lycheedeal.placement import (
    STEP_SECONDS,
    Candidate,
    Observation,
    Pacer,
    ProbeSchedule,
    RampCause,
    RampChange,
    attraction,
)
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import LogRecord, Part
from lycheedeal.relay._records import Load, Upstream, UpstreamState
from lycheedeal.relay._upstream_table import UpstreamTable

# Unanswered openings in a row that count as a silence; a lost packet causes one.
_MIN_UNANSWERED: Final = 2
# Fewest answers whose mean time is compared.
_MIN_ANSWERS: Final = 5
# A host that starts takes upstreams that started within this time for new. Clocks of
# machines may differ; a ramp-up of a few upstreams that are not new costs balance only.
_NEW_SECONDS: Final = 8.0
# While an upstream is cold, its load counts by its answer times, within these bounds.
_MIN_SLOWNESS: Final = 1.0
_MAX_SLOWNESS: Final = 3.0
_NO_LOAD: Final = Load(0, 0)
_TEXT_BY_CHANGE: Final[Mapping[RampChange, str]] = {
    RampChange.STARTED: 'Upstream ramps up.',
    RampChange.FASTER: 'Upstream gets more flows: it answers well, or is unknown.',
    RampChange.SLOWER: 'Upstream gets fewer flows: its answers are late or missing.',
    RampChange.SILENT: 'Upstream is silent again; its ramp-up starts anew.',
    RampChange.ENDED: 'Upstream has ramped up.',
}

LoadEstimate = Callable[[Upstream, float], float]


@dataclass(slots=True, eq=False, repr=False)
class _Siblings:
    """Upstreams of a service that do not ramp up.

    ``answer_seconds`` is the mean time of their answers, or None if too few are known,
    or if most of the service ramps up.
    """

    local: list[Candidate]
    remote: list[Candidate]
    answer_seconds: float | None


class RampUps:
    """Upstreams that start or recover, as this host sees them."""

    def __init__(self, context: RelayContext) -> None:
        """Start without upstreams."""
        self._context = context
        self._table = UpstreamTable()
        self._pacer = Pacer()
        self._known_by_id: dict[UpstreamId, Upstream] = {}
        self._ready_by_id: dict[UpstreamId, Upstream] = {}
        self._started: list[Upstream] = []
        # Upstreams that may be avoided; to look at all of them takes too long.
        self._failing_by_id: dict[UpstreamId, Upstream] = {}
        self._next_step = 0.0
        self.probes = ProbeSchedule(context.rng)

    def follow_table(self, table: UpstreamTable) -> None:
        """Start the ramp-ups of upstreams that are new, or accept flows again."""
        self._table = table
        ready_by_id = {
            upstream_id: upstream
            for upstream_id, upstream in table.current_by_id.items()
            if upstream.state is UpstreamState.READY
        }
        # Most changes renew entries only; upstreams are compared by identity.
        if ready_by_id == self._ready_by_id:
            return
        known_by_id = self._known_by_id
        before = self._ready_by_id
        self._ready_by_id = ready_by_id
        self._known_by_id = dict(table.current_by_id)
        self._pacer.retain(self._known_by_id.keys())
        for upstream_id, upstream in ready_by_id.items():
            if before.get(upstream_id) is not upstream:
                known = known_by_id.get(upstream_id)
                self._accepts_flows(upstream, known, not known_by_id)

    def resume(self, zones: Iterable[Zone]) -> None:
        """Start the ramp-ups of all upstreams of zones that get flows again."""
        now = self._context.clock.monotonic()
        resumed = frozenset(zones)
        for upstream in self._ready_by_id.values():
            if upstream.listing.zone in resumed:
                self._start(upstream, RampCause.RESUMED, now)

    def note_unanswered(self, upstream: Upstream) -> None:
        """Note that an upstream left an opening of this host unanswered."""
        self._failing_by_id[upstream.listing.upstream_id] = upstream

    def advance(self, now: float, load_of: LoadEstimate) -> Iterator[LogRecord]:
        """Adapt all paces when a step is due; yield the changes."""
        for upstream in self._started:
            yield from self._record(upstream, RampChange.STARTED, now)
        self._started.clear()
        if now < self._next_step:
            return
        self._next_step = now + STEP_SECONDS
        siblings_by_service: dict[ServiceName, _Siblings] = {}
        for upstream in tuple(self._due(now)):
            service = upstream.listing.service
            siblings = siblings_by_service.get(service)
            if siblings is None:
                siblings = self._siblings(service, now, load_of)
                siblings_by_service[service] = siblings
            seen = self._observe(upstream, siblings, now)
            is_local = self._is_local(upstream)
            group = siblings.local if is_local else siblings.remote
            if group:
                load = load_of(upstream, now)
                candidate = Candidate(upstream.listing.upstream_id, is_local, load)
                seen.attraction = attraction(candidate, group)
            yield from self._step(upstream, seen, now)
        silent = filter(self._pacer.is_silent, self._pacer.ids())
        self.probes.follow(silent, now)
        paces = self._pacer.paces_by_id()
        self._context.metrics.set_gauge('ramping_upstreams', 'all', len(paces))

    def paces_by_id(self, now: float) -> Mapping[UpstreamId, float]:
        """Return the pace of each upstream that ramps up.

        One that is to be tried has none, so that the trial does not wait for long.
        """
        return {
            upstream_id: pace
            for upstream_id, pace in self._pacer.paces_by_id().items()
            if not self.probes.is_due(upstream_id, now)
        }

    def is_tried(self, upstream: Upstream, is_repeated: bool, now: float) -> bool:
        """Return whether an upstream gets flows despite votes and its avoidance.

        It answers, or it is silent and to be tried; openings that are repeated are not
        sent to a silent one.
        """
        upstream_id = upstream.listing.upstream_id
        if self.probes.is_due(upstream_id, now):
            return not is_repeated
        since = self._pacer.is_back_since(upstream_id)
        return since is not None and upstream.unanswered_at <= since

    def warmup_factor(self, upstream: Upstream) -> float | None:
        """Return how much longer a cold upstream takes; None if it is not known."""
        slowness = self._pacer.slowness(upstream.listing.upstream_id)
        if slowness is None:
            return None
        return min(max(slowness, _MIN_SLOWNESS), _MAX_SLOWNESS)

    def _due(self, now: float) -> Iterator[Upstream]:
        """Yield the upstreams that ramp up, did so recently, or are silent."""
        self._failing_by_id = {
            upstream_id: upstream
            for upstream_id, upstream in self._failing_by_id.items()
            if upstream.avoided_until > now
        }
        suspected = (
            self._table.by_token[token].listing.upstream_id
            for token in self._table.region_loads.failing_tokens()
            if token in self._table.by_token
        )
        ids = (*self._pacer.ids(), *self._failing_by_id, *suspected)
        for upstream_id in dict.fromkeys(ids):
            upstream = self._ready_by_id.get(upstream_id)
            if upstream is not None:
                yield upstream

    def _step(
        self, upstream: Upstream, seen: Observation, now: float
    ) -> Iterator[LogRecord]:
        change = self._pacer.step(upstream.listing.upstream_id, seen, now)
        if change is not None:
            yield from self._record(upstream, change, now, seen)

    def _accepts_flows(
        self, upstream: Upstream, known: Upstream | None, is_first_table: bool
    ) -> None:
        """Start a ramp-up, unless an upstream of the first table is not new."""
        now = self._context.clock.monotonic()
        if known is upstream:
            self._start(upstream, RampCause.RELISTED, now)
        elif not is_first_table or upstream.warm_at > now:
            self._start(upstream, RampCause.START, now)
        else:
            age = self._context.clock.wall() - upstream.listing.started_ms / 1000
            if 0 <= age < _NEW_SECONDS:
                self._start(upstream, RampCause.START, now, age)

    def _start(
        self, upstream: Upstream, cause: RampCause, now: float, elapsed: float = 0
    ) -> None:
        self._pacer.start(upstream.listing.upstream_id, cause, now, elapsed)
        self._started.append(upstream)

    def _is_silent(self, upstream: Upstream, now: float) -> bool:
        is_avoided = upstream.avoided_until > now
        if is_avoided and upstream.unanswered_openings >= _MIN_UNANSWERED:
            return True
        return self._table.region_loads.is_suspected(upstream, now)

    def _observe(
        self, upstream: Upstream, siblings: _Siblings, now: float
    ) -> Observation:
        region_loads = self._table.region_loads
        seen = Observation(
            is_silent=self._is_silent(upstream, now),
            unanswered=upstream.unanswered_openings,
            is_answering=upstream.answered_at > now - STEP_SECONDS,
        )
        load = Load(0, 0, answers=upstream.answers)
        load.answer_seconds = upstream.answer_seconds
        if region_loads.is_fresh(now):
            load = region_loads.find(upstream.token) or _NO_LOAD
            seen.failure_votes = load.failure_votes
            seen.success_votes = load.success_votes
        if load.answers >= _MIN_ANSWERS and siblings.answer_seconds:
            seen.slowness = load.answer_seconds / load.answers / siblings.answer_seconds
        return seen

    def _siblings(
        self, service: ServiceName, now: float, load_of: LoadEstimate
    ) -> _Siblings:
        ready = list(self._table.ready(service))
        paces_by_id = self._pacer.paces_by_id()
        steady = [one for one in ready if one.listing.upstream_id not in paces_by_id]
        groups: tuple[list[Candidate], list[Candidate]] = ([], [])
        for one in steady:
            is_local = self._is_local(one)
            candidate = Candidate(one.listing.upstream_id, is_local, load_of(one, now))
            groups[0 if is_local else 1].append(candidate)
        seconds = None
        if len(steady) * 2 >= len(ready):
            seconds = self._mean_answer_seconds(steady, now)
        return _Siblings(*groups, seconds)

    def _mean_answer_seconds(
        self, upstreams: Iterable[Upstream], now: float
    ) -> float | None:
        region_loads = self._table.region_loads
        loads: Iterable[Load | Upstream] = upstreams
        if region_loads.is_fresh(now):
            loads = [region_loads.find(one.token) or _NO_LOAD for one in upstreams]
        answered = [(one.answers, one.answer_seconds) for one in loads]
        answers = sum(count for count, _ in answered)
        if answers < _MIN_ANSWERS:
            return None
        return sum(seconds for _, seconds in answered) / answers

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.listing.zone == self._context.settings.zone

    def _record(
        self,
        upstream: Upstream,
        change: RampChange,
        now: float,
        seen: Observation | None = None,
    ) -> Iterator[LogRecord]:
        ramp = self._pacer.latest(upstream.listing.upstream_id)
        if ramp is None:
            return
        self._context.metrics.add('ramp_ups', change.value)
        seen = seen or Observation()
        slowness = None if seen.slowness is None else round(seen.slowness, 2)
        yield LogRecord(
            Part.UPSTREAMS,
            'ramp',
            _TEXT_BY_CHANGE[change],
            {
                'upstream': upstream.listing.upstream_id,
                'service': upstream.listing.service,
                'zone': upstream.listing.zone,
                'change': change.value,
                'cause': ramp.cause.value,
                'pace': round(ramp.pace, 3),
                'for_s': round(now - ramp.since, 2),
                'relapses': ramp.relapses,
                'slowness': slowness,
                'unanswered': seen.unanswered,
                'failure_votes': seen.failure_votes,
                'success_votes': seen.success_votes,
                'load_weight': round(seen.attraction, 2),
            },
        )
