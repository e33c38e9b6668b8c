"""Counts of flows and requests for each kind of work and each upstream."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, TypeVar

from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import FlowClosed, FlowOpened, RequestFinished
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowId,
    KindId,
    ServiceNumber,
    summarize_flow,
)

# Entries of each table. One zone has about 2,300 upstreams at the planned size.
_MAX_TABLE_ENTRIES: Final = 4096
# Counts flows whose id cannot be decoded; no configured kind has this id.
_UNKNOWN_KIND: Final = KindId(0)

_Key = TypeVar('_Key')


@dataclass(slots=True)
class WorkCounts:
    """Flows and requests of one kind of work or of one upstream.

    ``broken`` counts flows that ended with an error, ``failed`` requests that
    did; both by the kind of error.
    """

    opened: int = 0
    closed: int = 0
    broken: Counter[ErrorKind] = field(default_factory=Counter)
    answered: int = 0
    failed: Counter[ErrorKind] = field(default_factory=Counter)

    @property
    def open(self) -> int:
        """Number of flows opened by this host that have not ended.

        Never negative, although this host also counts the end of flows that
        another host opened.
        """
        return max(self.opened - self.closed, 0)


class WorkCounters:
    """Counts flows and requests by service and kind, and by upstream.

    Once a table is full, new kinds or upstreams are not counted.
    """

    def __init__(self) -> None:
        """Create empty tables."""
        self._counts_by_kind: dict[tuple[ServiceNumber, KindId], WorkCounts] = {}
        self._counts_by_upstream: dict[
            tuple[ServiceNumber, Endpoint],
            WorkCounts,
        ] = {}

    def kind_counts(
        self, service: ServiceNumber
    ) -> Iterator[tuple[KindId, WorkCounts]]:
        """Yield the counts of those kinds of a service that had work on this host."""
        for (number, kind_id), counts in self._counts_by_kind.items():
            if number == service:
                yield kind_id, counts

    def upstream_counts(self, service: ServiceNumber, upstream: Endpoint) -> WorkCounts:
        """Return the counts of an upstream; zeros if it had no work on this host."""
        return self._counts_by_upstream.get((service, upstream)) or WorkCounts()

    def add_opened(self, event: FlowOpened) -> None:
        """Count a flow that this host opened."""
        for counts in self._flow_entries(event.service, event.flow_id):
            counts.opened += 1

    def add_closed(self, event: FlowClosed) -> None:
        """Count the end of a flow, and its error if it was broken."""
        for counts in self._flow_entries(event.service, event.flow_id):
            counts.closed += 1
            if event.error is not None:
                counts.broken[event.error] += 1

    def add_request(self, event: RequestFinished) -> None:
        """Count a request that ended.

        A request that reached no upstream counts for its kind only.
        """
        entries = [self._kind_entry(event.service, event.kind_id)]
        if event.upstream is not None:
            entries.append(self._upstream_entry(event.service, event.upstream))
        for counts in entries:
            if event.error is None:
                counts.answered += 1
            else:
                counts.failed[event.error] += 1

    def remove_unconfigured(self, view: ConfigurationView) -> None:
        """Remove the counts of services and upstreams that are not configured."""
        services = view.services_by_number
        self._counts_by_kind = {
            key: counts
            for key, counts in self._counts_by_kind.items()
            if key[0] in services
        }
        counted_services = {number for number, _ in self._counts_by_upstream}
        configured = {
            (number, upstream.endpoint)
            for number in counted_services & services.keys()
            for upstream in services[number].upstreams
        }
        self._counts_by_upstream = {
            key: counts
            for key, counts in self._counts_by_upstream.items()
            if key in configured
        }

    def _flow_entries(
        self, service: ServiceNumber, flow_id: FlowId
    ) -> list[WorkCounts]:
        summary = summarize_flow(flow_id)
        if summary is None:
            return [self._kind_entry(service, _UNKNOWN_KIND)]
        return [
            self._kind_entry(service, summary.kind_id),
            self._upstream_entry(service, summary.upstream),
        ]

    def _kind_entry(self, service: ServiceNumber, kind_id: KindId) -> WorkCounts:
        return _get_or_add(self._counts_by_kind, (service, kind_id))

    def _upstream_entry(self, service: ServiceNumber, upstream: Endpoint) -> WorkCounts:
        return _get_or_add(self._counts_by_upstream, (service, upstream))


def _get_or_add(table: dict[_Key, WorkCounts], key: _Key) -> WorkCounts:
    counts = table.get(key)
    if counts is None:
        counts = WorkCounts()
        if len(table) < _MAX_TABLE_ENTRIES:
            table[key] = counts
    return counts
