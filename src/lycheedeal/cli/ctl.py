"""Runs ``lycheectl`` as ``python -m lycheedeal.cli.ctl``."""

import sys

from lycheedeal.cli import run_ctl

if __name__ == '__main__':
    sys.exit(run_ctl())
