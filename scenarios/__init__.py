"""Scenario files and their runner on virtual time."""

from pathlib import Path

from scenarios._language import Scenario, ScenarioError, parse
from scenarios._runner import Check, ScenarioRun, run
from scenarios._simulation import Simulation

FILES = Path(__file__).with_name('files')

__all__ = (
    'FILES',
    'Check',
    'ScenarioRun',
    'Scenario',
    'ScenarioError',
    'Simulation',
    'parse',
    'run',
)
