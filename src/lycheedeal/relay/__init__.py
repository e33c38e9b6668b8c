"""Packet relay: decision core of the program ``lychee-relay``.

The program forwards the packets of callers to upstreams. A token in each packet
identifies the upstream, so any host can forward the packets of an established
flow without state. The core takes events and returns effects; a front end decodes
packets and store objects, and carries the effects out.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal import dispatch
from lycheedeal.relay._call_times import (
    ANSWER_TIMEOUT_SECONDS,
    PAGE_TIMEOUT_SECONDS,
)
from lycheedeal.relay._context import (
    BUCKET_SECONDS,
    Histogram,
    Metrics,
    RelayContext,
    RelaySettings,
)
from lycheedeal.relay._effects import (
    CancelCall,
    Detail,
    Effect,
    Exit,
    Forward,
    ListObjects,
    LogRecord,
    Part,
    Reset,
    SendPeer,
    SetReady,
    WatchObjects,
)
from lycheedeal.relay._entry_checks import check_integer, check_listing, check_text
from lycheedeal.relay._events import (
    CallFailed,
    CallProgressed,
    ContentChanged,
    ContentConfirmed,
    CopiesReady,
    EditionConfirmed,
    EvacuationsChanged,
    Event,
    LeadershipChanged,
    ListAnswered,
    PacketArrived,
    PeerMessageReceived,
    PeerTableReady,
    RefreshRequested,
    RoutesChanged,
    SettingsRead,
    SpreadRequested,
    Started,
    StopRequested,
    Tick,
    UpstreamsChanged,
    WatchAnswered,
    WatchingChanged,
)
from lycheedeal.relay._failures import failed_effect_record, failure_effects
from lycheedeal.relay._messages import (
    Beacon,
    BeaconRequest,
    ContentPart,
    Greeting,
    LoadReport,
    PeerMessage,
    RegionBeacon,
    Roster,
    SnapshotRequest,
    Spread,
)
from lycheedeal.relay._records import (
    NO_EDITION,
    START_POSITION,
    ConfigurationVersion,
    Edition,
    Entry,
    Era,
    Evacuation,
    FlowKey,
    Listing,
    Load,
    Loads,
    LoadScope,
    Packet,
    PacketKind,
    Peer,
    Position,
    Revision,
    Route,
    RouteKey,
    RouteName,
    ServiceTerms,
    Source,
    StoreFault,
    StoreKind,
    Token,
    Upstream,
    UpstreamState,
    flow_text,
    route_key,
)
from lycheedeal.relay._receive_delay import TICK_SECONDS
from lycheedeal.relay._tokens import token_of
from lycheedeal.relay._upstream_table import UpstreamTable

RELAY_PLUGINS: Final = (
    'lycheedeal.relay.reading',
    'lycheedeal.relay.zone',
    'lycheedeal.relay.region',
    'lycheedeal.relay.spreading',
    'lycheedeal.relay.routes',
    'lycheedeal.relay.upstreams',
    'lycheedeal.relay.evacuations',
    'lycheedeal.relay.loads',
    'lycheedeal.relay.forwarding',
    'lycheedeal.relay.lifecycle',
    'lycheedeal.relay.lagging',
)


class RelayKernel(dispatch.Kernel[RelayContext, Event, Effect]):
    """Kernel for the events and effects of the packet relay.

    An exception in a plug-in is logged. If it may have kept content from being in
    force, all content is read again.
    """

    def plugin_failed(
        self,
        plugin: dispatch.Plugin[Event, Effect],
        event: Event,
        error: Exception,
    ) -> Iterator[Effect]:
        """Yield a log record, and request content again that was not applied."""
        yield from failure_effects(self.context, plugin, event, error)


def build_kernel(context: RelayContext) -> RelayKernel:
    """Return a kernel with all plug-ins of the packet relay; raises PluginError."""
    return RelayKernel(context, dispatch.load_plugins(RELAY_PLUGINS))


__all__ = (
    'ANSWER_TIMEOUT_SECONDS',
    'BUCKET_SECONDS',
    'PAGE_TIMEOUT_SECONDS',
    'RELAY_PLUGINS',
    'TICK_SECONDS',
    'NO_EDITION',
    'START_POSITION',
    'Histogram',
    'Beacon',
    'BeaconRequest',
    'CallFailed',
    'CallProgressed',
    'WatchAnswered',
    'ConfigurationVersion',
    'ContentChanged',
    'ContentConfirmed',
    'ContentPart',
    'CopiesReady',
    'EditionConfirmed',
    'Metrics',
    'Detail',
    'LeadershipChanged',
    'Effect',
    'Edition',
    'Entry',
    'Era',
    'Evacuation',
    'EvacuationsChanged',
    'Event',
    'Exit',
    'FlowKey',
    'Forward',
    'Greeting',
    'ListAnswered',
    'ListObjects',
    'Listing',
    'Load',
    'LoadReport',
    'LoadScope',
    'Loads',
    'PeerTableReady',
    'Packet',
    'PacketArrived',
    'PacketKind',
    'Part',
    'Peer',
    'Position',
    'PeerMessage',
    'PeerMessageReceived',
    'LogRecord',
    'RefreshRequested',
    'RegionBeacon',
    'RelayContext',
    'RelayKernel',
    'RelaySettings',
    'Reset',
    'Revision',
    'Roster',
    'Route',
    'RouteKey',
    'RouteName',
    'RoutesChanged',
    'SendPeer',
    'ServiceTerms',
    'SetReady',
    'SettingsRead',
    'SnapshotRequest',
    'Source',
    'Spread',
    'SpreadRequested',
    'Started',
    'CancelCall',
    'StopRequested',
    'StoreFault',
    'StoreKind',
    'Tick',
    'Token',
    'Upstream',
    'UpstreamState',
    'UpstreamTable',
    'UpstreamsChanged',
    'WatchObjects',
    'WatchingChanged',
    'build_kernel',
    'failed_effect_record',
    'flow_text',
    'check_integer',
    'check_listing',
    'check_text',
    'route_key',
    'token_of',
)
