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
from lycheedeal.membership._plugin import MembershipPlugin
from lycheedeal.membership._ranking import HostRanking, rank_hosts

__all__ = ('HostRanking', 'MembershipPlugin', 'rank_hosts')

register(
    PluginSpec(
        name='membership',
        factory=MembershipPlugin,
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
