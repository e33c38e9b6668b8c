"""Content that the hosts of a zone send to each other."""

from collections.abc import Iterator
from dataclasses import dataclass
from operator import gt
from typing import Final

from lycheedeal.dispatch import Publish
from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import (
    ContentCopy,
    Reassembler,
    as_content,
    edition_of,
    split_part,
)
from lycheedeal.relay._effects import Effect, LogRecord, Part, SendPeer
from lycheedeal.relay._events import EditionConfirmed, RefreshRequested, SpreadRequested
from lycheedeal.relay._freshness import BEACON_INTERVAL_SECONDS, Freshness
from lycheedeal.relay._lag import Lag
from lycheedeal.relay._messages import Beacon, ContentPart, SnapshotRequest
from lycheedeal.relay._peer_table import PeerTable
from lycheedeal.relay._records import START_POSITION, Edition, Peer, StoreKind


# Hosts that get a snapshot each, between two beacons. A snapshot for more of them is
# passed on by the hosts of the zone: to send it to each takes a slow link longer than
# the time after which they ask again.
_MAX_DIRECT_SNAPSHOTS: Final = 3
# Shortest time between two requests for a snapshot. After an outage all leaders of a
# zone send what they have read, and each of them would be asked.
_REQUEST_INTERVAL_SECONDS: Final = 0.2


@dataclass(slots=True, eq=False, repr=False)
class _SnapshotRequests:
    """Requests of hosts of the zone for a snapshot, from a time on."""

    since: float
    count: int = 0
    # Whether the zone is to get the snapshot with the next tick.
    is_due: bool = False


