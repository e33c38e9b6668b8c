"""Plug-in ``requests``: runs each request at most once on behalf of its caller."""

from lycheedeal.kernel import (
    CallerMessage,
    ConfigurationChanged,
    MembersChanged,
    OwnedServicesChanged,
    PeerMessage,
    PluginSpec,
    Resumed,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    register,
)
from lycheedeal.requests._plugin import RequestsPlugin

__all__ = ('RequestsPlugin',)

register(
    PluginSpec(
        name='requests',
        factory=RequestsPlugin,
        events=frozenset(
            (
                CallerMessage,
                PeerMessage,
                UpstreamMessage,
                UpstreamChanged,
                ConfigurationChanged,
                MembersChanged,
                OwnedServicesChanged,
                StopStarted,
                Tick,
                Resumed,
            ),
        ),
    ),
)
