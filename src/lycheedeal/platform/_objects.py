"""Decodes objects of the platform's store to records of the packet relay.

The store holds one ``config`` object with all routes and services, one ``servers``
object for each upstream, and one ``evacuations`` object for each evacuated zone. A
malformed object is reported by name and does not keep the others from being used.
"""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, ServiceName, UpstreamId, Zone
from lycheedeal.platform._terms import decode_duration_ms, decode_terms

# Name of the one configuration object that is in use.
_CONFIGURATION_NAME: Final = 'main'
# The numeric upstream id in front of a packet has 64 bits.
_HEX_DIGITS: Final = re.compile('[0-9a-fA-F]{1,16}')
_PORT: Final = re.compile('[1-9][0-9]{0,4}')


@dataclass(slots=True, eq=False, repr=False)
class DecodedObjects:
    """Decoded objects of one store answer.

    ``entries`` are the valid objects. ``removed`` and ``unusable`` are the
    names of deleted and of malformed objects; an empty name stands for an
    object without one. ``version`` is None if the answer has no valid
    configuration.
    """

    version: relay.ConfigurationVersion | None = None
    _configuration: tuple[relay.Entry, ...] = ()
    _entries_by_name: dict[str, relay.Entry] = field(default_factory=dict)
    # Dictionaries as ordered sets: a list of a region has thousands of objects.
    _removed: dict[str, None] = field(default_factory=dict)
    _unusable: dict[str, None] = field(default_factory=dict)

    @property
    def entries(self) -> list[relay.Entry]:
        """Return the valid objects."""
        return [*self._configuration, *self._entries_by_name.values()]

    @property
    def removed(self) -> list[str]:
        """Return the names of deleted objects."""
        return list(self._removed)

    @property
    def unusable(self) -> list[str]:
        """Return the names of malformed objects."""
        return list(self._unusable)

    def add(self, kind: relay.StoreKind, item: Any, deleted: bool = False) -> None:
        """Decode one object of an answer; a later event of an object wins.

        Malformed objects are added to ``unusable``; nothing is raised for them.
        """
        try:
            name = object_name(item)
        except DecodeError:
            # Which object this is cannot be determined without its name. One whose
            # name cannot be read is not the configuration, which has a plain name.
            is_other = kind is relay.StoreKind.CONFIGURATION and _has_name(item)
            if not (deleted or is_other):
                self._unusable[''] = None
            return
        self._discard_earlier(name)
        match kind:
            case relay.StoreKind.CONFIGURATION:
                if name == _CONFIGURATION_NAME and not deleted:
                    self._add_configuration(name, item.get('spec'))
            case _ if deleted:
                self._removed[name] = None
            case relay.StoreKind.UPSTREAMS:
                self._add_entry(name, item.get('spec'), _decode_listing)
            case relay.StoreKind.EVACUATIONS:
                self._add_entry(name, item.get('spec'), _decode_evacuation)

    def _discard_earlier(self, name: str) -> None:
        """Discard the result of an earlier event of the same object."""
        self._removed.pop(name, None)
        self._unusable.pop(name, None)
        self._entries_by_name.pop(name, None)

    def _add_entry(
        self, name: str, spec: Any, decode: Callable[[str, Any], relay.Entry]
    ) -> None:
        try:
            self._entries_by_name[name] = decode(name, spec)
        except DecodeError:
            self._unusable[name] = None

    def _add_configuration(self, name: str, spec: Any) -> None:
        try:
            version, entries = _decode_configuration(spec)
        except DecodeError:
            self._unusable[name] = None
            return
        self.version = version
        self._configuration = entries


def numeric_upstream_id(upstream_id: UpstreamId) -> int:
    """Return the 64-bit number that precedes forwarded packets of an upstream.

    It is the hexadecimal part of the id after the last hyphen. Raises
    DecodeError if that part is not hexadecimal, is 0 or exceeds 64 bits.
    """
    digits = upstream_id.rpartition('-')[2]
    # int() alone accepts signs, spaces, prefixes and digits of other scripts, too.
    number = int(digits, 16) if _HEX_DIGITS.fullmatch(digits) else 0
    if number == 0:
        raise DecodeError(
            f'upstream id {upstream_id!r} does not end in a hexadecimal number of 64 '
            'bits other than 0'
        )
    return number


