"""Membership records of entry hosts."""

from dataclasses import dataclass
from enum import Enum, unique

from lycheedeal.ids import Endpoint, HostId, Incarnation, Zone


@unique
class MemberState(Enum):
    """State of an entry host as its peers see it.

    A SUSPECT host has not answered a probe and may still refute the suspicion;
    a LEAVING one has begun a planned stop.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclass(frozen=True, slots=True)
class Member:
    """One process incarnation of the daemon on an entry host.

    ``revision`` is raised only by the host itself, to refute a suspicion or to
    announce another state. A record with a higher (incarnation, revision)
    replaces an older one.
    """

    host_id: HostId
    zone: Zone
    peer: Endpoint
    gossip: Endpoint
    admin: Endpoint
    incarnation: Incarnation
    revision: int = 0
    state: MemberState = MemberState.ALIVE
