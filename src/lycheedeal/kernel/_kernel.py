"""Kernel of the daemon that speaks the protocol of ``lycheedeal.messages``."""

from collections.abc import Iterable
from typing import Final

from lycheedeal import dispatch
from lycheedeal.kernel import _external_events as external
from lycheedeal.kernel import _internal_events as internal
from lycheedeal.kernel._context import Context
from lycheedeal.kernel._effects import Effect

# Names of subpackages of lycheedeal. An event is handed to the plug-ins that
# subscribe to it in this order.
DEFAULT_PLUGINS: Final = (
    'configuration',
    'membership',
    'health',
    'admission',
    'steering',
    'requests',
    'status',
    'operators',
    'telemetry',
)

Event = (
    external.Started
    | external.Tick
    | external.Resumed
    | external.StopRequested
    | external.CallerMessage
    | external.CallerPacket
    | external.UpstreamPacket
    | external.PeerMessage
    | external.UpstreamMessage
    | external.GossipReceived
    | external.ApiReplied
    | external.ObjectChanged
    | external.StatementReceived
    | internal.ConfigurationChanged
    | internal.MembersChanged
    | internal.HostsListed
    | internal.UpstreamChanged
    | internal.OpenAdmitted
    | internal.OwnedServicesChanged
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

Plugin = dispatch.Plugin[Event, Effect]


class Kernel(dispatch.Kernel[Context, Event, Effect]):
    """Dispatches the daemon's events to its plug-ins and collects the effects."""


def load_plugins(
    names: Iterable[str] = DEFAULT_PLUGINS,
) -> tuple[dispatch.PluginSpec, ...]:
    """Import plug-ins by name and return their specs in the given order.

    Raises PluginError if a plug-in cannot be imported or does not register.
    """
    return dispatch.load_plugins(names)
