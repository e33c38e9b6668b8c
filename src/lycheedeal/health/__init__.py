"""Health checks: state of upstreams and of the paths to them, as this host sees it."""

from lycheedeal.health._plugin import HealthPlugin
from lycheedeal.kernel import (
    ConfigurationChanged,
    OwnedServicesChanged,
    PluginSpec,
    RequestFinished,
    Resumed,
    Tick,
    UpstreamMessage,
    UpstreamsInUse,
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
                ConfigurationChanged,
                OwnedServicesChanged,
                UpstreamsInUse,
            ),
        ),
    ),
)
