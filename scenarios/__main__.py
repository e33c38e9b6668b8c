"""Runs scenario files: ``python -m scenarios [run FILE...] [soak SEEDS]``."""

import argparse
import json
import sys
import time
from pathlib import Path

from scenarios import FILES, parse, run


def main() -> int:
    """Run the chosen scenarios and print one line for each check."""
    parser = argparse.ArgumentParser(prog='scenarios', description=__doc__)
    commands = parser.add_subparsers(dest='command', required=True)
    one = commands.add_parser('run', help='run scenario files once')
    one.add_argument('files', nargs='*', type=Path, help='default: all')
    one.add_argument('--seed', type=int, help='overrides the seed of the file')
    soak = commands.add_parser('soak', help='run all scenarios with many seeds')
    soak.add_argument('--seeds', type=int, default=10)
    arguments = parser.parse_args()
    if arguments.command == 'run':
        files = arguments.files or sorted(FILES.glob('*.scn'))
        return int(not all([_run_file(file, arguments.seed) for file in files]))
    results = [
        _run_file(file, seed)
        for seed in range(1, arguments.seeds + 1)
        for file in sorted(FILES.glob('*.scn'))
    ]
    return int(not all(results))


def _run_file(file: Path, seed: int | None) -> bool:
    began = time.perf_counter()
    scenario = parse(file.read_text())
    _, checks = run(scenario, seed=seed)
    passed = all(check.passed for check in checks)
    seconds = round(time.perf_counter() - began, 1)
    used = scenario.seed if seed is None else seed
    line = {'scenario': file.stem, 'seed': used, 'passed': passed, 'seconds': seconds}
    print(json.dumps(line), flush=True)
    for check in checks:
        print(f'  {check}', flush=True)
    return passed


if __name__ == '__main__':
    sys.exit(main())
