"""Changes of a shard, and the decoder of stored shards."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import model
from lycheedeal.configuration import apply_change, decode_shard, encode_shard
from lycheedeal.exceptions import InvalidConfigurationError
from tests.configuration_hosts import INDEX, ONE, TWO, UP, ZONE

ADDRESS = model.Endpoint('10.0.0.1', 80)


def add_upstream(
    service: model.ServiceName = ONE,
    upstream_id: str = 'u1',
    port: int = 1000,
) -> model.Change:
    endpoint = model.Endpoint('10.1.0.1', port)
    return model.CreateUpstream(service, model.UpstreamId(upstream_id), endpoint, ZONE)


def build(*changes: model.Change) -> model.Shard:
    shard = model.Shard(INDEX, model.Generation(0))
    for number, change in enumerate(changes):
        shard = apply_change(shard, change, model.ChangeId(f'c{number}'), 1.0)
    return shard


CREATED = (model.CreateService(ONE, ADDRESS),)
TWO_CREATED = (*CREATED, model.CreateService(TWO, model.Endpoint('10.0.0.2', 80)))


def test_service_number_is_never_reused() -> None:
    """Guards against packets of a deleted service that reach a new one."""
    shard = build(*CREATED, model.DeleteService(ONE), *CREATED)
    assert shard.services[0].number == 2 * model.SHARD_COUNT + shard.index


def test_kind_id_is_never_reused() -> None:
    """Guards against flows of a deleted kind that count as a new one."""
    kind = model.CreateKind(ONE, 'live', 0)
    shard = build(*CREATED, kind, model.DeleteKind(ONE, 'live'), kind)
    assert [one.kind_id for one in shard.services[0].kinds] == [2]


def test_upstream_is_deleted_only_when_drained() -> None:
    """Guards against flows that break because their upstream is removed."""
    start = (*CREATED, add_upstream())
    with pytest.raises(InvalidConfigurationError, match='not drained'):
        build(*start, model.DeleteUpstream(ONE, UP))
    drained = (*start, model.DrainUpstream(ONE, UP))
    assert build(*drained).services[0].upstreams[0].drained
    with pytest.raises(InvalidConfigurationError, match='not drained'):
        build(*drained, model.UndrainUpstream(ONE, UP), model.DeleteUpstream(ONE, UP))
    assert not build(*drained, model.DeleteUpstream(ONE, UP)).services[0].upstreams


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ((*CREATED, *CREATED), 'exists already'),
        ((*CREATED, model.CreateService(TWO, ADDRESS)), 'address .* used twice'),
        ((*CREATED, add_upstream(), model.DeleteService(ONE)), 'still has 1 upstreams'),
        ((*CREATED, add_upstream(), add_upstream()), 'exists already'),
        ((*CREATED, add_upstream(), add_upstream(ONE, 'u2')), 'is the endpoint of u1'),
        ((*TWO_CREATED, add_upstream(), add_upstream(TWO)), 'endpoint .* used twice'),
        (
            (
                *CREATED,
                model.CreateKind(ONE, 'k', 0, 0.7),
                model.CreateKind(ONE, 'l', 1, 0.7),
            ),
            'sum',
        ),
        ((*CREATED, model.CreateKind(ONE, 'k', 0, float('nan'))), 'floor'),
        ((*CREATED, model.CreateKind(ONE, 'k', -1)), 'priority'),
        ((*CREATED, add_upstream(port=0)), 'endpoint'),
        ((model.CreateService(ONE, model.Endpoint('10.0.0.300', 1)),), 'address'),
        ((model.DrainUpstream(ONE, UP),), 'service fieldlink: does not exist'),
        ((*CREATED, model.DrainUpstream(ONE, UP)), 'does not exist'),
        ((*CREATED, model.DeleteKind(ONE, 'k')), 'does not exist'),
    ],
)
def test_invalid_change_is_refused_with_its_reason(
    changes: tuple[model.Change, ...],
    reason: str,
) -> None:
    """Guards against a configuration that misroutes or starves work."""
    build(*changes[:-1])
    with pytest.raises(InvalidConfigurationError, match=reason):
        build(*changes)


def test_last_change_records_are_kept() -> None:
    """Guards against a shard that grows with each change."""
    toggles = (model.DrainUpstream(ONE, UP), model.UndrainUpstream(ONE, UP)) * 40
    shard = build(*CREATED, add_upstream(), *toggles)
    assert [one.generation for one in shard.changes] == list(range(19, 83))


def test_stored_form_is_restored_and_bounded() -> None:
    """Guards against a shard that a host cannot read back."""
    shard = build(*TWO_CREATED, add_upstream(), model.CreateKind(ONE, 'live', 0, 0.5))
    body = encode_shard(shard)
    assert decode_shard(body, shard.index) == shard
    with pytest.raises(InvalidConfigurationError, match='more than 1000000'):
        decode_shard(body + b' ' * 1_000_000, shard.index)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60), st.integers(0, 400), st.integers(0, 40))
def test_damaged_body_raises_only_one_error(junk: bytes, at: int, cut: int) -> None:
    """Guards against an exception that would end the loop."""
    shard = build(*CREATED, add_upstream())
    body = encode_shard(shard)
    for damaged in (junk, body[:at] + junk + body[at + cut :]):
        try:
            decode_shard(damaged, shard.index)
        except InvalidConfigurationError as error:
            assert error.location
