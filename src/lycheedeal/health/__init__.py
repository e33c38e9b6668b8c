"""Health checks: state of upstreams and of the paths to them, as this host sees it."""

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
