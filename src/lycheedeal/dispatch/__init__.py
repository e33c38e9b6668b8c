"""Kernel that dispatches events to plug-ins.

It is independent of the events, the effects and their encoding.
"""

from lycheedeal.dispatch._clock import Clock
from lycheedeal.dispatch._kernel import Kernel, Plugin, Publish
from lycheedeal.dispatch._registry import (
    PluginSpec,
    load_plugins,
    register,
    registered,
)

__all__ = (
    'Clock',
    'Kernel',
    'Plugin',
    'PluginSpec',
    'Publish',
    'load_plugins',
    'register',
    'registered',
)
