"""Tokens in the packets of flows.

A token has 32 bits. The upper 20 name the upstream; the lower 12 depend on the
upstream and on the route through which the flow was opened. So a host that knows
only the entries of upstreams can tell that some host opened the flow on this route,
whatever services the route has now. Callers cannot derive the token of another
route from theirs: the ids of upstreams are known to hosts only.
"""

import zlib
from typing import Final

from lycheedeal.relay._records import Listing, RouteKey, Token

# Bits of a token that depend on the route.
_ROUTE_BITS: Final = 12
# Multipliers and shifts of the finalizer of SplitMix64, which makes each bit of its
# result depend on all bits of its input.
_MIX: Final = ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB))
_LAST_SHIFT: Final = 31
_MASK: Final = (1 << 64) - 1


def token_of(listing: Listing) -> Token:
    """Return the 32-bit token of an incarnation, whose upper 20 bits are not all 0.

    Every host derives the same token from the entry alone.
    """
    token = zlib.crc32(_identity(listing))
    return Token(token if token >> _ROUTE_BITS else token | 1 << _ROUTE_BITS)


def secret_of(listing: Listing) -> int:
    """Return 64 bits of an incarnation that only hosts can know."""
    identity = _identity(listing)
    first = zlib.adler32(identity)
    return first << 32 | zlib.crc32(identity, first)


def upstream_part(token: Token) -> int:
    """Return the bits of a token that name the upstream."""
    return token >> _ROUTE_BITS


def bind_token(token: Token, secret: int, route: RouteKey) -> Token:
    """Return the token of an upstream for flows that are opened on a route."""
    mixed = secret ^ route
    for shift, factor in _MIX:
        mixed = (mixed ^ mixed >> shift) * factor & _MASK
    route_part = (mixed ^ mixed >> _LAST_SHIFT) & (1 << _ROUTE_BITS) - 1
    return Token(upstream_part(token) << _ROUTE_BITS | route_part)


def _identity(listing: Listing) -> bytes:
    text = f'{listing.upstream_id}/{listing.started_ms}/{listing.service}'
    return text.encode()
