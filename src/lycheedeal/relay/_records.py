"""Data types of the packet relay: packets, routes, upstreams and peers."""

import re
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, NamedTuple, NewType

from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.placement import FlowCount

# Address and port of the caller in the upper 48 bits, of the route in the lower 48.
FlowKey = NewType('FlowKey', int)
# Address in the upper 32 bits, port in the lower 16.
RouteKey = NewType('RouteKey', int)
RouteName = NewType('RouteName', str)
# Identifies an upstream in a packet, in all its incarnations; 0 stands for none.
Token = NewType('Token', int)
# Number of a change in a history of the platform's store.
Revision = NewType('Revision', int)
# Number of a history of the store. When the store comes back from an older copy, a
# new one begins, in which revisions are given out again.
Era = NewType('Era', int)
ConfigurationVersion = NewType('ConfigurationVersion', int)

_ADDRESS_PART: Final = re.compile('0|[1-9][0-9]{0,2}')
# Size of a route key in bits.
ROUTE_BITS = 48


class Position(NamedTuple):
    """Position in the changes of the platform's store, in all its histories."""

    era: Era
    revision: Revision


# Before the first change.
START_POSITION: Final = Position(Era(0), Revision(0))
# Orders the contents of one kind that hosts pass on to each other: by the position in
# the store, or by the version of a configuration. A restored store may hold an older
# version for a while.
Edition = NewType('Edition', tuple[int, int])
NO_EDITION: Final = Edition((0, 0))


@unique
class PacketKind(Enum):
    """What a packet of a caller means for its flow."""

    OPENING = 'opening'
    DATA = 'data'
    ACKNOWLEDGEMENT = 'acknowledgement'
    FINISH = 'finish'
    RESET = 'reset'
    FORGED = 'forged'


@unique
class UpstreamState(Enum):
    """State of one incarnation of an upstream, as far as it is known."""

    READY = 'ready'
    DRAINING = 'draining'
    # Without a usable entry; the upstream may still run.
    UNLISTED = 'unlisted'
    # Ended for certain; packets of its flows are reset.
    GONE = 'gone'


@unique
class StoreKind(Enum):
    """Kinds of objects that a host reads from the platform's store."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'


@unique
class StoreFault(Enum):
    """Why a call to the platform's store returned no usable answer."""

    HISTORY_LOST = 'history_lost'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    # An answer began, and its next part did not come in time.
    SLOW = 'slow'
    MALFORMED = 'malformed'
    # A list is shorter than the changes that a watch reports.
    TOO_LONG = 'too_long'


@unique
class Source(Enum):
    """Where content was read from."""

    STORE = 'store'
    PEER = 'peer'


