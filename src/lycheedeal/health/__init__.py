"""Plug-in ``health``: observes upstreams and the paths to them from this host."""

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
