"""State of upstreams and paths as one host observes it, on virtual time."""

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
HOST_ENDPOINT = Endpoint('127.0.0.1', 7000)


@dataclass
class Target:
    """Upstream whose answers to Hellos a test sets; ``hellos`` has time and path."""

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


class Harness:
    """Health plug-in that observes some targets and answers its Hellos for them."""

    def __init__(self, count: int, *, owns_service: bool = True) -> None:
        self.clock = VirtualClock()
        self.targets = [Target(Endpoint('127.0.1.1', 100 + n)) for n in range(count)]
        self.events: list[Any] = []
        self.effects: list[Any] = []
        self.drained: set[int] = set()
        settings = HostSettings(
            HostId('h'),
            Region('r'),
            ZONE,
            HOST_ENDPOINT,
            HOST_ENDPOINT,
            HOST_ENDPOINT,
            HOST_ENDPOINT,
            '',
            b'key',
        )
        context = Context(settings, self.clock, random.Random(7), Incarnation(1))
        watched = frozenset((UpstreamChanged, Refused))
        recorder = PluginSpec('recorder', lambda _: _Recorder(self.events), watched)
        self.kernel = Kernel(context, (*load_plugins(('health',)), recorder))
        self.configure()
        if owns_service:
            self.dispatch(OwnedServicesChanged((NUMBER,)))

    def configure(self) -> None:
        upstreams = tuple(
            Upstream(
                UpstreamId(str(n)), target.endpoint, ZONE, drained=n in self.drained
            )
            for n, target in enumerate(self.targets)
        )
        service = Service(NUMBER, NAME, HOST_ENDPOINT, upstreams=upstreams)
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

    def finish_requests(
        self, number: int, error: ErrorKind | None, count: int = 1
    ) -> None:
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
            event
            for event in self.events
            if isinstance(event, UpstreamChanged) and event.upstream_id == wanted
        ]

    def state(self, number: int) -> UpstreamState:
        return self.changes(number)[-1].state

    def path_switches(self) -> list[SwitchPath]:
        return [effect for effect in self.effects if isinstance(effect, SwitchPath)]


def never_answers(path: int) -> bool:
    return False


def test_new_owner_uses_ready_upstreams_at_once() -> None:
    """Guards against ramping all upstreams when the owner of a service changes."""
    harness = Harness(3)
    harness.run(1)
    assert [harness.changes(n)[0].state for n in range(3)] == [UpstreamState.READY] * 3
    assert {harness.changes(n)[0].weight for n in range(3)} == {1}


@pytest.mark.parametrize('count', (1, 4))
def test_restarted_upstream_is_ramped(count: int) -> None:
    """Guards against full load on a restarted process with cold caches."""
    harness = Harness(count)
    harness.run(2)
    harness.targets[0].incarnation = 2
    harness.run(15)
    ramp = [change for change in harness.changes(0) if change.incarnation == 2]
    assert ramp[0].state is UpstreamState.STARTING
    assert [change.weight for change in ramp] == [n / 10 for n in range(1, 11)]
    assert ramp[-1].state is UpstreamState.READY


def test_upstream_that_starts_is_ramped_for_a_new_owner() -> None:
    """Guards against a new owner that ignores the state in the first answer."""
    harness = Harness(2)
    harness.targets[0].state = UpstreamState.STARTING
    harness.run(1)
    assert harness.changes(0)[0].weight == pytest.approx(0.1)
    assert harness.state(1) is UpstreamState.READY


def test_upstream_added_later_is_ramped() -> None:
    """Guards against full load on an upstream that was just added."""
    harness = Harness(2)
    harness.run(5)
    harness.targets.append(Target(Endpoint('127.0.1.1', 300)))
    harness.configure()
    harness.run(1)
    assert harness.changes(2)[0].state is UpstreamState.STARTING


def test_draining_takes_effect_at_once() -> None:
    """Guards against new work for an upstream drained by an operator or by itself."""
    harness = Harness(2)
    harness.run(1)
    harness.drained.add(0)
    harness.configure()
    assert harness.state(0) is UpstreamState.DRAINING
    harness.targets[1].state = UpstreamState.DRAINING
    harness.run(1.2)
    assert harness.state(1) is UpstreamState.DRAINING


def test_removed_upstream_gets_no_new_work_and_keeps_what_it_runs() -> None:
    """Guards against new work for a deleted upstream, and against losing its work.

    GONE would end its running requests with an unknown outcome.
    """
    harness = Harness(2)
    harness.run(1)
    harness.targets.pop()
    harness.configure()
    assert harness.state(1) is UpstreamState.DRAINING


def test_silent_upstream_is_gone_and_comes_back() -> None:
    """Guards against new work for a crashed upstream, and against losing it."""
    harness = Harness(3)
    harness.run(3)
    harness.targets[0].answers = never_answers
    harness.run(4)
    assert harness.state(0) is UpstreamState.GONE
    harness.targets[0].answers = lambda path: True
    harness.run(1.5)
    assert harness.state(0) is UpstreamState.READY


def test_upstream_that_works_survives_missing_hellos() -> None:
    """Guards against losing an upstream that answers requests but not Hellos."""
    harness = Harness(3)
    harness.run(3)
    harness.targets[0].answers = never_answers
    for _ in range(5):
        harness.finish_requests(0, None)
        harness.run(5)
        assert harness.state(0) is UpstreamState.READY
    harness.run(11)
    assert harness.state(0) is UpstreamState.GONE


