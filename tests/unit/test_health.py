"""State of upstreams as one host observes it, on virtual time."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from bench.zone_network import VirtualClock
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    ConfigurationChanged,
    Context,
    Event,
    Kernel,
    OwnedServicesChanged,
    PluginSpec,
    Refused,
    RequestFinished,
    Resumed,
    SendToUpstream,
    SwitchPath,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    UpstreamsInUse,
    load_plugins,
)
from lycheedeal.messages import Hello, Welcome
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    HostId,
    HostSettings,
    Incarnation,
    KindId,
    Region,
    Service,
    ServiceName,
    ServiceNumber,
    Upstream,
    UpstreamId,
    UpstreamState,
    Zone,
)

NUMBER = ServiceNumber(3)
NAME = ServiceName('reparo')
ZONE = Zone('tortel')
HERE = Endpoint('127.0.0.1', 7000)


@dataclass
class Target:
    """Upstream that answers Hellos, truthfully or not."""

    endpoint: Endpoint
    service: ServiceName = NAME
    incarnation: int = 1
    state: UpstreamState = UpstreamState.READY
    answers: Callable[[int], bool] = lambda path: True
    hellos: list[tuple[float, int]] = field(default_factory=list)


@dataclass
class _Recorder:
    events: list[Any]

    def handle(self, event: Event) -> Iterable[Any]:
        self.events.append(event)
        return ()


class Bench:
    """Health plug-in in front of some targets."""

    def __init__(self, count: int, *, own: bool = True) -> None:
        self.clock = VirtualClock()
        self.targets = [Target(Endpoint('127.0.1.1', 100 + n)) for n in range(count)]
        self.events: list[Any] = []
        self.effects: list[Any] = []
        self.drained: set[int] = set()
        settings = HostSettings(
            HostId('h'), Region('r'), ZONE, HERE, HERE, HERE, HERE, '', b'key'
        )
        context = Context(settings, self.clock, random.Random(7), Incarnation(1))
        watched = frozenset((UpstreamChanged, Refused))
        recorder = PluginSpec('recorder', lambda _: _Recorder(self.events), watched)
        self.kernel = Kernel(context, (*load_plugins(('health',)), recorder))
        self.configure()
        if own:
            self.dispatch(OwnedServicesChanged((NUMBER,)))

    def configure(self) -> None:
        upstreams = tuple(
            Upstream(UpstreamId(str(n)), one.endpoint, ZONE, drained=n in self.drained)
            for n, one in enumerate(self.targets)
        )
        service = Service(NUMBER, NAME, HERE, upstreams=upstreams)
        self.dispatch(ConfigurationChanged(ConfigurationView({NUMBER: service})))

    def dispatch(self, event: Event) -> None:
        for effect in self.kernel.dispatch(event):
            self.effects.append(effect)
            if isinstance(effect, SendToUpstream):
                self.answer(effect)

    def answer(self, sent: SendToUpstream) -> None:
        assert isinstance(sent.message, Hello)
        path = sent.path or 0
        for target in self.targets:
            if target.endpoint == sent.upstream:
                target.hellos.append((self.clock.now, path))
                if target.answers(path):
                    self.welcome(target, path, sent.message.nonce)

    def welcome(self, target: Target, path: int, nonce: int) -> None:
        message = Welcome(
            nonce,
            target.service,
            Incarnation(target.incarnation),
            target.state,
            slots=2,
            running=0,
            flows=0,
        )
        self.dispatch(UpstreamMessage(target.endpoint, path, message))

    def finish(self, number: int, error: ErrorKind | None, count: int = 1) -> None:
        endpoint = self.targets[number].endpoint
        for _ in range(count):
            self.dispatch(RequestFinished(NUMBER, KindId(1), endpoint, error, 0.01))

    def run(self, seconds: float, each_tick: Callable[[], None] = lambda: None) -> None:
        for _ in range(round(seconds * 10)):
            self.clock.now += 0.1
            self.dispatch(Tick(self.clock.now))
            each_tick()

    def changes(self, number: int) -> list[UpstreamChanged]:
        wanted = UpstreamId(str(number))
        return [
            one
            for one in self.events
            if isinstance(one, UpstreamChanged) and one.upstream_id == wanted
        ]

    def state(self, number: int) -> UpstreamState:
        return self.changes(number)[-1].state

    def switches(self) -> list[SwitchPath]:
        return [one for one in self.effects if isinstance(one, SwitchPath)]


def silent(path: int) -> bool:
    return False


def test_new_owner_uses_ready_upstreams_at_once() -> None:
    """Guards against a cold start of all upstreams when the owner changes."""
    bench = Bench(3)
    bench.run(1)
    assert [bench.changes(n)[0].state for n in range(3)] == [UpstreamState.READY] * 3
    assert {bench.changes(n)[0].weight for n in range(3)} == {1}


@pytest.mark.parametrize('count', (1, 4))
def test_restarted_upstream_is_ramped(count: int) -> None:
    """Guards against full load on a process with cold caches."""
    bench = Bench(count)
    bench.run(2)
    bench.targets[0].incarnation = 2
    bench.run(15)
    ramp = [one for one in bench.changes(0) if one.incarnation == 2]
    assert ramp[0].state is UpstreamState.STARTING
    assert [one.weight for one in ramp] == [n / 10 for n in range(1, 11)]
    assert ramp[-1].state is UpstreamState.READY


def test_upstream_that_starts_is_ramped_for_a_new_owner() -> None:
    """Guards against ignoring the state that an upstream reports."""
    bench = Bench(2)
    bench.targets[0].state = UpstreamState.STARTING
    bench.run(1)
    assert bench.changes(0)[0].weight == pytest.approx(0.1)
    assert bench.state(1) is UpstreamState.READY


def test_upstream_added_later_is_ramped() -> None:
    """Guards against full load on an upstream that was just created."""
    bench = Bench(2)
    bench.run(5)
    bench.targets.append(Target(Endpoint('127.0.1.1', 300)))
    bench.configure()
    bench.run(1)
    assert bench.changes(2)[0].state is UpstreamState.STARTING


def test_draining_takes_effect_at_once() -> None:
    """Guards against new work for an upstream that is leaving."""
    bench = Bench(2)
    bench.run(1)
    bench.drained.add(0)
    bench.configure()
    assert bench.state(0) is UpstreamState.DRAINING
    bench.targets[1].state = UpstreamState.DRAINING
    bench.run(1.2)
    assert bench.state(1) is UpstreamState.DRAINING


def test_removed_upstream_gets_no_new_work_and_keeps_what_it_runs() -> None:
    """Guards against work for a deleted upstream, and against losing its work.

    GONE would end its running requests with an unknown outcome.
    """
    bench = Bench(2)
    bench.run(1)
    bench.targets.pop()
    bench.configure()
    assert bench.state(1) is UpstreamState.DRAINING


def test_silent_upstream_is_gone_and_comes_back() -> None:
    """Guards against sending work to a crashed upstream."""
    bench = Bench(3)
    bench.run(3)
    bench.targets[0].answers = silent
    bench.run(4)
    assert bench.state(0) is UpstreamState.GONE
    bench.targets[0].answers = lambda path: True
    bench.run(1.5)
    assert bench.state(0) is UpstreamState.READY


def test_upstream_that_works_survives_missing_hellos() -> None:
    """Guards against losing an upstream whose health endpoint fails."""
    bench = Bench(3)
    bench.run(3)
    bench.targets[0].answers = silent
    for _ in range(5):
        bench.finish(0, None)
        bench.run(5)
        assert bench.state(0) is UpstreamState.READY
    bench.run(11)
    assert bench.state(0) is UpstreamState.GONE


def test_crashed_upstream_with_recent_successes_is_gone_soon() -> None:
    """Guards against taking the last answers before a crash for a sign of life."""
    bench = Bench(3)
    bench.run(3)
    bench.finish(0, None)
    bench.targets[0].answers = silent
    bench.run(2)
    bench.finish(0, ErrorKind.NO_ANSWER)
    bench.run(2)
    assert bench.state(0) is UpstreamState.GONE


def test_instant_failure_is_ejected_for_longer_each_time() -> None:
    """Guards against an upstream that draws work by failing at once."""
    bench = Bench(3)
    bench.run(3)
    ejected_ticks = []

    def fail() -> None:
        if bench.state(0) is UpstreamState.EJECTED:
            ejected_ticks.append(bench.clock.now)
        else:
            bench.finish(0, ErrorKind.NO_ANSWER)
        bench.finish(1, None)

    bench.run(2, fail)
    assert bench.state(0) is UpstreamState.EJECTED
    bench.run(60, fail)
    # About one second for ten failures, then 5, 10, 20 and 40 s without work.
    assert len(ejected_ticks) > 500
    states = [one.state for one in bench.changes(0)]
    assert states.count(UpstreamState.EJECTED) == 4
    assert bench.state(1) is UpstreamState.READY


@pytest.mark.parametrize('error', (ErrorKind.CANCELLED, ErrorKind.QUEUE_FULL, None))
def test_only_faults_of_the_upstream_eject(error: ErrorKind | None) -> None:
    """Guards against ejecting for refusals that other parts decided."""
    bench = Bench(3)
    bench.run(3)
    bench.finish(0, error, 50)
    assert bench.state(0) is UpstreamState.READY


@pytest.mark.parametrize('count', (1, 2, 5, 7))
def test_at_most_half_is_taken_out(count: int) -> None:
    """Guards against ejecting a whole service for a fault of its requests."""
    bench = Bench(count)
    bench.run(3)
    for number in range(count):
        bench.finish(number, ErrorKind.UPSTREAM_REFUSED, 20)
    bench.run(1)
    states = [bench.state(number) for number in range(count)]
    assert states.count(UpstreamState.EJECTED) == count // 2
    for target in bench.targets:
        target.answers = silent
    bench.run(4)
    states = [bench.state(number) for number in range(count)]
    assert states.count(UpstreamState.GONE) == count // 2


def test_address_of_another_service_is_gone() -> None:
    """Guards against check-ins that reach damage intake (P2)."""
    bench = Bench(2)
    bench.run(2)
    bench.targets[0].service = ServiceName('bitacora-api')
    bench.targets[0].incarnation = 9
    bench.run(3)
    assert bench.state(0) is UpstreamState.GONE
    refusals = [one for one in bench.events if isinstance(one, Refused)]
    assert [one.error for one in refusals] == [ErrorKind.UPSTREAM_REPLACED]


def test_silent_path_is_switched() -> None:
    """Guards against marking an upstream down when one path is silent."""
    bench = Bench(2)
    bench.run(3)
    bench.targets[0].answers = lambda path: path != 0
    bench.run(4)
    assert [one.upstream for one in bench.switches()] == [bench.targets[0].endpoint]
    assert bench.state(0) is UpstreamState.READY
    assert bench.targets[0].hellos[-1][1] == bench.switches()[0].path


def test_silent_path_is_found_without_owning_the_service() -> None:
    """Guards against flows that stall on hosts that do not own the service."""
    bench = Bench(40, own=False)
    bench.dispatch(UpstreamsInUse(tuple(one.endpoint for one in bench.targets)))
    bench.run(5)
    first = [one.hellos[0][0] for one in bench.targets]
    assert max(first) - min(first) > 3
    bench.targets[0].answers = lambda path: path == 2
    bench.run(10)
    assert [one.path for one in bench.switches()] == [2]


def test_silent_upstreams_in_use_cost_little() -> None:
    """Guards against Hellos that take the control budget when a zone is lost."""
    bench = Bench(1, own=False)
    endpoints = tuple(Endpoint('127.0.2.1', port) for port in range(1000))
    bench.dispatch(UpstreamsInUse(endpoints))
    bench.run(30)
    assert len({one.upstream for one in bench.effects}) == 256
    bench.effects.clear()
    bench.run(20)
    # One Hello on the current path and one on another for each in 5 s.
    assert len(bench.effects) < 20 * 256 / 5 * 2 * 1.1


def test_pause_is_not_blamed_on_upstreams() -> None:
    """Guards against conclusions from answers that waited during a pause."""
    bench = Bench(3)
    bench.run(3)
    before = len(bench.events)
    bench.clock.now += 30
    bench.dispatch(Resumed(30))
    bench.run(2)
    assert len(bench.events) == before


def test_upstreams_are_probed_at_once_after_a_pause() -> None:
    """Guards against old timers where the clock stands still in a pause."""
    bench = Bench(3)
    bench.run(3.05)
    before = [len(one.hellos) for one in bench.targets]
    bench.dispatch(Resumed(30))
    bench.run(0.1)
    assert [len(one.hellos) for one in bench.targets] == [n + 1 for n in before]


def test_late_and_foreign_answers_are_ignored() -> None:
    """Guards against acting on answers that nobody asked for."""
    bench = Bench(1)
    bench.run(2)
    before = len(bench.events)
    stale = replace(bench.targets[0], incarnation=77)
    bench.welcome(stale, 0, nonce=5)
    bench.welcome(replace(stale, endpoint=HERE), 0, nonce=5)
    assert len(bench.events) == before
