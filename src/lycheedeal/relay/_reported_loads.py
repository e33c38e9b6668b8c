"""Loads from the last report of a host, a zone or a region."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from lycheedeal.ids import HostId, Zone
from lycheedeal.relay._messages import LoadReport
from lycheedeal.relay._records import Load, Loads, Token, Upstream

# A report is ignored when it is older than this.
REPORT_VALID_SECONDS: Final = 3.5
# Fewest failure votes that make an upstream suspected; a single host may have a
# fault of its own.
_MIN_FAILURE_VOTES: Final = 2


@dataclass(slots=True, eq=False, repr=False)
class ReportedLoads:
    """Loads by token; the parts of a report replace the previous report."""

    reported_at: float = float('-inf')
    zones: tuple[Zone, ...] = ()
    _report: tuple[HostId, int] | None = None
    _parts: set[int] = field(default_factory=set)
    _loads: Loads = field(default_factory=dict)
    # The previous report, valid for tokens that may be in parts still missing.
    _previous: Loads = field(default_factory=dict)

    def apply(self, report: LoadReport, now: float) -> bool:
        """Apply one part of a report; returns whether all parts have arrived."""
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
        is_complete = len(self._parts) == report.parts
        if is_complete:
            self._previous = {}
        return is_complete

    def find(self, token: Token) -> Load | None:
        """Return the load of an upstream, or None if none was reported."""
        return self._loads.get(token) or self._previous.get(token)

    def all_loads(self) -> Loads:
        """Return the loads of all reported upstreams."""
        return {**self._previous, **self._loads}

    def failing_tokens(self) -> Iterator[Token]:
        """Yield the upstreams with enough failure votes to be suspected."""
        for loads in (self._loads, self._previous):
            yield from (
                token
                for token, load in loads.items()
                if load.failure_votes >= _MIN_FAILURE_VOTES
            )

    def is_fresh(self, now: float) -> bool:
        """Return whether the report is recent enough to use."""
        return self.reported_at + REPORT_VALID_SECONDS > now

    def is_suspected(self, upstream: Upstream, now: float) -> bool:
        """Return whether failure votes outnumber the success votes of the zone."""
        load = self.find(upstream.token)
        if load is None or load.failure_votes < _MIN_FAILURE_VOTES:
            return False
        return load.failure_votes > load.success_votes and self.is_fresh(now)
