"""Endpoints to try for joining the zone: seeds and the platform's host list."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Final

import msgspec

from lycheedeal.model import Endpoint, HostId, Incarnation, Member, Zone

_MAX_CANDIDATES: Final = 2048


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Entry of the platform's host list; the endpoints have the form ``ip:port``."""

    host_id: HostId
    zone: Zone
    peer: str
    gossip: str
    admin: str


_decoder: Final = msgspec.json.Decoder(list[ListedHost])


class Candidates:
    """Round robin of peer endpoints to probe.

    Endpoints that a later host list omits are kept, since the list may lag.
    """

    def __init__(self, seeds: Iterable[Endpoint]) -> None:
        """Start with the seeds from the settings, all untried."""
        self.untried_count = 0
        self._endpoints: deque[Endpoint] = deque()
        self.add(seeds)

    def __len__(self) -> int:
        """Return the number of candidates, tried or not."""
        return len(self._endpoints)

    def add(self, endpoints: Iterable[Endpoint]) -> None:
        """Add new endpoints to be tried first.

        Above 2048 candidates those whose turn is the furthest away are dropped.
        """
        known = set(self._endpoints)
        for endpoint in endpoints:
            if endpoint not in known:
                known.add(endpoint)
                self._endpoints.appendleft(endpoint)
                self.untried_count += 1
        while len(self._endpoints) > _MAX_CANDIDATES:
            self._endpoints.pop()

    def next(self) -> Endpoint | None:
        """Return the next endpoint in turn, or None without candidates."""
        if not self._endpoints:
            return None
        self.untried_count = max(self.untried_count - 1, 0)
        self._endpoints.rotate(-1)
        return self._endpoints[-1]


def parse_host_list(body: bytes) -> tuple[Member, ...] | None:
    """Return the listed hosts of all zones, or None if the list is malformed."""
    try:
        return tuple(map(_to_member, _decoder.decode(body)))
    except (msgspec.MsgspecError, ValueError):
        return None


def _to_member(listed: ListedHost) -> Member:
    return Member(
        host_id=listed.host_id,
        zone=listed.zone,
        peer=_parse_endpoint(listed.peer),
        gossip=_parse_endpoint(listed.gossip),
        admin=_parse_endpoint(listed.admin),
        # The list does not say which process runs on a host.
        incarnation=Incarnation(0),
    )


def _parse_endpoint(text: str) -> Endpoint:
    ip, _, port = text.rpartition(':')
    return Endpoint(str(IPv4Address(ip)), int(port))
