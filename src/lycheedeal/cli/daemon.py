"""Runs ``lycheedeald`` as ``python -m lycheedeal.cli.daemon``."""

import sys

from lycheedeal.cli import run_daemon

if __name__ == '__main__':
    sys.exit(run_daemon())
