"""Entry points of the three programs; each imports its command late."""

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
