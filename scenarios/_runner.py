"""Runs a scenario in the simulation and checks its bounds."""

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
from scenarios._simulation import Simulation

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
# After set-up: all hosts apply the configuration and see the upstreams as ready.
_SETTLE_SECONDS = 6.0


class SetupError(Exception):
    """A statement that creates the scenario's services was not accepted."""


@dataclass
class Sample:
    """Numbers of runs and open flows by upstream at one scenario time."""

    time: float
    running: dict[str, int]
    flows: dict[str, int]


@dataclass
class AcceptedChange:
    """A change that a host reported to its operator as accepted.

    ``time`` is the virtual time at which the reply was noticed.
    """

    time: float
    shard: int
    generation: int


@dataclass
class ScenarioRun:
    """State of a running or finished scenario.

    ``start`` is the virtual time at which the set-up ended.
    """

    scenario: Scenario
    simulation: Simulation
    start: float = 0
    samples: list[Sample] = field(default_factory=list)
    accepted: list[AcceptedChange] = field(default_factory=list)
    conflicts: int = 0
    stopped: list[VirtualHost] = field(default_factory=list)
    exit_failures: int = 0
    past_traces: list[tuple[str, HostTrace]] = field(default_factory=list)
    flood_ends: list[float] = field(default_factory=list)
    _pending_statements: dict[int, str] = field(default_factory=dict)

    @property
    def now(self) -> float:
        """Return scenario time: seconds since the set-up ended."""
        return self.simulation.time.now - self.start

    @property
    def traces(self) -> list[tuple[str, HostTrace]]:
        """Return the traces of all host processes, replaced ones first."""
        hosts = self.simulation.hosts_by_name.values()
        return [*self.past_traces, *((one.name, one.trace) for one in hosts)]

    def save_trace(self, host: VirtualHost) -> None:
        """Keep the trace of a host's process before a new one replaces it."""
        self.past_traces.append((host.name, host.trace))


@dataclass(frozen=True)
class Check:
    """Result of one expectation; ``bound`` is the effective bound."""

    expectation: Expectation
    measured: float
    bound: float
    passed: bool

    @property
    def name(self) -> str:
        """Return the measure with its arguments."""
        arguments = ' '.join(map(str, self.expectation.arguments))
        return f'{self.expectation.measure} {arguments}'.strip()

    def __str__(self) -> str:
        """Return one line for a report."""
        mark = 'pass' if self.passed else 'FAIL'
        text = f'{self.measured:.4g} {self.expectation.comparison} {self.bound:.4g}'
        return f'{mark}  {self.name}: {text}'


def run(
    scenario: Scenario,
    prepare: Callable[[Simulation], None] | None = None,
    seed: int | None = None,
) -> tuple[ScenarioRun, list[Check]]:
    """Run a scenario and return its final state and its checks.

    ``prepare`` may change the simulation before its hosts start, for example
    to switch a mechanism off; ``seed`` None uses that of the scenario. Raises
    SetupError.
    """
    simulation = Simulation(scenario.seed if seed is None else seed)
    state = ScenarioRun(scenario, simulation)
    if prepare is not None:
        prepare(simulation)
    set_up(state)
    schedule(state)
    simulation.time.run_until(state.start + scenario.until)
    finish(state)
    return state, [_check(state, one) for one in scenario.expectations]


def set_up(run_state: ScenarioRun) -> None:
    """Start the hosts, create the services and let them settle.

    Loss and duplication begin afterwards. Raises SetupError.
    """
    scenario, simulation = run_state.scenario, run_state.simulation
    for zone, count in scenario.hosts_by_zone.items():
        for number in range(1, count + 1):
            simulation.add_host(f'{zone}-{number}', zone)
    simulation.time.run_until(3)
    for index, service in enumerate(scenario.services):
        _create_service(run_state, service, index)
    simulation.load_services()
    simulation.time.run_until(simulation.time.now + _SETTLE_SECONDS)
    simulation.load_services()
    simulation.network.loss = scenario.loss
    simulation.network.duplication = scenario.duplication
    # A recreated object gets the content after set-up. The first content names no
    # upstreams, so every change to it would be refused as invalid.
    simulation.platform.initial_bodies = {
        key: body for key, (_, body) in simulation.platform.objects.items()
    }
    run_state.start = simulation.time.now
    run_state.accepted.clear()


