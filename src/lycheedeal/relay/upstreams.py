"""Table of upstreams, from the entries that they write to the store.

An upstream without a usable entry gets no new flows. It may still run, so the
packets of its open flows are forwarded. It is gone for certain when another
incarnation has its id or its address, or when its entry is missing although the
store has answered for some time. While the store recovers, a missing entry may come
back, and the host may hear of it late.

What an entry proves about other upstreams follows from the entries and routes of the
moment, and not from the order in which a host read them, so all hosts decide alike.
"""

from collections.abc import Generator, Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import Endpoint, UpstreamId
from lycheedeal.relay._address_claims import AddressClaims
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    ContentChanged,
    ContentConfirmed,
    EditionConfirmed,
    Event,
    RoutesChanged,
    Tick,
    UpstreamsChanged,
)
from lycheedeal.relay._missing_entries import MissingEntries
from lycheedeal.relay._named_services import NamedServices
from lycheedeal.relay._outdated_entries import OutdatedEntries
from lycheedeal.relay._records import (
    START_POSITION,
    Listing,
    Position,
    Source,
    StoreKind,
    Upstream,
    UpstreamState,
    is_same_incarnation,
)
from lycheedeal.relay._store_contact import StoreContact
from lycheedeal.relay._tokens import secret_of, token_of
from lycheedeal.relay._upstream_table import UpstreamTable

# An incarnation is kept for this long after it is gone, so that packets of its
# flows are reset. Longer than a flow may be open, which is 60 s on the platform.
_GONE_RETENTION_SECONDS: Final = 120


