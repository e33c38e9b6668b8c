"""Counts from the logs of callers and upstreams must show each fault."""

from typing import Any

import msgspec
import pytest

from standins import _log_counts

SUBMITTED = {'event': 'request_submitted', 'token': 'a', 'idempotent': False}
FLOW = {'event': 'flow_opened', 'flow_id': 'f'}
RUN = {'event': 'run_started', 'token': 'a', 'at': 10}


def _ended(outcome: str) -> dict[str, Any]:
    return {
        'event': 'request_ended',
        'token': 'a',
        'outcome': outcome,
        'error': '',
        'owner': 'host-1',
    }


def _flow_ended(cause: str, at: float = 10, silent: float = 0.2) -> dict[str, Any]:
    return {
        'event': 'flow_ended',
        'flow_id': 'f',
        'cause': cause,
        'at': at,
        'missing': 0,
        'silent_seconds': silent,
        'longest_gap': 0.5,
    }


def _count(
    caller: list[dict[str, Any]],
    upstream: list[dict[str, Any]] | None = None,
    crashes: tuple[_log_counts.Crash, ...] = (),
) -> _log_counts.Counts:
    return _log_counts.count(
        _log_counts.read_caller_log(caller),
        _log_counts.read_upstream_log(upstream or []),
        crashes,
    )


def test_faultless_logs_give_only_good_counts() -> None:
    """Guards against a fault count that rises without a fault."""
    counts = _count(
        [FLOW, SUBMITTED, _ended('answered'), _flow_ended('')],
        [RUN],
    )
    assert counts == _log_counts.Counts(
        flows_opened=1,
        requests=1,
        whole_answers=1,
        longest_gap_seconds=0.5,
    )


def test_request_run_twice_is_counted() -> None:
    """Guards against overlooking a second run of an answered request."""
    counts = _count([SUBMITTED, _ended('answered')], [RUN, RUN])
    assert counts.ran_twice == 1


def test_idempotent_rerun_is_counted_apart() -> None:
    """Guards against counting an allowed retry as a fault."""
    counts = _count(
        [SUBMITTED | {'idempotent': True}, _ended('answered')],
        [RUN, RUN],
    )
    assert (counts.ran_twice, counts.idempotent_reruns) == (0, 1)


@pytest.mark.parametrize('outcome', ['not_run', 'not_sent'])
def test_refused_request_that_ran_is_counted(outcome: str) -> None:
    """Guards against trusting a refusal without checking the upstream logs."""
    assert _count([SUBMITTED, _ended(outcome)], [RUN]).refused_but_ran == 1
    assert _count([SUBMITTED, _ended(outcome)]).refused_but_ran == 0


def test_torn_answer_is_counted() -> None:
    """Guards against counting a damaged answer as valid."""
    counts = _count([SUBMITTED, _ended('foreign_or_torn')], [RUN])
    assert (counts.foreign_or_torn_answers, counts.whole_answers) == (1, 0)


def test_answer_on_another_flow_is_counted() -> None:
    """Guards against overlooking an answer on another caller's flow."""
    counts = _count([{'event': 'foreign_answer', 'flow_id': 'other'}])
    assert counts.foreign_or_torn_answers == 1


@pytest.mark.parametrize('what', ['packet', 'run', 'flow'])
def test_misrouted_work_is_counted(what: str) -> None:
    """Guards against overlooking work of one service that reached another."""
    upstream = [{'event': 'misrouted', 'what': what, 'named': 'other'}]
    assert _count([], upstream).misrouted == 1


def test_request_without_an_end_is_unknown() -> None:
    """Guards against leaving out a request whose end was not logged."""
    counts = _count([SUBMITTED], [RUN])
    assert (counts.outcome_unknown, counts.requests) == (1, 1)


def test_unknown_outcome_without_a_crash_is_counted_apart() -> None:
    """Guards against blaming a crash for requests that a planned stop lost."""
    caller = [SUBMITTED, _ended('unknown') | {'error': 'OWNER_LOST'}]
    planned = _count(caller, [RUN])
    crashed = _count(caller, [RUN], (_log_counts.Crash('host-1', 9, 11),))
    other = _count(caller, [RUN], (_log_counts.Crash('host-2', 9, 11),))
    assert (planned.unknown_without_crash, planned.outcome_unknown) == (1, 1)
    assert (crashed.unknown_without_crash, crashed.outcome_unknown) == (0, 1)
    assert other.unknown_without_crash == 1
    assert planned.request_errors == {'OWNER_LOST': 1}


def test_broken_flow_is_planned_outside_a_crash() -> None:
    """Guards against blaming a crash for a break that a planned change caused."""
    caller = [FLOW, _flow_ended('UNKNOWN_FLOW', at=10)]
    crash = (_log_counts.Crash('host-1', 9, 11),)
    later = (_log_counts.Crash('host-1', 11, 12),)
    assert _count(caller).flows_broken_planned == 1
    assert _count(caller, crashes=crash).flows_broken_crash == 1
    assert _count(caller, crashes=later).flows_broken_planned == 1


def test_silent_flow_is_broken() -> None:
    """Guards against overlooking a flow that stalled without an error message."""
    counts = _count([FLOW, _flow_ended('', silent=8)])
    assert counts.flows_broken_planned == 1
    assert counts.flow_errors == {'SILENT': 1}


def test_flow_without_an_end_is_broken() -> None:
    """Guards against leaving out a flow whose end was not logged."""
    assert _count([FLOW]).flows_broken_planned == 1


def test_work_after_a_drain_is_counted() -> None:
    """Guards against overlooking new work on a drained upstream."""
    taken = {'event': 'flow_opened', 'flow_id': 'f', 'at': 14}
    records = list(_log_counts.read_upstream_log([RUN, taken]))
    assert _log_counts.count_work_after_drain(records, drained_at=9) == 1
    assert _log_counts.count_work_after_drain(records, drained_at=6) == 2
    assert _log_counts.count_work_after_drain(records, drained_at=12) == 0


def test_cut_off_last_line_is_left_out() -> None:
    """Guards against losing a whole log because its writer was killed mid-line."""
    text = msgspec.json.encode(RUN) + b'\n{"event": "run_sta'
    assert list(_log_counts.read_lines(text)) == [RUN]
