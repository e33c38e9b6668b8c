"""Plug-in ``membership``: failure detection, service ownership, planned stops.

The hosts of a zone find and probe each other with a SWIM protocol. Each service
is owned by the member with the highest rendezvous hash.
"""

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