def _create_service(run_state: ScenarioRun, service: ServiceLine, index: int) -> None:
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
        upstream = run_state.simulation.add_upstream(name, service.name, zone, endpoint)
        upstream.service_seconds = service.service_seconds
        execute(
            run_state,
            f'create upstream {name} of {service.name} at {endpoint} in {zone}',
        )


def execute(run_state: ScenarioRun, text: str) -> None:
    """Execute a statement; raises SetupError if it is not accepted."""
    reply = run_state.simulation.execute(text)
    if reply is None or reply.exit_code != 0:
        raise SetupError(f'set-up statement was not accepted: {text}: {reply}')


def schedule(run_state: ScenarioRun) -> None:
    """Schedule samples, load and the actions of the timeline."""
    simulation, scenario = run_state.simulation, run_state.scenario
    simulation.time.call_later(0, lambda: _sample(run_state))
    for requests in scenario.requests:
        _call_at_random(
            run_state, requests.rate, 0, scenario.until - requests.deadline
        )(
            partial(
                RequestCall,
                simulation,
                requests.service,
                requests.kind,
                requests.deadline,
                reuse=requests.reuse is not None,
            ),
        )
    for flows in scenario.flows:
        for number in range(flows.count):
            simulation.time.call_later(
                number * flows.open_seconds / flows.count,
                partial(FlowCaller, simulation, flows.service, flows.kind),
            )
    for action in scenario.actions:
        simulation.time.call_later(action.at, partial(apply_action, run_state, action))


def _call_at_random(
    run_state: ScenarioRun,
    rate: float,
    begin: float,
    end: float,
) -> Callable[[Callable[[], Any]], None]:
    """Return a function that calls an action at random times.

    The first call is at scenario time ``begin``. The others follow as a Poisson
    process with ``rate`` calls per second, until scenario time ``end``.
    """
    simulation = run_state.simulation

    def start(action: Callable[[], Any]) -> None:
        def fire() -> None:
            if run_state.now >= end:
                return
            action()
            simulation.time.call_later(simulation.rng.expovariate(rate), fire)

        simulation.time.call_at(run_state.start + begin, fire)

    return start


def _sample(run_state: ScenarioRun) -> None:
    simulation = run_state.simulation
    upstreams = simulation.upstreams_by_name.values()
    run_state.samples.append(
        Sample(
            run_state.now,
            {one.name: len(one.running) for one in upstreams},
            {one.name: len(one.flows) for one in upstreams},
        ),
    )
    _collect_replies(run_state)
    simulation.time.call_later(_SAMPLE_SECONDS, lambda: _sample(run_state))


def _collect_replies(run_state: ScenarioRun) -> None:
    for number, text in tuple(run_state._pending_statements.items()):
        reply = run_state.simulation.reply(number)
        if reply is None:
            continue
        del run_state._pending_statements[number]
        if reply.exit_code == 3:
            run_state.conflicts += 1
        if reply.exit_code == 0 and not text.startswith('show'):
            service = text.split()[text.split().index('of') + 1]
            shard = int(shard_of(ServiceName(service)))
            generation = int(reply.content.get('generation', 0))
            accepted = AcceptedChange(run_state.simulation.time.now, shard, generation)
            run_state.accepted.append(accepted)


def finish(run_state: ScenarioRun) -> None:
    """Account for late replies, stalled flows and stops that did not end."""
    _collect_replies(run_state)
    for flow in run_state.simulation.flows:
        flow.check_for_stall()
    for host in run_state.stopped:
        run_state.exit_failures += host.stopping


def _check(run_state: ScenarioRun, expectation: Expectation) -> Check:
    measured = MEASURES[expectation.measure](run_state, *expectation.arguments)
    bound = expectation.bound
    match expectation.share_of:
        case (float() as begin, float() as end):
            kind = expectation.arguments[0]
            bound *= MEASURES[expectation.measure](run_state, kind, (begin, end))
        case ('capacity', str() as service):
            bound *= capacity(run_state, service)
    passed = _COMPARISONS[expectation.comparison](measured, bound)
    return Check(expectation, measured, bound, passed)