@dataclass(slots=True, eq=False, repr=False)
class Packet:
    """A decoded packet of a caller; ``raw`` contains the bytes as received.

    ``attempt`` numbers the copies of an opening. ``acknowledged`` is the caller's
    position in the bytes that the upstream sent.
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
    """Services for new flows to an address, each with its weight.

    Requests of a ``bulk`` route carry tens of kilobytes. 0 is the most urgent
    ``priority``. Callers give a request up after ``timeout_ms`` and want its answer
    within ``aim_ms``; 0 means that the configuration does not tell.
    """

    name: RouteName
    key: RouteKey
    services: tuple[tuple[ServiceName, int], ...]
    priority: int = 0
    bulk: bool = False
    timeout_ms: int = 0
    aim_ms: int = 0

    def __contains__(self, service: ServiceName) -> bool:
        """Return whether new flows of the route may go to a service."""
        return any(name == service for name, _ in self.services)


@dataclass(slots=True)
class ServiceTerms:
    """What the configuration tells about the upstreams of a service.

    An upstream holds ``max_connections`` flows. It is cold for ``warmup_seconds`` after
    its start and then takes ``warmup_rate`` new flows a second. None means that the
    configuration does not tell, or has a value that cannot be used; ``invalid`` names
    the fields of such values.
    """

    service: ServiceName
    max_connections: int | None = None
    warmup_seconds: float | None = None
    warmup_rate: float | None = None
    invalid: tuple[str, ...] = ()


@dataclass(slots=True)
class Evacuation:
    """Request to send no new flows to the upstreams of a zone."""

    zone: Zone


@dataclass(slots=True)
class Listing:
    """Entry that an upstream writes to the store about itself.

    ``slots`` is the number of requests that it runs at once. ``started_ms`` is the
    time of its start, which differs from incarnation to incarnation.
    """

    upstream_id: UpstreamId
    service: ServiceName
    endpoint: Endpoint
    zone: Zone
    slots: int
    draining: bool
    warmup_ms: int
    started_ms: int


def is_same_incarnation(one: Listing, other: Listing) -> bool:
    """Return whether two entries were written between two starts of one upstream."""
    return _incarnation_of(one) == _incarnation_of(other)


def _incarnation_of(listing: Listing) -> tuple[UpstreamId, int, Endpoint, ServiceName]:
    identity = listing.upstream_id, listing.started_ms
    return *identity, listing.endpoint, listing.service


Entry = Route | ServiceTerms | Listing | Evacuation


@dataclass(slots=True, eq=False, repr=False)
class Load:
    """Mean number of requests in flight, and open flows, at one upstream.

    ``failure_votes`` counts the hosts to which it recently left an opening
    unanswered, ``success_votes`` those to which it recently answered one. ``answers``
    counts the requests that it answered since the previous report, and
    ``answer_seconds`` adds up the time that each of them took.
    """

    in_flight: float
    open_flows: int
    failure_votes: int = 0
    success_votes: int = 0
    answers: int = 0
    answer_seconds: float = 0


Loads = dict[Token, Load]


@unique
class LoadScope(Enum):
    """Hosts whose loads a report adds up."""

    HOST = 'host'
    ZONE = 'zone'
    REGION = 'region'


@dataclass(slots=True, eq=False, repr=False)
class Upstream:
    """One incarnation of an upstream, and what this host observed of it.

    Times are seconds of the monotonic clock: ``state_since`` that of the last change of
    state, ``warm_at`` the end of the warm-up, and ``avoided_until`` the end of the
    time without new flows. ``secret`` binds the tokens of its flows to their routes.
    """

    listing: Listing
    token: Token
    secret: int
    state: UpstreamState
    state_since: float
    warm_at: float = 0
    open_flows: int = 0
    in_flight: int = 0
    # Mean of ``in_flight`` over about a second, as of its last change.
    in_flight_mean: float = 0
    in_flight_at: float = 0
    unanswered_openings: int = 0
    avoided_until: float = 0
    unanswered_at: float = float('-inf')
    answered_at: float = float('-inf')
    # Requests answered since the last report of this host, and the sum of their times.
    answers: int = 0
    answer_seconds: float = 0
    # Open flows in the last report of this host, and in the one before.
    reported_flows: int = 0
    earlier_reported_flows: int = 0
    # Open flows of all hosts, kept if the service has a limit.
    flow_count: FlowCount = field(default_factory=FlowCount)
    # Service time in that of a usual upstream of the service.
    slowness: float = 1


@dataclass(slots=True, eq=False, repr=False)
class Peer:
    """A host as its peers know it.

    ``core_share`` is the share of a processor core that it may use. ``heard_at`` is
    local to the receiver, in seconds of the monotonic clock.
    """

    host_id: HostId
    zone: Zone
    endpoint: Endpoint
    core_share: float
    is_leader: bool = False
    heard_at: float = 0


def flow_text(flow: FlowKey) -> str:
    """Return the text ``caller > route``, each as ``ip:port``."""
    route = flow & ((1 << ROUTE_BITS) - 1)
    return f'{endpoint_text(flow >> ROUTE_BITS)} > {endpoint_text(route)}'


def endpoint_text(key: int) -> str:
    """Return the text ``ip:port`` of an address and port packed into a number."""
    address, port = key >> 16, key & 0xFFFF
    parts = (address >> shift & 0xFF for shift in (24, 16, 8, 0))
    return f'{".".join(map(str, parts))}:{port}'


def route_key(ip: str, port: int) -> RouteKey:
    """Return an address and port packed into a number.

    Raises ValueError if the address is not IPv4 or the port is out of range.
    """
    texts = ip.split('.')
    # int() accepts signs, spaces and underscores; sockets take a leading 0 for octal
    # and look up what is not an address.
    is_decimal = all(map(_ADDRESS_PART.fullmatch, texts))
    parts = [int(part) for part in texts] if is_decimal else []
    if len(parts) != 4 or max(parts) > 255:
        raise ValueError(f'expected an IPv4 address, found {ip!r}')
    if not 0 < port <= 0xFFFF:
        raise ValueError(f'expected a port from 1 to 65535, found {port}')
    address = int.from_bytes(bytes(parts), 'big')
    return RouteKey(address << 16 | port)
