"""Share of new work that each availability zone takes."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.membership import HostRanking
from lycheedeal.model import Member, Service, SpillRule, Zone
from lycheedeal.steering._state import SteeringState

# A caller's retransmissions try each candidate this often.
ATTEMPTS_PER_OWNER: Final = 2


@dataclass(slots=True)
class _RemoteZone:
    hosts: int = 0
    ranking: HostRanking = field(default_factory=HostRanking)


class ZoneBalance:
    """Picks the zone for new work under the rule ``balanced``.

    The fabric spreads callers evenly over all hosts, so a zone with many
    hosts and few upstreams would overload them. Such a zone passes its
    surplus, host share less slot share, to zones that have a deficit.
    """

    def __init__(self, state: SteeringState) -> None:
        """Share the state of the plug-in."""
        self._state = state
        self._remote_by_zone: dict[Zone, _RemoteZone] = {}

    def hosts_listed(self, members: tuple[Member, ...]) -> None:
        """Take the platform's lagging list of hosts."""
        own_zone = self._state.context.settings.zone
        self._remote_by_zone = {}
        for zone in {member.zone for member in members} - {own_zone}:
            of_zone = [member for member in members if member.zone == zone]
            remote = _RemoteZone(len(of_zone))
            remote.ranking.update(of_zone)
            self._remote_by_zone[zone] = remote

    def candidates(self, service: Service, attempt: int) -> list[Member]:
        """Return possible owners of new work in the order of preference."""
        zone = self._choose(service, attempt)
        remote = self._remote_by_zone.get(zone)
        if remote is None:
            return self._state.ranked(service.number)
        return remote.ranking.candidates(service.number)

    def _choose(self, service: Service, attempt: int) -> Zone:
        own_zone = self._state.context.settings.zone
        if service.spill is not SpillRule.BALANCED:
            return own_zone
        surplus = self._surplus_by_zone(service)
        own_share = self._host_share(own_zone)
        # A remote zone may be cut off, so retransmissions stay in the zone.
        retried = attempt >= ATTEMPTS_PER_OWNER and surplus[own_zone] < own_share
        if retried or surplus[own_zone] <= 0:
            return own_zone
        rng = self._state.context.rng
        if rng.random() * own_share > surplus[own_zone]:
            return own_zone
        deficits = {
            zone: -amount
            for zone, amount in surplus.items()
            if amount < 0 and zone in self._remote_by_zone
        }
        if not deficits:
            return own_zone
        return rng.choices(list(deficits), list(deficits.values()))[0]

    def _surplus_by_zone(self, service: Service) -> dict[Zone, float]:
        slots: Counter[Zone] = Counter()
        for upstream in service.upstreams:
            if not upstream.drained:
                slots[upstream.zone] += upstream.slots
        total = max(slots.total(), 1)
        own_zone = self._state.context.settings.zone
        zones = {own_zone, *self._remote_by_zone, *slots}
        return {
            zone: self._host_share(zone) - slots[zone] / total for zone in sorted(zones)
        }

    def _host_share(self, zone: Zone) -> float:
        own = len(self._state.members)
        total = own + sum(one.hosts for one in self._remote_by_zone.values())
        remote = self._remote_by_zone.get(zone)
        hosts = own if remote is None else remote.hosts
        if zone != self._state.context.settings.zone and remote is None:
            hosts = 0
        return hosts / max(total, 1)