def test_crashed_upstream_with_recent_successes_is_gone_soon() -> None:
    """Guards against counting answers from before a crash as signs of life."""
    harness = Harness(3)
    harness.run(3)
    harness.finish_requests(0, None)
    harness.targets[0].answers = never_answers
    harness.run(2)
    harness.finish_requests(0, ErrorKind.NO_ANSWER)
    harness.run(2)
    assert harness.state(0) is UpstreamState.GONE


def test_instant_failure_is_ejected_for_longer_each_time() -> None:
    """Guards against an upstream that attracts work because it fails at once."""
    harness = Harness(3)
    harness.run(3)
    ejected_ticks = []

    def fail() -> None:
        if harness.state(0) is UpstreamState.EJECTED:
            ejected_ticks.append(harness.clock.now)
        else:
            harness.finish_requests(0, ErrorKind.NO_ANSWER)
        harness.finish_requests(1, None)

    harness.run(2, fail)
    assert harness.state(0) is UpstreamState.EJECTED
    harness.run(60, fail)
    # One second of failures before each ejection of 5, 10, 20 and 40 s.
    assert len(ejected_ticks) > 500
    states = [change.state for change in harness.changes(0)]
    assert states.count(UpstreamState.EJECTED) == 4
    assert harness.state(1) is UpstreamState.READY


@pytest.mark.parametrize('error', (ErrorKind.CANCELLED, ErrorKind.QUEUE_FULL, None))
def test_only_faults_of_the_upstream_eject(error: ErrorKind | None) -> None:
    """Guards against ejecting an upstream for errors that it did not cause."""
    harness = Harness(3)
    harness.run(3)
    harness.finish_requests(0, error, 50)
    assert harness.state(0) is UpstreamState.READY


@pytest.mark.parametrize('count', (1, 2, 5, 7))
def test_at_most_half_of_the_upstreams_are_excluded(count: int) -> None:
    """Guards against excluding all upstreams for a fault of the requests."""
    harness = Harness(count)
    harness.run(3)
    for number in range(count):
        harness.finish_requests(number, ErrorKind.UPSTREAM_REFUSED, 20)
    harness.run(1)
    states = [harness.state(number) for number in range(count)]
    assert states.count(UpstreamState.EJECTED) == count // 2
    for target in harness.targets:
        target.answers = never_answers
    harness.run(4)
    states = [harness.state(number) for number in range(count)]
    assert states.count(UpstreamState.GONE) == count // 2


def test_upstream_of_another_service_is_gone() -> None:
    """Guards against requests that reach another service at a reused address."""
    harness = Harness(2)
    harness.run(2)
    harness.targets[0].service = ServiceName('bitacora-api')
    harness.targets[0].incarnation = 9
    harness.run(3)
    assert harness.state(0) is UpstreamState.GONE
    refusals = [event for event in harness.events if isinstance(event, Refused)]
    assert [refusal.error for refusal in refusals] == [ErrorKind.UPSTREAM_REPLACED]


def test_silent_path_is_switched() -> None:
    """Guards against an upstream that is declared gone when one path is silent."""
    harness = Harness(2)
    harness.run(3)
    harness.targets[0].answers = lambda path: path != 0
    harness.run(4)
    assert [switch.upstream for switch in harness.path_switches()] == [
        harness.targets[0].endpoint
    ]
    assert harness.state(0) is UpstreamState.READY
    assert harness.targets[0].hellos[-1][1] == harness.path_switches()[0].path


def test_silent_path_is_found_without_owning_the_service() -> None:
    """Guards against flows that stall on a silent path of a host that is no owner."""
    harness = Harness(40, owns_service=False)
    harness.dispatch(
        UpstreamsInUse(tuple(target.endpoint for target in harness.targets))
    )
    harness.run(5)
    first = [target.hellos[0][0] for target in harness.targets]
    assert max(first) - min(first) > 3
    harness.targets[0].answers = lambda path: path == 2
    harness.run(10)
    assert [switch.path for switch in harness.path_switches()] == [2]


def test_hellos_to_silent_upstreams_are_bounded() -> None:
    """Guards against Hellos that use up the control budget when a zone is lost."""
    harness = Harness(1, owns_service=False)
    endpoints = tuple(Endpoint('127.0.2.1', port) for port in range(1000))
    harness.dispatch(UpstreamsInUse(endpoints))
    harness.run(30)
    assert len({effect.upstream for effect in harness.effects}) == 256
    harness.effects.clear()
    harness.run(20)
    # In 5 s, each endpoint gets a Hello on its current path and one on another.
    assert len(harness.effects) < 20 * 256 / 5 * 2 * 1.1


def test_pause_of_the_process_does_not_count_against_upstreams() -> None:
    """Guards against upstreams excluded because answers waited during a pause."""
    harness = Harness(3)
    harness.run(3)
    before = len(harness.events)
    harness.clock.now += 30
    harness.dispatch(Resumed(30))
    harness.run(2)
    assert len(harness.events) == before


def test_upstreams_are_probed_at_once_after_a_pause() -> None:
    """Guards against waiting for old timers if the clock stops during a pause."""
    harness = Harness(3)
    harness.run(3.05)
    before = [len(target.hellos) for target in harness.targets]
    harness.dispatch(Resumed(30))
    harness.run(0.1)
    assert [len(target.hellos) for target in harness.targets] == [n + 1 for n in before]


def test_unexpected_welcomes_are_ignored() -> None:
    """Guards against acting on a Welcome that answers no Hello of this process."""
    harness = Harness(1)
    harness.run(2)
    before = len(harness.events)
    stale = replace(harness.targets[0], incarnation=77)
    harness.welcome(stale, 0, nonce=5)
    harness.welcome(replace(stale, endpoint=HOST_ENDPOINT), 0, nonce=5)
    assert len(harness.events) == before