def capacity(run_state: ScenarioRun, service: str) -> float:
    """Return how many requests per second a service's upstreams can run."""
    return sum(
        one.slots / one.service_seconds
        for one in run_state.simulation.upstreams_by_name.values()
        if one.name.startswith(f'{service}-')
    )


def apply_action(run_state: ScenarioRun, action: Action) -> None:
    """Carry out one action of the timeline now."""
    simulation, arguments = run_state.simulation, action.arguments
    match action.name:
        case 'kill':
            simulation.hosts_by_name[arguments[0]].kill()
        case 'stop':
            _stop(run_state, simulation.hosts_by_name[arguments[0]])
        case 'start_host':
            run_state.save_trace(simulation.hosts_by_name[arguments[0]])
            simulation.start_host(arguments[0])
        case 'freeze':
            simulation.hosts_by_name[arguments[0]].freeze(arguments[1])
        case 'statement':
            text, name = arguments
            host = simulation.hosts_by_name[name] if name else None
            number = simulation.send_statement(text, host)
            run_state._pending_statements[number] = text
        case 'flood':
            _flood(run_state, *arguments)
        case _:
            _apply_platform_action(run_state, action)


def _stop(run_state: ScenarioRun, host: VirtualHost) -> None:
    from lycheedeal.kernel import StopRequested

    run_state.stopped.append(host)
    host.deliver(StopRequested())
    # A repeated signal must not change the stop.
    run_state.simulation.time.call_later(0.2, lambda: host.deliver(StopRequested()))
    host.stopping = True


def _flood(
    run_state: ScenarioRun,
    kind: str,
    service: str,
    factor: int,
    seconds: float,
    impatient: str | None,
) -> None:
    rate = capacity(run_state, service) * factor
    simulation = run_state.simulation
    run_state.flood_ends.append(run_state.now + seconds)
    _call_at_random(run_state, rate, run_state.now, run_state.now + seconds)(
        partial(
            RequestCall, simulation, service, kind, 3.0, impatient=impatient is not None
        ),
    )


def _apply_platform_action(run_state: ScenarioRun, action: Action) -> None:
    platform, now = run_state.simulation.platform, run_state.simulation.time.now
    match (action.name, *action.arguments):
        case ('platform_down', seconds):
            platform.down_until = now + seconds
        case ('platform_slow', delay, seconds):
            platform.added_delay = delay
            run_state.simulation.time.call_later(
                seconds, partial(setattr, platform, 'added_delay', 0)
            )
        case ('platform_stale', seconds):
            platform.serve_stale_reads(now + seconds)
        case ('lose_answer',):
            platform.answers_to_lose += 1
        case ('recreate', service):
            _recreate(run_state, service)
        case _:
            _apply_network_action(run_state, action)


def _recreate(run_state: ScenarioRun, service: str) -> None:
    """Delete a service's shard object and recreate it with its initial content."""
    platform = run_state.simulation.platform
    shard = int(shard_of(ServiceName(service)))
    for key in tuple(platform.objects):
        if key.endswith(f'/{shard}'):
            platform.recreate(key, platform.initial_bodies[key])


def _apply_network_action(run_state: ScenarioRun, action: Action) -> None:
    simulation = run_state.simulation
    network, later = simulation.network, simulation.time.call_later
    match (action.name, *action.arguments):
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
            configured = run_state.scenario.duplication
            later(seconds, partial(setattr, network, 'duplication', configured))
        case _:
            _apply_upstream_action(run_state, action)


def _apply_upstream_action(run_state: ScenarioRun, action: Action) -> None:
    upstream = run_state.simulation.upstreams_by_name[action.arguments[0]]
    match (action.name, *action.arguments):
        case ('reuse', _, service):
            upstream.restart(service)
        case ('silence', _, host):
            upstream.silent_paths.add((host, 0))
        case ('lie', _):
            upstream.reports_no_load = True
        case ('fail', _):
            upstream.refuses_runs = True
        case ('crash', _):
            upstream.alive = False
            upstream.flows.clear()
            upstream.running.clear()
        case ('revive', _):
            upstream.alive = True
            upstream.refuses_runs = False
            upstream.state = UpstreamState.READY
            upstream.restart()
        case ('drain_signal', _):
            upstream.state = UpstreamState.DRAINING
