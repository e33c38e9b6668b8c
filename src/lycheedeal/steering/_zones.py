"""Share of new requests that each availability zone takes."""

from collections import Counter
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.kernel import OpenAdmitted
from lycheedeal.membership import HostRanking
from lycheedeal.messages import FlowCounts
from lycheedeal.model import Endpoint, Member, Service, ServiceNumber, SpillRule, Zone
from lycheedeal.steering._state import SteeringState

# A caller's retransmissions try each candidate this often.
ATTEMPTS_PER_OWNER: Final = 2
# Reports come once a second; a zone that sends none for longer is left out.
_REPORT_LIFETIME_SECONDS: Final = 3.5
# Weight of the last second in the rate of arrivals.
_RATE_SMOOTHING: Final = 0.4


@dataclass(frozen=True, slots=True)
class _RemoteLoad:
    """Last report of the owner of a service in another zone."""

    owner: Endpoint
    arrival_rate: float
    expires_at: float


@dataclass(slots=True)
class _ServiceLoad:
    arrivals: int = 0
    arrival_rate: float = 0
    remote_by_zone: dict[Zone, _RemoteLoad] = field(default_factory=dict)


class ZoneBalancer:
    """Passes surplus requests to other zones under the rule ``balanced``.

    The fabric spreads callers over all hosts, so a zone with many hosts and
    few upstreams gets more than its share. Its owner of the service passes
    the surplus, share of arrivals less share of slots, to the owners in zones
    with a deficit.
    """

    def __init__(self, state: SteeringState) -> None:
        """Share the state of the plug-in."""
        self._state = state
        self._ranking_by_zone: dict[Zone, HostRanking] = {}
        self._load_by_service: dict[ServiceNumber, _ServiceLoad] = {}

    def set_hosts(self, members: tuple[Member, ...]) -> None:
        """Take the platform's lagging list of hosts."""
        for zone in {member.zone for member in members} - {self._own_zone}:
            ranking = self._ranking_by_zone.setdefault(zone, HostRanking())
            ranking.update([member for member in members if member.zone == zone])

    def report_recipients(self, service: Service) -> Iterator[Endpoint]:
        """Yield the hosts in other zones that want this zone's report.

        That is the host that reported last from a zone, and otherwise all
        candidates by the platform's list, since the first may be gone.
        """
        fresh = self._fresh_reports(self._service_load(service.number))
        zones = {upstream.zone for upstream in service.upstreams}
        for zone in sorted(zones & self._ranking_by_zone.keys()):
            candidates = self._ranking_by_zone[zone].candidates(service.number)
            peers = [member.peer for member in candidates]
            report = fresh.get(zone)
            if report is not None:
                # The first listed candidate may be a new owner.
                peers = [report.owner, *peers[:1]]
            yield from dict.fromkeys(peers)

    def update_rates(self, owned: frozenset[ServiceNumber]) -> None:
        """Smooth the arrivals of the last second."""
        self._load_by_service = {
            service: load
            for service, load in self._load_by_service.items()
            if service in owned
        }
        for load in self._load_by_service.values():
            load.arrival_rate += _RATE_SMOOTHING * (load.arrivals - load.arrival_rate)
            load.arrivals = 0

    def arrival_rate(self, service: ServiceNumber) -> float:
        """Return the request flows a second asked for in this zone."""
        load = self._load_by_service.get(service)
        return 0 if load is None else load.arrival_rate

    def store_report(self, peer: Endpoint, report: FlowCounts, now: float) -> None:
        """Take the report of the owner in another zone."""
        self._service_load(report.service).remote_by_zone[report.zone] = _RemoteLoad(
            peer,
            report.arrivals,
            now + _REPORT_LIFETIME_SECONDS,
        )

    def choose_remote_owner(self, event: OpenAdmitted) -> Endpoint | None:
        """Return the owner in another zone that should take a request flow.

        None means that this zone keeps it. Retransmissions stay in the
        zone, since the other one may be cut off.
        """
        service = event.service
        if service.spill is not SpillRule.BALANCED or event.final:
            return None
        load = self._service_load(service.number)
        load.arrivals += 1
        if event.message.attempt >= ATTEMPTS_PER_OWNER:
            return None
        fresh = self._fresh_reports(load)
        zone = self._draw_zone(service, load.arrival_rate, fresh)
        return None if zone is None else fresh[zone].owner

    @property
    def _own_zone(self) -> Zone:
        return self._state.context.settings.zone

    def _service_load(self, service: ServiceNumber) -> _ServiceLoad:
        return self._load_by_service.setdefault(service, _ServiceLoad())

    def _fresh_reports(self, load: _ServiceLoad) -> dict[Zone, _RemoteLoad]:
        now = self._state.context.clock.monotonic()
        reports = load.remote_by_zone.items()
        return {zone: report for zone, report in reports if report.expires_at > now}

    def _draw_zone(
        self,
        service: Service,
        own_arrival_rate: float,
        fresh: dict[Zone, _RemoteLoad],
    ) -> Zone | None:
        rates = {zone: report.arrival_rate for zone, report in fresh.items()}
        rates[self._own_zone] = own_arrival_rate
        usable = {
            upstream.endpoint
            for upstream in self._state.accepting_upstreams(service.number)
        }
        surplus = _surplus_by_zone(service, rates, usable)
        rng = self._state.context.rng
        own_share = rates[self._own_zone] / max(sum(rates.values()), 1e-9)
        if rng.random() * own_share >= surplus[self._own_zone]:
            return None
        deficits = {zone: -amount for zone, amount in surplus.items() if amount < 0}
        if not deficits:
            return None
        return rng.choices(list(deficits), list(deficits.values()))[0]


def _surplus_by_zone(
    service: Service,
    rates: dict[Zone, float],
    usable: AbstractSet[Endpoint],
) -> dict[Zone, float]:
    """Return share of arrivals less share of usable slots for each known zone."""
    slots: Counter[Zone] = Counter()
    for upstream in service.upstreams:
        if upstream.endpoint in usable and upstream.zone in rates:
            slots[upstream.zone] += upstream.slots
    total_rate = max(sum(rates.values()), 1e-9)
    total_slots = max(slots.total(), 1)
    return {
        zone: rate / total_rate - slots[zone] / total_slots
        for zone, rate in rates.items()
    }
