"""Checks of a fault trial must detect the violations that they are for."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

import pytest

from tests.scenarios.fault_trial import HOSTS, SERVICE, FaultTrial
from tests.scenarios.test_mechanisms import (
    drains_ignored,
    every_generation_applied,
    no_identity_check,
    steering_by_hash,
)

Switch = Callable[[], AbstractContextManager[Any]]
DRAIN = f'statement "drain upstream {SERVICE}-1 of {SERVICE}"'
# Feeds are then forwarded by a host other than the one that opened them.
KILLS = tuple(f'kill host {host}' for host in HOSTS[:-1])

CASES: tuple[tuple[Switch, tuple[str, ...], str], ...] = (
    (no_identity_check, (f'reuse address of {SERVICE}-1 as reparo',), 'misrouted'),
    (
        every_generation_applied,
        (f'recreate configuration of {SERVICE}',),
        'reverted',
    ),
    (drains_ignored, (DRAIN,), f'new work on drained {SERVICE}-1'),
    (steering_by_hash, ('wait 7s', *KILLS), 'flow of'),
)


@pytest.mark.parametrize(
    ('switch', 'steps', 'expected'),
    CASES,
    ids=[switch.__name__ for switch, _, _ in CASES],
)
def test_trial_fails_without_mechanism(
    switch: Switch,
    steps: tuple[str, ...],
    expected: str,
) -> None:
    """Guards against a trial that passes although a mechanism is missing."""
    with switch():
        trial = FaultTrial(3)
        for step in (*steps, 'wait 3s'):
            trial.do(step)
        found = trial.violations_at_end()
    assert any(one.startswith(expected) for one in found)


def test_trial_without_faults_passes() -> None:
    """Guards against checks that fail without faults."""
    trial = FaultTrial(3)
    trial.do('wait 5s')
    assert not trial.violations()
    assert not trial.violations_at_end()


def test_crash_of_an_upstream_breaks_only_its_flows() -> None:
    """Guards against ignoring broken flows of upstreams that did not crash."""
    trial = FaultTrial(3)
    trial.do('wait 7s')
    own = set(trial.simulation.upstreams_by_name[f'{SERVICE}-1'].flows)
    trial.do(f'crash upstream {SERVICE}-1')
    trial.do('wait 3s')
    assert own
    assert trial.expected_losses == own
    assert not trial.violations_at_end()


def test_last_host_is_not_killed() -> None:
    """Guards against killing all hosts, which loses configuration by design."""
    trial = FaultTrial(3)
    for name in tuple(trial.simulation.hosts_by_name):
        trial.do(f'kill host {name}')
    assert len(trial.simulation.live_hosts()) == 1
