"""Simulated scenarios: hosts with the real kernel and plug-ins, on virtual time.

A scenario file describes zones, services, load and a timeline of faults, and
bounds that measures of the run must meet. Callers, upstreams, network and
platform are simulated; no sockets or threads are used.
"""

from pathlib import Path

from scenarios._language import Scenario, ScenarioError, parse
from scenarios._runner import Check, ScenarioRun, run
from scenarios._simulation import Simulation

FILES = Path(__file__).with_name('files')

__all__ = (
    'FILES',
    'Check',
    'Scenario',
    'ScenarioError',
    'ScenarioRun',
    'Simulation',
    'parse',
    'run',
)
