"""Time until a change of the configuration is in force on all hosts."""

import pytest

from tests.change_histories import DEPLOYMENTS, STABLE_SECONDS, ChangeHistory


@pytest.mark.parametrize(
    ('deployment', 'seeds'),
    [('15-hosts', range(60)), ('61-hosts', range(8)), ('119-hosts', range(2))],
)
def test_change_is_in_force_in_time_among_troubles(
    deployment: str, seeds: range
) -> None:
    """Guards against hosts that keep an outdated configuration."""
    for seed in seeds:
        history = ChangeHistory(DEPLOYMENTS[deployment], seed)
        history.play()
        assert not list(history.late_changes()), f'seed {seed}'


@pytest.mark.parametrize(('deployment', 'seed'), [('15-hosts', 11), ('61-hosts', 1)])
def test_change_is_in_force_in_time_if_idle_connections_are_silent(
    deployment: str, seed: int
) -> None:
    """Guards against a first call after a long time that waits for its timeout."""
    history = ChangeHistory(DEPLOYMENTS[deployment], seed)
    history.restart_all()
    history.silence_connections()
    history.simulation.run(STABLE_SECONDS)
    history.wait_for_confirmation()
    history.cut_leaders()
    history.change()
    history.simulation.run(STABLE_SECONDS)
    assert not list(history.late_changes())


@pytest.mark.parametrize('deployment', ['15-hosts', '61-hosts'])
def test_change_leads_to_no_new_leaders(deployment: str) -> None:
    """Guards against hosts that take a zone for outdated after each change."""
    history = ChangeHistory(DEPLOYMENTS[deployment], seed=1)
    history.simulation.keeps_records = True
    for _ in range(3):
        history.change()
        history.simulation.run(5)
    duties = [one for _, _, one in history.simulation.log if one.kind == 'duty']
    assert not duties
