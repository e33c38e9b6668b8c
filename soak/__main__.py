"""Command line of the soak test.

Usage: ``python -m soak SEED [SEEDS] [--seconds S] [--keep DIR]``.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from soak.run import run_soak


def main() -> int:
    """Run consecutive seeds; return 1 if any of them violated a guarantee."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('seed', type=int)
    parser.add_argument('seeds', type=int, nargs='?', default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--keep', type=Path, default=None)
    options = parser.parse_args()
    # SIGTERM raises KeyboardInterrupt, so that the relays started here are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = options.keep or Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        folder.mkdir(parents=True, exist_ok=True)
        findings = asyncio.run(run_soak(seed, options.seconds, folder))
        state = 'FAILED' if findings.violations else 'passed'
        print(f'seed {seed}: {state} {findings.counts}', flush=True)
        if findings.violations:
            failed += 1
            print(*findings.violations, *findings.events, sep='\n', flush=True)
            print(f'logs: {folder}', flush=True)
    print(f'{options.seeds - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
