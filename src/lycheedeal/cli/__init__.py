"""Entry points of the programs ``lycheedeald``, ``lycheectl`` and ``lychee-burn``.

The module of a command is imported only when its program runs.
"""

from lycheedeal.cli._program import run_program


def run_daemon() -> int:
    """Run ``lycheedeald`` and return its exit code."""
    return run_program('lycheedeald')


def run_ctl() -> int:
    """Run ``lycheectl`` and return its exit code."""
    return run_program('lycheectl')


def run_burn() -> int:
    """Run ``lychee-burn`` and return its exit code."""
    return run_program('lychee-burn')
