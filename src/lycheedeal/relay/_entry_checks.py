"""What the entry of an upstream must be like, so that any part of a host can use it.

Entries come from other writers, too, and are checked as a whole where they are
decoded: a failure in a later part of a host would cost other entries.
"""

import math
from typing import Any, Final

from lycheedeal.exceptions import DecodeError
from lycheedeal.relay._records import Listing, ServiceTerms, route_key

# Longest name or text of an entry, in characters. Hosts send several entries in a
# datagram of at most 8 KiB.
_MAX_TEXT_CHARS: Final = 128
_MAX_INTEGER: Final = 2**63 - 1
# Flows are spread by load a slot, so an upstream with countless slots would get all.
_MAX_SLOTS: Final = 65_535


def check_listing(listing: Listing) -> None:
    """Raise DecodeError unless all fields have a type and value that can be used."""
    check_text('id', listing.upstream_id)
    check_text('service', listing.service)
    check_text('zone', listing.zone)
    try:
        route_key(*listing.endpoint)
    except ValueError as error:
        raise DecodeError(f'field address: {error}') from error
    check_integer('slots', listing.slots, minimum=1, maximum=_MAX_SLOTS)
    check_integer('warm-up', listing.warmup_ms)
    check_integer('start', listing.started_ms)


def check_terms(terms: ServiceTerms) -> None:
    """Raise DecodeError unless the name and all numbers can be used."""
    check_text('service', terms.service)
    for name, number in (
        ('connections', terms.max_connections),
        ('warm-up', terms.warmup_seconds),
        ('rate', terms.warmup_rate),
    ):
        if isinstance(number, bool) or not 0 <= (number or 0) < math.inf:
            raise DecodeError(f'field {name}: expected a number from 0')


def check_text(name: str, text: Any) -> str:
    """Return a text if it can be read; bytes that are no UTF-8 are not printable."""
    is_readable = isinstance(text, str) and text.isprintable()
    if is_readable and 0 < len(text) <= _MAX_TEXT_CHARS:
        return str(text)
    raise DecodeError(
        f'field {name}: expected printable text of 1 to {_MAX_TEXT_CHARS} characters'
    )


def check_integer(
    name: str, number: Any, minimum: int = 0, maximum: int = _MAX_INTEGER
) -> None:
    """Raise DecodeError unless a value is a whole number in a range."""
    if isinstance(number, int) and not isinstance(number, bool):
        if minimum <= number <= maximum:
            return
    raise DecodeError(f'field {name}: expected an integer from {minimum} to {maximum}')
