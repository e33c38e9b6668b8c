"""Rendezvous hashing that assigns services to hosts."""

import heapq
from collections.abc import Iterable
from typing import Final

import xxhash

from lycheedeal.model import HostId, Member, ServiceNumber

# Candidates cached for each service; one caller never tries more.
_CANDIDATES_PER_SERVICE: Final = 4
# The design expects 12,000 services; the cache is cleared at this limit.
_MAX_CACHED_SERVICES: Final = 16_384

_Score = tuple[int, HostId]


def rank_hosts(service: ServiceNumber, members: Iterable[Member]) -> list[Member]:
    """Return the members in order of precedence, the owner of the service first."""
    return sorted(
        members,
        key=lambda member: _score(service, member.host_id),
        reverse=True,
    )


class HostRanking:
    """Caches the first candidates of each service.

    A change of members costs one hash for each cached service and added host,
    instead of one for each service and host. Services that lost a cached
    candidate are ranked again when they are next used.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._members_by_id: dict[HostId, Member] = {}
        self._top_by_service: dict[ServiceNumber, list[_Score]] = {}

    def update(self, members: Iterable[Member]) -> None:
        """Replace the members by those of a ``MembersChanged`` event."""
        members_by_id = {member.host_id: member for member in members}
        added = members_by_id.keys() - self._members_by_id.keys()
        removed = self._members_by_id.keys() - members_by_id.keys()
        self._members_by_id = members_by_id
        self._top_by_service = {
            service: _merge_hosts(service, top, added)
            for service, top in self._top_by_service.items()
            if not any(host_id in removed for _, host_id in top)
        }

    def candidates(self, service: ServiceNumber) -> list[Member]:
        """Return at most four members, the owner of the service first."""
        top = self._top_by_service.get(service)
        if top is None:
            if len(self._top_by_service) >= _MAX_CACHED_SERVICES:
                self._top_by_service.clear()
            top = _merge_hosts(service, [], self._members_by_id)
            self._top_by_service[service] = top
        return [self._members_by_id[host_id] for _, host_id in top]

    def owner(self, service: ServiceNumber) -> Member | None:
        """Return the owner of the service, or None without members."""
        return next(iter(self.candidates(service)), None)


def _score(service: ServiceNumber, host_id: HostId) -> _Score:
    return xxhash.xxh3_64_intdigest(host_id.encode(), seed=service), host_id


def _merge_hosts(
    service: ServiceNumber,
    top: list[_Score],
    added: Iterable[HostId],
) -> list[_Score]:
    scores = [_score(service, host_id) for host_id in added]
    return heapq.nlargest(_CANDIDATES_PER_SERVICE, top + scores) if scores else top
