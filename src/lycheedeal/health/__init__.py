"""State of upstreams and paths from the observations of this host."""

from lycheedeal.health._plugin import HealthPlugin
from lycheedeal.kernel import (
    OwnerReady,
    PluginSpec,
    RequestFinished,
    Resumed,
    Tick,
    UpstreamMessage,
    UpstreamsInUse,
    ViewChanged,
    register,
)

__all__ = ('HealthPlugin',)

register(
    PluginSpec(
        name='health',
        factory=HealthPlugin,
        events=frozenset(
            (
                Tick,
                Resumed,
                UpstreamMessage,
                RequestFinished,
                ViewChanged,
                OwnerReady,
                UpstreamsInUse,
            ),
        ),
    ),
)
