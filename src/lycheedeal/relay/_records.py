"""Records of the packet relay: packets, routes, upstreams and peers."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType

from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone

# Caller address and port above the route's address and port, 48 bits each.
FlowKey = NewType('FlowKey', int)
# Address in the upper 32 bits, port in the lower 16.
RouteKey = NewType('RouteKey', int)
RouteName = NewType('RouteName', str)
# Names one incarnation of an upstream inside a packet; 0 names none.
Token = NewType('Token', int)
# Position in the history of the platform's store.
Revision = NewType('Revision', int)
ConfigurationVersion = NewType('ConfigurationVersion', int)

ROUTE_BITS = 48


@unique
class PacketKind(Enum):
    """What a packet of a caller does to its flow."""

    OPENING = 'opening'
    DATA = 'data'
    ACKNOWLEDGEMENT = 'acknowledgement'
    FINISH = 'finish'
    RESET = 'reset'
    FORGED = 'forged'


@unique
class UpstreamState(Enum):
    """What is known of one incarnation of an upstream."""

    READY = 'ready'
    DRAINING = 'draining'
    # No usable entry, but the upstream may live.
    UNLISTED = 'unlisted'
    # Ended for certain; its flows cannot go on.
    GONE = 'gone'


@unique
class StoreKind(Enum):
    """The kinds of objects that a host follows in the platform's store."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'


@unique
class StoreFault(Enum):
    """Why a call to the platform's store gave no answer to use."""

    HISTORY_LOST = 'history_lost'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    MALFORMED = 'malformed'


@unique
class Source(Enum):
    """Where content came from."""

    STORE = 'store'
    PEER = 'peer'


@dataclass(slots=True, eq=False, repr=False)
class Packet:
    """A decoded packet of a caller; ``raw`` is the packet as it arrived.

    ``attempt`` counts the copies of an opening; ``acknowledged`` is the
    caller's position in the bytes of the upstream.
    """

    flow: FlowKey
    route: RouteKey
    kind: PacketKind
    attempt: int
    token: Token
    acknowledged: int
    raw: bytes


@dataclass(slots=True)
class Route:
    """Where new flows to an address go; several services share by weight.

    Requests of a ``bulky`` route carry tens of kilobytes.
    """

    name: RouteName
    key: RouteKey
    services: tuple[tuple[ServiceName, int], ...]
    priority: int = 0
    bulk: bool = False

    def __contains__(self, service: ServiceName) -> bool:
        """Tell whether new flows of the route may go to a service."""
        return any(name == service for name, _ in self.services)


@dataclass(slots=True)
class Listing:
    """An upstream as it describes itself; times in milliseconds."""

    upstream_id: UpstreamId
    service: ServiceName
    endpoint: Endpoint
    zone: Zone
    slots: int
    draining: bool
    warmup_ms: int
    started_ms: int


Entry = Route | Listing


@dataclass(slots=True, eq=False, repr=False)
class Load:
    """Requests in flight, on average, and open flows at one upstream.

    ``doubting`` hosts had no answer from it lately, ``vouching`` ones had one.
    """

    in_flight: float
    open_flows: int
    failure_votes: int = 0
    success_votes: int = 0


Loads = dict[Token, Load]


@unique
class LoadScope(Enum):
    """Whose load a report adds up."""

    HOST = 'host'
    ZONE = 'zone'
    REGION = 'region'


@dataclass(slots=True, eq=False, repr=False)
class Upstream:
    """One incarnation of an upstream, and what this host saw of it.

    Times are seconds of the monotonic clock.
    """

    listing: Listing
    token: Token
    state: UpstreamState
    state_since: float
    warm_at: float = 0
    open_flows: int = 0
    in_flight: int = 0
    # Mean of ``busy`` over about a second, as of its last change.
    in_flight_mean: float = 0
    in_flight_at: float = 0
    unanswered_openings: int = 0
    avoided_until: float = 0
    unanswered_at: float = float('-inf')
    answered_at: float = float('-inf')


@dataclass(slots=True, eq=False, repr=False)
class Peer:
    """Another host; ``strength`` is its share of a core."""

    host_id: HostId
    zone: Zone
    endpoint: Endpoint
    core_share: float
    is_leader: bool = False
    heard_at: float = 0


def flow_text(flow: FlowKey) -> str:
    """Return ``caller > route`` with addresses and ports."""
    route = flow & ((1 << ROUTE_BITS) - 1)
    return f'{endpoint_text(flow >> ROUTE_BITS)} > {endpoint_text(route)}'


def endpoint_text(key: int) -> str:
    """Return ``ip:port`` of an address and port in one number."""
    address, port = key >> 16, key & 0xFFFF
    parts = (address >> shift & 0xFF for shift in (24, 16, 8, 0))
    return f'{".".join(map(str, parts))}:{port}'


def route_key(ip: str, port: int) -> RouteKey:
    """Return address and port in one number; raises ValueError."""
    parts = [int(part) for part in ip.split('.')]
    if len(parts) != 4 or not all(0 <= part <= 255 for part in parts):
        raise ValueError(f'{ip!r} is not an IPv4 address')
    if not 0 < port <= 0xFFFF:
        raise ValueError(f'{port} is not a port')
    address = int.from_bytes(bytes(parts), 'big')
    return RouteKey(address << 16 | port)