class UpstreamsPlugin:
    """Keeps every incarnation of an upstream that may have open flows."""

    def __init__(self, context: RelayContext) -> None:
        """Start with an empty table."""
        self._context = context
        self.table = UpstreamTable()
        self._position = START_POSITION
        self._next_sweep = 0.0
        self._contact = StoreContact(context)
        self._missing = MissingEntries(context)
        self._outdated = OutdatedEntries(context)
        self._services = NamedServices()
        self._addresses = AddressClaims(self._services)
        # Incarnations that may still run although an entry of a service that no route
        # names has replaced theirs.
        self._replaced_by_id: dict[UpstreamId, list[Upstream]] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case ContentChanged(kind=StoreKind.UPSTREAMS):
                yield from self._content_changed(event)
                self._contact.note()
            case ContentConfirmed(StoreKind.UPSTREAMS, at) | EditionConfirmed(
                StoreKind.UPSTREAMS, at
            ):
                self._contact.note()
                yield from self._content_confirmed(self._contact.answered_at(at))
            case RoutesChanged():
                yield from self._routes_changed(event)
            case Tick(now=now):
                yield from self._tick(now)

    def _routes_changed(self, event: RoutesChanged) -> Iterator[Effect]:
        if not self._services.follow(event.routes_by_key.values()):
            return
        for upstreams in tuple(self._addresses.shared()):
            yield from self._settle_address(upstreams[0].listing.endpoint)

    def _content_changed(self, event: ContentChanged) -> Iterator[Effect]:
        settled = event.settled and self._contact.is_settled()
        self._outdated.follow(self._position, event.position)
        if event.position.era > self._position.era or _is_recovery(event):
            # Entries may be missing for the whole time again.
            self._missing.restart()
        self._position = event.position
        yield from self._apply(event, settled)
        is_full_list = settled and _is_full_list(event, self._services)
        yield Publish(UpstreamsChanged(self.table, self._position, is_full_list))

    def _content_confirmed(self, answered_at: float) -> Iterator[Effect]:
        # Upstreams cannot write while the store is away.
        if self._contact.is_settled():
            for name in self._missing.take_ended(answered_at):
                yield from self._set_missing(name, UpstreamState.GONE)
        yield from self._use_entries(self._outdated.take_due(answered_at))

    def _apply(self, event: ContentChanged, settled: bool) -> Iterator[Effect]:
        present: set[str] = set(event.unusable)
        for name in event.unusable:
            self._outdated.discard(name)
            yield from self._unusable_read(name)
        for entry in event.entries:
            if isinstance(entry, Listing):
                present.add(entry.upstream_id)
                self._missing.discard(entry.upstream_id)
                yield from self._entry_read(entry)
        if event.complete:
            names = map(str, self.table.current_by_id)
            missing = tuple(one for one in names if one not in present)
        else:
            missing = event.removed
        for name in missing:
            self._outdated.discard(name)
            yield from self._handle_missing(name, settled)

    def _entry_read(self, listing: Listing) -> Iterator[Effect]:
        known = self.table.current_by_id.get(listing.upstream_id)
        if known is None or not self._outdated.hold_back(listing, known):
            yield from self._update_entry(listing)
            return
        yield _state_record(
            self._position,
            known,
            'Entry is not used yet: it may be older than the state.',
            'restored store',
        )

    def _update_entry(self, listing: Listing) -> Iterator[Effect]:
        upstream = self.table.current_by_id.get(listing.upstream_id)
        if upstream is None or not is_same_incarnation(upstream.listing, listing):
            if upstream is not None:
                yield from self._replace(upstream, listing)
            upstream = yield from self._make_current(listing)
            if upstream is None:
                return
        upstream.listing = listing
        upstream.warm_at = self._context.clock.monotonic() + listing.warmup_ms / 1000
        self._addresses.add(upstream)
        yield from self._settle_address(listing.endpoint)

    def _replace(self, known: Upstream, listing: Listing) -> Iterator[Effect]:
        """Set the state of the incarnations whose id another one has now."""
        name = listing.upstream_id
        earlier = self._replaced_by_id.pop(name, [])
        replaced = [
            one
            for one in (*earlier, known)
            if not is_same_incarnation(one.listing, listing)
        ]
        is_restart = listing.service == known.listing.service and not earlier
        if is_restart or listing.service in self._services:
            state, reason = UpstreamState.GONE, 'restarted under its id'
        else:
            state, reason = UpstreamState.UNLISTED, 'service is in no route'
            self._replaced_by_id[name] = replaced
        for one in replaced:
            yield from self._withdraw(one, state, reason)

    def _make_current(
        self, listing: Listing
    ) -> Generator[Effect, None, Upstream | None]:
        """Return the incarnation of an entry, which is the current one of its id.

        None means that the entry cannot be used.
        """
        token = token_of(listing)
        other = self.table.by_token.get(token)
        if other is not None and is_same_incarnation(other.listing, listing):
            self.table.add(other)
            return other
        if other is not None and not _replaces(listing, other):
            # The token in a packet names only one upstream; the first keeps it.
            yield LogRecord(
                Part.UPSTREAMS,
                'collision',
                'Upstream gets no flows: its token belongs to another upstream.',
                {
                    'upstream': listing.upstream_id,
                    'other': other.listing.upstream_id,
                },
            )
            return None
        if other is not None:
            self.table.remove(other)
        upstream = Upstream(
            listing,
            token,
            secret_of(listing),
            self._addresses.state_of(listing),
            self._context.clock.monotonic(),
        )
        self.table.add(upstream)
        text = 'Upstream was added to the table.'
        yield _state_record(self._position, upstream, text, 'own entry')
        return upstream

    def _settle_address(self, endpoint: Endpoint) -> Iterator[Effect]:
        """Set the state of the upstreams whose entries name an address."""
        for upstream in self._addresses.at(endpoint):
            state = self._addresses.state_of(upstream.listing)
            if upstream.state is not state:
                reason = 'own entry'
                if state is UpstreamState.GONE:
                    reason = 'address has a later holder'
                yield from self._set_state(upstream, state, reason)

    def _withdraw(
        self, upstream: Upstream, state: UpstreamState, reason: str
    ) -> Iterator[Effect]:
        """Set the state of an upstream that has no usable entry any more."""
        self._addresses.remove(upstream)
        if upstream.state not in {state, UpstreamState.GONE}:
            yield from self._set_state(upstream, state, reason)
        yield from self._settle_address(upstream.listing.endpoint)

    def _handle_missing(self, name: str, settled: bool) -> Iterator[Effect]:
        upstream = self.table.current_by_id.get(UpstreamId(name))
        if upstream is None:
            return
        if settled or upstream.state is UpstreamState.GONE:
            self._missing.discard(name)
            replaced = self._replaced_by_id.pop(upstream.listing.upstream_id, ())
            for one in (upstream, *replaced):
                yield from self._withdraw(one, UpstreamState.GONE, 'no longer listed')
        else:
            self._missing.add(name)

    def _unusable_read(self, name: str) -> Iterator[Effect]:
        self._missing.discard(name)
        upstream = self.table.current_by_id.get(UpstreamId(name))
        if upstream is not None:
            state = UpstreamState.UNLISTED
            yield from self._withdraw(upstream, state, 'unusable entry')
            return
        yield LogRecord(
            Part.UPSTREAMS,
            'entry',
            'Entry cannot be used; it names no upstream.',
            {'name': name, **self._position._asdict()},
        )

    def _set_state(
        self,
        upstream: Upstream,
        state: UpstreamState,
        reason: str,
    ) -> Iterator[Effect]:
        upstream.state = state
        upstream.state_since = self._context.clock.monotonic()
        self._context.metrics.add('upstream_states', state.value)
        yield _state_record(
            self._position, upstream, 'Upstream changed its state.', reason
        )

    def _tick(self, now: float) -> Iterator[Effect]:
        self._contact.tick(now)
        for name in self._missing.tick(now):
            yield from self._set_missing(name, UpstreamState.UNLISTED)
        if now >= self._next_sweep:
            self._next_sweep = now + _GONE_RETENTION_SECONDS / 4
            for upstream in tuple(self.table.by_token.values()):
                if upstream.state_since + _GONE_RETENTION_SECONDS < now:
                    self._forget_ended(upstream)

    def _forget_ended(self, upstream: Upstream) -> None:
        current = self.table.current_by_id.get(upstream.listing.upstream_id)
        if upstream.state is UpstreamState.GONE or upstream is not current:
            self.table.remove(upstream)
            self._addresses.remove(upstream)
            self._replaced_by_id.pop(upstream.listing.upstream_id, None)

    def _set_missing(self, name: str, state: UpstreamState) -> Iterator[Effect]:
        upstream = self.table.current_by_id.get(UpstreamId(name))
        if upstream is None or upstream.state in {state, UpstreamState.GONE}:
            return
        yield from self._withdraw(upstream, state, 'did not come back')
        yield Publish(UpstreamsChanged(self.table, self._position))

    def _use_entries(self, listings: tuple[Listing, ...]) -> Iterator[Effect]:
        for listing in listings:
            yield from self._entry_read(listing)
        if listings:
            yield Publish(UpstreamsChanged(self.table, self._position))