class ContentExchange:
    """Copies of the content, and what is sent to other hosts or requested from them."""

    def __init__(
        self, context: RelayContext, peer_table: PeerTable, freshness: Freshness
    ) -> None:
        """Start without content."""
        self._context = context
        self._own_id = context.settings.host_id
        self._peer_table = peer_table
        self._freshness = freshness
        self._reassembler = Reassembler()
        self.copies_by_kind = {
            kind: ContentCopy(kind) for kind in context.settings.kinds
        }
        self.lag = Lag(context)
        self._requests_by_kind: dict[StoreKind, _SnapshotRequests] = {}
        # Until when no request is needed, as parts of later content arrive.
        self._arriving_until_by_kind = dict.fromkeys(context.settings.kinds, 0.0)
        self._next_request_by_kind = dict.fromkeys(context.settings.kinds, 0.0)

    def editions(self) -> tuple[Edition, ...]:
        """Return the edition of each kind."""
        return tuple(map(edition_of, self.copies_by_kind.values()))

    def forget(self) -> None:
        """Go back to no content, so that only complete content is accepted."""
        for kind, copy in self.copies_by_kind.items():
            copy.forget()
            self.lag.end(kind)
        self._freshness.forget()

    def is_behind(self, beacon: Beacon) -> bool:
        """Return whether the sender has later content of any kind."""
        return any(map(gt, beacon.editions, self.editions()))

    def compare(self, beacon: Beacon) -> Iterator[Effect]:
        """Confirm each kind whose edition is not behind; ask for the others."""
        now = self._context.clock.monotonic()
        kinds = zip(self.copies_by_kind, beacon.ages_ms, beacon.editions, strict=True)
        for kind, age_ms, edition in kinds:
            own_edition = edition_of(self.copies_by_kind[kind])
            if edition <= own_edition:
                self.lag.end_at(kind, own_edition)
                confirmed_at = now - self._freshness.received_age(age_ms)
                self._freshness.confirm(kind, confirmed_at)
                yield Publish(EditionConfirmed(kind, confirmed_at))
                yield from self._offer(kind, edition, beacon)
                continue
            leader_id = beacon.peer.host_id
            yield from self.lag.begin(kind, own_edition, edition, leader_id)
            if now < self._arriving_until_by_kind[kind]:
                continue
            if self.lag.restart_overdue(kind):
                yield Publish(RefreshRequested(kind))
            else:
                yield from self._request(kind, beacon.peer)

    def receive(self, part: ContentPart) -> Iterator[Effect]:
        """Publish a change once all its parts are there, if it is later."""
        if part.kind not in self.copies_by_kind:
            return
        self._note_arrival(part)
        change = self._reassembler.add(part)
        if change is None:
            return
        copy = self.copies_by_kind[change.kind]
        if edition_of(change) <= edition_of(copy):
            self._context.metrics.add('peer_content', 'ignored')
            yield _ignored_record(change, copy)
            return
        if not copy.accepts(change):
            sender = self._peer_table.find(part.host_id)
            if sender is not None:
                yield from self._request(change.kind, sender)
            return
        yield Publish(as_content(change))

    def _note_arrival(self, part: ContentPart) -> None:
        """Note that later content arrives, which may take long on a narrow link."""
        copy = self.copies_by_kind[part.kind]
        is_later = edition_of(part) > edition_of(copy) and copy.accepts(part)
        if is_later and self._reassembler.lacks(part):
            now = self._context.clock.monotonic()
            until = now + _REQUEST_INTERVAL_SECONDS
            self._arriving_until_by_kind[part.kind] = until

    def send_snapshot(self, host_id: HostId, kind: StoreKind) -> Iterator[Effect]:
        """Send the whole content of a kind to a host that asks for it."""
        peer = self._peer_table.find(host_id)
        copy = self.copies_by_kind.get(kind)
        if peer is None or copy is None or copy.position == START_POSITION:
            return
        if peer.zone == self._peer_table.own.zone and self._is_crowded(kind):
            return
        for part in split_part(copy.snapshot(), self._own_id):
            yield SendPeer(peer.endpoint, part)

    def tick(self) -> Iterator[Effect]:
        """Send the zone the snapshots that many of its hosts have asked for."""
        for kind, requests in self._requests_by_kind.items():
            if requests.is_due:
                requests.is_due = False
                for part in split_part(
                    self.copies_by_kind[kind].snapshot(), self._own_id
                ):
                    yield Publish(SpreadRequested(part))

    def _request(self, kind: StoreKind, peer: Peer) -> Iterator[Effect]:
        """Ask a host for a snapshot, unless another one has just been asked."""
        now = self._context.clock.monotonic()
        if now >= self._next_request_by_kind[kind]:
            self._next_request_by_kind[kind] = now + _REQUEST_INTERVAL_SECONDS
            yield SendPeer(peer.endpoint, SnapshotRequest(self._own_id, kind))

    def _is_crowded(self, kind: StoreKind) -> bool:
        """Note a request; return whether the whole zone gets the snapshot instead."""
        now = self._context.clock.monotonic()
        requests = self._requests_by_kind.get(kind)
        if requests is None or now >= requests.since + BEACON_INTERVAL_SECONDS:
            requests = self._requests_by_kind[kind] = _SnapshotRequests(now)
        requests.count += 1
        if requests.count == _MAX_DIRECT_SNAPSHOTS + 1:
            requests.is_due = True
        return requests.count > _MAX_DIRECT_SNAPSHOTS

    def _offer(
        self, kind: StoreKind, edition: Edition, beacon: Beacon
    ) -> Iterator[Effect]:
        """Send the leader a configuration that is newer than its own.

        It may have read an older one from a store that came back from a copy. On
        average one host of the zone sends it.
        """
        copy = self.copies_by_kind[kind]
        is_newer = kind is StoreKind.CONFIGURATION and edition < edition_of(copy)
        if is_newer and self._context.rng.random() * beacon.zone_size < 1:
            for part in split_part(copy.snapshot(), self._own_id):
                yield SendPeer(beacon.peer.endpoint, part)


def _ignored_record(change: ContentPart, copy: ContentCopy) -> LogRecord:
    return LogRecord(
        Part.ZONE,
        'content',
        'Content of a peer was ignored: the own content counts as equal or newer.',
        {
            'objects': change.kind.value,
            'sender': change.host_id,
            'era': change.position.era,
            'own_era': copy.position.era,
            'revision': change.position.revision,
            'own_revision': copy.position.revision,
            'version': change.version,
            'own_version': copy.version,
        },
    )
