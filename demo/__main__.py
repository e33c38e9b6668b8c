"""Runs the end-to-end demonstration: ``python -m demo``.

Starts the platform, upstreams, daemons, fabric and callers as processes, drains
an upstream, stops and kills hosts during traffic, and checks the guarantees.
Progress goes to stderr; the report is one JSON line on stdout. The exit status
is 1 if a step or a check failed.
"""

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import aiohttp
import uvloop

# Importing these modules registers the handlers of the steps.
from demo import _faults, _operator, _plan, _startup, _traffic
from demo._fleet import ChildProcesses, DemoError, Fleet
from lycheedeal.model import UpstreamId
from standins import _log_counts

_HTTP_TIMEOUT_SECONDS: Final = 10
# With less traffic, counts of 0 would prove nothing.
_MIN_FLOWS: Final = 200
_MIN_REQUESTS: Final = 2000
# Counts of the report that break a guarantee unless they are 0.
_MUST_BE_ZERO: Final = (
    'flows_broken_planned',
    'foreign_or_torn_answers',
    'ran_twice',
    'refused_but_ran',
    'misrouted',
    'work_after_drain',
)
_STEP_MODULES: Final = (_faults, _operator, _startup, _traffic)
PLAN: Final[tuple[_plan.Step, ...]] = (
    _plan.StartPlatform(),
    _plan.StartUpstreams(),
    _plan.StartHosts(),
    _plan.StartFabric(),
    _plan.CreateServices(),
    _plan.MeasurePropagation(),
    _plan.StartCallers(),
    _plan.Wait(2),
    _plan.DrainOneUpstream(
        _startup.SERVICES[0],
        UpstreamId(f'{_startup.SERVICES[0]}-{_startup.ZONES[0]}-0'),
    ),
    _plan.Wait(1),
    _plan.StartPlatformOutage(5),
    _plan.StopOwner(_startup.ZONES[0]),
    _plan.Wait(1),
    _plan.KillOwner(_startup.ZONES[1]),
    _plan.Wait(4),
    _plan.MeasureControlCost(),
    _plan.FinishCallers(),
)


async def run_plan(fleet: Fleet) -> None:
    """Run all steps in order.

    The first step that fails is recorded in ``fleet.failures`` and ends the plan.
    """
    started = time.monotonic()
    for step in PLAN:
        elapsed = time.monotonic() - started
        print(f'{elapsed:5.1f} s  {step}', file=sys.stderr, flush=True)
        try:
            await _plan.run_step(step, fleet)
        except (DemoError, TimeoutError, aiohttp.ClientError, KeyError) as error:
            fleet.failures.append(f'{step}: {error!r}')
            return


def count_logs(fleet: Fleet) -> _log_counts.Counts:
    """Return the counts that the logs of all callers and upstreams add up to."""
    caller_lines = fleet.read_logs('*.caller.log')
    upstream_lines = fleet.read_logs('*.upstream.log')
    return _log_counts.count(
        _log_counts.read_caller_log(caller_lines),
        _log_counts.read_upstream_log(upstream_lines),
        fleet.crashes,
    )


def _count_work_after_drain(fleet: Fleet) -> int:
    total = 0
    for upstream_id, drained_at in fleet.drained_at_by_upstream.items():
        lines = fleet.read_logs(f'{upstream_id}.upstream.log')
        records = _log_counts.read_upstream_log(lines)
        total += _log_counts.count_work_after_drain(records, drained_at)
    return total


def build_report(counts: _log_counts.Counts, fleet: Fleet) -> dict[str, Any]:
    """Return the report as a JSON object.

    Appends to ``fleet.failures`` each broken guarantee and too little traffic.
    """
    report = {
        'flows_opened': counts.flows_opened,
        'flows_broken_planned': counts.flows_broken_planned,
        'flows_broken_crash': counts.flows_broken_crash,
        'requests': counts.requests,
        'whole_answers': counts.whole_answers,
        'foreign_or_torn_answers': counts.foreign_or_torn_answers,
        'ran_twice': counts.ran_twice,
        'refused_not_run': counts.refused_not_run,
        'refused_but_ran': counts.refused_but_ran,
        'outcome_unknown': counts.outcome_unknown,
        'unknown_without_crash': counts.unknown_without_crash,
        'not_sent': counts.not_sent,
        'misrouted': counts.misrouted,
        'work_after_drain': _count_work_after_drain(fleet),
        'longest_gap_seconds': round(counts.longest_gap_seconds, 2),
        'entries_missing': counts.entries_missing,
        'flow_errors': counts.flow_errors,
        'request_errors': counts.request_errors,
        'control_bytes_per_second_per_host': None,
        'api_calls_per_second': None,
        'config_in_force_seconds': None,
        **fleet.measurements,
    }
    fleet.failures.extend(f'{name} is not 0' for name in _MUST_BE_ZERO if report[name])
    if counts.flows_opened < _MIN_FLOWS:
        fleet.failures.append(f'fewer than {_MIN_FLOWS} flows were opened')
    if counts.requests < _MIN_REQUESTS:
        fleet.failures.append(f'fewer than {_MIN_REQUESTS} requests were sent')
    return report


async def run_demonstration(directory: Path) -> int:
    """Run the plan, print the report and return the exit status.

    SIGTERM and SIGINT cancel the run. Child processes are always ended.
    """
    started = time.monotonic()
    task = asyncio.current_task()
    if task is not None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
    timeout = aiohttp.ClientTimeout(total=_HTTP_TIMEOUT_SECONDS)
    processes = ChildProcesses(directory)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        fleet = Fleet(directory, processes, http)
        try:
            await run_plan(fleet)
        finally:
            await processes.close()
    report = build_report(count_logs(fleet), fleet)
    report['seconds'] = round(time.monotonic() - started, 1)
    if fleet.failures:
        print(f'demonstration failed; logs are in {directory}', file=sys.stderr)
        report['failures'] = fleet.failures
    print(json.dumps(report), flush=True)
    return 1 if fleet.failures else 0


def main() -> int:
    """Run the demonstration in a new temporary directory; return the exit status.

    The directory is removed after a success, unless ``--keep-logs`` is given.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--keep-logs', action='store_true', help='keep the logs after a success, too'
    )
    arguments = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix='lycheedeal-demo-'))
    try:
        status = uvloop.run(run_demonstration(directory))
    except asyncio.CancelledError:
        print(
            f'demonstration stopped by a signal; logs are in {directory}',
            file=sys.stderr,
        )
        return 1
    if arguments.keep_logs:
        print(f'logs are in {directory}', file=sys.stderr)
    elif status == 0:
        shutil.rmtree(directory)
    return status


if __name__ == '__main__':
    sys.exit(main())
