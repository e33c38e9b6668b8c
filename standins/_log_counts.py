"""Counts computed from the log files of callers and upstreams.

The counts do not rely on what hosts report: outcomes that callers were told
are compared with the runs that upstreams logged.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from standins._caller import RequestOutcome

# Keepalives are answered every second, so a flow without any packet for this
# long when its caller stops is broken, although the caller was not told.
_SILENCE_LIMIT_SECONDS: Final = 5.0
# Every host must know of a drain within this time.
_DRAIN_BOUND_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream started to run a request; ``at`` is Unix time."""

    token: str
    at: float


@dataclass(frozen=True, slots=True)
class FlowAccepted:
    """An upstream accepted a long flow; ``at`` is Unix time."""

    at: float


@dataclass(frozen=True, slots=True)
class Misrouted:
    """An upstream received a flow, run or packet of another service."""

    what: str


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller submitted a request."""

    token: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended for its caller.

    ``error`` is empty for an answer; ``owner`` is the host address in the
    flow id, empty if the request was never sent.
    """

    token: str
    outcome: RequestOutcome
    error: str
    owner: str


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """A caller received an answer on a flow of another caller."""


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """A caller opened a long flow."""

    flow_id: str


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """A long flow ended for its caller; ``at`` is Unix time.

    An empty ``cause`` means that the caller closed it; ``missing`` is the
    number of entries not received.
    """

    flow_id: str
    cause: str
    at: float
    missing: int
    silent_seconds: float
    longest_gap: float

    def is_broken(self) -> bool:
        """Return whether the flow broke before the caller closed it."""
        return bool(self.cause) or self.silent_seconds > _SILENCE_LIMIT_SECONDS


CallerLogRecord = (
    RequestSubmitted | RequestEnded | ForeignAnswer | FlowOpened | FlowEnded
)
UpstreamLogRecord = RunStarted | FlowAccepted | Misrouted


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a host; times are Unix time.

    Flows that break between ``start`` and ``end`` are attributed to it, and so
    are unknown outcomes of requests whose flow id names this owner.
    """

    owner: str
    start: float
    end: float

    def covers(self, moment: float) -> bool:
        """Return whether a Unix time lies within the crash, ends included."""
        return self.start <= moment <= self.end


@dataclass(slots=True)
class Counts:
    """Counts over all callers and upstreams.

    ``flow_errors`` and ``request_errors`` count by the name of the cause.
    """

    flows_opened: int = 0
    flows_broken_planned: int = 0
    flows_broken_crash: int = 0
    requests: int = 0
    whole_answers: int = 0
    foreign_or_torn_answers: int = 0
    ran_twice: int = 0
    idempotent_reruns: int = 0
    refused_not_run: int = 0
    refused_but_ran: int = 0
    outcome_unknown: int = 0
    unknown_without_crash: int = 0
    not_sent: int = 0
    misrouted: int = 0
    entries_missing: int = 0
    longest_gap_seconds: float = 0
    flow_errors: dict[str, int] = field(default_factory=dict)
    request_errors: dict[str, int] = field(default_factory=dict)


def read_lines(text: bytes) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log up to the first that does not decode.

    A killed writer leaves its last line truncated.
    """
    for line in text.splitlines():
        try:
            yield msgspec.json.decode(line)
        except msgspec.DecodeError:
            return


def read_caller_log(lines: Iterable[Mapping[str, Any]]) -> Iterator[CallerLogRecord]:
    """Yield the events of requests and flows in the log of a caller."""
    for line in lines:
        match line:
            case {'event': 'request_submitted', 'token': token, 'idempotent': flag}:
                yield RequestSubmitted(token, flag)
            case {'event': 'request_ended', 'token': token, 'outcome': outcome}:
                yield RequestEnded(
                    token,
                    RequestOutcome(outcome),
                    line['error'],
                    line['owner'],
                )
            case {'event': 'foreign_answer'}:
                yield ForeignAnswer()
            case {'event': 'flow_opened', 'flow_id': flow_id}:
                yield FlowOpened(flow_id)
            case {'event': 'flow_ended', 'flow_id': flow_id, 'cause': cause}:
                yield FlowEnded(
                    flow_id,
                    cause,
                    line['at'],
                    line['missing'],
                    line['silent_seconds'],
                    line['longest_gap'],
                )


