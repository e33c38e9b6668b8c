"""Tests of the statement parser: valid statements, and errors with their position."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import model
from lycheedeal.exceptions import StatementError
from lycheedeal.model import Endpoint, ServiceName, SpillRule, UpstreamId, Zone
from lycheedeal.operators import ChangeStatement, parse_statement
from lycheedeal.operators import _statements as statements

API = ServiceName('api')
U1 = UpstreamId('u1')
ADDRESS = Endpoint('10.0.0.1', 80)
WORDS = (
    'show service services upstreams of flows hosts config refusals since create '
    'kind at upstream in priority floor idempotent long drain undrain delete dry run '
    'restore configuration '
    'spill never when-down slots connections api 10.0.0.1:80 7 20% 5m 999999 1.1.1:1 '
    '120% é ; %'
).split()


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('show services', statements.ShowServices()),
        ('show service api', statements.ShowService(API)),
        ('show upstreams', statements.ShowUpstreams()),
        ('show upstreams of api', statements.ShowUpstreams(API)),
        ('show flows', statements.ShowFlows()),
        ('show flows of api', statements.ShowFlows(API)),
        ('show hosts', statements.ShowHosts()),
        ('show config', statements.ShowConfig()),
        ('show refusals', statements.ShowRefusals()),
        (' show\n refusals since 1.5m ', statements.ShowRefusals(90)),
        ('show service service', statements.ShowService(ServiceName('service'))),
    ],
)
def test_queries(text: str, expected: statements.Query) -> None:
    """Guards against a query that is parsed as another one."""
    assert parse_statement(text) == expected


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (
            'create service api at 10.0.0.1:80',
            model.CreateService(API, ADDRESS),
        ),
        (
            'create service api at 10.0.0.1:80 spill when-down',
            model.CreateService(API, ADDRESS, SpillRule.WHEN_DOWN),
        ),
        (
            'create kind feed of api priority 0 floor 12.5% idempotent long',
            model.CreateKind(API, 'feed', 0, 0.125, idempotent=True, long=True),
        ),
        ('restore configuration of api', model.RestoreConfiguration(API)),
        ('create kind bulk of api priority 9', model.CreateKind(API, 'bulk', 9)),
        (
            'create upstream u1 of api at 10.0.0.1:80 in Tortel',
            model.CreateUpstream(API, U1, ADDRESS, Zone('Tortel')),
        ),
        (
            'create upstream u1 of api at 10.0.0.1:80 in Tortel slots 3 connections 9',
            model.CreateUpstream(API, U1, ADDRESS, Zone('Tortel'), 3, 9),
        ),
        ('drain upstream u1 of api', model.DrainUpstream(API, U1)),
        ('undrain upstream u1 of api', model.UndrainUpstream(API, U1)),
        ('delete upstream u1 of api', model.DeleteUpstream(API, U1)),
        ('delete kind feed of api', model.DeleteKind(API, 'feed')),
        ('delete service api', model.DeleteService(API)),
    ],
)
def test_changes_and_dry_runs(text: str, expected: model.Change) -> None:
    """Guards against a change of another object, and a dry run parsed as a change."""
    assert parse_statement(text) == ChangeStatement(expected)
    assert parse_statement(f'dry run {text}') == ChangeStatement(expected, dry_run=True)


@pytest.mark.parametrize(
    ('text', 'line', 'column', 'expected'),
    [
        ('', 1, 1, "'show'"),
        ('show', 1, 5, "'hosts'"),
        ('showhosts', 1, 1, "'show'"),
        ('show hosts now', 1, 12, 'the end of the statement'),
        ('show hosts é', 1, 12, 'the end of the statement'),
        ('dry run show hosts', 1, 9, "'drain'"),
        ('create service x\n  at localhost:80', 2, 6, 'an address such as'),
        ('create service x at 1.2.3.400:8', 1, 21, 'not an IPv4 address'),
        ('create service x at 1.2.3.4:70000', 1, 21, 'not between 1 and 65535'),
        ('create kind x of y priority 999', 1, 29, 'not between 0 and 255'),
        (f'create kind x of y priority {"9" * 4000}', 1, 29, 'not between'),
        ('create kind x of y priority 1 floor 101%', 1, 37, 'above 100%'),
        ('show refusals since 5 m', 1, 21, 'a duration such as 5m'),
        (f'delete service {"a" * 64}', 1, 16, 'longer than 63'),
        (f'show{" " * 5000}hosts', 1, 4097, 'longer than 4096'),
    ],
)
def test_errors_report_position_and_expected_words(
    text: str,
    line: int,
    column: int,
    expected: str,
) -> None:
    """Guards against errors without the position or the expected words."""
    with pytest.raises(StatementError) as caught:
        parse_statement(text)
    assert (caught.value.line, caught.value.column) == (line, column)
    assert expected in str(caught.value)


@settings(derandomize=True, max_examples=300)
@given(
    st.text(max_size=80)
    | st.lists(st.sampled_from(WORDS), max_size=14).map(' '.join)
    | st.lists(st.sampled_from(WORDS), max_size=14).map(''.join),
)
def test_random_text_raises_only_statement_errors(text: str) -> None:
    """Guards against any other exception, which would end the event loop."""
    try:
        parse_statement(text)
    except StatementError as error:
        assert error.line >= 1
        assert error.column >= 1
