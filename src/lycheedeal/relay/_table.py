"""Table of upstreams by token, by id and by service."""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from lycheedeal.ids import Endpoint, ServiceName, UpstreamId
from lycheedeal.relay._records import Listing, Token, Upstream, UpstreamState


def token_of(listing: Listing) -> Token:
    """Return the 32-bit name of one incarnation; never 0.

    Every host derives the same token from the entry alone, so a packet finds
    its upstream through any of them.
    """
    text = f'{listing.upstream_id}/{listing.started_ms}/{listing.service}'
    return Token(zlib.crc32(text.encode()) or 1)


@dataclass(slots=True)
class UpstreamTable:
    """Incarnations of upstreams, listed and remembered ones."""

    by_token: dict[Token, Upstream] = field(default_factory=dict)
    current_by_id: dict[UpstreamId, Upstream] = field(default_factory=dict)
    current_by_endpoint: dict[Endpoint, Upstream] = field(default_factory=dict)

    def listed(self, service: ServiceName) -> Iterator[Upstream]:
        """Yield the upstreams of a service that take new flows."""
        for upstream in self.current_by_id.values():
            if (
                upstream.state is UpstreamState.READY
                and upstream.listing.service == service
            ):
                yield upstream

    def add(self, upstream: Upstream) -> None:
        """Make an incarnation the current one of its id and address."""
        self.by_token[upstream.token] = upstream
        self.current_by_id[upstream.listing.upstream_id] = upstream
        self.current_by_endpoint[upstream.listing.endpoint] = upstream

    def forget(self, upstream: Upstream) -> None:
        """Drop an incarnation for good."""
        self.by_token.pop(upstream.token, None)
        listing = upstream.listing
        if self.current_by_id.get(listing.upstream_id) is upstream:
            self.current_by_id.pop(listing.upstream_id)
        if self.current_by_endpoint.get(listing.endpoint) is upstream:
            self.current_by_endpoint.pop(listing.endpoint)
