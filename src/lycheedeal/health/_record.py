"""Observations of this host about one upstream of a service that it owns."""

from dataclasses import dataclass, field
from typing import Final

from lycheedeal.health._results import Ejection, Result, ResultWindow
from lycheedeal.messages import Welcome
from lycheedeal.model import Incarnation, ServiceName, Upstream, UpstreamState

# A cold upstream is ramped from the initial to the full weight, in steps.
_RAMP_SECONDS: Final = 10.0
_INITIAL_WEIGHT: Final = 0.1
_WEIGHT_STEPS: Final = 10
# An upstream is silent after this many missed Hellos and this time without any
# message. Fast Hellos reach three misses in less than a second; with a fifth of
# the datagrams lost, that happens to healthy upstreams every few minutes.
_SILENT_MISSES: Final = 3
_SILENT_SECONDS: Final = 2.0
# A success later than this after the first missed Hello cannot be an answer that
# was already in flight.
_IN_FLIGHT_SECONDS: Final = 0.5
# An upstream that misses Hellos but did some work in this time is not silent,
# unless requests fail.
_RECENT_SUCCESS_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class PublishedState:
    """State of an upstream as it is published to other plug-ins."""

    state: UpstreamState
    incarnation: Incarnation
    weight: float


@dataclass(slots=True)
class UpstreamRecord:
    """Observations about one upstream; times are monotonic, in seconds.

    ``reported`` is the state in its last Welcome. ``is_foreign`` tells that its
    address now belongs to another service. ``misses`` counts unanswered Hellos
    since the last Welcome. ``published`` is None until a state is published.
    """

    upstream: Upstream
    last_heard: float
    incarnation: Incarnation = Incarnation(0)
    reported: UpstreamState = UpstreamState.UNKNOWN
    is_foreign: bool = False
    ramp_started: float | None = None
    misses: int = 0
    first_miss: float = 0
    last_success: float = float('-inf')
    last_failure: float = float('-inf')
    silent_since: float | None = None
    results: ResultWindow = field(default_factory=ResultWindow)
    ejection: Ejection = field(default_factory=Ejection)
    was_ejected: bool = False
    published: PublishedState | None = None

    @property
    def is_known(self) -> bool:
        """Whether the upstream has answered a Hello."""
        return self.reported is not UpstreamState.UNKNOWN

    @property
    def observed_state(self) -> tuple[object, ...]:
        """Part of the record that an answer can change and the state depends on."""
        silent = self.silent_since is not None
        return self.reported, self.incarnation, self.is_foreign, silent

    @property
    def is_draining(self) -> bool:
        """Whether the operator or the upstream itself asked for no new work."""
        return self.upstream.drained or self.reported is UpstreamState.DRAINING

    def handle_welcome(
        self, message: Welcome, service: ServiceName, now: float
    ) -> bool:
        """Record the answer to a Hello; return whether it is of this service.

        A new incarnation is a new process: its results are counted from the
        start and it is ramped. So is an address that was another service's.
        """
        self.note_message(now)
        was_foreign = self.is_foreign
        self.is_foreign = message.service != service
        self.misses = 0
        self.reported = message.state
        if message.state not in _REPORTABLE:
            self.reported = UpstreamState.READY
        if message.incarnation != self.incarnation or was_foreign:
            self.incarnation = message.incarnation
            self.results.clear()
            self.ramp_started = now
            self.ejection = Ejection()
        return not self.is_foreign

    def note_message(self, now: float) -> None:
        """Record that a message of any type came in from the upstream."""
        self.last_heard = now
        self.silent_since = None

    def note_missed_hello(self, now: float) -> None:
        """Count a Hello that was not answered within its timeout."""
        self.misses += 1
        if self.misses == 1:
            self.first_miss = now

    def note_success(self, now: float) -> None:
        """Record that the upstream answered a request or accepted a flow."""
        self.note_message(now)
        self.last_success = now

    def reset_after_pause(self, now: float) -> None:
        """Discard observations that a pause of this process makes unreliable."""
        self.misses = 0
        self.last_heard = max(self.last_heard, now)
        self.results.clear()

    def note_result(self, result: Result, now: float) -> None:
        """Record the result of a request."""
        self.results.add(result, now)
        match result:
            case Result.SUCCESS:
                self.note_success(now)
            case Result.FAILURE:
                self.last_failure = now

    def eject(self, now: float) -> None:
        """Start an ejection and remove the results that led to it."""
        self.ejection.begin(now)
        self.was_ejected = True
        self.results.clear()

    def update_timing(self, now: float) -> None:
        """Update what changes with time: the end of an ejection, and silence."""
        if self.was_ejected and not self.ejection.is_active(now):
            # The upstream may still be failing, so it gets little work at first.
            self.was_ejected = False
            self.ramp_started = now
        if self.silent_since is None and self._is_silent(now):
            self.silent_since = now

    def decide(self, now: float, *, may_exclude: bool) -> PublishedState:
        """Return the state to publish.

        ``may_exclude`` is false if the limit on excluded upstreams is reached.
        """
        state = self._state(now, may_exclude=may_exclude)
        weight = self._weight(now) if state in _USABLE else float(0)
        return PublishedState(state, self.incarnation, weight)

    def _is_silent(self, now: float) -> bool:
        if self.misses < _SILENT_MISSES or now - self.last_heard < _SILENT_SECONDS:
            return False
        if now - self.last_success > _RECENT_SUCCESS_SECONDS:
            return True
        # Failed requests since then distinguish a crash from an upstream that only
        # fails to answer Hellos.
        failing = self.last_failure > self.first_miss
        return failing and self.last_success < self.first_miss + _IN_FLIGHT_SECONDS

    def _state(self, now: float, *, may_exclude: bool) -> UpstreamState:
        if self.is_foreign:
            return UpstreamState.GONE
        if self.silent_since is not None:
            # The limit protects only upstreams that would get work.
            if may_exclude or self.is_draining or not self.is_known:
                return UpstreamState.GONE
        if self.is_draining:
            return UpstreamState.DRAINING
        if not self.is_known:
            return UpstreamState.UNKNOWN
        if self.ejection.is_active(now) and may_exclude:
            return UpstreamState.EJECTED
        if self.ramp_started is not None:
            if now - self.ramp_started < _RAMP_SECONDS:
                return UpstreamState.STARTING
        return UpstreamState.READY

    def _weight(self, now: float) -> float:
        if self.ramp_started is None:
            return 1
        share = min((now - self.ramp_started) / _RAMP_SECONDS, 1)
        weight = _INITIAL_WEIGHT + (1 - _INITIAL_WEIGHT) * share
        return int(weight * _WEIGHT_STEPS) / _WEIGHT_STEPS


_REPORTABLE: Final = frozenset((UpstreamState.STARTING, UpstreamState.DRAINING))
_USABLE: Final = frozenset((UpstreamState.STARTING, UpstreamState.READY))
