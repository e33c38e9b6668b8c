"""State of upstreams and paths from the observations of this host."""

from lycheedeal.health._plugin import Health
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

__all__ = ('Health',)

register(
    PluginSpec(
        name='health',
        factory=Health,
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
