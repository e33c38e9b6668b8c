"""Validation of shards before they are written or applied."""

import math
import re
import socket
from collections.abc import Hashable, Iterable, Iterator
from itertools import chain
from typing import Final, TypeVar

from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.model import (
    SHARD_COUNT,
    Endpoint,
    Service,
    Shard,
    Upstream,
    WorkKind,
    shard_of,
)

# Records of accepted changes that a shard keeps.
MAX_CHANGE_RECORDS: Final = 64
# A flow id has one byte for the kind and four bytes for the service number.
_MAX_KIND_ID: Final = 255
_MAX_SERVICE_NUMBER: Final = 2**32 - 1
_MAX_PRIORITY: Final = 255
# Limit of the slots and of the connections of one upstream.
_MAX_UPSTREAM_CAPACITY: Final = 1_000_000
_MAX_PORT: Final = 65_535
_UNSPECIFIED_ADDRESS: Final = bytes(4)
# Floors are decimal fractions, so their sum may exceed 1 by a rounding error.
_FLOOR_SUM_TOLERANCE: Final = 1e-9
_NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}', re.ASCII)

_Item = TypeVar('_Item')


def validate_shard(shard: Shard) -> None:
    """Raise InvalidConfigurationError if the shard breaks a rule.

    Only the shard itself is checked; see ``check_against_others``.
    """
    _check(0 <= shard.index < SHARD_COUNT, '$.index', 'shard index is out of range')
    _check(shard.generation > 0, '$.generation', 'must be positive')
    _check(shard.next_counter > 0, '$.next_counter', 'must be positive')
    _check(
        len(shard.changes) <= MAX_CHANGE_RECORDS,
        '$.changes',
        'too many change records',
    )
    for record_location, record in _enumerate_locations('$.changes', shard.changes):
        _check_range(
            f'{record_location}.generation', record.generation, 1, shard.generation
        )
    services = shard.services
    _check_unique('$.services', 'number', (one.number for one in services))
    _check_unique('$.services', 'name', (one.name for one in services))
    _check_unique('$.services', 'address', (one.address for one in services))
    for location, service in _enumerate_locations('$.services', services):
        _check_service_number(location, service, shard)
        _check_service(location, service)
    upstreams = chain.from_iterable(one.upstreams for one in services)
    _check_unique(
        '$.services',
        'upstream endpoint',
        (one.endpoint for one in upstreams),
    )


def check_against_others(service: Service, others: Iterable[Service]) -> None:
    """Raise InvalidConfigurationError if another service has the same addresses.

    The service address and the upstream endpoints are compared. An upstream
    of two services would receive the work of both, so each endpoint belongs to
    one service only.
    """
    endpoints = {one.endpoint for one in service.upstreams}
    for other in others:
        if other.number == service.number:
            continue
        _check(
            other.address != service.address,
            f'service {service.name}',
            f'address {service.address} belongs to service {other.name}',
        )
        for upstream in other.upstreams:
            _check(
                upstream.endpoint not in endpoints,
                f'service {service.name}',
                f'upstream {upstream.endpoint} belongs to service {other.name}',
            )


def _check_service_number(location: str, service: Service, shard: Shard) -> None:
    counter, index = divmod(service.number, SHARD_COUNT)
    _check(
        index == shard.index and 0 < counter < shard.next_counter,
        f'{location}.number',
        f'service number {service.number} was not allocated by this shard',
    )
    _check_range(f'{location}.number', service.number, 1, _MAX_SERVICE_NUMBER)
    expected_index = shard_of(service.name)
    _check(
        expected_index == shard.index,
        f'{location}.name',
        f'service name {service.name} belongs to shard {expected_index}',
    )


def _check_service(location: str, service: Service) -> None:
    _check_name(f'{location}.name', service.name)
    _check_endpoint(f'{location}.address', service.address)
    kinds = service.kinds
    _check_unique(f'{location}.kinds', 'kind_id', (one.kind_id for one in kinds))
    _check_unique(f'{location}.kinds', 'name', (one.name for one in kinds))
    for kind_location, kind in _enumerate_locations(f'{location}.kinds', kinds):
        _check_kind(kind_location, kind, service.next_kind)
    floors = math.fsum(one.floor for one in kinds)
    _check(
        floors <= 1 + _FLOOR_SUM_TOLERANCE,
        f'{location}.kinds',
        f'sum of the floors is {floors:.2f}, expected at most 1',
    )
    upstreams = service.upstreams
    _check_unique(
        f'{location}.upstreams',
        'upstream_id',
        (one.upstream_id for one in upstreams),
    )
    for upstream_location, upstream in _enumerate_locations(
        f'{location}.upstreams', upstreams
    ):
        _check_upstream(upstream_location, upstream)


def _check_kind(location: str, kind: WorkKind, next_kind: int) -> None:
    _check_name(f'{location}.name', kind.name)
    _check_range(f'{location}.kind_id', kind.kind_id, 1, _MAX_KIND_ID)
    _check(
        kind.kind_id < next_kind,
        f'{location}.kind_id',
        'kind id was not allocated by this service',
    )
    _check_range(f'{location}.priority', kind.priority, 0, _MAX_PRIORITY)
    _check_range(f'{location}.floor', kind.floor, 0, 1)


def _check_upstream(location: str, upstream: Upstream) -> None:
    _check_name(f'{location}.upstream_id', upstream.upstream_id)
    _check_name(f'{location}.zone', upstream.zone)
    _check_endpoint(f'{location}.endpoint', upstream.endpoint)
    _check_range(f'{location}.slots', upstream.slots, 1, _MAX_UPSTREAM_CAPACITY)
    _check_range(
        f'{location}.connections', upstream.connections, 1, _MAX_UPSTREAM_CAPACITY
    )


def _check_endpoint(location: str, endpoint: Endpoint) -> None:
    _check_range(location, endpoint.port, 1, _MAX_PORT)
    try:
        packed = socket.inet_pton(socket.AF_INET, endpoint.ip)
    except (OSError, ValueError) as error:
        detail = f'{endpoint.ip!r} is not an IPv4 address'
        raise InvalidConfigurationError(location, detail) from error
    _check(
        packed != _UNSPECIFIED_ADDRESS,
        location,
        'address 0.0.0.0 is not allowed',
    )


def _check_name(location: str, name: str) -> None:
    _check(
        _NAME_PATTERN.fullmatch(name) is not None,
        location,
        f'{name!r} is not a valid name, expected 1 to 63 letters, digits, dots, '
        'underscores or hyphens, the first a letter or digit',
    )


def _check_range(location: str, number: float, low: int, high: int) -> None:
    _check(
        low <= number <= high,
        location,
        f'{number} is out of range, expected {low} to {high}',
    )


def _check_unique(location: str, what: str, items: Iterable[Hashable]) -> None:
    seen: set[Hashable] = set()
    for one in items:
        _check(one not in seen, location, f'{what} {one} is used twice')
        seen.add(one)


def _check(passed: bool, location: str, detail: str) -> None:
    if not passed:
        raise InvalidConfigurationError(location, detail)


def _enumerate_locations(
    location: str, items: Iterable[_Item]
) -> Iterator[tuple[str, _Item]]:
    for position, one in enumerate(items):
        yield f'{location}[{position}]', one