def _has_name(item: Any) -> bool:
    match item:
        case {'meta': {'name': str()}}:
            return True
        case _:
            return False


def object_name(item: Any) -> str:
    """Return the name of an object; raises DecodeError if it cannot be read."""
    match item:
        case {'meta': {'name': name}}:
            return relay.check_text('meta.name', name)
        case _:
            raise DecodeError('store object has no name in meta.name')


def _decode_listing(name: str, spec: Any) -> relay.Listing:
    match spec:
        case {
            'service': service,
            'address': address,
            'zone': zone,
            'version': version,
            'slots': slots,
            'state': 'ready' | 'draining' as state,
            'warmup_left_ms': warmup_ms,
            'seq': seq,
            # Start of the upstream in Unix milliseconds; it distinguishes a restart
            # under the same id.
            'born': started_ms,
        }:
            # Not used, but an entry without them is not that of an upstream.
            relay.check_text('version', version)
            relay.check_integer('seq', seq)
        case _:
            raise DecodeError(
                f'entry of upstream {name}: a field is missing, or the state is unknown'
            )
    upstream_id = UpstreamId(name)
    numeric_upstream_id(upstream_id)
    listing = relay.Listing(
        upstream_id=upstream_id,
        service=service,
        endpoint=_decode_endpoint(relay.check_text('address', address)),
        zone=zone,
        slots=slots,
        draining=state == 'draining',
        warmup_ms=warmup_ms,
        started_ms=started_ms,
    )
    # Checks the types, too.
    relay.check_listing(listing)
    return listing


def _decode_evacuation(name: str, spec: Any) -> relay.Evacuation:
    """Return the evacuation of the zone that the object is named after."""
    if isinstance(spec, dict):
        return relay.Evacuation(Zone(name))
    raise DecodeError(f'evacuation of zone {name}: expected an object as spec')


def _decode_endpoint(address: str) -> Endpoint:
    ip, _, port = address.rpartition(':')
    return Endpoint(ip, _decode_port(port))


def _decode_port(text: str) -> int:
    """Return a port; raises DecodeError if the text is not a decimal number."""
    # int() alone accepts signs, spaces and underscores, too.
    if _PORT.fullmatch(text):
        return int(text)
    raise DecodeError(f'expected a port, found {text!r}')


def _decode_configuration(
    spec: Any,
) -> tuple[relay.ConfigurationVersion, tuple[relay.Entry, ...]]:
    match spec:
        case {'version': int() as version, 'routes': list() as routes}:
            terms = decode_terms(spec.get('services'))
            return relay.ConfigurationVersion(version), (
                *map(_decode_route, routes),
                *terms,
            )
        case _:
            raise DecodeError('configuration: version or routes is missing or invalid')


def _decode_route(route: Any) -> relay.Route:
    match route:
        case {
            'name': str() as name,
            'hostname': str() as address,
            'path_prefix': str() as port,
        }:
            pass
        case _:
            raise DecodeError('route: name, hostname or path_prefix is missing')
    try:
        # The platform encodes the port of a route as the path prefix /PORT/.
        key = relay.route_key(address, _decode_port(port.strip('/')))
    except ValueError as error:
        raise DecodeError(f'route {name}: {error}') from error
    services = tuple(_decode_services(route))
    if not services:
        raise DecodeError(f'route {name}: no service with a positive weight')
    priority = route.get('priority', 0)
    relay.check_integer('priority', priority)
    return relay.Route(
        relay.RouteName(name),
        key,
        services,
        priority,
        bulk=route.get('type') == 'upload',
        timeout_ms=decode_duration_ms(route.get('timeout_ms')),
        aim_ms=decode_duration_ms(route.get('aim_ms')),
    )


def _decode_services(route: Any) -> Iterator[tuple[ServiceName, int]]:
    match route:
        case {'service': str() as service} if service:
            yield ServiceName(service), 1
        case {'weighted_services': list() as weighted_services}:
            for service, weight in map(_decode_weighted_service, weighted_services):
                if weight > 0:
                    yield service, weight


def _decode_weighted_service(weighted_service: Any) -> tuple[ServiceName, int]:
    match weighted_service:
        case {'service': str() as service, 'weight': int() as weight}:
            return ServiceName(service), weight
        case _:
            raise DecodeError('weighted service: service or weight is missing')
