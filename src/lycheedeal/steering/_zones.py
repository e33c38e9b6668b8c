"""Balances new request flows between availability zones."""

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

# Transmissions of an ``Open`` that each owner candidate gets before the next
# candidate is tried.
ATTEMPTS_PER_OWNER: Final = 2
# Owners in other zones report once a second. A zone without a report for this
# long receives no more flows.
_REPORT_LIFETIME_SECONDS: Final = 3.5
# Weight of the latest second in the moving average of the arrival rate.
_RATE_SMOOTHING: Final = 0.4


@dataclass(frozen=True, slots=True)
class _RemoteLoad:
    """Latest report of the owner of a service in another zone.

    ``arrival_rate`` is request flows per second; ``expires_at`` is monotonic
    time in seconds.
    """

    owner: Endpoint
    arrival_rate: float
    expires_at: float


@dataclass(slots=True)
class _ServiceLoad:
    """Load of one service in each zone.

    ``arrivals`` counts request flows of the current second in the own zone,
    ``arrival_rate`` is their moving average per second.
    """

    arrivals: int = 0
    arrival_rate: float = 0
    remote_by_zone: dict[Zone, _RemoteLoad] = field(default_factory=dict)


class ZoneBalancer:
    """Relays surplus request flows to other zones under the rule ``balanced``.

    The fabric spreads callers over all hosts, so a zone with many hosts and
    few upstreams receives more than its share. The surplus of a zone is its
    share of arrivals minus its share of slots. The owner in a zone with a
    surplus relays that part to the owners in zones with a deficit.
    """

    def __init__(self, state: SteeringState) -> None:
        """Create a balancer that shares the state of the plug-in."""
        self._state = state
        self._ranking_by_zone: dict[Zone, HostRanking] = {}
        self._load_by_service: dict[ServiceNumber, _ServiceLoad] = {}

    def set_hosts(self, members: tuple[Member, ...]) -> None:
        """Replace the hosts of other zones.

        ``members`` come from the host list of the platform, which lags behind.
        """
        for zone in {member.zone for member in members} - {self._own_zone}:
            ranking = self._ranking_by_zone.setdefault(zone, HostRanking())
            ranking.update([member for member in members if member.zone == zone])

    def report_recipients(self, service: Service) -> Iterator[Endpoint]:
        """Yield the hosts in other zones that receive the report of this zone.

        For each zone that is the host that reported last and the first owner
        candidate. Without a recent report it is every candidate, because the
        first one in the platform's host list may be gone.
        """
        fresh = self._fresh_reports(self._service_load(service.number))
        zones = {upstream.zone for upstream in service.upstreams}
        for zone in sorted(zones & self._ranking_by_zone.keys()):
            candidates = self._ranking_by_zone[zone].candidates(service.number)
            peers = [member.peer for member in candidates]
            report = fresh.get(zone)
            if report is not None:
                # The first candidate may be an owner that has not reported yet.
                peers = [report.owner, *peers[:1]]
            yield from dict.fromkeys(peers)

    def update_rates(self, owned: frozenset[ServiceNumber]) -> None:
        """Update the arrival rates; call once a second.

        The load of services that are not in ``owned`` is dropped.
        """
        self._load_by_service = {
            service: load
            for service, load in self._load_by_service.items()
            if service in owned
        }
        for load in self._load_by_service.values():
            load.arrival_rate += _RATE_SMOOTHING * (load.arrivals - load.arrival_rate)
            load.arrivals = 0

    def arrival_rate(self, service: ServiceNumber) -> float:
        """Return the new request flows per second in this zone; 0 if unknown."""
        load = self._load_by_service.get(service)
        return 0 if load is None else load.arrival_rate

    def store_report(self, peer: Endpoint, report: FlowCounts, now: float) -> None:
        """Store the report of the owner in another zone until it expires."""
        self._service_load(report.service).remote_by_zone[report.zone] = _RemoteLoad(
            peer,
            report.arrivals,
            now + _REPORT_LIFETIME_SECONDS,
        )

    def choose_remote_owner(self, event: OpenAdmitted) -> Endpoint | None:
        """Return the owner in another zone that should open a request flow.

        None means that this zone opens it. Later transmissions of an ``Open``
        stay in the zone, because the other zone may be unreachable.
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
        # Each arrival is relayed with the probability that makes the surplus part
        # of the own share leave the zone.
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
    """Return the share of arrivals minus the share of usable slots by zone."""
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
