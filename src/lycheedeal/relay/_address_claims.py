"""Upstreams by the address in their entries.

An address is used again some time after its upstream has ended, and the entry of the
ended one may still be in the store.
"""

from collections.abc import Iterator

from lycheedeal.ids import Endpoint, UpstreamId
from lycheedeal.relay._named_services import NamedServices
from lycheedeal.relay._records import Listing, Upstream, UpstreamState


class AddressClaims:
    """Upstreams whose entry is in the store, by the address that it names."""

    def __init__(self, services: NamedServices) -> None:
        """Start without upstreams; ``services`` are shared and not copied."""
        self._services = services
        # Nearly all addresses are those of one upstream.
        self._upstreams_by_endpoint: dict[Endpoint, tuple[Upstream, ...]] = {}

    def state_of(self, listing: Listing) -> UpstreamState:
        """Return the state that its entry gives an upstream.

        An entry whose address has a later holder is a remainder: it lapses some time
        after its upstream ended.
        """
        for other in self.at(listing.endpoint):
            is_later = _start_of(other.listing) > _start_of(listing)
            if is_later and other.listing.service in self._services:
                return UpstreamState.GONE
        return UpstreamState.DRAINING if listing.draining else UpstreamState.READY

    def add(self, upstream: Upstream) -> None:
        """Note that the entry of an upstream names its address."""
        known = self.at(upstream.listing.endpoint)
        if upstream not in known:
            self._upstreams_by_endpoint[upstream.listing.endpoint] = (*known, upstream)

    def remove(self, upstream: Upstream) -> None:
        """Note that there is no usable entry of an upstream any more."""
        endpoint = upstream.listing.endpoint
        others = tuple(one for one in self.at(endpoint) if one is not upstream)
        if others:
            self._upstreams_by_endpoint[endpoint] = others
        else:
            self._upstreams_by_endpoint.pop(endpoint, None)

    def at(self, endpoint: Endpoint) -> tuple[Upstream, ...]:
        """Return the upstreams at an address."""
        return self._upstreams_by_endpoint.get(endpoint, ())

    def shared(self) -> Iterator[tuple[Upstream, ...]]:
        """Yield the upstreams of each address that several entries name."""
        for upstreams in self._upstreams_by_endpoint.values():
            if len(upstreams) > 1:
                yield upstreams


def _start_of(listing: Listing) -> tuple[int, UpstreamId]:
    # Ids order upstreams with the same start time alike on all hosts.
    return listing.started_ms, listing.upstream_id
