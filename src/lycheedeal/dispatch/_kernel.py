"""Dispatch of events to plug-ins."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from lycheedeal.dispatch._registry import PluginSpec
from lycheedeal.exceptions import PluginError

_ContextT = TypeVar('_ContextT')
_EventT = TypeVar('_EventT')
_EventT_contra = TypeVar('_EventT_contra', contravariant=True)
_EffectT = TypeVar('_EffectT')
_EffectT_co = TypeVar('_EffectT_co', covariant=True)


@dataclass(frozen=True, slots=True)
class Publish:
    """Dispatches an event to the other plug-ins before anything else."""

    event: Any


class Plugin(Protocol[_EventT_contra, _EffectT_co]):
    """A part of the core with its own state."""

    def handle(self, event: _EventT_contra) -> Iterator[_EffectT_co]:
        """Take one event and yield the effects it calls for."""


_PluginT = TypeVar('_PluginT')


class Kernel(Generic[_ContextT, _EventT, _EffectT]):
    """Holds the plug-ins of one process incarnation.

    Everything runs in the calling thread; nothing waits. Events published
    by plug-ins are handled in order before ``dispatch`` returns.
    """

    def __init__(self, context: _ContextT, specs: Iterable[PluginSpec]) -> None:
        """Build the plug-ins from their specs."""
        self.context = context
        self.plugins_by_name: dict[str, Any] = {}
        self._plugins_by_event: dict[type, list[Any]] = {}
        for spec in specs:
            plugin = spec.factory(context)
            self.plugins_by_name[spec.name] = plugin
            for event_type in spec.events:
                self._plugins_by_event.setdefault(event_type, []).append(plugin)

    def find(self, plugin_type: type[_PluginT]) -> _PluginT:
        """Return the plug-in of a type; raises PluginError if none is loaded."""
        for plugin in self.plugins_by_name.values():
            if isinstance(plugin, plugin_type):
                return plugin
        raise PluginError(f'no plug-in of type {plugin_type.__name__} is loaded')

    def dispatch(self, event: _EventT) -> list[_EffectT]:
        """Return the effects of an event and of all events it published."""
        pending = deque((event,))
        effects: list[_EffectT] = []
        while pending:
            for effect in self._handle(pending.popleft()):
                if isinstance(effect, Publish):
                    pending.append(effect.event)
                else:
                    effects.append(effect)
        return effects

    def _handle(self, event: _EventT) -> Iterator[_EffectT]:
        for plugin in self._plugins_by_event.get(type(event), ()):
            yield from plugin.handle(event)
