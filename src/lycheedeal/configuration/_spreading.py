"""Spreading of shards between neighbouring hosts."""

import random
from collections.abc import Iterator
from typing import Final

from lycheedeal import messages
from lycheedeal.configuration._ring import choose_neighbours
from lycheedeal.configuration._store import ShardStore
from lycheedeal.kernel import Gossip, MembersChanged, SetNeighbours
from lycheedeal.model import Endpoint, HostSettings, ShardIndex

_DIGEST_SECONDS: Final = 1.0
# A neighbour that is heard may have dialled this host before this host knows
# it, so the link is used for some time after each message.
_HEARD_SECONDS: Final = 5.0
_COPY_SECONDS: Final = 0.3
# Shards per second that are sent to neighbours that lag; a change in force
# is passed on without this limit.
_CATCH_UP_RATE: Final = 6.0
_CATCH_UP_BURST: Final = 8.0
# The gossip link reaches all neighbours at once, so of those that hear the
# digest of a host that lags only about this many answer.
_ANSWERING_NEIGHBOURS: Final = 3


class Spreader:
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
        self._heard_at = -_HEARD_SECONDS
        self._digest_at = 0.0
        self._credit = _CATCH_UP_BURST
        self._credited_at = 0.0
        self._sent_at_by_shard: dict[ShardIndex, float] = {}
        self._waiting: set[ShardIndex] = set()

    def change_members(self, event: MembersChanged) -> Iterator[SetNeighbours]:
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
        if now >= self._digest_at:
            # Spread over the second, so that neighbours do not answer at once.
            self._digest_at = now + _DIGEST_SECONDS * self._rng.uniform(0.9, 1.1)
            yield from self.send_digest(now)
        for index in sorted(self._waiting):
            yield from self.send_copy(index, now)

    def send_digest(self, now: float) -> Iterator[Gossip]:
        """Tell the neighbours what is in force here."""
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
        shard = self._store.get(index)
        if not shard.generation or not self._has_link(now):
            self._waiting.discard(index)
            return
        sent_at = self._sent_at_by_shard.get(index)
        if sent_at is not None and now - sent_at < _COPY_SECONDS:
            self._waiting.add(index)
            return
        self._waiting.discard(index)
        self._sent_at_by_shard[index] = now
        yield Gossip(messages.ShardCopy(self._settings.host_id, shard))

    def hear(self, now: float) -> None:
        """Note that a neighbour uses the link."""
        self._heard_at = now

    def answer_digest(self, digest: messages.Digest, now: float) -> Iterator[Gossip]:
        """Send shards that the neighbour lacks, within the limits."""
        behind = [
            index
            for index, generation in self._store.generations().items()
            if digest.generations.get(index, 0) < generation
            and index not in self._waiting
        ]
        if not behind or self._rng.random() > self._answer_chance():
            return
        self._rng.shuffle(behind)
        self._earn_credit(now)
        for index in behind:
            if self._credit < 1:
                return
            self._credit -= 1
            yield from self.send_copy(index, now)

    def _has_link(self, now: float) -> bool:
        return bool(self._neighbours) or now - self._heard_at < _HEARD_SECONDS

    def _answer_chance(self) -> float:
        # About as many hosts dial this one as it dials itself.
        return _ANSWERING_NEIGHBOURS / max(1, 2 * len(self._neighbours))

    def _earn_credit(self, now: float) -> None:
        earned = (now - self._credited_at) * _CATCH_UP_RATE
        self._credit = min(_CATCH_UP_BURST, self._credit + earned)
        self._credited_at = now
