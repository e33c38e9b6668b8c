"""Counts of open flows by upstream, from own knowledge first."""

from collections import Counter
from typing import Final

from lycheedeal.messages import FlowCount, FlowCounts
from lycheedeal.model import Endpoint, FlowId, ServiceNumber, Zone

# Reports of former owners come every 5 s; three may be lost.
REPORT_LIFETIME_SECONDS: Final = 20


_ReportsByPeer = dict[Endpoint, tuple[float, FlowCounts]]


class FlowCounter:
    """Counts flows opened by this process and those that peers report."""

    def __init__(self, zone: Zone) -> None:
        """Create an empty counter for a host of this zone."""
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
        """Count a flow that this process opened."""
        flows = self._flows_by_service.setdefault(service, {})
        if flow_id not in flows:
            flows[flow_id] = upstream
            self._own_by_service.setdefault(service, Counter())[upstream] += 1

    def remove_flow(self, service: ServiceNumber, flow_id: FlowId) -> bool:
        """Stop counting a flow; return whether it was counted here."""
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
        """Stop counting the flows of a lost upstream and return them."""
        flows = self._flows_by_service.get(service, {})
        lost = [flow_id for flow_id, target in flows.items() if target == upstream]
        for flow_id in lost:
            self.remove_flow(service, flow_id)
        return lost

    def store_report(self, peer: Endpoint, report: FlowCounts, now: float) -> None:
        """Take the report of a host that opened flows as an earlier owner."""
        by_peer = self._reports_by_service.setdefault(report.service, {})
        by_peer[peer] = (now + REPORT_LIFETIME_SECONDS, report)

    def drop_expired_reports(self, now: float) -> None:
        """Drop reports that were not renewed."""
        for by_peer in self._reports_by_service.values():
            expired = [
                peer for peer, (expires_at, _) in by_peer.items() if expires_at <= now
            ]
            for peer in expired:
                by_peer.pop(peer)

    def totals(self, service: ServiceNumber) -> Counter[Endpoint]:
        """Return own and reported flows of a service by upstream."""
        totals = Counter(self._own_by_service.get(service, {}))
        for _, report in self._reports_by_service.get(service, {}).values():
            _add_report(totals, report)
        return totals

    def owner_report(self, service: ServiceNumber) -> FlowCounts:
        """Return the message that tells the current owner about own flows."""
        own = self._own_by_service.get(service, Counter())
        return self._counts_message(service, own, 0)

    def zone_report(self, service: ServiceNumber, arrivals: float) -> FlowCounts:
        """Return the message that tells other zones about this zone's flows."""
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
        """Return the services that have flows opened here."""
        return tuple(self._flows_by_service)


def _add_report(totals: Counter[Endpoint], report: FlowCounts) -> None:
    for count in report.counts:
        totals[count.upstream] += count.flows
