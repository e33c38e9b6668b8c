"""Spreading of shards between neighbouring hosts."""

import random
from collections.abc import Iterator
from typing import Final

from lycheedeal import messages
from lycheedeal.configuration._store import ShardStore
from lycheedeal.configuration._topology import choose_neighbours
from lycheedeal.kernel import Gossip, MembersChanged, SetNeighbours
from lycheedeal.model import Endpoint, HostSettings, ShardIndex

_DIGEST_INTERVAL_SECONDS: Final = 1.0
# A neighbour that is heard may have dialled this host before this host knows
# it, so the link is used for some time after each message.
_LINK_ACTIVE_SECONDS: Final = 5.0
_COPY_INTERVAL_SECONDS: Final = 0.3
# Shards per second that are sent to neighbours that lag; a change in force
# is passed on without this limit.
_CATCH_UP_COPIES_PER_SECOND: Final = 6.0
_CATCH_UP_BURST_COPIES: Final = 8.0
# The gossip link reaches all neighbours at once, so of those that hear the
# digest of a host that lags only about this many answer.
_EXPECTED_ANSWERS: Final = 3
# A host that learns a shard from a neighbour waits a random part of this time
# and passes it on only if fewer than so many neighbours did so meanwhile.
_MAX_FORWARD_DELAY_SECONDS: Final = 0.4
_COPIES_TO_SUPPRESS: Final = 2
# A digest is left out if so many neighbours sent the same one since the last,
# but not more often than this in a row. A host that lags hears other digests
# than its own, so it always sends.
_DIGESTS_TO_SUPPRESS: Final = 2
_MAX_SKIPPED_DIGESTS: Final = 3
# A host that hears of a newer shard, or has none at all, asks with a digest, but
# not more often.
_MIN_DIGEST_INTERVAL_SECONDS: Final = 0.3
# With so few neighbours a message that is held back may be the only one.
_FEW_NEIGHBOURS: Final = 2


class GossipSender:
    """Decides which digests and shard copies go to the neighbours."""

    def __init__(
        self,
        settings: HostSettings,
        store: ShardStore,
        rng: random.Random,
    ) -> None:
        """Take the shards to spread."""
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
        """Choose the neighbours anew."""
        neighbours = choose_neighbours(
            self._settings.host_id,
            self._settings.zone,
            event.members,
        )
        if neighbours != self._neighbours:
            self._neighbours = neighbours
            yield SetNeighbours(neighbours)

    def tick(self, now: float) -> Iterator[Gossip]:
        """Send the digest and the copies that are due."""
        if now >= self._next_digest_at:
            yield from self._send_or_skip_digest(now)
        for index, due_at in tuple(self._due_at_by_shard.items()):
            if now >= due_at:
                yield from self.send_copy(index, now)

    def send_digest(self, now: float) -> Iterator[Gossip]:
        """Tell the neighbours what is in force here."""
        # Spread over the second, so that neighbours do not answer at once.
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
        """Send a shard now, or as soon as its rate limit allows."""
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
        """Send a shard that a neighbour sent, unless others do so first."""
        self._copies_received[index] = 1
        if len(self._neighbours) <= _FEW_NEIGHBOURS:
            yield from self.send_copy(index, now)
        else:
            self._due_at_by_shard[index] = (
                now + _MAX_FORWARD_DELAY_SECONDS * self._rng.random()
            )

    def note_message(self, now: float) -> None:
        """Note that a neighbour uses the link."""
        self._last_message_at = now

    def note_duplicate(self, index: ShardIndex) -> None:
        """Note that a neighbour sent the shard in force, too."""
        self._copies_received[index] = self._copies_received.get(index, 0) + 1
        if self._copies_received[index] >= _COPIES_TO_SUPPRESS:
            self._due_at_by_shard.pop(index, None)

    def answer_digest(self, digest: messages.Digest, now: float) -> Iterator[Gossip]:
        """Send shards that the neighbour lacks, within the limits."""
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
        # About as many hosts dial this one as it dials itself.
        return _EXPECTED_ANSWERS / max(1, 2 * len(self._neighbours))

    def _refill_credit(self, now: float) -> None:
        earned = (now - self._credit_updated_at) * _CATCH_UP_COPIES_PER_SECOND
        self._credit = min(_CATCH_UP_BURST_COPIES, self._credit + earned)
        self._credit_updated_at = now
