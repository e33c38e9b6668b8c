"""Upstream records of all services that this host owns."""

from collections.abc import Iterable, Iterator
from typing import Final

from lycheedeal.health._pool import Pool
from lycheedeal.health._record import UpstreamRecord
from lycheedeal.kernel import Effect
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    Service,
    ServiceNumber,
    SpillRule,
    Upstream,
    UpstreamState,
    Zone,
)

# Time between Hellos to an upstream of this zone and to one of another zone.
_LOCAL_INTERVAL_SECONDS: Final = 1.0
# An upstream that leaves must get no new work after 3 s, from other zones too.
_REMOTE_INTERVAL_SECONDS: Final = 1.5
_TRANSIENT_STATES: Final = frozenset((UpstreamState.UNKNOWN, UpstreamState.STARTING))


class Pools:
    """Finds the records of an upstream by its service or endpoint.

    An endpoint has one record for each service that names it; there are two
    while an address is being reused.
    """

    def __init__(self, zone: Zone) -> None:
        """Start without services; ``zone`` is that of this host."""
        self._zone = zone
        self._pools_by_service: dict[ServiceNumber, Pool] = {}
        self._pools_by_endpoint: dict[Endpoint, list[Pool]] = {}

    def configure(
        self,
        view: ConfigurationView,
        owned: Iterable[ServiceNumber],
        now: float,
    ) -> Iterator[Effect]:
        """Observe the upstreams of the owned services and no others.

        Upstreams of a deleted service are published as draining.
        """
        candidates = (view.services_by_number.get(number) for number in owned)
        services = {
            candidate.number: candidate
            for candidate in candidates
            if candidate is not None
        }
        for number in self._pools_by_service.keys() - services.keys():
            pool = self._pools_by_service.pop(number)
            if number not in view.services_by_number:
                yield from pool.configure(pool.service, (), now)
        for service in services.values():
            yield from self._configure_service(service, now)
        self._rebuild_index()

    def find(self, service: ServiceNumber) -> Pool | None:
        """Return the pool of a service, None if this host does not own it."""
        return self._pools_by_service.get(service)

    def records_at(self, endpoint: Endpoint) -> Iterator[tuple[Pool, UpstreamRecord]]:
        """Yield the records of an endpoint with their pools."""
        for pool in self._pools_by_endpoint.get(endpoint, ()):
            record = pool.find(endpoint)
            if record is not None:
                yield pool, record

    def intervals(self) -> dict[Endpoint, float]:
        """Return the seconds between Hellos for each endpoint."""
        return {endpoint: self._interval(endpoint) for endpoint in self.endpoints()}

    def endpoints(self) -> Iterable[Endpoint]:
        """Return the endpoints of all owned upstreams."""
        return self._pools_by_endpoint.keys()

    def transient_endpoints(self) -> Iterator[Endpoint]:
        """Yield the endpoints of upstreams that are unknown or starting."""
        for endpoint in self.endpoints():
            if any(_is_transient(record) for _, record in self.records_at(endpoint)):
                yield endpoint

    def evaluate(self, now: float) -> Iterator[Effect]:
        """Publish changes that are due to the passing of time."""
        for pool in self._pools_by_service.values():
            yield from pool.evaluate(now)

    def reset_after_pause(self, now: float) -> None:
        """Discard observations that a pause of this process makes unreliable."""
        for endpoint in self.endpoints():
            for _, record in self.records_at(endpoint):
                record.reset_after_pause(now)

    def _configure_service(self, service: Service, now: float) -> Iterator[Effect]:
        pool = self._pools_by_service.get(service.number)
        if pool is None:
            pool = Pool(service, now)
            self._pools_by_service[service.number] = pool
        yield from pool.configure(service, self._observed_upstreams(service), now)

    def _observed_upstreams(self, service: Service) -> Iterator[Upstream]:
        for upstream in service.upstreams:
            if upstream.zone == self._zone or service.spill is not SpillRule.NEVER:
                yield upstream

    def _rebuild_index(self) -> None:
        self._pools_by_endpoint = {}
        for pool in self._pools_by_service.values():
            for endpoint in pool.endpoints:
                self._pools_by_endpoint.setdefault(endpoint, []).append(pool)

    def _interval(self, endpoint: Endpoint) -> float:
        zones = {record.upstream.zone for _, record in self.records_at(endpoint)}
        return (
            _LOCAL_INTERVAL_SECONDS if self._zone in zones else _REMOTE_INTERVAL_SECONDS
        )


def _is_transient(record: UpstreamRecord) -> bool:
    return record.published is None or record.published.state in _TRANSIENT_STATES
