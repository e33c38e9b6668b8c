"""Selects the decisions that explain a flow, in the order of time."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.explaining._lines import LogLine, Skipped, read_lines
from lycheedeal.explaining._question import Question, covers

# What a host believed before a decision may have come this long before it, and
# what it learned too late this long after it, in seconds.
_BEFORE_SECONDS: Final = 15.0
_AFTER_SECONDS: Final = 5.0
# Lines about the process and its dependencies, which bear on each decision.
_HOST_KINDS: Final = frozenset(
    ('process', 'settings', 'store', 'duty', 'version', 'left out'),
)

# Those of other flows at the same upstream say nothing of this one.
_FLOW_KINDS: Final = frozenset(('opening', 'turned away'))


@dataclass(frozen=True, slots=True)
class Explanation:
    """Lines about the flow, lines that bear on them, and lines skipped."""

    flow: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    skipped: int


def explain(texts: Iterable[str], question: Question) -> Explanation:
    """Return what a stream of log lines says about a flow."""
    skipped = Skipped()
    lines = tuple(read_lines(texts, skipped))
    flow = tuple(_flow_lines(lines, question))
    context = tuple(_context_lines(lines, flow))
    return Explanation(flow, context, skipped.lines)


def explain_lines(explanation: Explanation) -> Iterator[str]:
    """Yield an explanation as text, seconds counted from the first decision."""
    if not explanation.flow:
        yield 'no decision about this flow: it met no host whose lines are here,'
        yield 'or its lines were left out'
    start = explanation.flow[0].at if explanation.flow else 0
    about = set(map(id, explanation.flow))
    for line in sorted(explanation.flow + explanation.context, key=lambda one: one.at):
        mark = '*' if id(line) in about else ' '
        details = ' '.join(f'{name}={line.details[name]}' for name in line.details)
        yield f'{mark} {line.at - start:+9.3f} s {line.host} {line.text} {details}'
    if explanation.skipped:
        yield f'{explanation.skipped} lines could not be read'


def _flow_lines(lines: Iterable[LogLine], question: Question) -> Iterator[LogLine]:
    prefix = f'{question.caller} > '
    for line in lines:
        flow = line.details.get('flow')
        if isinstance(flow, str) and flow.startswith(prefix):
            if covers(question, line.at):
                yield line


def _context_lines(
    lines: Iterable[LogLine],
    flow: tuple[LogLine, ...],
) -> Iterator[LogLine]:
    if not flow:
        return
    hosts = {line.host for line in flow}
    upstreams = {line.details.get('upstream') for line in flow} - {None}
    first = min(line.at for line in flow) - _BEFORE_SECONDS
    last = max(line.at for line in flow) + _AFTER_SECONDS
    about = set(map(id, flow))
    for line in lines:
        if line.host not in hosts or not first <= line.at <= last:
            continue
        bears = line.kind in _HOST_KINDS or line.details.get('upstream') in upstreams
        if bears and line.kind not in _FLOW_KINDS and id(line) not in about:
            yield line
