"""Tests of the report of the journal."""

import json
from pathlib import Path
from typing import Any

import pytest

from bench.rounds import format_table, read_rounds


def entry(**changes: Any) -> dict[str, Any]:
    day = {'G': 0.9, 'prices': [['machine-seconds', 9.0, 0.02]], 'rules': {}}
    violating = {'G': 0.7, 'prices': [['cloud calls', 9.0, 0.04]], 'rules': {'FLOW': 2}}
    return {
        'id': 'e9caf20a',
        'at': ['2026-12-04T09:49:04Z', '2026-12-04T09:49:21Z'],
        'cmd': 'score',
        'site': 'cgtc-lb',
        'why': 'first path',
        'score': 0.94,
        'days': [day, violating, {'G': None}],
        **changes,
    }


def write(folder: Path, name: str, content: object) -> None:
    (folder / name).write_text(json.dumps(content))


def test_rounds_are_read_in_order(tmp_path: Path) -> None:
    """Guards against rounds out of order and wrong summaries of a round."""
    write(tmp_path, 'b.json', entry(id='second'))
    write(tmp_path, 'a.json', entry())
    first, second = read_rounds(tmp_path)
    assert (first.entry_id, second.entry_id) == ('e9caf20a', 'second')
    assert first.day_count == 2
    assert first.mean_value == pytest.approx(0.8)
    assert first.lowest_value == 0.7
    assert first.price_share == pytest.approx(0.03)
    assert first.failed_days == 1
    assert 'first path' in list(format_table([first]))[1]


def test_entries_that_cannot_be_read_are_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a damaged entry that ends the report or is skipped silently.

    An entry without days is not an error.
    """
    (tmp_path / 'torn.json').write_text('{"id"')
    write(tmp_path, 'list.json', [])
    write(tmp_path, 'build.json', entry(days=[]))
    assert not list(read_rounds(tmp_path))
    assert capsys.readouterr().err.count('\n') == 2