def read_upstream_log(
    lines: Iterable[Mapping[str, Any]],
) -> Iterator[UpstreamLogRecord]:
    """Yield the events of runs, flows and misrouting in an upstream's log."""
    for line in lines:
        match line:
            case {'event': 'run_started', 'token': token}:
                yield RunStarted(token, line['at'])
            case {'event': 'flow_opened', 'at': at}:
                yield FlowAccepted(at)
            case {'event': 'misrouted', 'what': what}:
                yield Misrouted(what)


def count(
    callers: Iterable[CallerLogRecord],
    upstreams: Iterable[UpstreamLogRecord],
    crashes: Iterable[Crash] = (),
) -> Counts:
    """Return the counts of all records.

    Broken flows and unknown outcomes that no crash explains are counted
    separately, as caused by planned changes.
    """
    counts = Counts()
    known_crashes = tuple(crashes)
    idempotent_by_token: dict[str, bool] = {}
    ends_by_token: dict[str, RequestEnded] = {}
    open_flows: set[str] = set()
    for record in callers:
        match record:
            case RequestSubmitted(token, idempotent):
                idempotent_by_token[token] = idempotent
            case RequestEnded() as ended_request:
                ends_by_token[ended_request.token] = ended_request
            case ForeignAnswer():
                counts.foreign_or_torn_answers += 1
            case FlowOpened(flow_id):
                counts.flows_opened += 1
                open_flows.add(flow_id)
            case FlowEnded() as ended:
                open_flows.discard(ended.flow_id)
                _count_flow(counts, ended, known_crashes)
    # A flow without an end in the log counts as broken.
    counts.flows_broken_planned += len(open_flows)
    runs_by_token: Counter[str] = Counter()
    for entry in upstreams:
        match entry:
            case RunStarted(token):
                runs_by_token[token] += 1
            case Misrouted():
                counts.misrouted += 1
            case FlowAccepted():
                # Used only by count_work_after_drain.
                continue
    counts.requests = len(idempotent_by_token)
    for token, idempotent in idempotent_by_token.items():
        ended_request = ends_by_token.get(token, _unended_request(token))
        _count_runs(counts, idempotent, runs_by_token[token])
        _count_request(counts, ended_request, runs_by_token[token], known_crashes)
    return counts


def count_work_after_drain(
    upstream: Iterable[UpstreamLogRecord],
    drained_at: float,
) -> int:
    """Return how many runs and flows one upstream got too late after a drain.

    ``drained_at`` is the Unix time of the drain; work within the bound for
    spreading it to all hosts is not counted.
    """
    return sum(
        isinstance(record, RunStarted | FlowAccepted)
        and record.at > drained_at + _DRAIN_BOUND_SECONDS
        for record in upstream
    )


def _count_flow(counts: Counts, ended: FlowEnded, crashes: tuple[Crash, ...]) -> None:
    counts.entries_missing += ended.missing
    counts.longest_gap_seconds = max(counts.longest_gap_seconds, ended.longest_gap)
    if not ended.is_broken():
        return
    cause = ended.cause or 'SILENT'
    counts.flow_errors[cause] = counts.flow_errors.get(cause, 0) + 1
    if any(crash.covers(ended.at) for crash in crashes):
        counts.flows_broken_crash += 1
    else:
        counts.flows_broken_planned += 1


def _count_runs(counts: Counts, idempotent: bool, runs: int) -> None:
    if runs > 1 and idempotent:
        counts.idempotent_reruns += 1
    elif runs > 1:
        counts.ran_twice += 1


def _count_request(
    counts: Counts,
    ended: RequestEnded,
    runs: int,
    crashes: tuple[Crash, ...],
) -> None:
    if ended.error:
        errors = counts.request_errors
        errors[ended.error] = errors.get(ended.error, 0) + 1
    match ended.outcome:
        case RequestOutcome.ANSWERED:
            counts.whole_answers += 1
        case RequestOutcome.FOREIGN_OR_TORN:
            counts.foreign_or_torn_answers += 1
        case RequestOutcome.NOT_RUN:
            counts.refused_not_run += 1
            counts.refused_but_ran += runs > 0
        case RequestOutcome.NOT_SENT:
            counts.not_sent += 1
            counts.refused_but_ran += runs > 0
        case RequestOutcome.UNKNOWN:
            counts.outcome_unknown += 1
            crashed_owners = {crash.owner for crash in crashes}
            counts.unknown_without_crash += ended.owner not in crashed_owners


def _unended_request(token: str) -> RequestEnded:
    return RequestEnded(token, RequestOutcome.UNKNOWN, 'NO_END', '')
