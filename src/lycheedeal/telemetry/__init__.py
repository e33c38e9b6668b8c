"""Plug-in ``telemetry``: metrics and service-level windows."""

from lycheedeal import kernel
from lycheedeal.telemetry._plugin import TelemetryPlugin
from lycheedeal.telemetry._windows import WINDOWS, LevelWindows, Outcome, burn_rate

__all__ = ('WINDOWS', 'LevelWindows', 'Outcome', 'TelemetryPlugin', 'burn_rate')

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
