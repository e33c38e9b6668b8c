"""A soak of scenarios must report each failed measure with its seeds."""

from typing import Any
from unittest.mock import patch

from scenarios import Scenario, parse
from scenarios._soak import Completed, Outcome, Raised, soak


def short(bound: str) -> Scenario:
    """Return a short scenario without load, which has 0 answers."""
    return parse(
        'zone coyhaique hosts 1\n'
        'service bitacora-api in coyhaique upstreams 1\n'
        'until 1s\n'
        f'expect answered {bound}\n'
    )


def test_missed_bound_is_listed_with_its_seeds() -> None:
    """Guards against a soak that ignores a missed bound."""
    seen: list[Outcome] = []
    summary = soak('short', lambda: short('>= 1'), (4, 5), seen.append)
    assert summary.as_row() == {
        'scenario': 'short',
        'seeds': 2,
        'failures': {'count answered': [4, 5]},
    }
    assert not summary.passed
    assert all(isinstance(one, Completed) for one in seen)


def test_met_bound_passes() -> None:
    """Guards against a soak that fails although all bounds are met."""
    summary = soak('short', lambda: short('= 0'), (4,), lambda _: None)
    assert summary.passed
    assert summary.seeds == 1


def test_raised_exception_is_a_failure_and_the_soak_goes_on() -> None:
    """Guards against an exception that ends the soak before the later seeds."""

    def fail_first(scenario: Scenario, seed: int) -> Any:
        if seed == 1:
            raise KeyError(seed)
        return None, []

    seen: list[Outcome] = []
    with patch('scenarios._soak.run', fail_first):
        summary = soak('short', lambda: short('= 0'), (1, 2), seen.append)
    assert summary.as_row()['failures'] == {'raised KeyError': [1]}
    assert [type(one) for one in seen] == [Raised, Completed]
