"""Plug-in ``telemetry``: metrics and burn rates of the service-level objective."""

from lycheedeal import kernel
from lycheedeal.telemetry._plugin import TelemetryPlugin
from lycheedeal.telemetry._windows import (
    WINDOW_MINUTES,
    Outcome,
    ServiceLevelWindows,
    burn_rate,
)

__all__ = (
    'WINDOW_MINUTES',
    'Outcome',
    'ServiceLevelWindows',
    'TelemetryPlugin',
    'burn_rate',
)

kernel.register(
    kernel.PluginSpec(
        name='telemetry',
        factory=TelemetryPlugin,
        events=frozenset(
            (
                kernel.ConfigurationChanged,
                kernel.RequestFinished,
                kernel.Refused,
                kernel.FlowOpened,
                kernel.FlowClosed,
            ),
        ),
    ),
)
