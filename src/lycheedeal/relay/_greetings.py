"""Greetings, through which hosts find each other, and the answers to them."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, SendPeer
from lycheedeal.relay._messages import Greeting, Roster
from lycheedeal.relay._peer_table import PeerTable
from lycheedeal.relay._records import Peer

# Time between greetings to the seeds while no other host of the zone is known.
_SEARCH_INTERVAL_SECONDS: Final = 0.3
# Time between greetings to the seeds otherwise.
_GREETING_INTERVAL_SECONDS: Final = 5.0


class Greetings:
    """Greets the seeds from time to time, and answers the greetings of others."""

    def __init__(self, context: RelayContext, peer_table: PeerTable) -> None:
        """Start with greetings that are due at once."""
        self._context = context
        self._peer_table = peer_table
        self._next_at = 0.0

    def greet_seeds_soon(self) -> None:
        """Make the greetings due."""
        self._next_at = 0.0

    def tick(self, now: float) -> Iterator[Effect]:
        """Greet the seeds if it is time."""
        if now >= self._next_at:
            yield from self.greet_seeds()

    def greet_seeds(self) -> Iterator[Effect]:
        """Greet the seeds; they tell the hosts of the zone if none is known."""
        own = self._peer_table.own
        is_alone = not any(True for _ in self._peer_table.of_own_zone())
        interval = _SEARCH_INTERVAL_SECONDS if is_alone else _GREETING_INTERVAL_SECONDS
        self._next_at = self._context.clock.monotonic() + interval
        for seed in self._context.settings.seeds:
            if seed != own.endpoint:
                yield SendPeer(seed, Greeting(own, wants_answer=is_alone))

    def answer(self, greeting: Greeting) -> Iterator[Effect]:
        """Record the host that greets, and tell it the hosts that it asks for.

        A leader is told the known leaders of zones other than its own.
        """
        peer = greeting.peer
        self._peer_table.record_heard(peer)
        if peer.is_leader:
            for other in self._peer_table.other_zone_leaders():
                if other.zone != peer.zone:
                    yield SendPeer(peer.endpoint, Roster(other.zone, (other,)))
        if greeting.wants_answer:
            for peers in self._peer_table.rosters(peer):
                yield SendPeer(peer.endpoint, Roster(peer.zone, peers))

    def meet(self, peers: tuple[Peer, ...]) -> Iterator[Effect]:
        """Record hosts that another one named, and greet those that are new."""
        for peer in peers:
            if self._peer_table.record_heard(peer):
                own = self._peer_table.own
                yield SendPeer(peer.endpoint, Greeting(own, wants_answer=False))
