"""One host that watches the store for all zones of the region.

The leaders of zones that know each other need not all watch: the first of them
watches, and passes changes and confirmations on to the others, which pass them on in
their zones. A leader that hears no watching leader, or whose content is no longer
confirmed, watches itself. As with the leaders of a zone, two that watch cost calls
and nothing else, so a zone that is cut off from the others is never without content.
"""

from collections.abc import Iterator, Mapping
from operator import gt

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import ContentCopy, edition_of, split_part
from lycheedeal.relay._effects import Effect, LogRecord, Part, SendPeer
from lycheedeal.relay._events import (
    ContentConfirmed,
    ContentNotApplied,
    CopiesReady,
    Event,
    LeadershipChanged,
    PeerMessageReceived,
    PeerTableReady,
    RegionBeaconDue,
    SpreadRequested,
    StopRequested,
    Tick,
    WatchingChanged,
)
from lycheedeal.relay._freshness import (
    BEACON_INTERVAL_SECONDS,
    LEADER_TIMEOUT_SECONDS,
    MAX_FRESH_AGE_SECONDS,
    MAX_STAGGER_SECONDS,
    STAGGER_SECONDS,
    Freshness,
)
from lycheedeal.relay._messages import ContentPart, RegionBeacon, SnapshotRequest
from lycheedeal.relay._peer_table import PeerTable, rank
from lycheedeal.relay._records import Edition, Peer, Source, StoreKind


