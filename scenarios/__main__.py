"""Runs scenario files: ``python -m scenarios run|soak [FILE...]``."""

import argparse
import json
import sys
import time
from pathlib import Path

from scenarios import FILES, parse, run
from scenarios._soak import Completed, Outcome, Raised, soak


def main() -> int:
    """Run the chosen scenarios; the exit status is 1 if a check failed."""
    parser = argparse.ArgumentParser(prog='scenarios', description=__doc__)
    commands = parser.add_subparsers(dest='command', required=True)
    run_parser = commands.add_parser(
        'run', help='run each scenario file once and print its checks'
    )
    run_parser.add_argument('files', nargs='*', type=Path, help='default: all')
    run_parser.add_argument(
        '--seed', type=int, help='use this seed instead of that of the file'
    )
    soak_parser = commands.add_parser(
        'soak', help='run each scenario file with many seeds and print what failed'
    )
    soak_parser.add_argument('files', nargs='*', type=Path, help='default: all')
    soak_parser.add_argument(
        '--seeds', type=int, default=10, help='run with seeds 1 to N'
    )
    arguments = parser.parse_args()
    files = arguments.files or sorted(FILES.glob('*.scn'))
    if arguments.command == 'run':
        return int(not all([_run_file(file, arguments.seed) for file in files]))
    return int(not all([_soak_file(file, arguments.seeds) for file in files]))


def _soak_file(file: Path, seeds: int) -> bool:
    text = file.read_text()
    summary = soak(file.stem, lambda: parse(text), range(1, seeds + 1), _report)
    print(json.dumps(summary.as_row()), flush=True)
    return summary.passed


def _report(outcome: Outcome) -> None:
    match outcome:
        case Completed(seed=seed, failed=failed):
            for check in failed:
                print(f'  seed {seed}: {check}', flush=True)
        case Raised(seed=seed, error=error):
            print(f'  seed {seed}: raised {error!r}', flush=True)


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
