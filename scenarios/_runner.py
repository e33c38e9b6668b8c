"""Runs a scenario against hosts of the real core and checks its bounds."""

import operator
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from lycheedeal.model import Endpoint, ServiceName, UpstreamState, shard_of
from scenarios._callers import FlowCaller, RequestCall
from scenarios._host import HostTrace, VirtualHost
from scenarios._language import Action, Expectation, Scenario, ServiceLine
from scenarios._measures import MEASURES
from scenarios._world import World

_COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    '<=': operator.le,
    '>=': operator.ge,
    '=': operator.eq,
    '<': operator.lt,
    '>': operator.gt,
}
_SPILL_CLAUSES = {
    '': '',
    'spill': ' spill balanced',
    'spill-when-down': ' spill when-down',
}
_SAMPLE_SECONDS = 0.25
_SETTLE_SECONDS = 6.0


class SetupError(Exception):
    """The scenario's services could not be created."""


@dataclass
class Sample:
    """Work in hand and open flows by upstream at one time."""

    time: float
    running: dict[str, int]
    flows: dict[str, int]


@dataclass
class AcceptedChange:
    """A change that an operator was told is accepted."""

    time: float
    shard: int
    generation: int


@dataclass
class Run:
    """A running or finished scenario."""

    scenario: Scenario
    world: World
    start: float = 0
    samples: list[Sample] = field(default_factory=list)
    accepted: list[AcceptedChange] = field(default_factory=list)
    conflicts: int = 0
    stopped: list[VirtualHost] = field(default_factory=list)
    exit_failures: int = 0
    past_traces: list[tuple[str, HostTrace]] = field(default_factory=list)
    flood_ends: list[float] = field(default_factory=list)
    _statements: dict[int, str] = field(default_factory=dict)

    @property
    def now(self) -> float:
        """Return scenario time in seconds."""
        return self.world.time.now - self.start

    @property
    def traces(self) -> list[tuple[str, HostTrace]]:
        """Return what all process incarnations reported, replaced ones first."""
        hosts = self.world.hosts_by_name.values()
        return [*self.past_traces, *((one.name, one.trace) for one in hosts)]

    def remember_trace(self, host: VirtualHost) -> None:
        """Keep what an incarnation reported before it is replaced."""
        self.past_traces.append((host.name, host.trace))


@dataclass(frozen=True)
class Check:
    """Outcome of one expectation."""

    expectation: Expectation
    measured: float
    bound: float
    passed: bool

    @property
    def name(self) -> str:
        """Return the measure with its arguments."""
        words = ' '.join(map(str, self.expectation.words))
        return f'{self.expectation.measure} {words}'.strip()

    def __str__(self) -> str:
        """Return one line for a report."""
        mark = 'pass' if self.passed else 'FAIL'
        text = f'{self.measured:.4g} {self.expectation.compare} {self.bound:.4g}'
        return f'{mark}  {self.name}: {text}'


def run(
    scenario: Scenario,
    prepare: Callable[[World], None] | None = None,
    seed: int | None = None,
) -> tuple[Run, list[Check]]:
    """Run a scenario and return it with its checks.

    ``prepare`` may change the world before its hosts start, e.g. to switch
    a mechanism off.
    """
    world = World(scenario.seed if seed is None else seed)
    state = Run(scenario, world)
    if prepare is not None:
        prepare(world)
    set_up(state)
    schedule(state)
    world.time.run_until(state.start + scenario.until)
    finish(state)
    return state, [_check(state, one) for one in scenario.expectations]


def set_up(run_state: Run) -> None:
    """Start the hosts and create the services."""
    scenario, world = run_state.scenario, run_state.world
    for zone, count in scenario.hosts_by_zone.items():
        for number in range(1, count + 1):
            world.add_host(f'{zone}-{number}', zone)
    world.time.run_until(3)
    for index, service in enumerate(scenario.services):
        _create_service(run_state, service, index)
    world.learn_services()
    world.time.run_until(world.time.now + _SETTLE_SECONDS)
    world.learn_services()
    world.network.loss = scenario.loss
    world.network.duplication = scenario.duplication
    # A recreated object has the content after set-up; the very first one names
    # no upstreams, so that every change on it would be invalid.
    world.platform.old_bodies = {
        key: body for key, (_, body) in world.platform.objects.items()
    }
    run_state.start = world.time.now
    run_state.accepted.clear()


