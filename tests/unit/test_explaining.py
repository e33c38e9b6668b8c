"""Explanations of flows and requests from log lines of the relay."""

import json
from pathlib import Path
from typing import Any

import pytest
from cleo.io.outputs.buffered_output import BufferedOutput

from lycheedeal.cli._program import run_program
from lycheedeal.exceptions import UsageError
from lycheedeal.explaining import (
    FlowQuery,
    RequestQuery,
    explain,
    format_explanation,
    parse_query,
)

CALLER = '100.64.0.7:40001'


def line(
    time: float, kind: str, text: str, host: str = 'edge-1', **details: Any
) -> str:
    fields = {'time': time, 'host': host, 'part': 'p', 'kind': kind, 'text': text}
    return json.dumps({**fields, **details})


OPENING = line(
    100.0,
    'opening',
    'forwarding: Opening was forwarded.',
    flow=f'{CALLER} > 198.18.0.1:443',
    upstream='i-1',
    version=4,
)
AVOIDED = line(
    100.2,
    'avoided',
    'forwarding: Upstream is avoided: it did not answer an opening.',
    flow=f'{CALLER} > 198.18.0.1:443',
    upstream='i-1',
)
RECORDED = [
    line(90.0, 'version', 'routes: Configuration is in force.', version=4),
    line(60.0, 'version', 'routes: Configuration is in force.', version=3),
    line(99.0, 'state', 'upstreams: Upstream changed its state.', upstream='i-2'),
    OPENING,
    line(
        100.1, 'opening', 'x', flow='100.64.0.8:40001 > 198.18.0.1:443', upstream='i-1'
    ),
    line(100.15, 'turned away', 'x', flow='100.64.0.9:1 > 1.1.1.1:1', upstream='i-1'),
    AVOIDED,
    line(103.0, 'state', 'upstreams: Upstream changed its state.', upstream='i-1'),
    line(101.0, 'duty', 'zone: Host is a leader of its zone.', host='edge-2'),
]


def test_flow_is_explained_with_related_lines() -> None:
    explanation = explain(RECORDED, FlowQuery(CALLER))
    assert [entry.time for entry in explanation.flow] == [100.0, 100.2]
    assert [entry.time for entry in explanation.context] == [90.0, 103.0]
    text = list(format_explanation(explanation))
    assert [entry[0] for entry in text] == [' ', '*', '*', ' ']
    assert 'upstream=i-1' in text[1]


def test_port_prefix_does_not_match_another_caller() -> None:
    assert not explain(RECORDED, FlowQuery('100.64.0.7:4000')).flow


def test_request_is_selected_by_time() -> None:
    later = OPENING.replace('100.0', '500.0')
    explanation = explain([*RECORDED, later], RequestQuery(CALLER, 498.0))
    assert [entry.time for entry in explanation.flow] == [500.0]


def test_unreadable_lines_are_counted() -> None:
    unreadable = ['', 'kernel: oops', OPENING[:40], '{"time":"now"}', '[1]', '{' * 9999]
    explanation = explain([*unreadable, OPENING], FlowQuery(CALLER))
    assert explanation.skipped == len(unreadable)
    assert len(explanation.flow) == 1
    assert (
        list(format_explanation(explanation))[-1]
        == '6 lines skipped: truncated or not from lychee-relay'
    )


def test_collector_prefix_and_unknown_fields_are_accepted() -> None:
    text = OPENING.replace('"version": 4', '"later_field": [1]')
    explanation = explain([f'  12.5 edge-1 {text}'], FlowQuery(CALLER))
    assert explanation.flow[0].details['later_field'] == [1]


def test_missing_flow_is_reported() -> None:
    text = list(format_explanation(explain([], FlowQuery(CALLER))))
    assert text[0].startswith('no decision about this flow')


@pytest.mark.parametrize(
    'words',
    [
        [],
        ['flow'],
        ['flow', 'a:1'],
        ['request', CALLER],
        ['request', CALLER, 'at', 'x'],
    ],
)
def test_invalid_queries_are_rejected(words: list[str]) -> None:
    with pytest.raises(UsageError):
        parse_query(words)


def test_explain_command_reads_log_file(tmp_path: Path) -> None:
    path = tmp_path / 'relay.log'
    path.write_text('\n'.join(RECORDED))
    output, errors = BufferedOutput(), BufferedOutput()
    words = ['explain', 'flow', CALLER, '--log', str(path)]
    assert run_program('lycheectl', words, output, errors) == 0
    assert 'Upstream is avoided' in output.fetch()
    assert run_program('lycheectl', ['explain', 'flow'], output, errors) == 2
    missing = ['explain', 'flow', CALLER, '--log', str(tmp_path / 'none')]
    assert run_program('lycheectl', missing, output, errors) == 2
