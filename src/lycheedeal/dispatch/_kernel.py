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
    """Effect that dispatches another event within the same call of the kernel."""

    event: Any


class Plugin(Protocol[_EventT_contra, _EffectT_co]):
    """A part of the decision core with state of its own."""

    def handle(self, event: _EventT_contra) -> Iterator[_EffectT_co]:
        """Yield the effects of one event."""


_PluginT = TypeVar('_PluginT')


class Kernel(Generic[_ContextT, _EventT, _EffectT]):
    """Plug-ins of one process, and the events that each of them handles.

    Plug-ins run in the calling thread and never wait. Events that they publish are
    handled in order before ``dispatch`` returns. An exception in a plug-in ends
    ``dispatch``, unless a subclass handles it in ``plugin_failed``.
    """

    def __init__(self, context: _ContextT, specs: Iterable[PluginSpec]) -> None:
        """Create the plug-ins from their specs."""
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
        raise PluginError(
            f'expected a loaded plug-in of type {plugin_type.__name__}, found none'
        )

    def dispatch(self, event: _EventT) -> list[_EffectT]:
        """Return the effects of an event.

        These include the effects of all events that plug-ins publish meanwhile.
        """
        pending = deque((event,))
        effects: list[_EffectT] = []
        while pending:
            for effect in self._handle(pending.popleft()):
                if isinstance(effect, Publish):
                    pending.append(effect.event)
                else:
                    effects.append(effect)
        return effects

    def plugin_failed(
        self, plugin: Plugin[_EventT, _EffectT], event: _EventT, error: Exception
    ) -> Iterable[_EffectT]:
        """Return the effects of an exception that a plug-in raised at an event.

        The effects that it had before, and those of other plug-ins, are kept.
        """
        raise error

    def _handle(self, event: _EventT) -> Iterator[_EffectT]:
        for plugin in self._plugins_by_event.get(type(event), ()):
            try:
                yield from plugin.handle(event)
            except Exception as error:
                yield from self.plugin_failed(plugin, event, error)
