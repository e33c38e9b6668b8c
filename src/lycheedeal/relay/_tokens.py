"""Tokens in the packets of flows.

A token has 32 bits. The upper 20 name the upstream; the lower 12 depend on the
upstream and on the route through which the flow was opened. So a host that knows
only the entries of upstreams can tell that some host opened the flow on this route,
whatever services the route has now. Callers cannot derive the token of another
route from theirs: the ids of upstreams are known to hosts only.

A token stands for id, address and service, and not for one start of the upstream:
flows are opened at a restarted upstream before its new entry is read. An upstream
resets the flows of its earlier starts itself.
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
    """Return the 32-bit token of an upstream, whose upper 20 bits are not all 0.

    Every host derives the same token from the entry alone.
    """
    return _token(_identity(listing))


def secret_of(listing: Listing) -> int:
    """Return 64 bits of an upstream that only hosts can know."""
    return _secret(_identity(listing))


def earlier_build_token(listing: Listing) -> tuple[Token, int]:
    """Return token and secret by which hosts of earlier builds know an upstream.

    Their tokens stand for one start of an upstream, and do not contain its address.
    """
    text = f'{listing.upstream_id}/{listing.started_ms}/{listing.service}'
    identity = text.encode()
    return _token(identity), _secret(identity)


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
    ip, port = listing.endpoint
    return f'{listing.upstream_id}/{ip}:{port}/{listing.service}'.encode()


def _token(identity: bytes) -> Token:
    token = zlib.crc32(identity)
    return Token(token if token >> _ROUTE_BITS else token | 1 << _ROUTE_BITS)


def _secret(identity: bytes) -> int:
    first = zlib.adler32(identity)
    return first << 32 | zlib.crc32(identity, first)
