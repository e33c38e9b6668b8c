"""Table of upstreams by token, id and service."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from lycheedeal.ids import ServiceName, UpstreamId
from lycheedeal.relay._records import RouteKey, Token, Upstream, UpstreamState
from lycheedeal.relay._reported_loads import ReportedLoads
from lycheedeal.relay._tokens import bind_token, earlier_build_token, upstream_part

_NO_SECRETS: Final[Mapping[Token, int]] = MappingProxyType({})


@dataclass(slots=True, eq=False, repr=False)
class UpstreamTable:
    """Current incarnations of upstreams, and earlier ones that may have flows."""

    by_token: dict[Token, Upstream] = field(default_factory=dict)
    current_by_id: dict[UpstreamId, Upstream] = field(default_factory=dict)
    current_by_service: dict[ServiceName, dict[UpstreamId, Upstream]] = field(
        default_factory=dict
    )
    # Sum of the loads that all hosts of the region reported.
    region_loads: ReportedLoads = field(default_factory=ReportedLoads)
    # By the tokens that hosts of earlier builds write.
    by_earlier_build_token: dict[Token, Upstream] = field(default_factory=dict)
    # Secrets of all tokens, grouped by the part of the token that names the upstream.
    secrets_by_part: dict[int, dict[Token, int]] = field(default_factory=dict)

    def find_on_route(self, token: Token, route: RouteKey) -> Upstream | None:
        """Return the upstream of a flow that a host opened on this route.

        None means that no known upstream has this token for the route.
        """
        for own_token, secret in self.secrets_by_part.get(
            upstream_part(token), _NO_SECRETS
        ).items():
            if bind_token(own_token, secret, route) == token:
                return self.find(own_token)
        return None

    def find(self, token: Token) -> Upstream | None:
        """Return the upstream with a token of its own, or None if unknown."""
        return self.by_token.get(token) or self.by_earlier_build_token.get(token)

    def flow_token(self, upstream: Upstream, route: RouteKey) -> Token:
        """Return the token for the packets of a flow."""
        return bind_token(upstream.token, upstream.secret, route)

    def ready(self, service: ServiceName) -> Iterator[Upstream]:
        """Yield the upstreams of a service that accept new flows."""
        for upstream in self.current_by_service.get(service, {}).values():
            if upstream.state is UpstreamState.READY:
                yield upstream

    def add(self, upstream: Upstream) -> None:
        """Add an incarnation as the current one of its id."""
        self.by_token[upstream.token] = upstream
        listing = upstream.listing
        self._secrets_of(upstream.token)[upstream.token] = upstream.secret
        earlier_token, secret = earlier_build_token(listing)
        self.by_earlier_build_token[earlier_token] = upstream
        self._secrets_of(earlier_token).setdefault(earlier_token, secret)
        self.current_by_id[listing.upstream_id] = upstream
        of_service = self.current_by_service.setdefault(listing.service, {})
        of_service[listing.upstream_id] = upstream

    def remove(self, upstream: Upstream) -> None:
        """Remove an incarnation, and all tokens that lead to it."""
        listing = upstream.listing
        earlier_token, _ = earlier_build_token(listing)
        for by_token, token in (
            (self.by_token, upstream.token),
            (self.by_earlier_build_token, earlier_token),
        ):
            if by_token.get(token) is upstream:
                by_token.pop(token)
                self._forget_secret(token)
        if self.current_by_id.get(listing.upstream_id) is upstream:
            self.current_by_id.pop(listing.upstream_id)
        of_service = self.current_by_service.get(listing.service, {})
        if of_service.get(listing.upstream_id) is upstream:
            of_service.pop(listing.upstream_id)
            if not of_service:
                self.current_by_service.pop(listing.service)

    def _secrets_of(self, token: Token) -> dict[Token, int]:
        return self.secrets_by_part.setdefault(upstream_part(token), {})

    def _forget_secret(self, token: Token) -> None:
        if token in self.by_token or token in self.by_earlier_build_token:
            return
        secrets = self._secrets_of(token)
        secrets.pop(token, None)
        if not secrets:
            self.secrets_by_part.pop(upstream_part(token))
