"""Answers the question where an opening would go, as JSON.

Imported at the first question.
"""

import json
from collections.abc import Iterator
from typing import Any, Final
from urllib.parse import parse_qs

from lycheedeal import relay
from lycheedeal.exceptions import UsageError
from lycheedeal.hosting._http import HttpResponse, HttpStatus
from lycheedeal.relay._records import endpoint_text
from lycheedeal.relay.explaining import (
    Content,
    Placement,
    PlacementQuery,
    RouteUnknown,
    ServicePlacement,
    UpstreamPlacement,
    explain_placement,
)

_JSON_TYPE: Final = 'application/json'
# Fields of a query; a query with others is refused, since a misspelt one would
# otherwise be left out.
_FIELDS: Final = frozenset(('route', 'caller'))
# Digits after the point of probabilities, shares and loads.
_DIGITS: Final = 4


def respond(kernel: relay.RelayKernel, query: str) -> HttpResponse:
    """Return the response to ``/placement`` with a query.

    An error is a JSON object with a ``reason``.
    """
    try:
        parsed = _parse_query(query)
    except UsageError as error:
        return _failure(HttpStatus.BAD_REQUEST, error.detail)
    match explain_placement(kernel, parsed):
        case RouteUnknown(version=None):
            return _failure(
                HttpStatus.SERVICE_UNAVAILABLE, 'host has no configuration yet'
            )
        case RouteUnknown(version=version):
            route = parsed.route
            text = endpoint_text(route) if isinstance(route, int) else repr(route)
            return _failure(
                HttpStatus.NOT_FOUND, f'configuration {version} has no route {text}'
            )
        case Placement() as placement:
            return _json(HttpStatus.OK, _document(kernel, parsed, placement))


def _parse_query(query: str) -> PlacementQuery:
    """Return the question of a query; raises UsageError if it is malformed."""
    texts_by_field = parse_qs(query, keep_blank_values=True)
    unknown = ', '.join(sorted(texts_by_field.keys() - _FIELDS))
    if unknown:
        raise UsageError(f'unknown fields: {unknown}')
    if any(len(texts) > 1 for texts in texts_by_field.values()):
        raise UsageError('a field is given more than once')
    route = ''.join(texts_by_field.get('route', ()))
    if not route:
        raise UsageError('route is missing')
    return PlacementQuery(
        _parse_address(route) or relay.RouteName(route),
        _parse_caller(texts_by_field.get('caller')),
    )


def _parse_caller(texts: list[str] | None) -> relay.RouteKey | None:
    if texts is None:
        return None
    caller = _parse_address(texts[0])
    if caller is None:
        raise UsageError(
            f'caller: expected the IP:PORT of a caller, found {texts[0]!r}'
        )
    return caller


def _parse_address(text: str) -> relay.RouteKey | None:
    ip, _, port = text.rpartition(':')
    # int() accepts signs, spaces, underscores and other digits.
    if not (port.isascii() and port.isdecimal()):
        return None
    try:
        return relay.route_key(ip, int(port))
    except ValueError:
        return None


def _document(
    kernel: relay.RelayKernel, query: PlacementQuery, placement: Placement
) -> dict[str, Any]:
    route = placement.route
    loads = placement.loads
    settings = kernel.context.settings
    unanswered = placement.unanswered
    return {
        'host': settings.host_id,
        'zone': settings.zone,
        'at': round(kernel.context.clock.wall(), 3),
        'route': {
            'name': route.name,
            'address': endpoint_text(route.key),
            'priority': route.priority,
            'bulk': route.bulk,
        },
        'caller': None if query.caller is None else endpoint_text(query.caller),
        'unanswered': unanswered.listing.upstream_id if unanswered else None,
        'services': list(map(_service, placement.services)),
        'contents': list(map(_content, placement.contents)),
        'loads': {
            'age_s': None if loads.age is None else round(loads.age, 3),
            'in_use': loads.is_fresh,
            'zones': list(loads.zones),
        },
    }


def _service(one: ServicePlacement) -> dict[str, Any]:
    rows = sorted(
        map(_upstream, one.upstreams),
        key=lambda row: (-row['probability'], row['upstream']),
    )
    return {
        'service': one.service,
        'share': round(one.share, _DIGITS),
        'refusal': one.refusal.value if one.refusal else None,
        'upstreams': rows,
    }


def _upstream(one: UpstreamPlacement) -> dict[str, Any]:
    listing, candidate = one.upstream.listing, one.candidate
    return {
        'upstream': listing.upstream_id,
        'zone': listing.zone,
        'address': str(listing.endpoint),
        'state': one.upstream.state.value,
        'load': round(candidate.load, _DIGITS) if candidate else None,
        'share': round(candidate.share, _DIGITS) if candidate else None,
        'probability': round(one.probability, _DIGITS),
        'excluded_by': list(_exclusions(one)),
    }


def _exclusions(one: UpstreamPlacement) -> Iterator[str]:
    if one.candidate is None:
        yield one.upstream.state.value
    else:
        yield from sorted(reason.value for reason in one.candidate.exclusions)


def _content(one: Content) -> dict[str, Any]:
    copy = one.copy
    return {
        'content': copy.kind.value,
        'version': copy.version,
        'era': copy.position.era,
        'revision': copy.position.revision,
        'age_s': round(one.age, 3),
        'lag_s': round(one.lag, 3),
        'source': copy.source.value if copy.source else None,
    }


def _failure(status: HttpStatus, reason: str) -> HttpResponse:
    return _json(status, {'reason': reason})


def _json(status: HttpStatus, document: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, json.dumps(document).encode(), _JSON_TYPE)