def _state_record(
    position: Position, upstream: Upstream, text: str, reason: str
) -> LogRecord:
    listing = upstream.listing
    return LogRecord(
        Part.UPSTREAMS,
        'state',
        text,
        {
            'upstream': listing.upstream_id,
            'service': listing.service,
            'address': str(listing.endpoint),
            'zone': listing.zone,
            'state': upstream.state.value,
            'reason': reason,
            'era': position.era,
            'revision': position.revision,
        },
    )


def _is_recovery(event: ContentChanged) -> bool:
    """Return whether the content is that of a store that has just recovered."""
    is_list = event.complete and event.source is Source.STORE
    return is_list and not event.settled


def _is_full_list(event: ContentChanged, services: NamedServices) -> bool:
    """Return whether an upstream that is not in the content is gone.

    An entry that cannot be used may have replaced that of any upstream.
    """
    if event.source is not Source.STORE or not event.complete or event.unusable:
        return False
    listings = (one for one in event.entries if isinstance(one, Listing))
    return all(one.service in services for one in listings)


def _replaces(listing: Listing, other: Upstream) -> bool:
    """Return whether an entry may take the token of another incarnation."""
    return (
        other.state is UpstreamState.GONE
        or other.listing.upstream_id == listing.upstream_id
    )


register(
    PluginSpec(
        'upstreams',
        UpstreamsPlugin,
        frozenset(
            (ContentChanged, ContentConfirmed, EditionConfirmed, RoutesChanged, Tick)
        ),
    )
)