def _create_service(run_state: Run, service: ServiceLine, index: int) -> None:
    spill = _SPILL_CLAUSES[service.spill]
    address = f'192.0.2.{index + 1}:443'
    execute(run_state, f'create service {service.name} at {address}{spill}')
    for kind in run_state.scenario.kinds:
        if kind.service == service.name:
            floor = f' floor {kind.floor}' if kind.floor else ''
            flags = ' idempotent' * kind.idempotent + ' long' * kind.long
            text = f'create kind {kind.name} of {service.name} priority {kind.priority}'
            execute(run_state, text + floor + flags)
    for number in range(service.upstreams):
        zone = service.zones[number % len(service.zones)]
        name = f'{service.name}-{number + 1}'
        endpoint = Endpoint(f'10.9.{index}.{number + 1}', 80)
        upstream = run_state.world.add_upstream(name, service.name, zone, endpoint)
        upstream.service_seconds = service.seconds
        execute(
            run_state,
            f'create upstream {name} of {service.name} at {endpoint} in {zone}',
        )


def execute(run_state: Run, text: str) -> None:
    """Send a statement during set-up; it must be accepted."""
    reply = run_state.world.execute(text)
    if reply is None or reply.exit_code != 0:
        raise SetupError(f'{text}: {reply}')


def schedule(run_state: Run) -> None:
    """Start sampling, the load and the timeline."""
    world, scenario = run_state.world, run_state.scenario
    world.time.call_later(0, lambda: _sample(run_state))
    for requests in scenario.requests:
        _every(run_state, requests.rate, 0, scenario.until - requests.deadline)(
            partial(
                RequestCall,
                world,
                requests.service,
                requests.kind,
                requests.deadline,
                reuse=requests.reuse is not None,
            ),
        )
    for flows in scenario.flows:
        for number in range(flows.count):
            world.time.call_later(
                number * flows.over / flows.count,
                partial(FlowCaller, world, flows.service, flows.kind),
            )
    for action in scenario.actions:
        world.time.call_later(action.at, partial(act, run_state, action))


def _every(
    run_state: Run,
    rate: float,
    begin: float,
    end: float,
) -> Callable[[Callable[[], Any]], None]:
    """Call something at random times, on average ``rate`` times a second."""
    world = run_state.world

    def start(action: Callable[[], Any]) -> None:
        def once() -> None:
            if run_state.now >= end:
                return
            action()
            world.time.call_later(world.rng.expovariate(rate), once)

        world.time.call_at(run_state.start + begin, once)

    return start


def _sample(run_state: Run) -> None:
    world = run_state.world
    upstreams = world.upstreams_by_name.values()
    run_state.samples.append(
        Sample(
            run_state.now,
            {one.name: len(one.running) for one in upstreams},
            {one.name: len(one.flows) for one in upstreams},
        ),
    )
    _collect_replies(run_state)
    world.time.call_later(_SAMPLE_SECONDS, lambda: _sample(run_state))


def _collect_replies(run_state: Run) -> None:
    for number, text in tuple(run_state._statements.items()):
        reply = run_state.world.reply(number)
        if reply is None:
            continue
        del run_state._statements[number]
        if reply.exit_code == 3:
            run_state.conflicts += 1
        if reply.exit_code == 0 and not text.startswith('show'):
            service = text.split()[text.split().index('of') + 1]
            shard = int(shard_of(ServiceName(service)))
            generation = int(reply.content.get('generation', 0))
            accepted = AcceptedChange(run_state.world.time.now, shard, generation)
            run_state.accepted.append(accepted)


def finish(run_state: Run) -> None:
    """Take what is still open into account before measuring."""
    _collect_replies(run_state)
    for flow in run_state.world.flows:
        flow.check()
    for host in run_state.stopped:
        run_state.exit_failures += host.stopping


def _check(run_state: Run, expectation: Expectation) -> Check:
    measured = MEASURES[expectation.measure](run_state, *expectation.words)
    bound = expectation.bound
    match expectation.share_of:
        case (float() as begin, float() as end):
            kind = expectation.words[0]
            bound *= MEASURES[expectation.measure](run_state, kind, (begin, end))
        case ('capacity', str() as service):
            bound *= capacity(run_state, service)
    passed = _COMPARISONS[expectation.compare](measured, bound)
    return Check(expectation, measured, bound, passed)


