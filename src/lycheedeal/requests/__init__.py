"""Plug-in ``requests``: at-most-once ownership of requests."""

from lycheedeal.kernel import (
    CallerMessage,
    MembersChanged,
    OwnerReady,
    PeerMessage,
    PluginSpec,
    Resumed,
    StopStarted,
    Tick,
    UpstreamChanged,
    UpstreamMessage,
    ViewChanged,
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
                ViewChanged,
                MembersChanged,
                OwnerReady,
                StopStarted,
                Tick,
                Resumed,
            ),
        ),
    ),
)
