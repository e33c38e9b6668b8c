"""Counts of open flows by upstream, from own flows and reports of peers."""

from collections import Counter
from typing import Final

from lycheedeal.messages import FlowCount, FlowCounts
from lycheedeal.model import Endpoint, FlowId, ServiceNumber, Zone

# Hosts that own flows of a service report them every 5 s. A report stays valid
# when the next three are lost.
REPORT_LIFETIME_SECONDS: Final = 20


_ReportsByPeer = dict[Endpoint, tuple[float, FlowCounts]]


class FlowCounter:
    """Counts the open flows of each service by upstream.

    Flows opened by this process are counted exactly. Flows opened by other
    hosts are taken from their latest reports.
    """

    def __init__(self, zone: Zone) -> None:
        """Create an empty counter; ``zone`` is the zone of this host."""
        self._zone = zone
        self._flows_by_service: dict[ServiceNumber, dict[FlowId, Endpoint]] = {}
        self._own_by_service: dict[ServiceNumber, Counter[Endpoint]] = {}
        self._reports_by_service: dict[ServiceNumber, _ReportsByPeer] = {}

    def add_flow(
        self,
        service: ServiceNumber,
        flow_id: FlowId,
        upstream: Endpoint,
    ) -> None:
        """Count a flow that this process opened; repeated calls have no effect."""
        flows = self._flows_by_service.setdefault(service, {})
        if flow_id not in flows:
            flows[flow_id] = upstream
            self._own_by_service.setdefault(service, Counter())[upstream] += 1

    def remove_flow(self, service: ServiceNumber, flow_id: FlowId) -> bool:
        """Stop counting a flow; return False if this process did not count it."""
        flows = self._flows_by_service.get(service, {})
        upstream = flows.pop(flow_id, None)
        if upstream is None:
            return False
        self._own_by_service[service][upstream] -= 1
        if not flows:
            self._flows_by_service.pop(service)
            self._own_by_service.pop(service)
        return True

    def remove_flows(self, service: ServiceNumber, upstream: Endpoint) -> list[FlowId]:
        """Stop counting all own flows of an upstream and return their ids."""
        flows = self._flows_by_service.get(service, {})
        lost = [flow_id for flow_id, target in flows.items() if target == upstream]
        for flow_id in lost:
            self.remove_flow(service, flow_id)
        return lost

    def store_report(self, peer: Endpoint, report: FlowCounts, now: float) -> None:
        """Store a peer's report until ``now`` plus its lifetime.

        Reports come from hosts of the own zone that opened flows as earlier
        owners, and from the owners in other zones. ``now`` is monotonic time
        in seconds.
        """
        by_peer = self._reports_by_service.setdefault(report.service, {})
        by_peer[peer] = (now + REPORT_LIFETIME_SECONDS, report)

    def drop_expired_reports(self, now: float) -> None:
        """Drop reports that were not renewed in time; ``now`` is monotonic."""
        for by_peer in self._reports_by_service.values():
            expired = [
                peer for peer, (expires_at, _) in by_peer.items() if expires_at <= now
            ]
            for peer in expired:
                by_peer.pop(peer)

    def totals(self, service: ServiceNumber) -> Counter[Endpoint]:
        """Return the own and reported open flows of a service by upstream."""
        totals = Counter(self._own_by_service.get(service, {}))
        for _, report in self._reports_by_service.get(service, {}).values():
            _add_report(totals, report)
        return totals

    def owner_report(self, service: ServiceNumber) -> FlowCounts:
        """Return the message that reports own flows to the owner of a service."""
        own = self._own_by_service.get(service, Counter())
        return self._counts_message(service, own, 0)

    def zone_report(self, service: ServiceNumber, arrivals: float) -> FlowCounts:
        """Return the message that reports the flows of this zone to other zones.

        ``arrivals`` is the number of new request flows per second in this zone.
        """
        totals = Counter(self._own_by_service.get(service, {}))
        for _, report in self._reports_by_service.get(service, {}).values():
            if report.zone == self._zone:
                _add_report(totals, report)
        return self._counts_message(service, totals, arrivals)

    def _counts_message(
        self,
        service: ServiceNumber,
        flows: Counter[Endpoint],
        arrivals: float,
    ) -> FlowCounts:
        counts = (
            FlowCount(upstream, open_flows) for upstream, open_flows in flows.items()
        )
        return FlowCounts(service, self._zone, arrivals, tuple(counts))

    def services(self) -> tuple[ServiceNumber, ...]:
        """Return the services that have open flows of this process."""
        return tuple(self._flows_by_service)


def _add_report(totals: Counter[Endpoint], report: FlowCounts) -> None:
    for count in report.counts:
        totals[count.upstream] += count.flows
