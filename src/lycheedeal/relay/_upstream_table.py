"""Table of upstreams by token, id, address and service."""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from lycheedeal.ids import Endpoint, ServiceName, UpstreamId
from lycheedeal.relay._records import Listing, Token, Upstream, UpstreamState
from lycheedeal.relay._reported_loads import ReportedLoads


def token_of(listing: Listing) -> Token:
    """Return the 32-bit token of an incarnation, which is never 0.

    Every host derives the same token from the entry alone, so any of them can
    forward a packet to its upstream.
    """
    text = f'{listing.upstream_id}/{listing.started_ms}/{listing.service}'
    return Token(zlib.crc32(text.encode()) or 1)


@dataclass(slots=True, eq=False, repr=False)
class UpstreamTable:
    """Current incarnations of upstreams, and earlier ones that may have flows."""

    by_token: dict[Token, Upstream] = field(default_factory=dict)
    current_by_id: dict[UpstreamId, Upstream] = field(default_factory=dict)
    current_by_endpoint: dict[Endpoint, Upstream] = field(default_factory=dict)
    current_by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = field(
        default_factory=dict
    )
    # Sum of the loads that all hosts of the region reported.
    region_loads: ReportedLoads = field(default_factory=ReportedLoads)
    # Current incarnations by tokens of earlier ones with the same id, address and
    # service.
    successors_by_token: dict[Token, Upstream] = field(default_factory=dict)

    def find(self, token: Token) -> Upstream | None:
        """Return the upstream for packets with a token, or None if unknown."""
        return self.by_token.get(token) or self.successors_by_token.get(token)

    def replace(self, known: Upstream, successor: Upstream) -> None:
        """Direct packets with the token of an incarnation to its successor.

        Before the restart was known, flows were opened at the successor with the
        earlier token. It resets flows of the earlier incarnation itself.
        """
        earlier = [
            token for token, one in self.successors_by_token.items() if one is known
        ]
        self.remove(known)
        self.successors_by_token.update(
            dict.fromkeys((*earlier, known.token), successor)
        )

    def ready(self, service: ServiceName) -> Iterator[Upstream]:
        """Yield the upstreams of a service that accept new flows."""
        for upstream in self.current_by_service.get(service, {}).values():
            if upstream.state is UpstreamState.READY:
                yield upstream

    def add(self, upstream: Upstream) -> None:
        """Add an incarnation as the current one of its id and address."""
        self.by_token[upstream.token] = upstream
        listing = upstream.listing
        self.current_by_id[listing.upstream_id] = upstream
        self.current_by_endpoint[listing.endpoint] = upstream
        of_service = self.current_by_service.setdefault(listing.service, {})
        of_service[listing.upstream_id] = upstream

    def remove(self, upstream: Upstream) -> None:
        """Remove an incarnation, and all tokens that lead to it."""
        self.by_token.pop(upstream.token, None)
        self.successors_by_token = {
            token: successor
            for token, successor in self.successors_by_token.items()
            if successor is not upstream
        }
        listing = upstream.listing
        if self.current_by_id.get(listing.upstream_id) is upstream:
            self.current_by_id.pop(listing.upstream_id)
        of_service = self.current_by_service.get(listing.service, {})
        if of_service.get(listing.upstream_id) is upstream:
            of_service.pop(listing.upstream_id)
            if not of_service:
                self.current_by_service.pop(listing.service)
        if self.current_by_endpoint.get(listing.endpoint) is upstream:
            self.current_by_endpoint.pop(listing.endpoint)
