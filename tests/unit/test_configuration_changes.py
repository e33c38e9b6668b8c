"""Tests of changes applied to a shard and of the shard codec."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import model
from lycheedeal.configuration import apply_change, decode_shard, encode_shard
from lycheedeal.exceptions import InvalidConfigurationError
from tests.configuration_hosts import (
    OTHER_SERVICE,
    SERVICE,
    SHARD_INDEX,
    UPSTREAM_ID,
    ZONE,
)

ADDRESS = model.Endpoint('10.0.0.1', 80)


def create_upstream(
    service: model.ServiceName = SERVICE,
    upstream_id: str = 'u1',
    port: int = 1000,
) -> model.Change:
    endpoint = model.Endpoint('10.1.0.1', port)
    return model.CreateUpstream(service, model.UpstreamId(upstream_id), endpoint, ZONE)


def build_shard(*changes: model.Change) -> model.Shard:
    shard = model.Shard(SHARD_INDEX, model.Generation(0))
    for number, change in enumerate(changes):
        shard = apply_change(shard, change, model.ChangeId(f'c{number}'), 1.0)
    return shard


CREATE_SERVICE = (model.CreateService(SERVICE, ADDRESS),)
CREATE_BOTH_SERVICES = (
    *CREATE_SERVICE,
    model.CreateService(OTHER_SERVICE, model.Endpoint('10.0.0.2', 80)),
)


def test_service_number_is_never_reused() -> None:
    """Guards against packets of a deleted service that reach its successor."""
    shard = build_shard(*CREATE_SERVICE, model.DeleteService(SERVICE), *CREATE_SERVICE)
    assert shard.services[0].number == 2 * model.SHARD_COUNT + shard.index


def test_kind_id_is_never_reused() -> None:
    """Guards against flows of a deleted kind that are counted for a new kind."""
    kind = model.CreateKind(SERVICE, 'live', 0)
    shard = build_shard(*CREATE_SERVICE, kind, model.DeleteKind(SERVICE, 'live'), kind)
    assert [one.kind_id for one in shard.services[0].kinds] == [2]


def test_upstream_is_deleted_only_when_drained() -> None:
    """Guards against flows that break because their upstream was deleted."""
    start = (*CREATE_SERVICE, create_upstream())
    with pytest.raises(InvalidConfigurationError, match='not drained'):
        build_shard(*start, model.DeleteUpstream(SERVICE, UPSTREAM_ID))
    drained = (*start, model.DrainUpstream(SERVICE, UPSTREAM_ID))
    assert build_shard(*drained).services[0].upstreams[0].drained
    with pytest.raises(InvalidConfigurationError, match='not drained'):
        build_shard(
            *drained,
            model.UndrainUpstream(SERVICE, UPSTREAM_ID),
            model.DeleteUpstream(SERVICE, UPSTREAM_ID),
        )
    assert (
        not build_shard(*drained, model.DeleteUpstream(SERVICE, UPSTREAM_ID))
        .services[0]
        .upstreams
    )


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ((*CREATE_SERVICE, *CREATE_SERVICE), 'exists already'),
        (
            (*CREATE_SERVICE, model.CreateService(OTHER_SERVICE, ADDRESS)),
            'address .* used twice',
        ),
        (
            (*CREATE_SERVICE, create_upstream(), model.DeleteService(SERVICE)),
            'still has 1 upstreams',
        ),
        ((*CREATE_SERVICE, create_upstream(), create_upstream()), 'exists already'),
        (
            (*CREATE_SERVICE, create_upstream(), create_upstream(SERVICE, 'u2')),
            'is the endpoint of upstream u1',
        ),
        (
            (*CREATE_BOTH_SERVICES, create_upstream(), create_upstream(OTHER_SERVICE)),
            'endpoint .* used twice',
        ),
        (
            (
                *CREATE_SERVICE,
                model.CreateKind(SERVICE, 'k', 0, 0.7),
                model.CreateKind(SERVICE, 'l', 1, 0.7),
            ),
            'sum',
        ),
        ((*CREATE_SERVICE, model.CreateKind(SERVICE, 'k', 0, float('nan'))), 'floor'),
        ((*CREATE_SERVICE, model.CreateKind(SERVICE, 'k', -1)), 'priority'),
        ((*CREATE_SERVICE, create_upstream(port=0)), 'endpoint'),
        ((model.CreateService(SERVICE, model.Endpoint('10.0.0.300', 1)),), 'address'),
        (
            (model.DrainUpstream(SERVICE, UPSTREAM_ID),),
            'service fieldlink: does not exist',
        ),
        (
            (*CREATE_SERVICE, model.DrainUpstream(SERVICE, UPSTREAM_ID)),
            'does not exist',
        ),
        ((*CREATE_SERVICE, model.DeleteKind(SERVICE, 'k')), 'does not exist'),
    ],
)
def test_invalid_change_is_refused_with_its_reason(
    changes: tuple[model.Change, ...],
    reason: str,
) -> None:
    """Guards against a configuration that misroutes or starves work."""
    build_shard(*changes[:-1])
    with pytest.raises(InvalidConfigurationError, match=reason):
        build_shard(*changes)


def test_change_records_are_limited_to_the_newest() -> None:
    """Guards against a shard that grows without limit with each change."""
    toggles = (
        model.DrainUpstream(SERVICE, UPSTREAM_ID),
        model.UndrainUpstream(SERVICE, UPSTREAM_ID),
    ) * 40
    shard = build_shard(*CREATE_SERVICE, create_upstream(), *toggles)
    assert [one.generation for one in shard.changes] == list(range(19, 83))


def test_encoded_shard_round_trips_and_size_is_limited() -> None:
    """Guards against stored shards that hosts cannot decode."""
    shard = build_shard(
        *CREATE_BOTH_SERVICES,
        create_upstream(),
        model.CreateKind(SERVICE, 'live', 0, 0.5),
    )
    body = encode_shard(shard)
    assert decode_shard(body, shard.index) == shard
    with pytest.raises(InvalidConfigurationError, match='at most 1000000'):
        decode_shard(body + b' ' * 1_000_000, shard.index)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60), st.integers(0, 400), st.integers(0, 40))
def test_damaged_body_raises_only_invalid_configuration_error(
    garbage: bytes, position: int, removed: int
) -> None:
    """Guards against other exceptions, which would end the event loop."""
    shard = build_shard(*CREATE_SERVICE, create_upstream())
    body = encode_shard(shard)
    for damaged in (garbage, body[:position] + garbage + body[position + removed :]):
        try:
            decode_shard(damaged, shard.index)
        except InvalidConfigurationError as error:
            assert error.location
