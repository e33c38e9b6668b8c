"""Members of the zone, ownership of services and the stop sequence."""

from lycheedeal.kernel import (
    ApiReplied,
    PeerMessage,
    PluginSpec,
    Resumed,
    Started,
    StopRequested,
    Tick,
    WorkRemaining,
    register,
)
from lycheedeal.membership._plugin import Membership
from lycheedeal.membership._ranking import HostRanking, rank_hosts

__all__ = ('HostRanking', 'Membership', 'rank_hosts')

register(
    PluginSpec(
        name='membership',
        factory=Membership,
        events=frozenset(
            (
                Started,
                Tick,
                Resumed,
                StopRequested,
                PeerMessage,
                ApiReplied,
                WorkRemaining,
            ),
        ),
    ),
)
