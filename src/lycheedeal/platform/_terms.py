"""Decodes optional numbers of the configuration.

A number that cannot be used counts as missing and does not spoil the configuration.
"""

import contextlib
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import ServiceName

_MAX_DURATION_MS: Final = 3_600_000
# Largest usable values of the fields of a service; a larger one is a mistake. So is a
# limit of no connections, which would take the service out of use.
_MAX_BY_FIELD: Final = MappingProxyType(
    {'max_conns': 10_000_000, 'warmup_s': 3600, 'warmup_per_s': 1_000_000}
)


def decode_duration_ms(number: Any) -> int:
    """Return a time in whole milliseconds; 0 if there is none that can be used."""
    return int(_usable(number, _MAX_DURATION_MS) or 0)


def decode_terms(services: Any) -> Iterator[relay.ServiceTerms]:
    """Yield the terms of the services that have a usable name."""
    for service in services if isinstance(services, list) else ():
        with contextlib.suppress(DecodeError):
            yield _decode_service(service)


def _decode_service(service: Any) -> relay.ServiceTerms:
    """Return the terms of a service; raises DecodeError if it has no usable name."""
    if not isinstance(service, dict):
        raise DecodeError('service: expected an object')
    name = relay.check_text('name', service.get('name'))
    fields = {key: service.get(key) for key in _MAX_BY_FIELD}
    usable = {key: _usable(fields[key], _MAX_BY_FIELD[key]) for key in fields}
    # Fractions below 1 are no limit either.
    if not int(usable['max_conns'] or 0):
        usable['max_conns'] = None
    connections = usable['max_conns']
    return relay.ServiceTerms(
        service=ServiceName(name),
        max_connections=None if connections is None else int(connections),
        warmup_seconds=usable['warmup_s'],
        warmup_rate=usable['warmup_per_s'],
        invalid=tuple(
            key
            for key, number in fields.items()
            if number is not None and usable[key] is None
        ),
    )


def _usable(number: Any, maximum: float) -> float | None:
    if isinstance(number, int | float) and not isinstance(number, bool):
        if 0 <= number <= maximum:
            return float(number)
    return None
