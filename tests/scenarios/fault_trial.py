"""Arbitrary faults in a small simulation, with checks after each step.

A step is an action of the scenario language without its time, so the printed
steps of a failed trial can be replayed.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

from lycheedeal.model import FlowId, UpstreamState
from scenarios import parse
from scenarios._callers import CallRecord, FlowCaller, RequestCall, Result
from scenarios._language import Action
from scenarios._measures import MEASURES
from scenarios._runner import ScenarioRun, apply_action, finish, schedule, set_up
from scenarios._simulation import Simulation

ZONES = ('coyhaique', 'cochrane')
HOSTS = tuple(f'{zone}-{number}' for zone in ZONES for number in (1, 2, 3))
SERVICE = 'bitacora-api'
UPSTREAMS = tuple(f'{SERVICE}-{number}' for number in (1, 2, 3, 4))
SCENARIO = """
zone coyhaique hosts 3
zone cochrane hosts 3
service bitacora-api in coyhaique, cochrane upstreams 4 time 100ms spill
kind checkin of bitacora-api priority 0
kind feed of bitacora-api priority 1 long
kind backlog of bitacora-api priority 6 idempotent
service reparo in coyhaique upstreams 1 time 100ms spill
kind photos of reparo priority 5 idempotent
requests checkin of bitacora-api 6/s deadline 4s
requests backlog of bitacora-api 3/s deadline 6s
flows feed of bitacora-api 12 over 6s
"""
ALWAYS_ZERO = (
    'ran_twice',
    'refused_but_ran',
    'foreign_answers',
    'misrouted',
    'reverted',
    'late_runs',
)
# Virtual time of each step. The incarnation of a host process is its start time
# in milliseconds, so a process must not start twice within one.
STEP_SECONDS = 0.05
HEAL_SECONDS = 40
DRAIN_SECONDS = 3
IN_FORCE_SECONDS = 5
CALLS_AFTER_HEALING = 10
CALL_DEADLINE_SECONDS = 2.0


@dataclass
class FaultTrial:
    """One simulation, the steps carried out in it, and the checks."""

    seed: int
    steps: list[str] = field(default_factory=list)
    # Flows that may break: their upstream process crashed or was replaced.
    expected_losses: set[FlowId] = field(default_factory=set)
    # Hosts whose process is in a planned stop, until they are started again.
    _stopping: set[str] = field(default_factory=set)
    run: ScenarioRun = field(init=False)
    _recreated: bool = False
    _first_generations: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start the hosts, the services and the load."""
        scenario = replace(parse(SCENARIO), until=float('inf'))
        self.run = ScenarioRun(scenario, Simulation(self.seed))
        set_up(self.run)
        schedule(self.run)
        # A recreated object gets old but complete content: without upstreams,
        # every change to it would be refused as invalid.
        platform = self.simulation.platform
        for key, (_, body) in platform.objects.items():
            platform.initial_bodies[key] = body
        for host in self.simulation.live_hosts():
            self._first_generations.update(host.trace.generations)

    @property
    def simulation(self) -> Simulation:
        """Return the simulation of the run."""
        return self.run.simulation

    def do(self, step: str) -> None:
        """Carry out a step: one action, several joined by ``+``, or ``wait 5s``.

        Actions that are not applicable now are skipped.
        """
        self.steps.append(step)
        if step.startswith('wait '):
            self.wait(float(step.split()[1][:-1]))
            return
        for text in step.split(' + '):
            (action,) = parse(f'at 0s {text}').actions
            if self._is_applicable(action):
                apply_action(self.run, action)
        self.wait(STEP_SECONDS)

    def wait(self, seconds: float) -> None:
        """Run the simulation for some seconds of virtual time."""
        self.simulation.time.run_until(self.simulation.time.now + seconds)

    def violations(self) -> list[str]:
        """Return the violations of guarantees that hold at every moment."""
        found = [
            f'{name} {number:g}'
            for name in ALWAYS_ZERO
            if (number := MEASURES['count'](self.run, name))
        ]
        return found + self._lost_changes()

    def _lost_changes(self) -> list[str]:
        """Return accepted changes that lost their generation to another change."""
        accepted = Counter((one.shard, one.generation) for one in self.run.accepted)
        return [
            f'accepted change lost: shard {shard} generation {generation}'
            for (shard, generation), times in accepted.items()
            if times > 1 or generation <= self._first_generations[shard]
        ]

    def violations_at_end(self) -> list[str]:
        """Heal all faults, wait, and return all violations.

        The hosts must then agree on the configuration, accept changes, respect
        a drain, answer new calls and serve all flows but those in
        ``expected_losses``.
        """
        self._heal()
        self.wait(HEAL_SECONDS / 2)
        # Planned stops that were in progress have ended by now.
        self._start_stopped_hosts()
        self.wait(HEAL_SECONDS / 2)
        self._restore_stored()
        found = self._undrain_enough()
        drained, drain_faults = self._drain_one()
        found += drain_faults
        self.wait(DRAIN_SECONDS)
        after = self.run.now
        numbers_before = {
            one.endpoint: one.last_number for one in self.simulation.flows
        }
        calls = self._make_calls()
        finish(self.run)
        found += self._failed_calls(calls)
        found += self._failed_flows(numbers_before)
        found += [
            f'new work on drained {name} {number:g}'
            for name in drained
            if (number := MEASURES['work_after'](self.run, name, after))
        ]
        if behind := MEASURES['count'](self.run, 'behind'):
            found.append(f'behind {behind:g}')
        return found + self.violations()

    def _is_applicable(self, action: Action) -> bool:
        """Return whether an action is allowed now; record the flows it may break."""
        hosts, upstreams = (
            self.simulation.hosts_by_name,
            self.simulation.upstreams_by_name,
        )
        match (action.name, *action.arguments):
            case ('kill' | 'stop', name, *_):
                # One host must remain: configuration that only stopped hosts held
                # is lost by design.
                serving = {one.name for one in self.simulation.live_hosts()}
                if action.name == 'stop':
                    serving -= self._stopping
                if name not in serving or len(serving - self._stopping - {name}) < 1:
                    return False
                if action.name == 'stop':
                    self._stopping.add(name)
                return True
            case ('start_host', name):
                if hosts[name].alive:
                    return False
                self._stopping.discard(name)
                return True
            case ('freeze', name, _):
                return hosts[name].alive
            case ('statement', _, _):
                return bool(self.simulation.live_hosts())
            case ('recreate', _):
                self._recreated = True
                return True
            case ('crash' | 'revive' | 'reuse', name, *_):
                self.expected_losses.update(upstreams[name].flows)
                return True
            case _:
                return True

    def _restore_stored(self) -> None:
        """Restore a recreated object by a statement, as an operator would.

        It is refused if the stored object is not older. If a restore was needed
        and failed, the next change is not accepted.
        """
        if self._recreated:
            text = f'restore configuration of {SERVICE}'
            apply_action(self.run, Action(0, 'statement', (text, None)))
            self.wait(IN_FORCE_SECONDS)

    def _heal(self) -> None:
        simulation = self.simulation
        simulation.network.cuts.clear()
        simulation.network.loss = 0
        simulation.network.duplication = 0
        simulation.platform.down_until = -1
        simulation.platform.added_delay = 0
        simulation.platform.stale_reads_until = -1
        simulation.platform.answers_to_lose = 0
        for host in simulation.hosts_by_name.values():
            host.unfreeze()
        for upstream in simulation.upstreams_by_name.values():
            upstream.silent_paths.clear()
            upstream.reports_no_load = False
            replaced = upstream.name in UPSTREAMS and upstream.service != SERVICE
            if replaced or not upstream.alive:
                self.expected_losses.update(upstream.flows)
                upstream.restart(SERVICE)
            upstream.alive = True
            upstream.state = UpstreamState.READY
        self._start_stopped_hosts()

    def _start_stopped_hosts(self) -> None:
        for name in HOSTS:
            if not self.simulation.hosts_by_name[name].alive:
                self.run.save_trace(self.simulation.hosts_by_name[name])
                self.simulation.start_host(name)

    def _drained(self) -> set[str]:
        """Return the upstreams that are drained in the view of any live host."""
        return {
            str(upstream.upstream_id)
            for host in self.simulation.live_hosts()
            if host.trace.view is not None
            for service in host.trace.view.services_by_number.values()
            for upstream in service.upstreams
            if upstream.drained
        }

    def _undrain_enough(self) -> list[str]:
        faults = []
        for name in sorted(self._drained())[1:]:
            faults += self._change(f'undrain upstream {name} of {SERVICE}')
        self.wait(IN_FORCE_SECONDS)
        return faults

    def _drain_one(self) -> tuple[set[str], list[str]]:
        free = [name for name in UPSTREAMS if name not in self._drained()]
        if not free:
            return set(), ['no upstream is left to drain: all are drained']
        faults = self._change(f'drain upstream {free[0]} of {SERVICE}')
        return self._drained() | {free[0]}, faults

    def _change(self, text: str) -> list[str]:
        """Make a change after healing; return a violation if it is not accepted."""
        apply_action(self.run, Action(0, 'statement', (text, None)))
        before = len(self.run.accepted)
        for _ in range(20):
            self.wait(0.25)
            if len(self.run.accepted) > before:
                return []
        return [f'change was not accepted within 5 s: {text}']

    def _make_calls(self) -> list[CallRecord]:
        """Make check-ins one after another and wait until all have ended."""
        records: list[CallRecord] = []
        for _ in range(CALLS_AFTER_HEALING):
            call = RequestCall(
                self.simulation, SERVICE, 'checkin', CALL_DEADLINE_SECONDS
            )
            records.append(call.record)
            self.wait(0.3)
        self.wait(CALL_DEADLINE_SECONDS + 1)
        return records

    def _failed_calls(self, records: list[CallRecord]) -> list[str]:
        late = [
            one.result.value
            for one in records
            if one.result is not Result.ANSWERED
            or one.finished - one.started > CALL_DEADLINE_SECONDS
        ]
        return (
            [f'new check-ins not answered before their deadline: {late}']
            if late
            else []
        )

    def _failed_flows(self, numbers_before: dict[object, int]) -> list[str]:
        return [
            f'flow of {one.endpoint}: {fault}'
            for one in self.simulation.flows
            if one.flow_id not in self.expected_losses
            and (fault := _flow_fault(one, numbers_before[one.endpoint]))
        ]


def _flow_fault(flow: FlowCaller, number_before: int) -> str:
    if flow.flow_id is None:
        return 'did not open'
    if flow.break_cause is not None:
        return f'broke at {flow.broken_at:.2f} s: {flow.break_cause}'
    return (
        ''
        if flow.last_number > number_before
        else f'no progress after entry {flow.last_number}'
    )
