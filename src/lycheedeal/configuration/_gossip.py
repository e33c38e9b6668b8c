"""Gossip of shards between neighbouring hosts of a zone.

Hosts send digests, which list the generations that they have in force, and
answer the digest of a lagging neighbour with copies of the shards it lacks.
"""

import random
from collections.abc import Iterator
from typing import Final

from lycheedeal import messages
from lycheedeal.configuration._store import ShardStore
from lycheedeal.configuration._topology import choose_neighbours
from lycheedeal.kernel import Gossip, MembersChanged, SetNeighbours
from lycheedeal.model import Endpoint, HostSettings, ShardIndex

_DIGEST_INTERVAL_SECONDS: Final = 1.0
# A neighbour may dial this host before this host knows it, so the link stays in
# use for this time after each message received.
_LINK_ACTIVE_SECONDS: Final = 5.0
# Shortest interval between two copies of the same shard.
_COPY_INTERVAL_SECONDS: Final = 0.3
# Rate limit of the copies sent to lagging neighbours. Newly applied shards are
# forwarded without this limit.
_CATCH_UP_COPIES_PER_SECOND: Final = 6.0
_CATCH_UP_BURST_COPIES: Final = 8.0
# A digest reaches all neighbours at once. Each answers the digest of a lagging
# host with a probability that lets about this many answer.
_EXPECTED_ANSWERS: Final = 3
# A host that receives a newer shard from a neighbour forwards it after a random
# part of this delay, unless it has received this many copies by then.
_MAX_FORWARD_DELAY_SECONDS: Final = 0.4
_COPIES_TO_SUPPRESS: Final = 2
# A digest is skipped if this many equal digests arrived since the last one was
# sent or skipped, and at most this often in a row. A lagging host receives
# digests that differ from its own, so it never skips one.
_DIGESTS_TO_SUPPRESS: Final = 2
_MAX_SKIPPED_DIGESTS: Final = 3
# Digest interval of a host without any shard, or that knows of a newer one.
_MIN_DIGEST_INTERVAL_SECONDS: Final = 0.3
# Nothing is suppressed with this many neighbours or fewer, since the suppressed
# message might be the only one that reaches a neighbour.
_FEW_NEIGHBOURS: Final = 2


