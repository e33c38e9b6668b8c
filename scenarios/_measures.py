"""Measures of a finished scenario.

Traffic is counted at callers and upstreams, not from what hosts report. Spans
and times are seconds of scenario time, which starts after the set-up.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from scenarios._callers import CallRecord, Result

if TYPE_CHECKING:
    from scenarios._runner import ScenarioRun

Span = tuple[float, float]


def count(run: 'ScenarioRun', name: str) -> float:
    """Return the counter that the scenario language calls ``name``."""
    return _COUNTERS[name](run)


def goodput(run: 'ScenarioRun', kind: str, span: Span) -> float:
    """Return answers per second in a span, of one kind or of ``all``."""
    begin, end = span
    answered = sum(
        one.result is Result.ANSWERED
        and kind in {one.kind, 'all'}
        and begin <= one.finished - run.start < end
        for one in run.simulation.calls
    )
    return answered / (end - begin)


def served(run: 'ScenarioRun', kind: str, span: Span) -> float:
    """Return the fraction of calls of a kind, started in a span, that were answered.

    NaN, which meets no bound, if no call started.
    """
    begin, end = span
    started = [
        one
        for one in run.simulation.calls
        if one.kind == kind and begin <= one.started - run.start < end
    ]
    answered = sum(one.result is Result.ANSWERED for one in started)
    return answered / len(started) if started else math.nan


def imbalance(run: 'ScenarioRun', what: str, service: str, span: Span) -> float:
    """Return the maximum over the mean of the load of a service's upstreams.

    The load is the number of open flows or the time spent on runs; infinite
    if there was none.
    """
    names = [
        name
        for name in run.simulation.upstreams_by_name
        if name.startswith(f'{service}-')
    ]
    measured: Mapping[str, float] = (
        _flow_seconds(run, span) if what == 'flows' else _busy_seconds(run, span)
    )
    totals = {name: measured[name] for name in names}
    mean = sum(totals.values()) / max(len(totals), 1)
    return max(totals.values()) / mean if mean else math.inf


def _flow_seconds(run: 'ScenarioRun', span: Span) -> Counter[str]:
    totals: Counter[str] = Counter()
    for sample in run.samples:
        if span[0] <= sample.time < span[1]:
            totals.update(sample.flows)
    return totals


def _busy_seconds(run: 'ScenarioRun', span: Span) -> defaultdict[str, float]:
    begin, end = (run.start + one for one in span)
    totals: defaultdict[str, float] = defaultdict(float)
    for one in run.simulation.runs:
        overlap = min(one.ended, end) - max(one.started, begin)
        if overlap > 0:
            totals[one.upstream] += overlap
    return totals


def work_after(run: 'ScenarioRun', upstream: str, after: float) -> float:
    """Return how many runs and flows started on an upstream after a time."""
    begin = run.start + after
    started = sum(
        one.upstream == upstream and one.started > begin for one in run.simulation.runs
    )
    opened = run.simulation.upstreams_by_name[upstream].flow_open_times
    return started + sum(when > begin for when in opened)


def in_force(run: 'ScenarioRun') -> float:
    """Return the longest time from a change's acceptance to its use on a live host.

    Infinite if a live host did not apply a change. For a host that started
    later the time counts from its start.
    """
    longest = 0.0
    for change in run.accepted:
        for host in run.simulation.live_hosts():
            later = [
                when
                for (shard, generation), when in host.trace.in_force.items()
                if shard == change.shard and generation >= change.generation
            ]
            begin = max(change.time, host.trace.started)
            longest = max(longest, min(later, default=math.inf) - begin)
    return longest


def control(run: 'ScenarioRun') -> float:
    """Return control bytes per second of the live host that sent the most."""
    span = run.simulation.time.now
    return max(one.trace.control_bytes for one in run.simulation.live_hosts()) / span


def recovery(run: 'ScenarioRun', kind: str, after: float) -> float:
    """Return seconds from a time to the last call of a kind not answered within 1 s."""
    begin = run.start + after
    late = [
        one.started
        for one in run.simulation.calls
        if one.kind == kind and one.started >= begin and not _is_prompt(one)
    ]
    return max(late, default=begin) - begin


def _is_prompt(call: CallRecord) -> bool:
    return call.result is Result.ANSWERED and call.finished - call.started <= 1


def _ran_twice(run: 'ScenarioRun') -> float:
    idempotent = {one.name for one in run.scenario.kinds if one.idempotent}
    kinds_by_token = {
        one.token: one.kind for call in run.simulation.calls for one in call.submissions
    }
    runs = Counter(one.token for one in run.simulation.runs)
    return sum(
        times > 1 and kinds_by_token.get(token) not in idempotent
        for token, times in runs.items()
    )


def _refused_but_ran(run: 'ScenarioRun') -> float:
    ran = {one.token for one in run.simulation.runs}
    return sum(
        one.result is Result.NOT_RUN and one.token in ran
        for call in run.simulation.calls
        for one in call.submissions
    )


def _late_runs(run: 'ScenarioRun') -> float:
    return sum(one.started > one.deadline for one in run.simulation.runs)


def _call_count(*results: Result) -> Callable[['ScenarioRun'], float]:
    def counter(run: 'ScenarioRun') -> float:
        return sum(one.result in results for one in run.simulation.calls)

    return counter


def _flow_count(condition: Callable[[Any], bool]) -> Callable[['ScenarioRun'], float]:
    def counter(run: 'ScenarioRun') -> float:
        return sum(condition(flow) for flow in run.simulation.flows)

    return counter


def _behind(run: 'ScenarioRun') -> float:
    """Count live hosts that lack the newest generation of any shard."""
    newest: Counter[int] = Counter()
    for host in run.simulation.live_hosts():
        for shard, generation in host.trace.generations.items():
            newest[shard] = max(newest[shard], generation)
    for change in run.accepted:
        newest[change.shard] = max(newest[change.shard], change.generation)
    return sum(
        any(host.trace.generations.get(shard, 0) < top for shard, top in newest.items())
        for host in run.simulation.live_hosts()
    )


def _metric_total(name: str) -> Callable[['ScenarioRun'], float]:
    def counter(run: 'ScenarioRun') -> float:
        return sum(trace.metrics[name] for _, trace in run.traces)

    return counter


_COUNTERS: dict[str, Callable[['ScenarioRun'], float]] = {
    'flows_broken': _flow_count(lambda one: one.break_cause is not None),
    'flows_stalled': _flow_count(lambda one: one.has_stalled),
    'flows_open': _flow_count(
        lambda one: one.flow_id is not None and one.break_cause is None
    ),
    'ran_twice': _ran_twice,
    'refused_but_ran': _refused_but_ran,
    'late_runs': _late_runs,
    'foreign_answers': lambda run: (
        sum(one.foreign_answers for one in run.simulation.calls)
        + run.simulation.foreign_packets
    ),
    'misrouted': lambda run: sum(
        one.misrouted for one in run.simulation.upstreams_by_name.values()
    ),
    'reverted': lambda run: sum(trace.reverted for _, trace in run.traces),
    'regressions': lambda run: sum(
        trace.refused['CONFIGURATION_REGRESSED'] for _, trace in run.traces
    ),
    'behind': _behind,
    'answered': _call_count(Result.ANSWERED),
    'unanswered': _call_count(Result.GAVE_UP, Result.SILENT),
    'outcome_unknown': _call_count(Result.UNKNOWN, Result.SILENT),
    'path_switches': _metric_total('path_switches'),
    'exit_failures': lambda run: run.exit_failures,
    'accepted': lambda run: len(run.accepted),
    'conflicts': lambda run: run.conflicts,
}

MEASURES: dict[str, Callable[..., float]] = {
    'count': count,
    'goodput': goodput,
    'served': served,
    'imbalance': imbalance,
    'work_after': work_after,
    'in_force': in_force,
    'control': control,
    'recovery': recovery,
}
