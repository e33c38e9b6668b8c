"""Objects of the platform's store, decoded into the product's records."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, ServiceName, UpstreamId, Zone

_CONFIGURATION_NAME: Final = 'main'
# Largest target id that fits before a packet.
_MAX_INTENDED: Final = 2**64 - 1
_STATES: Final = frozenset(('ready', 'draining'))


@dataclass(slots=True, eq=False, repr=False)
class Objects:
    """Decoded objects of one answer; ``unusable`` ones only have names."""

    entries: list[relay.Entry] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    unusable: list[str] = field(default_factory=list)
    version: relay.ConfigurationVersion | None = None

    def add(self, kind: relay.StoreKind, item: Any, deleted: bool = False) -> None:
        """Take one object of an answer."""
        try:
            name = _object_name(item)
        except DecodeError:
            # An object without a name cannot be told from the others.
            self.unusable.append('')
            return
        self._drop(name)
        match kind:
            case relay.StoreKind.UPSTREAMS if deleted:
                self.removed.append(name)
            case relay.StoreKind.UPSTREAMS:
                self._add_listing(name, item.get('spec'))
            case relay.StoreKind.CONFIGURATION:
                if name == _CONFIGURATION_NAME and not deleted:
                    self._add_configuration(name, item.get('spec'))

    def _drop(self, name: str) -> None:
        """Forget what an earlier event of the same answer said of an object."""
        self.removed = [one for one in self.removed if one != name]
        self.unusable = [one for one in self.unusable if one != name]
        self.entries = [
            one
            for one in self.entries
            if not isinstance(one, relay.Listing) or one.upstream_id != name
        ]

    def _add_listing(self, name: str, spec: Any) -> None:
        try:
            self.entries.append(_decode_listing(name, spec))
        except DecodeError:
            self.unusable.append(name)

    def _add_configuration(self, name: str, spec: Any) -> None:
        try:
            version, routes = _decode_configuration(spec)
        except DecodeError:
            self.unusable.append(name)
            return
        self.version = version
        self.entries = list(routes)


def intended_number(upstream_id: UpstreamId) -> int:
    """Return the number that names a target in front of a packet.

    Raises DecodeError if the id has no hexadecimal digits or too many.
    """
    digits = upstream_id.rpartition('-')[2]
    try:
        number = int(digits, 16)
    except ValueError as error:
        raise DecodeError(f'target id {upstream_id!r} is not a number') from error
    if not 0 < number <= _MAX_INTENDED:
        raise DecodeError(f'target id {upstream_id!r} is out of range')
    return number


def _object_name(item: Any) -> str:
    match item:
        case {'meta': {'name': str() as name}} if name:
            return name
        case _:
            raise DecodeError('object without a name')


def _decode_listing(name: str, spec: Any) -> relay.Listing:
    match spec:
        case {
            'service': str() as service,
            'address': str() as address,
            'zone': str() as zone,
            'state': str() as state,
        } if service and zone and state in _STATES:
            pass
        case _:
            raise DecodeError(f'entry of target {name} lacks a field')
    upstream_id = UpstreamId(name)
    intended_number(upstream_id)
    return relay.Listing(
        upstream_id=upstream_id,
        service=ServiceName(service),
        endpoint=_decode_endpoint(address),
        zone=Zone(zone),
        slots=_whole(spec, 'slots', lowest=1),
        draining=state == 'draining',
        warmup_ms=_whole(spec, 'warmup_left_ms'),
        # Unix milliseconds of the start; tells a restart under the same id.
        started_ms=_whole(spec, 'born') if 'born' in spec else 0,
    )


def _decode_endpoint(address: str) -> Endpoint:
    ip, _, port = address.rpartition(':')
    try:
        relay.route_key(ip, int(port))
    except ValueError as error:
        raise DecodeError(f'address {address!r} is not ip:port') from error
    return Endpoint(ip, int(port))


def _whole(fields: Any, name: str, lowest: int = 0) -> int:
    number = fields.get(name)
    if isinstance(number, bool) or not isinstance(number, int) or number < lowest:
        raise DecodeError(f'field {name} is not a whole number from {lowest}')
    return number


def _decode_configuration(
    spec: Any,
) -> tuple[relay.ConfigurationVersion, tuple[relay.Route, ...]]:
    match spec:
        case {'version': int() as version, 'routes': list() as routes}:
            decoded = tuple(map(_decode_route, routes))
            return relay.ConfigurationVersion(version), decoded
        case _:
            raise DecodeError('configuration lacks its version or routes')


def _decode_route(route: Any) -> relay.Route:
    match route:
        case {
            'name': str() as name,
            'hostname': str() as address,
            'path_prefix': str() as port,
        }:
            pass
        case _:
            raise DecodeError('route lacks a field')
    try:
        # The "prefix" of a route is a port between slashes.
        key = relay.route_key(address, int(port.strip('/')))
    except ValueError as error:
        raise DecodeError(f'route {name}: {error}') from error
    services = tuple(_decode_services(route))
    if not services:
        raise DecodeError(f'route {name} names no service')
    priority = _whole(route, 'priority') if 'priority' in route else 0
    bulk = route.get('type') == 'upload'
    return relay.Route(relay.RouteName(name), key, services, priority, bulk)


def _decode_services(route: Any) -> Iterator[tuple[ServiceName, int]]:
    match route:
        case {'service': str() as service} if service:
            yield ServiceName(service), 1
        case {'weighted_services': list() as shares}:
            for service, weight in map(_decode_share, shares):
                if weight > 0:
                    yield service, weight


def _decode_share(share: Any) -> tuple[ServiceName, int]:
    match share:
        case {'service': str() as service, 'weight': int() as weight}:
            return ServiceName(service), weight
        case _:
            raise DecodeError('weighted service lacks a field')
