"""Availability zones whose upstreams get no new flows at an operator's request.

An evacuation is an object of the platform's store, so it outlives all hosts; each host
acts on the copy that it read or got from a peer, and keeps it while the store is away.
Open flows go on.
"""

from collections.abc import Iterator

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import Zone
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    ContentChanged,
    ContentConfirmed,
    EditionConfirmed,
    EvacuationsChanged,
    Event,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._missing_entries import MissingEntries
from lycheedeal.relay._records import START_POSITION, Evacuation, StoreKind
from lycheedeal.relay._store_contact import StoreContact
from lycheedeal.relay._upstream_table import UpstreamTable


class EvacuationsPlugin:
    """Keeps the evacuated zones."""

    def __init__(self, context: RelayContext) -> None:
        """Start without evacuations."""
        self._context = context
        self.evacuated: frozenset[Zone] = frozenset()
        # A store that came back from an older copy may lack an evacuation that its
        # operator writes again.
        self._missing = MissingEntries(context)
        self._contact = StoreContact(context)
        self._era = START_POSITION.era
        # None until this host has upstreams.
        self._table: UpstreamTable | None = None
        # Evacuated zones without upstreams.
        self._unknown: frozenset[Zone] = frozenset()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case ContentChanged(kind=StoreKind.EVACUATIONS):
                yield from self._content_changed(event)
                self._contact.note()
            case ContentConfirmed(StoreKind.EVACUATIONS, at) | EditionConfirmed(
                StoreKind.EVACUATIONS, at
            ):
                self._contact.note()
                yield from self._content_confirmed(self._contact.answered_at(at))
            case UpstreamsChanged(table=table):
                self._table = table
                yield from self._find_unknown()
            case Tick(now=now):
                self._contact.tick(now)

    def _content_confirmed(self, answered_at: float) -> Iterator[Effect]:
        # An operator cannot write while the store is away.
        if not self._contact.is_settled():
            return
        ended = frozenset(map(Zone, self._missing.take_ended(answered_at)))
        if ended:
            yield from self._replace(self.evacuated - ended)

    def _content_changed(self, event: ContentChanged) -> Iterator[Effect]:
        for name in event.unusable:
            yield LogRecord(
                Part.EVACUATIONS,
                'evacuation',
                'Evacuation cannot be read; it evacuates nothing.',
                {'name': name, **event.position._asdict()},
            )
        is_recovery = event.complete and not event.settled
        if event.position.era > self._era or is_recovery:
            # Evacuations may be missing for the whole time again.
            self._missing.restart()
        self._era = event.position.era
        present = frozenset(
            entry.zone for entry in event.entries if isinstance(entry, Evacuation)
        )
        for zone in present:
            self._missing.discard(zone)
        gone = frozenset(map(Zone, (*event.removed, *event.unusable)))
        if event.complete:
            gone = self.evacuated - present
        # What differs between two lists is missing, what a watch reports is deleted.
        if not event.settled and (event.complete or event.exact):
            for zone in gone & self.evacuated:
                self._missing.add(zone)
            gone = frozenset()
        for zone in gone:
            self._missing.discard(zone)
        yield from self._replace((self.evacuated - gone) | present)

    def _replace(self, evacuated: frozenset[Zone]) -> Iterator[Effect]:
        resumed = self.evacuated - evacuated
        for zone in evacuated - self.evacuated:
            yield from self._record(zone, 'evacuated', 'Zone gets no new flows.')
        for zone in resumed:
            yield from self._record(zone, 'resumed', 'Zone gets new flows again.')
        self.evacuated = evacuated
        yield Publish(EvacuationsChanged(evacuated, resumed))
        yield from self._find_unknown()

    def _find_unknown(self) -> Iterator[Effect]:
        """Report evacuations that have no effect, as their zone has no upstreams."""
        if self._table is None or not (self.evacuated or self._unknown):
            return
        upstreams = self._table.current_by_id.values()
        unknown = self.evacuated.difference(one.listing.zone for one in upstreams)
        for zone in unknown - self._unknown:
            yield LogRecord(
                Part.EVACUATIONS,
                'unknown zone',
                'Evacuation names a zone without upstreams; it evacuates nothing.',
                {'zone': zone},
            )
        self._unknown = unknown

    def _record(self, zone: Zone, change: str, text: str) -> Iterator[Effect]:
        self._context.metrics.add('evacuations', change)
        yield LogRecord(Part.EVACUATIONS, 'evacuation', text, {'zone': zone})


register(
    PluginSpec(
        'evacuations',
        EvacuationsPlugin,
        frozenset(
            (
                ContentChanged,
                ContentConfirmed,
                EditionConfirmed,
                UpstreamsChanged,
                Tick,
            )
        ),
    )
)
