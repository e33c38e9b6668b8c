"""Every scenario file must meet its bounds with its own seed."""

from pathlib import Path

import pytest

from scenarios import FILES, ScenarioError, parse, run


@pytest.mark.parametrize('file', sorted(FILES.glob('*.scn')), ids=lambda one: one.stem)
def test_scenario_meets_its_bounds(file: Path) -> None:
    """Guards against the violation that the comment of the file describes."""
    _, checks = run(parse(file.read_text()))
    failed = [str(check) for check in checks if not check.passed]
    assert checks
    assert not failed


def test_fault_in_a_file_names_its_location() -> None:
    """Guards against accepting a scenario whose check is misspelled."""
    with pytest.raises(ScenarioError, match='line 2'):
        parse('seed 1\nexpect nothing = 0\n')
