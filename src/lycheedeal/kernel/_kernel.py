"""Events, plug-ins and kernel of the daemon that speaks our own protocol."""

from collections.abc import Iterable
from typing import Final

from lycheedeal import dispatch
from lycheedeal.kernel import _external_events as external
from lycheedeal.kernel import _internal_events as internal
from lycheedeal.kernel._context import Context
from lycheedeal.kernel._effects import Effect

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
    """Kernel with the events and effects of this daemon."""


def load_plugins(
    names: Iterable[str] = DEFAULT_PLUGINS,
) -> tuple[dispatch.PluginSpec, ...]:
    """Import plug-ins by name and return their specs in the given order."""
    return dispatch.load_plugins(names)
