"""Runs ``lychee-burn`` as ``python -m lycheedeal.cli.burn``."""

import sys

from lycheedeal.cli import run_burn

if __name__ == '__main__':
    sys.exit(run_burn())
