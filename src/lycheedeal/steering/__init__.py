"""Plug-in ``steering``: selects upstreams for new flows and forwards open ones."""

from typing import Final

from lycheedeal.kernel import (
    CallerMessage,
    CallerPacket,
    ConfigurationChanged,
    HostsListed,
    MembersChanged,
    OpenAdmitted,
    PeerMessage,
    PluginSpec,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    UpstreamPacket,
    register,
)
from lycheedeal.steering._plugin import SteeringPlugin
from lycheedeal.steering._routes import RouteTable

__all__ = ('RouteTable', 'SteeringPlugin')

_EVENTS: Final = frozenset(
    (
        CallerMessage,
        CallerPacket,
        HostsListed,
        MembersChanged,
        OpenAdmitted,
        PeerMessage,
        StopStarted,
        Tick,
        UpstreamChanged,
        UpstreamMessage,
        UpstreamPacket,
        ConfigurationChanged,
    ),
)

register(PluginSpec('steering', SteeringPlugin, _EVENTS))
