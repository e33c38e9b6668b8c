"""Counting from the log files of callers and upstreams, as pure functions.

Nothing here asks a host: what a host claims is compared with what the
upstreams did and what the callers got.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from standins._caller import RequestOutcome

# A flow that heard nothing for so long when its caller stopped is broken,
# although nobody told the caller: keepalives are answered every second.
_SILENCE_LIMIT_SECONDS: Final = 5.0
# Every host must know within this time that an upstream is drained.
_DRAIN_BOUND_SECONDS: Final = 3.0


@dataclass(frozen=True, slots=True)
class RunStarted:
    """An upstream began to run a request."""

    token: str
    at: float


@dataclass(frozen=True, slots=True)
class FlowAccepted:
    """An upstream accepted a long flow."""

    at: float


@dataclass(frozen=True, slots=True)
class Misrouted:
    """An upstream got something that names another service."""

    what: str


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller submitted a request."""

    token: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A caller knows the outcome of a request."""

    token: str
    outcome: RequestOutcome
    error: str
    owner: str


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """A caller got an answer on a flow that is not its own."""


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """A caller has a long flow."""

    flow_id: str


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """A long flow ended; an empty cause means that the caller closed it."""

    flow_id: str
    cause: str
    at: float
    missing: int
    silent_seconds: float
    longest_gap: float

    def is_broken(self) -> bool:
        """Tell whether the caller lost the flow."""
        return bool(self.cause) or self.silent_seconds > _SILENCE_LIMIT_SECONDS


CallerLogRecord = (
    RequestSubmitted | RequestEnded | ForeignAnswer | FlowOpened | FlowEnded
)
UpstreamLogRecord = RunStarted | FlowAccepted | Misrouted


@dataclass(frozen=True, slots=True)
class Crash:
    """A host crashed; flows broken between two times may be due to it.

    Requests are due to it if their flow id names this owner.
    """

    owner: str
    start: float
    end: float

    def covers(self, moment: float) -> bool:
        """Tell whether a moment lies between the two times."""
        return self.start <= moment <= self.end


@dataclass(slots=True)
class Counts:
    """What callers and upstreams saw."""

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
    """Yield the lines of a log; a last line that is cut off is left out."""
    for line in text.splitlines():
        try:
            yield msgspec.json.decode(line)
        except msgspec.DecodeError:
            return


def read_caller_log(lines: Iterable[Mapping[str, Any]]) -> Iterator[CallerLogRecord]:
    """Yield what the log of a caller says about requests and flows."""
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
    """Yield what the log of an upstream says about runs and misrouting."""
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
    """Return the counts; ``crashes`` tells planned breaks from others."""
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
    # A caller that ended without a word about its flow lost track of it.
    counts.flows_broken_planned += len(open_flows)
    runs_by_token: Counter[str] = Counter()
    for entry in upstreams:
        match entry:
            case RunStarted(token):
                runs_by_token[token] += 1
            case Misrouted():
                counts.misrouted += 1
            case FlowAccepted():
                # Only of interest for an upstream that was drained.
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
    """Return how much new work one upstream got too long after its drain."""
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
