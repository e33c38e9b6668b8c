"""Leader of a zone: the host that keeps all hosts of the zone current.

The leader watches the store, or follows the leader of another zone that does
(``region``). It sends the others the changes that it learns, and beacons that tell
how current it is. Leadership is not exclusive: two leaders cost additional store
calls and nothing else, so no lease is needed. A host whose content is no longer
confirmed becomes a leader itself; hosts with a larger share of a core go first.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import split_part
from lycheedeal.relay._effects import Effect, LogRecord, Part, SendPeer
from lycheedeal.relay._events import (
    ContentChanged,
    ContentConfirmed,
    ContentNotApplied,
    CopiesReady,
    Event,
    LeadershipChanged,
    PeerMessageReceived,
    PeerTableReady,
    SpreadRequested,
    Started,
    StopRequested,
    Tick,
)
from lycheedeal.relay._exchange import ContentExchange
from lycheedeal.relay._freshness import (
    BEACON_INTERVAL_SECONDS,
    LEADER_TIMEOUT_SECONDS,
    MAX_FRESH_AGE_SECONDS,
    MAX_STAGGER_SECONDS,
    STAGGER_SECONDS,
    Freshness,
)
from lycheedeal.relay._greetings import Greetings
from lycheedeal.relay._messages import (
    Beacon,
    BeaconRequest,
    ContentPart,
    Greeting,
    Roster,
    SnapshotRequest,
)
from lycheedeal.relay._peer_table import PeerTable, rank
from lycheedeal.relay._records import Peer, Source, StoreKind

# With more leaders than this in the zone, the interval between beacons grows in
# proportion.
_LEADERS_AT_FULL_RATE: Final = 3
# A new leader sends its beacons to each host itself during this time. Hosts that
# failed together with the previous leader are still in the peer tables, and
# would not pass a spread message on.
_DIRECT_BEACON_SECONDS: Final = 7.0
# After this time the leader is asked for a beacon: one is lost if a host that
# should pass it on has failed.
_BEACON_OVERDUE_SECONDS: Final = 1.5 * BEACON_INTERVAL_SECONDS
# Time between two updates of the age metrics and removals of hosts that are no
# longer heard.
_MAINTENANCE_INTERVAL_SECONDS: Final = 2.0


class ZonePlugin:
    """Tracks the hosts of the zone, and decides whether this one is a leader."""

    def __init__(self, context: RelayContext) -> None:
        """Start as a follower; a leader may be heard within a beacon interval."""
        self._context = context
        self._own = context.settings.own_peer
        self._peer_table = PeerTable(self._own, context.clock)
        self._greetings = Greetings(context, self._peer_table)
        self.freshness = Freshness(context)
        self._exchange = ContentExchange(context, self._peer_table, self.freshness)
        self.copies_by_kind = self._exchange.copies_by_kind
        self._is_leader = False
        self._stopping = False
        self._started_at = context.clock.monotonic()
        self._leader_heard_at = self._started_at
        self._leadership_changed_at = self._started_at
        self._last_beacon_at = 0.0
        self._next_beacon_request = 0.0
        self._next_maintenance = 0.0

    @property
    def is_leader(self) -> bool:
        """Whether this host is a leader of its zone."""
        return self._is_leader

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case Started():
                yield Publish(PeerTableReady(self._peer_table))
                yield Publish(CopiesReady(self.copies_by_kind))
                yield from self._greetings.greet_seeds()
            case ContentChanged():
                yield from self._content_changed(event)
            case ContentConfirmed():
                self._content_confirmed(event)
            case ContentNotApplied():
                self._exchange.forget()
            case PeerMessageReceived():
                yield from self._message_received(event)
            case StopRequested():
                yield from self._stop()
            case Tick(now=now):
                yield from self._tick(now)

    def _content_changed(self, event: ContentChanged) -> Iterator[Effect]:
        if event.version is None and event.kind is StoreKind.CONFIGURATION:
            return
        difference = self.copies_by_kind[event.kind].apply(event)
        self._exchange.lag.end(event.kind)
        if difference is None or not self._is_leader:
            return
        for part in split_part(difference, self._own.host_id):
            yield Publish(SpreadRequested(part))

    def _content_confirmed(self, event: ContentConfirmed) -> None:
        kind, at = event.kind, event.at
        is_news = at > self.freshness.confirmed_at(kind) + BEACON_INTERVAL_SECONDS
        was_old = self.freshness.renew(kind, at, MAX_FRESH_AGE_SECONDS)
        # The next tick sends a beacon if the others wait for a leader with fresh
        # content, or if the confirmation has already taken its time to this host.
        if was_old or (is_news and event.source is Source.PEER):
            self._last_beacon_at = 0.0

    def _message_received(self, event: PeerMessageReceived) -> Iterator[Effect]:
        match event.message:
            case Greeting() as greeting:
                yield from self._greeted(greeting)
            case Roster(zone=zone, peers=peers):
                if zone == self._own.zone or self._is_leader:
                    yield from self._greetings.meet(peers)
            case Beacon() as beacon:
                yield from self._beacon_received(beacon)
            case ContentPart() as part:
                yield from self._exchange.receive(part)
            case BeaconRequest(peer=peer):
                self._peer_table.record_heard(peer)
                if self._is_leader:
                    yield SendPeer(peer.endpoint, self._own_beacon())
            case SnapshotRequest(host_id=host_id, kind=kind):
                yield from self._exchange.send_snapshot(host_id, kind)

    def _greeted(self, greeting: Greeting) -> Iterator[Effect]:
        yield from self._greetings.answer(greeting)
        peer = greeting.peer
        if greeting.wants_answer and self._is_leader and peer.zone == self._own.zone:
            yield SendPeer(peer.endpoint, self._own_beacon())

    def _beacon_received(self, beacon: Beacon) -> Iterator[Effect]:
        # While settings change, hosts that started earlier read other kinds.
        if len(beacon.ages_ms) != len(self.copies_by_kind):
            return
        if beacon.peer.zone != self._own.zone:
            return
        self._peer_table.record_heard(beacon.peer)
        self._peer_table.zone_size = beacon.zone_size
        for peer in beacon.peers:
            self._peer_table.record_named(peer)
        now = self._context.clock.monotonic()
        if beacon.ages_ms[0] < 0:
            if self._peer_table.leader_id == beacon.peer.host_id:
                self._peer_table.leader_id = None
                self._leader_heard_at = now - LEADER_TIMEOUT_SECONDS
            return
        age = self.freshness.received_age(max(beacon.ages_ms))
        is_fresh = age < MAX_FRESH_AGE_SECONDS
        if not is_fresh or (self._is_leader and not self._outranked_by(beacon)):
            return
        if self._is_leader and self._exchange.is_behind(beacon):
            # The content may come sooner by a call that is in progress. The sender
            # answers requests only of hosts that it knows.
            yield self._greeting_to(beacon.peer)
        else:
            yield from self._follow(beacon.peer)
        yield from self._exchange.compare(beacon)

    def _follow(self, leader: Peer) -> Iterator[Effect]:
        if self._peer_table.leader_id != leader.host_id:
            self._peer_table.leader_id = leader.host_id
            yield self._greeting_to(leader)
        self._leader_heard_at = self._context.clock.monotonic()
        yield from self._set_leadership(
            is_leader=False, reason='another leader is heard'
        )

    def _greeting_to(self, peer: Peer) -> SendPeer:
        return SendPeer(peer.endpoint, Greeting(self._own, wants_answer=False))

    def _outranked_by(self, beacon: Beacon) -> bool:
        """Return whether the sender should lead the zone rather than this host."""
        own_age = self.freshness.oldest_age()
        if own_age >= MAX_FRESH_AGE_SECONDS:
            return True
        return rank(beacon.peer) < rank(self._own)

    def _stop(self) -> Iterator[Effect]:
        self._stopping = True
        yield Publish(SpreadRequested(self._own_beacon()))

    def _tick(self, now: float) -> Iterator[Effect]:
        self.freshness.tick(now)
        yield from self._decide_leadership(now)
        yield Publish(LeadershipChanged(self._is_leader))
        if self._is_leader and not self._stopping:
            yield from self._send_beacon(now)
        if not self._is_leader and now >= self._next_beacon_request:
            yield from self._request_beacon(now)
        if now >= self._next_maintenance:
            self._next_maintenance = now + _MAINTENANCE_INTERVAL_SECONDS
            self.freshness.update_metrics()
            self._peer_table.expire()
        yield from self._greetings.tick(now)
        yield from self._exchange.tick()

    def _send_beacon(self, now: float) -> Iterator[Effect]:
        # While the store does not answer, many hosts are leaders and send beacons.
        slowdown = len(self._peer_table.own_zone_leaders()) / _LEADERS_AT_FULL_RATE
        if now < self._last_beacon_at + BEACON_INTERVAL_SECONDS * max(slowdown, 1):
            return
        self._last_beacon_at = now
        beacon = self._own_beacon()
        if now >= self._leadership_changed_at + _DIRECT_BEACON_SECONDS:
            yield Publish(SpreadRequested(beacon))
            return
        for peer in self._peer_table.of_own_zone():
            yield SendPeer(peer.endpoint, beacon)

    def _decide_leadership(self, now: float) -> Iterator[Effect]:
        if self._is_leader:
            return
        stagger = min(
            self._peer_table.own_rank() * STAGGER_SECONDS, MAX_STAGGER_SECONDS
        )
        # A host whose first lists failed has no confirmed content.
        starting = now - self._started_at < LEADER_TIMEOUT_SECONDS + stagger
        is_stale = (
            not starting
            and self.freshness.oldest_age() > MAX_FRESH_AGE_SECONDS + stagger
        )
        is_silent = now - self._leader_heard_at > LEADER_TIMEOUT_SECONDS + stagger
        if is_stale or is_silent:
            self._peer_table.leader_id = None
            reason = 'content is stale' if is_stale else 'no beacon from the leader'
            yield from self._set_leadership(is_leader=True, reason=reason)

    def _set_leadership(self, is_leader: bool, reason: str) -> Iterator[Effect]:
        if is_leader == self._is_leader:
            return
        self._is_leader = is_leader
        self._leadership_changed_at = self._context.clock.monotonic()
        self._own.is_leader = is_leader
        self._last_beacon_at = 0.0
        if is_leader:
            # The seeds introduce the leaders of other zones.
            self._greetings.greet_seeds_soon()
        yield Publish(LeadershipChanged(is_leader))
        yield LogRecord(
            Part.ZONE,
            'duty',
            'Host is a leader of its zone.'
            if is_leader
            else 'Host is not a leader any more; another one sends changes.',
            {
                'reason': reason,
                'keeper': self._peer_table.leader_id,
                'peers': len(self._peer_table),
                'age_s': round(self.freshness.oldest_age(), 2),
            },
        )

    def _request_beacon(self, now: float) -> Iterator[Effect]:
        """Ask the leader for a beacon once its last one is overdue."""
        leader = self._peer_table.find(self._peer_table.leader_id)
        if leader is not None and now - self._leader_heard_at > _BEACON_OVERDUE_SECONDS:
            self._next_beacon_request = now + BEACON_INTERVAL_SECONDS
            yield SendPeer(leader.endpoint, BeaconRequest(self._own))

    def _own_beacon(self) -> Beacon:
        ages = self.freshness.ages_ms()
        if self._stopping:
            ages = self.freshness.resigned_ages_ms()
        size = sum(1 for _ in self._peer_table.of_own_zone()) + 1
        return Beacon(
            self._own,
            ages,
            self._exchange.editions(),
            size,
            self._peer_table.next_advertised(),
        )


register(
    PluginSpec(
        'zone',
        ZonePlugin,
        frozenset(
            (
                Started,
                ContentChanged,
                ContentConfirmed,
                ContentNotApplied,
                PeerMessageReceived,
                StopRequested,
                Tick,
            ),
        ),
    ),
)
