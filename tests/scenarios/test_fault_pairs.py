"""Any combination of faults must not violate a guarantee.

Faults occur at any moment, together and repeatedly. A failure prints the seed
and the steps; calling ``do`` of ``FaultTrial(seed)`` with each step replays it.

With ``derandomize`` Hypothesis derives its choices from the source text of the
state machine, so a change to the class, other than to comments, selects other
sequences of faults.
"""

from hypothesis import HealthCheck, Phase, note, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.scenarios.fault_trial import HOSTS, SERVICE, UPSTREAMS, ZONES, FaultTrial

hosts = st.sampled_from(HOSTS)
upstreams = st.sampled_from(UPSTREAMS)
zones = st.sampled_from(ZONES)
# The shortest fault ends before failure detectors react, the longest afterwards.
durations = st.sampled_from(('1s', '4s', '15s'))


class FaultPairs(RuleBasedStateMachine):
    """Guards against faults that are handled alone but not together."""

    trial: FaultTrial

    @initialize(seed=st.integers(1, 2**16))
    def start(self, seed: int) -> None:
        self.trial = FaultTrial(seed)

    @rule(seconds=st.sampled_from(('0.5s', '1s', '2s', '5s', '10s')))
    def wait(self, seconds: str) -> None:
        self.trial.do(f'wait {seconds}')

    # Hosts

    @rule(host=hosts)
    def kill_host(self, host: str) -> None:
        self.trial.do(f'kill host {host}')

    @rule(host=hosts)
    def start_host(self, host: str) -> None:
        self.trial.do(f'start host {host}')

    @rule(host=hosts)
    def stop_host(self, host: str) -> None:
        self.trial.do(f'stop host {host}')

    @rule(host=hosts, seconds=st.sampled_from(('3s', '30s')))
    def freeze_host(self, host: str, seconds: str) -> None:
        self.trial.do(f'freeze host {host} for {seconds}')

    # Links

    @rule(seconds=durations)
    def cut_zones(self, seconds: str) -> None:
        self.trial.do(f'cut {ZONES[0]} from {ZONES[1]} for {seconds}')

    @rule(zone=zones, seconds=durations)
    def cut_platform(self, zone: str, seconds: str) -> None:
        self.trial.do(f'cut {zone} from platform for {seconds}')

    @rule(
        places=st.permutations((*ZONES, 'platform')).map(lambda one: one[:2]),
        seconds=durations,
    )
    def cut_one_way(self, places: list[str], seconds: str) -> None:
        self.trial.do(f'cut {places[0]} to {places[1]} for {seconds}')

    @rule(seconds=durations)
    def lose_and_duplicate(self, seconds: str) -> None:
        self.trial.do(f'lose 10% for {seconds} + duplicate 10% for {seconds}')

    # Platform

    @rule(seconds=durations)
    def platform_down(self, seconds: str) -> None:
        self.trial.do(f'platform down for {seconds}')

    @rule(delay=st.sampled_from(('300ms', '1500ms')), seconds=durations)
    def platform_slow(self, delay: str, seconds: str) -> None:
        self.trial.do(f'platform slow {delay} for {seconds}')

    @rule(seconds=durations)
    def platform_stale(self, seconds: str) -> None:
        self.trial.do(f'platform stale for {seconds}')

    @rule()
    def lose_answer(self) -> None:
        self.trial.do('lose answer')

    @rule()
    def recreate_configuration(self) -> None:
        self.trial.do(f'recreate configuration of {SERVICE}')

    # Operators

    @rule()
    def restore_configuration(self) -> None:
        self.trial.do(f'statement "restore configuration of {SERVICE}"')

    @rule(upstream=upstreams)
    def drain(self, upstream: str) -> None:
        self.trial.do(f'statement "drain upstream {upstream} of {SERVICE}"')

    @rule(upstream=upstreams)
    def undrain(self, upstream: str) -> None:
        self.trial.do(f'statement "undrain upstream {upstream} of {SERVICE}"')

    @rule(first=upstreams, second=upstreams)
    def race(self, first: str, second: str) -> None:
        self.trial.do(
            f'statement "drain upstream {first} of {SERVICE}"'
            f' + statement "undrain upstream {second} of {SERVICE}"'
        )

    # Upstreams

    @rule(upstream=upstreams)
    def upstream_leaves(self, upstream: str) -> None:
        self.trial.do(f'leave upstream {upstream}')

    @rule(upstream=upstreams)
    def upstream_crashes(self, upstream: str) -> None:
        self.trial.do(f'crash upstream {upstream}')

    @rule(upstream=upstreams)
    def upstream_returns(self, upstream: str) -> None:
        self.trial.do(f'revive upstream {upstream}')

    @rule(upstream=upstreams)
    def address_is_reused(self, upstream: str) -> None:
        self.trial.do(f'reuse address of {upstream} as reparo')

    @rule(upstream=upstreams)
    def upstream_lies(self, upstream: str) -> None:
        self.trial.do(f'lie upstream {upstream}')

    @rule(upstream=upstreams, host=hosts)
    def path_goes_silent(self, upstream: str, host: str) -> None:
        self.trial.do(f'silence upstream {upstream} for host {host}')

    # Load

    @rule()
    def flood(self) -> None:
        self.trial.do(f'flood backlog of {SERVICE} x 5 for 2s')

    # Checks

    @invariant()
    def nothing_is_broken(self) -> None:
        self._check(self.trial.violations())

    def teardown(self) -> None:
        if hasattr(self, 'trial'):
            self._check(self.trial.violations_at_end())

    def _check(self, violations: list[str]) -> None:
        if violations:
            note(f'seed {self.trial.seed}: {self.trial.steps}')
        assert not violations


FaultPairs.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=15,
    stateful_step_count=12,
    # No shrinking, which takes minutes; the printed steps replay a failure.
    phases=(Phase.generate,),
    suppress_health_check=tuple(HealthCheck),
)
TestFaultPairs = FaultPairs.TestCase