class RegionPlugin:
    """Decides whether this leader of a zone watches the store."""

    def __init__(self, context: RelayContext) -> None:
        """Start as a follower in its zone, which does not watch."""
        self._context = context
        self._own = context.settings.own_peer
        self._peer_table = PeerTable(self._own, context.clock)
        self._freshness = Freshness(context)
        # What this host has, and sends to hosts that ask for it.
        self._copies: Mapping[StoreKind, ContentCopy] = {}
        self._is_leader = False
        self._watches = False
        self._stopping = False
        # The watching leader of another zone that this one follows.
        self._followed: HostId | None = None
        self._heard_at = float('-inf')
        self._next_beacon = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case PeerTableReady(peer_table=peer_table):
                self._peer_table = peer_table
            case CopiesReady(copies_by_kind=copies):
                self._copies = copies
            case LeadershipChanged(is_leader=is_leader):
                yield from self._set_leadership(is_leader)
            case ContentConfirmed():
                yield from self._content_confirmed(event)
            case ContentNotApplied():
                self._freshness.forget()
            case RegionBeaconDue():
                yield from self._send_beacon()
            case SpreadRequested(message=ContentPart() as part):
                # Leaders of other zones ask for a snapshot that they need.
                if self._watches and not part.complete:
                    yield from self._send_to_leaders(part)
            case PeerMessageReceived(message=RegionBeacon() as beacon):
                yield from self._beacon_received(beacon)
            case StopRequested():
                yield from self._stop()
            case Tick(now=now):
                yield from self._tick(now)

    def _set_leadership(self, is_leader: bool) -> Iterator[Effect]:
        if is_leader == self._is_leader:
            return
        self._is_leader = self._own.is_leader = is_leader
        yield from self._set_watching(is_leader, 'leadership of the zone')

    def _content_confirmed(self, event: ContentConfirmed) -> Iterator[Effect]:
        self._freshness.confirm(event.kind, event.at)
        # Ages grow until the others hear of the confirmation. The beacon goes after
        # the change that came with it: hosts without the change ask for a snapshot.
        if self._watches and event.source is Source.STORE:
            yield Publish(RegionBeaconDue())

    def _beacon_received(self, beacon: RegionBeacon) -> Iterator[Effect]:
        peer = beacon.peer
        has_same_kinds = len(beacon.ages_ms) == len(self._copies)
        if peer.zone == self._own.zone or not (self._is_leader and has_same_kinds):
            return
        self._peer_table.record_heard(peer)
        now = self._context.clock.monotonic()
        if beacon.ages_ms[0] < 0:
            self._end_following(beacon)
            return
        age = self._freshness.received_age(max(beacon.ages_ms))
        is_fresh = age < MAX_FRESH_AGE_SECONDS
        if not is_fresh or self._goes_before(peer):
            return
        # The content that is missing may come sooner by a call that is in progress.
        if not (self._watches and self._is_behind(beacon)):
            self._followed = peer.host_id
            yield from self._set_watching(False, 'a leader of another zone watches')
        self._heard_at = now
        yield from self._compare_editions(beacon)

    def _end_following(self, beacon: RegionBeacon) -> None:
        if self._followed != beacon.peer.host_id:
            return
        self._heard_at = self._context.clock.monotonic() - LEADER_TIMEOUT_SECONDS
        if self._freshness.is_handed_over(beacon.ages_ms):
            # The next beacon of the host that watches now may be on its way.
            self._heard_at += BEACON_INTERVAL_SECONDS

    def _is_behind(self, beacon: RegionBeacon) -> bool:
        return any(map(gt, beacon.editions, map(edition_of, self._copies.values())))

    def _compare_editions(self, beacon: RegionBeacon) -> Iterator[Effect]:
        """Confirm each kind whose edition is not behind; ask for the others."""
        peer = beacon.peer
        now = self._context.clock.monotonic()
        kinds = zip(self._copies, beacon.ages_ms, beacon.editions, strict=True)
        for kind, age_ms, edition in kinds:
            if edition > edition_of(self._copies[kind]):
                request = SnapshotRequest(self._own.host_id, kind)
                yield SendPeer(peer.endpoint, request)
                continue
            confirmed_at = now - self._freshness.received_age(age_ms)
            yield Publish(ContentConfirmed(kind, confirmed_at, Source.PEER))
            if kind is StoreKind.CONFIGURATION:
                yield from self._offer_configuration(edition, peer)

    def _offer_configuration(self, edition: Edition, peer: Peer) -> Iterator[Effect]:
        """Send the watching leader a configuration that is newer than its own.

        On average one of the other leaders sends it.
        """
        copy = self._copies[StoreKind.CONFIGURATION]
        leaders = sum(1 for _ in self._peer_table.other_zone_leaders())
        if edition < edition_of(copy) and self._context.rng.random() * leaders < 1:
            for part in split_part(copy.snapshot(), self._own.host_id):
                yield SendPeer(peer.endpoint, part)

    def _goes_before(self, peer: Peer) -> bool:
        """Return whether this host watches rather than another one that does."""
        if not self._watches or not self._is_fresh():
            return False
        return rank(self._own) < rank(peer)

    def _is_fresh(self) -> bool:
        return self._freshness.oldest_age() < MAX_FRESH_AGE_SECONDS

    def _tick(self, now: float) -> Iterator[Effect]:
        self._freshness.tick(now)
        yield Publish(WatchingChanged(self._watches))
        if not self._is_leader or self._stopping:
            return
        if not self._watches:
            reason = self._reason_to_watch(now)
            if reason:
                yield from self._set_watching(True, reason)
        elif now >= self._next_beacon and self._is_fresh():
            yield from self._send_beacon()

    def _reason_to_watch(self, now: float) -> str:
        own = rank(self._own)
        earlier = sum(
            rank(peer) < own
            for peer in self._peer_table.other_zone_leaders()
            if peer.host_id != self._followed
        )
        stagger = min(earlier * STAGGER_SECONDS, MAX_STAGGER_SECONDS)
        if self._freshness.oldest_age() > MAX_FRESH_AGE_SECONDS + stagger:
            return 'content is stale'
        if now - self._heard_at > LEADER_TIMEOUT_SECONDS + stagger:
            return 'no beacon from the watching leader'
        return ''

    def _set_watching(self, watches: bool, reason: str) -> Iterator[Effect]:
        if watches == self._watches:
            return
        self._watches = watches
        self._next_beacon = 0.0
        if watches:
            self._followed = None
        else:
            yield from self._send_ages(self._freshness.handed_over_ages_ms())
        yield Publish(WatchingChanged(watches))
        yield LogRecord(
            Part.ZONE,
            'duty',
            'Host watches the store for the leaders that it knows.'
            if watches
            else 'Host stops watching the store.',
            {
                'reason': reason,
                'followed': self._followed,
                'age_s': round(self._freshness.oldest_age(), 2),
            },
        )

    def _send_beacon(self) -> Iterator[Effect]:
        now = self._context.clock.monotonic()
        self._next_beacon = now + BEACON_INTERVAL_SECONDS
        ages = self._freshness.ages_ms()
        if self._stopping:
            ages = self._freshness.resigned_ages_ms()
        yield from self._send_ages(ages)

    def _send_ages(self, ages_ms: tuple[int, ...]) -> Iterator[Effect]:
        editions = tuple(map(edition_of, self._copies.values()))
        yield from self._send_to_leaders(RegionBeacon(self._own, ages_ms, editions))

    def _send_to_leaders(self, message: RegionBeacon | ContentPart) -> Iterator[Effect]:
        for peer in self._peer_table.other_zone_leaders():
            yield SendPeer(peer.endpoint, message)

    def _stop(self) -> Iterator[Effect]:
        self._stopping = True
        if self._watches:
            yield from self._send_beacon()


register(
    PluginSpec(
        'region',
        RegionPlugin,
        frozenset(
            (
                PeerTableReady,
                LeadershipChanged,
                CopiesReady,
                ContentConfirmed,
                ContentNotApplied,
                RegionBeaconDue,
                SpreadRequested,
                PeerMessageReceived,
                StopRequested,
                Tick,
            ),
        ),
    ),
)
