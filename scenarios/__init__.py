"""Scenario files and their runner on virtual time."""

from pathlib import Path

from scenarios._language import Scenario, ScenarioError, parse
from scenarios._runner import Check, Run, run
from scenarios._world import World

FILES = Path(__file__).with_name('files')

__all__ = (
    'FILES',
    'Check',
    'Run',
    'Scenario',
    'ScenarioError',
    'World',
    'parse',
    'run',
)
