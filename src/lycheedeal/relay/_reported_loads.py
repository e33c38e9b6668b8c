"""Loads that a host, a zone or a region last reported."""

from dataclasses import dataclass, field
from typing import Final

from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._events import LoadReport
from lycheedeal.relay._records import Load, Loads, Token, Upstream

# Reports count for this long, in seconds.
REPORT_VALID_SECONDS: Final = 3.5
# Hosts that must doubt an upstream before the others avoid it too; one host may
# have a fault of its own.
_MIN_FAILURE_VOTES: Final = 2


@dataclass(slots=True, eq=False, repr=False)
class ReportedLoads:
    """Loads by token; the parts of a report replace those of the one before."""

    reported_at: float = float('-inf')
    zones: tuple[Zone, ...] = ()
    _report: tuple[HostId, int] | None = None
    _parts: set[int] = field(default_factory=set)
    _loads: Loads = field(default_factory=dict)
    # Counts for what the parts that are still missing may name.
    _previous: Loads = field(default_factory=dict)

    def apply(self, report: LoadReport, now: float) -> None:
        """Take one part of a report."""
        this_report = report.peer.host_id, report.number
        if this_report != self._report:
            self._report = this_report
            self._parts = set()
            self._previous = self._loads
            self._loads = {}
        self.reported_at = now
        self.zones = report.zones
        self._parts.add(report.part)
        self._loads.update(report.loads)
        if len(self._parts) == report.parts:
            self._previous = {}

    def find(self, token: Token) -> Load | None:
        """Return the load of an upstream, or None if it has none."""
        return self._loads.get(token) or self._previous.get(token)

    def all_loads(self) -> Loads:
        """Return the loads of all upstreams that have any."""
        return {**self._previous, **self._loads}

    def is_fresh(self, now: float) -> bool:
        """Tell whether the report still counts."""
        return self.reported_at + REPORT_VALID_SECONDS > now

    def is_suspected(self, upstream: Upstream, now: float) -> bool:
        """Tell whether more hosts of the zone doubt an upstream than vouch for it."""
        load = self.find(upstream.token)
        if load is None or load.failure_votes < _MIN_FAILURE_VOTES:
            return False
        return load.failure_votes > load.success_votes and self.is_fresh(now)
