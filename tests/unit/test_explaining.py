"""Explanations of flows from recorded log lines."""

import json
from pathlib import Path
from typing import Any

import pytest
from cleo.io.outputs.buffered_output import BufferedOutput

from lycheedeal.cli._program import run_program
from lycheedeal.exceptions import UsageError
from lycheedeal.explaining import (
    FlowQuestion,
    RequestQuestion,
    explain,
    explain_lines,
    parse_question,
)

CALLER = '100.64.0.7:40001'


def line(at: float, kind: str, text: str, host: str = 'edge-1', **details: Any) -> str:
    fields = {'time': at, 'host': host, 'part': 'p', 'kind': kind, 'text': text}
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
    line(101.0, 'duty', 'zone: Host follows the store.', host='edge-2'),
]


def test_flow_is_explained_with_what_bears_on_it() -> None:
    explanation = explain(RECORDED, FlowQuestion(CALLER))
    assert [one.at for one in explanation.flow] == [100.0, 100.2]
    assert [one.at for one in explanation.context] == [90.0, 103.0]
    text = list(explain_lines(explanation))
    assert [one[0] for one in text] == [' ', '*', '*', ' ']
    assert 'upstream=i-1' in text[1]


def test_caller_with_a_longer_port_is_another_one() -> None:
    assert not explain(RECORDED, FlowQuestion('100.64.0.7:4000')).flow


def test_request_is_found_by_its_time() -> None:
    later = OPENING.replace('100.0', '500.0')
    explanation = explain([*RECORDED, later], RequestQuestion(CALLER, 498.0))
    assert [one.at for one in explanation.flow] == [500.0]


def test_torn_and_foreign_lines_are_counted() -> None:
    foreign = ['', 'kernel: oops', OPENING[:40], '{"time":"now"}', '[1]', '{' * 9999]
    explanation = explain([*foreign, OPENING], FlowQuestion(CALLER))
    assert explanation.skipped == len(foreign)
    assert len(explanation.flow) == 1
    assert list(explain_lines(explanation))[-1] == '6 lines could not be read'


def test_lines_with_a_prefix_and_unknown_fields_are_kept() -> None:
    text = OPENING.replace('"version": 4', '"later_field": [1]')
    explanation = explain([f'  12.5 edge-1 {text}'], FlowQuestion(CALLER))
    assert explanation.flow[0].details['later_field'] == [1]


def test_nothing_found_is_said() -> None:
    text = list(explain_lines(explain([], FlowQuestion(CALLER))))
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
def test_other_questions_are_refused(words: list[str]) -> None:
    with pytest.raises(UsageError):
        parse_question(words)


def test_command_reads_a_file(tmp_path: Path) -> None:
    path = tmp_path / 'relay.log'
    path.write_text('\n'.join(RECORDED))
    output, errors = BufferedOutput(), BufferedOutput()
    words = ['explain', 'flow', CALLER, '--log', str(path)]
    assert run_program('lycheectl', words, output, errors) == 0
    assert 'Upstream is avoided' in output.fetch()
    assert run_program('lycheectl', ['explain', 'flow'], output, errors) == 2
    missing = ['explain', 'flow', CALLER, '--log', str(tmp_path / 'none')]
    assert run_program('lycheectl', missing, output, errors) == 2
