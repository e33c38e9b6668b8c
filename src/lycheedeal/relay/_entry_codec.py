"""Encoding of routes and entries of upstreams in the messages between hosts."""

from typing import Any

from lycheedeal.exceptions import DecodeError
from lycheedeal.ids import Endpoint, ServiceName, Zone
from lycheedeal.relay._entry_checks import check_listing, check_terms, check_text
from lycheedeal.relay._records import (
    Entry,
    Evacuation,
    Listing,
    Route,
    RouteKey,
    RouteName,
    ServiceTerms,
)


def encode_entry(entry: Entry) -> list[Any]:
    """Return the JSON array of an entry."""
    match entry:
        case Route():
            services = entry.services
            return [
                'route',
                entry.name,
                entry.key,
                services,
                entry.priority,
                entry.bulk,
                entry.timeout_ms,
                entry.aim_ms,
            ]
        case ServiceTerms():
            return [
                'service',
                entry.service,
                entry.max_connections,
                entry.warmup_seconds,
                entry.warmup_rate,
                entry.invalid,
            ]
        case Evacuation(zone=zone):
            return ['evacuation', zone]
        case Listing():
            return [
                'upstream',
                entry.upstream_id,
                entry.service,
                *entry.endpoint,
                entry.zone,
                entry.slots,
                entry.draining,
                entry.warmup_ms,
                entry.started_ms,
            ]


def decode_entry(fields: Any) -> Entry:
    """Return the entry of a JSON array; raises DecodeError if it cannot be used."""
    match fields:
        case [
            'route',
            str() as name,
            int() as key,
            list() as services,
            int() as priority,
            bool() as bulk,
            int() as timeout_ms,
            int() as aim_ms,
        ]:
            return Route(
                RouteName(name),
                RouteKey(key),
                tuple((ServiceName(str(one)), int(share)) for one, share in services),
                priority,
                bulk,
                timeout_ms,
                aim_ms,
            )
        case [
            'service',
            str() as service,
            int() | None as max_connections,
            int() | float() | None as warmup_seconds,
            int() | float() | None as warmup_rate,
            list() as invalid,
        ]:
            terms = ServiceTerms(
                ServiceName(service),
                max_connections,
                warmup_seconds,
                warmup_rate,
                tuple(map(str, invalid)),
            )
            check_terms(terms)
            return terms
        case ['evacuation', zone]:
            return Evacuation(Zone(check_text('zone', zone)))
        case [
            'upstream',
            upstream_id,
            service,
            str() as ip,
            int() as port,
            zone,
            slots,
            bool() as draining,
            warmup_ms,
            started_ms,
        ]:
            listing = Listing(
                upstream_id,
                service,
                Endpoint(ip, port),
                zone,
                slots,
                draining,
                warmup_ms,
                started_ms,
            )
            check_listing(listing)
            return listing
    raise DecodeError('entry is of no known kind, or has other fields than expected')