def capacity(run_state: Run, service: str) -> float:
    """Return the requests a second that a service's upstreams can run."""
    return sum(
        one.slots / one.service_seconds
        for one in run_state.world.upstreams_by_name.values()
        if one.name.startswith(f'{service}-')
    )


def act(run_state: Run, action: Action) -> None:
    """Carry out one action now."""
    world, words = run_state.world, action.words
    match action.name:
        case 'kill':
            world.hosts_by_name[words[0]].kill()
        case 'stop':
            _stop(run_state, world.hosts_by_name[words[0]])
        case 'start_host':
            run_state.remember_trace(world.hosts_by_name[words[0]])
            world.start_host(words[0])
        case 'freeze':
            world.hosts_by_name[words[0]].freeze(words[1])
        case 'statement':
            text, name = words
            host = world.hosts_by_name[name] if name else None
            number = world.statement(text, host)
            run_state._statements[number] = text
        case 'flood':
            _flood(run_state, *words)
        case _:
            _act_on_platform(run_state, action)


def _stop(run_state: Run, host: VirtualHost) -> None:
    from lycheedeal.kernel import StopRequested

    run_state.stopped.append(host)
    host.deliver(StopRequested())
    # A second signal must change nothing.
    run_state.world.time.call_later(0.2, lambda: host.deliver(StopRequested()))

    host.stopping = True


def _flood(
    run_state: Run,
    kind: str,
    service: str,
    factor: int,
    seconds: float,
    impatient: str | None,
) -> None:
    rate = capacity(run_state, service) * factor
    world = run_state.world
    run_state.flood_ends.append(run_state.now + seconds)
    _every(run_state, rate, run_state.now, run_state.now + seconds)(
        partial(
            RequestCall, world, service, kind, 3.0, impatient=impatient is not None
        ),
    )


def _act_on_platform(run_state: Run, action: Action) -> None:
    platform, now = run_state.world.platform, run_state.world.time.now
    match (action.name, *action.words):
        case ('platform_down', seconds):
            platform.down_until = now + seconds
        case ('platform_slow', delay, seconds):
            platform.slow = delay
            run_state.world.time.call_later(
                seconds, partial(setattr, platform, 'slow', 0)
            )
        case ('platform_stale', seconds):
            platform.serve_stale_reads(now + seconds)
        case ('lose_answer',):
            platform.answers_to_lose += 1
        case ('recreate', service):
            _recreate(run_state, service)
        case _:
            _act_on_network(run_state, action)


def _recreate(run_state: Run, service: str) -> None:
    """Replace a shard by its first version, as if made anew by hand."""
    platform = run_state.world.platform
    shard = int(shard_of(ServiceName(service)))
    for key in tuple(platform.objects):
        if key.endswith(f'/{shard}'):
            platform.recreate(key, platform.old_bodies[key])


def _act_on_network(run_state: Run, action: Action) -> None:
    world = run_state.world
    network, later = world.network, world.time.call_later
    match (action.name, *action.words):
        case ('cut', first, second, seconds):
            network.cut(first, second)
            later(seconds, partial(network.heal, first, second))
        case ('one_way', first, second, seconds):
            network.cut_one_way(first, second)
            later(seconds, partial(network.heal, first, second))
        case ('lossy', share, seconds):
            network.loss = share
            later(seconds, partial(setattr, network, 'loss', run_state.scenario.loss))
        case ('duplicate', share, seconds):
            network.duplication = share
            usual = run_state.scenario.duplication
            later(seconds, partial(setattr, network, 'duplication', usual))
        case _:
            _act_on_upstream(run_state, action)


def _act_on_upstream(run_state: Run, action: Action) -> None:
    upstream = run_state.world.upstreams_by_name[action.words[0]]
    match (action.name, *action.words):
        case ('reuse', _, service):
            upstream.restart(service)
        case ('silence', _, host):
            upstream.silent.add((host, 0))
        case ('lie', _):
            upstream.lies_idle = True
        case ('fail', _):
            upstream.fails_at_once = True
        case ('crash', _):
            upstream.alive = False
            upstream.flows.clear()
            upstream.running.clear()
        case ('revive', _):
            upstream.alive = True
            upstream.fails_at_once = False
            upstream.state = UpstreamState.READY
            upstream.restart()
        case ('drain_signal', _):
            upstream.state = UpstreamState.DRAINING
