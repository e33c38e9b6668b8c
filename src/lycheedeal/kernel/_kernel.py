"""Dispatch of events to plug-ins."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Protocol, TypeVar

from lycheedeal.exceptions import PluginError
from lycheedeal.kernel import _inputs as inputs
from lycheedeal.kernel import _internal as internal
from lycheedeal.kernel._context import Context
from lycheedeal.kernel._effects import Effect, Publish
from lycheedeal.kernel._registry import PluginSpec

Event = (
    inputs.Started
    | inputs.Tick
    | inputs.Resumed
    | inputs.StopRequested
    | inputs.CallerMessage
    | inputs.CallerPacket
    | inputs.UpstreamPacket
    | inputs.PeerMessage
    | inputs.UpstreamMessage
    | inputs.GossipReceived
    | inputs.ApiReplied
    | inputs.ApiChanged
    | inputs.StatementReceived
    | internal.ViewChanged
    | internal.MembersChanged
    | internal.HostsListed
    | internal.UpstreamChanged
    | internal.OpenAdmitted
    | internal.OwnerReady
    | internal.UpstreamsInUse
    | internal.FlowOpened
    | internal.FlowClosed
    | internal.QueueMeasured
    | internal.RequestFinished
    | internal.Refused
    | internal.StopStarted
    | internal.WorkRemaining
    | internal.ChangeRequested
    | internal.ChangeDecided
    | internal.ShardRejected
    | internal.StatusRequested
    | internal.StatusKnown
)


class Plugin(Protocol):
    """A part of the core with its own state."""

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""


_PluginT = TypeVar('_PluginT', bound=Plugin)


class Kernel:
    """Holds the plug-ins of one process incarnation.

    Everything runs in the calling thread; nothing waits. Events published
    by plug-ins are handled in order before ``dispatch`` returns.
    """

    def __init__(self, context: Context, specs: Iterable[PluginSpec]) -> None:
        """Build the plug-ins from their specs."""
        self.context = context
        self.plugins_by_name: dict[str, Plugin] = {}
        self._plugins_by_event: dict[type, list[Plugin]] = {}
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

    def dispatch(self, event: Event) -> list[Effect]:
        """Return the effects of an event and of all events it published."""
        pending = deque((event,))
        effects: list[Effect] = []
        while pending:
            for effect in self._handle(pending.popleft()):
                if isinstance(effect, Publish):
                    pending.append(effect.event)
                else:
                    effects.append(effect)
        return effects

    def _handle(self, event: Event) -> Iterator[Effect]:
        for plugin in self._plugins_by_event.get(type(event), ()):
            yield from plugin.handle(event)