class GossipSender:
    """Decides when digests and shard copies are sent to the neighbours."""

    def __init__(
        self,
        settings: HostSettings,
        store: ShardStore,
        rng: random.Random,
    ) -> None:
        """Start without neighbours; ``store`` has the shards to send."""
        self._settings = settings
        self._store = store
        self._rng = rng
        self._neighbours: tuple[Endpoint, ...] = ()
        self._last_message_at = -_LINK_ACTIVE_SECONDS
        self._next_digest_at = 0.0
        self._digest_sent_at = 0.0
        self._credit = _CATCH_UP_BURST_COPIES
        self._credit_updated_at = 0.0
        self._sent_at_by_shard: dict[ShardIndex, float] = {}
        self._due_at_by_shard: dict[ShardIndex, float] = {}
        self._matching_digests = 0
        self._skipped_digests = 0
        self._copies_received: dict[ShardIndex, int] = {}

    def update_members(self, event: MembersChanged) -> Iterator[SetNeighbours]:
        """Choose the neighbours again after the members of the zone changed."""
        neighbours = choose_neighbours(
            self._settings.host_id,
            self._settings.zone,
            event.members,
        )
        if neighbours != self._neighbours:
            self._neighbours = neighbours
            yield SetNeighbours(neighbours)

    def tick(self, now: float) -> Iterator[Gossip]:
        """Send the digest and the shard copies that are due."""
        if now >= self._next_digest_at:
            yield from self._send_or_skip_digest(now)
        for index, due_at in tuple(self._due_at_by_shard.items()):
            if now >= due_at:
                yield from self.send_copy(index, now)

    def send_digest(self, now: float) -> Iterator[Gossip]:
        """Send the generations in force on this host to the neighbours."""
        # Jitter keeps the hosts from sending and answering at the same time.
        interval = (
            _DIGEST_INTERVAL_SECONDS
            if len(self._store)
            else _MIN_DIGEST_INTERVAL_SECONDS
        )
        self._next_digest_at = now + interval * self._rng.uniform(0.9, 1.1)
        self._digest_sent_at = now
        self._matching_digests = 0
        self._skipped_digests = 0
        if self._has_link(now):
            yield Gossip(
                messages.Digest(
                    sender=self._settings.host_id,
                    zone=self._settings.zone,
                    generations=self._store.generations(),
                ),
            )

    def send_copy(self, index: ShardIndex, now: float) -> Iterator[Gossip]:
        """Send a shard now, or as soon as the interval between copies allows.

        Nothing is sent while no shard of this index is in force or no
        neighbour is connected.
        """
        self._due_at_by_shard.pop(index, None)
        shard = self._store.get(index)
        if not shard.generation or not self._has_link(now):
            return
        due_at = (
            self._sent_at_by_shard.get(index, -_COPY_INTERVAL_SECONDS)
            + _COPY_INTERVAL_SECONDS
        )
        if now < due_at:
            self._due_at_by_shard[index] = due_at
            return
        self._sent_at_by_shard[index] = now
        yield Gossip(messages.ShardCopy(self._settings.host_id, shard))

    def forward_copy(self, index: ShardIndex, now: float) -> Iterator[Gossip]:
        """Send a shard received from a neighbour, unless others send it first."""
        self._copies_received[index] = 1
        if len(self._neighbours) <= _FEW_NEIGHBOURS:
            yield from self.send_copy(index, now)
        else:
            self._due_at_by_shard[index] = (
                now + _MAX_FORWARD_DELAY_SECONDS * self._rng.random()
            )

    def note_message(self, now: float) -> None:
        """Record that a neighbour sent a message, so the link is in use."""
        self._last_message_at = now

    def note_duplicate(self, index: ShardIndex) -> None:
        """Count another copy of the shard in force, which may cancel forwarding."""
        self._copies_received[index] = self._copies_received.get(index, 0) + 1
        if self._copies_received[index] >= _COPIES_TO_SUPPRESS:
            self._due_at_by_shard.pop(index, None)

    def answer_digest(self, digest: messages.Digest, now: float) -> Iterator[Gossip]:
        """Send the shards that the neighbour lacks, within the rate limit.

        A digest with a newer generation makes the own digest due earlier, so
        that the neighbour answers it.
        """
        own = self._store.generations()
        if digest.generations == own:
            self._matching_digests += 1
            return
        self._matching_digests = 0
        if any(
            digest.generations[index] > own.get(index, 0)
            for index in digest.generations
        ):
            self._next_digest_at = min(
                self._next_digest_at,
                self._digest_sent_at + _MIN_DIGEST_INTERVAL_SECONDS,
            )
        lagging = [
            index
            for index, generation in own.items()
            if digest.generations.get(index, 0) < generation
            and index not in self._due_at_by_shard
        ]
        if not lagging or self._rng.random() > self._answer_probability():
            return
        self._rng.shuffle(lagging)
        self._refill_credit(now)
        for index in lagging:
            if self._credit < 1:
                return
            self._credit -= 1
            yield from self.send_copy(index, now)

    def _send_or_skip_digest(self, now: float) -> Iterator[Gossip]:
        neighbours_agree = self._matching_digests >= _DIGESTS_TO_SUPPRESS
        has_many_neighbours = len(self._neighbours) > _FEW_NEIGHBOURS
        if (
            neighbours_agree
            and has_many_neighbours
            and self._skipped_digests < _MAX_SKIPPED_DIGESTS
        ):
            self._matching_digests = 0
            self._skipped_digests += 1
            self._next_digest_at = now + _DIGEST_INTERVAL_SECONDS
        else:
            yield from self.send_digest(now)

    def _has_link(self, now: float) -> bool:
        return (
            bool(self._neighbours) or now - self._last_message_at < _LINK_ACTIVE_SECONDS
        )

    def _answer_probability(self) -> float:
        # About as many hosts dial this host as it dials itself.
        return _EXPECTED_ANSWERS / max(1, 2 * len(self._neighbours))

    def _refill_credit(self, now: float) -> None:
        earned = (now - self._credit_updated_at) * _CATCH_UP_COPIES_PER_SECOND
        self._credit = min(_CATCH_UP_BURST_COPIES, self._credit + earned)
        self._credit_updated_at = now
