"""Settings, clock and source of randomness that the core is given."""

import random
from dataclasses import dataclass

from lycheedeal.dispatch import Clock
from lycheedeal.model import HostSettings, Incarnation, Member


@dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of the decision core, fixed for one process incarnation.

    ``incarnation`` is the start time of the process, Unix time in
    milliseconds. ``rng`` is the source of randomness that all plug-ins share; a
    simulation seeds it.
    """

    settings: HostSettings
    clock: Clock
    rng: random.Random
    incarnation: Incarnation

    @property
    def member(self) -> Member:
        """Return the membership record that this process announces to peers."""
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
        """Return Unix time in milliseconds, rounded down."""
        return int(self.clock.wall() * 1000)
