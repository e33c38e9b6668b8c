"""Tests of the report of the demonstration and of its checks."""

from pathlib import Path
from typing import Any

import pytest

from demo import __main__ as demo
from demo._fleet import Fleet
from standins._log_counts import Counts

PASSING_COUNTS = {'flows_opened': 200, 'requests': 2000, 'whole_answers': 2000}


def _report_failures(tmp_path: Path, **changes: int) -> list[str]:
    unused: Any = None
    fleet = Fleet(tmp_path, unused, unused)
    demo.build_report(Counts(**{**PASSING_COUNTS, **changes}), fleet)
    return fleet.failures


def test_good_counts_pass(tmp_path: Path) -> None:
    """Guards against checks that fail although all guarantees hold."""
    assert _report_failures(tmp_path) == []


@pytest.mark.parametrize(
    'name',
    [
        'flows_broken_planned',
        'foreign_or_torn_answers',
        'ran_twice',
        'refused_but_ran',
        'misrouted',
    ],
)
def test_broken_guarantee_fails(tmp_path: Path, name: str) -> None:
    """Guards against a broken guarantee that is reported but does not fail the run."""
    assert _report_failures(tmp_path, **{name: 1}) == [f'{name} is not 0']


@pytest.mark.parametrize('name', ['flows_opened', 'requests'])
def test_too_little_traffic_fails(tmp_path: Path, name: str) -> None:
    """Guards against a pass because a run had too little traffic to break anything."""
    assert len(_report_failures(tmp_path, **{name: 10})) == 1


def test_work_after_drain_fails(tmp_path: Path) -> None:
    """Guards against a drained upstream that still starts work unnoticed."""
    log = tmp_path / 'up-1.upstream.log'
    log.write_text('{"event": "run_started", "token": "a", "at": 20}\n')
    unused: Any = None
    fleet = Fleet(tmp_path, unused, unused)
    fleet.drained_at_by_upstream = {'up-1': 10}
    demo.build_report(Counts(**PASSING_COUNTS), fleet)
    assert fleet.failures == ['work_after_drain is not 0']
