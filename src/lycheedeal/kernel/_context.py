"""What the core gets from outside: settings, clock and randomness."""

import random
from dataclasses import dataclass

from lycheedeal.dispatch import Clock
from lycheedeal.model import HostSettings, Incarnation, Member


@dataclass(frozen=True, slots=True)
class Context:
    """Inputs of the decision core for one process incarnation.

    ``incarnation`` is the start time of the process in milliseconds.
    """

    settings: HostSettings
    clock: Clock
    rng: random.Random
    incarnation: Incarnation

    @property
    def member(self) -> Member:
        """Return the record of this process as its peers see it."""
        settings = self.settings
        return Member(
            host_id=settings.host_id,
            zone=settings.zone,
            peer=settings.peer,
            gossip=settings.gossip,
            admin=settings.admin,
            incarnation=self.incarnation,
        )

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(self.clock.wall() * 1000)
