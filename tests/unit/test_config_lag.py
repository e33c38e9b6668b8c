"""Time behind the newest configuration, from the log lines of hosts."""

import json
from collections.abc import Iterator

import pytest

from bench.config_lag import find_lags, read_log


def line(at: float, host: str, **fields: object) -> str:
    return f'{at:9.4f} {host} {json.dumps({"time": at, **fields})}'


def version(at: float, host: str, number: int, previous: int | None = 4) -> str:
    fields = {'version': number, 'previous': previous}
    return line(at, host, part='routes', kind='version', **fields)


def failure(at: float, host: str) -> str:
    return line(at, host, part='reading', kind='store', fault='silent')


def lines() -> Iterator[str]:
    for host in ('a-1', 'a-2', 'a-3'):
        yield version(1, host, 4, None)
    yield version(10, 'a-1', 5)
    yield version(10.2, 'a-2', 5)
    yield version(14, 'a-3', 5)


def lag_of(host: str, *more: str) -> tuple[float, bool]:
    lags = find_lags(*read_log((*lines(), *more)))
    return max((round(one.seconds, 2), one.is_calm) for one in lags if one.host == host)


def test_host_that_is_behind_is_found() -> None:
    """Guards against runs in which a late host goes unnoticed."""
    assert lag_of('a-3') == (4, True)
    assert lag_of('a-2') == (0.2, True)


@pytest.mark.parametrize(
    ('trouble', 'is_calm'),
    [
        ('     9.0 s to     10.0 s  node_cut a-3', False),
        ('     9.0 s to     10.0 s  node_cut (one_way) a-1, a-3', False),
        ('     9.0 s to     10.0 s  node_cut a-1, a-2', True),
        ('     9.0 s to     10.0 s  node_cut a-1, a-2 and 3 more', False),
        ('     9.0 s to     10.0 s  platform_down (silent) ', False),
        ('     1.0 s to      2.0 s  platform_down (silent) ', True),
        ('     9.0 s to     10.0 s  config_change (idle) ', True),
        (failure(9, 'a-3'), False),
        (failure(9, 'a-1'), True),
    ],
)
def test_host_with_a_trouble_of_its_own_is_not_calm(
    trouble: str, is_calm: bool
) -> None:
    """Guards against troubles that are taken for faults, and faults for troubles."""
    assert lag_of('a-3', trouble) == (4, is_calm)


def test_host_with_a_missing_line_is_passed_over() -> None:
    """Guards against log lines that are left out and taken for a late version."""
    later = [version(20, 'a-1', 6, 5), version(30, 'a-3', 7, 6)]
    lags = [one for one in find_lags(*read_log((*lines(), *later))) if one.seconds > 5]
    assert {one.host for one in lags} == set()


def test_host_that_starts_is_not_behind() -> None:
    """Guards against the time of a restart that counts as time behind."""
    started = line(12, 'a-3', part='lifecycle', kind='process')
    lags = find_lags(*read_log((*lines(), started)))
    assert not [one for one in lags if one.host == 'a-3']
