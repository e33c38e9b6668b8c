"""Selects the log lines that explain a flow and formats them by time."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.explaining._lines import LogLine, SkipCounter, read_lines
from lycheedeal.explaining._query import Query, is_in_range

# Context is searched this long before the first line of the flow, for the state
# that the decisions were based on, and this long after the last one, for changes
# that the host learned of too late.
_CONTEXT_BEFORE_SECONDS: Final = 15.0
_CONTEXT_AFTER_SECONDS: Final = 5.0
# Lines about the process and its dependencies, which affect every decision.
_HOST_KINDS: Final = frozenset(
    ('process', 'settings', 'store', 'duty', 'version', 'left out'),
)

# Lines about single flows: those of other flows at the same upstream are no context.
_FLOW_KINDS: Final = frozenset(('opening', 'turned away'))


@dataclass(frozen=True, slots=True)
class Explanation:
    """Lines about the flow, related lines, and the number of unreadable lines.

    ``flow`` and ``context`` are in the order of the input.
    """

    flow: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    skipped: int


def explain(texts: Iterable[str], query: Query) -> Explanation:
    """Return the lines of a log that explain the flow of a query."""
    skipped = SkipCounter()
    lines = tuple(read_lines(texts, skipped))
    flow = tuple(_flow_lines(lines, query))
    context = tuple(_context_lines(lines, flow))
    return Explanation(flow, context, skipped.lines)


def format_explanation(explanation: Explanation) -> Iterator[str]:
    """Yield an explanation as text lines, sorted by time.

    Times are seconds since the first line of the flow; ``*`` marks lines of
    the flow itself.
    """
    if not explanation.flow:
        yield 'no decision about this flow: no host in this log handled it,'
        yield 'or its lines were dropped by the rate limit or a full output buffer'
    start = explanation.flow[0].time if explanation.flow else 0
    flow_line_ids = set(map(id, explanation.flow))
    for line in sorted(
        explanation.flow + explanation.context, key=lambda entry: entry.time
    ):
        mark = '*' if id(line) in flow_line_ids else ' '
        details = ' '.join(f'{name}={line.details[name]}' for name in line.details)
        yield f'{mark} {line.time - start:+9.3f} s {line.host} {line.text} {details}'
    if explanation.skipped:
        yield f'{explanation.skipped} lines skipped: truncated or not from lychee-relay'


def _flow_lines(lines: Iterable[LogLine], query: Query) -> Iterator[LogLine]:
    prefix = f'{query.caller} > '
    for line in lines:
        flow = line.details.get('flow')
        if isinstance(flow, str) and flow.startswith(prefix):
            if is_in_range(query, line.time):
                yield line


def _context_lines(
    lines: Iterable[LogLine],
    flow: tuple[LogLine, ...],
) -> Iterator[LogLine]:
    if not flow:
        return
    hosts = {line.host for line in flow}
    upstreams = {line.details.get('upstream') for line in flow} - {None}
    first = min(line.time for line in flow) - _CONTEXT_BEFORE_SECONDS
    last = max(line.time for line in flow) + _CONTEXT_AFTER_SECONDS
    flow_line_ids = set(map(id, flow))
    for line in lines:
        if line.host not in hosts or not first <= line.time <= last:
            continue
        is_related = (
            line.kind in _HOST_KINDS or line.details.get('upstream') in upstreams
        )
        if (
            is_related
            and line.kind not in _FLOW_KINDS
            and id(line) not in flow_line_ids
        ):
            yield line
