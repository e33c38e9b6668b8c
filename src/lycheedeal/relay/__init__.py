"""Packet relay: decision core of the program ``lychee-relay``.

The program forwards the packets of callers to upstreams. A token in each packet
identifies the upstream, so any host can forward the packets of an established
flow without state. The core takes events and returns effects; a front end decodes
packets and store objects, and carries the effects out.
"""

from typing import Final

from lycheedeal import dispatch
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
from lycheedeal.relay._events import (
    Beacon,
    BeaconRequest,
    CallFailed,
    ContentChanged,
    ContentConfirmed,
    ContentPart,
    Event,
    Greeting,
    LeadershipChanged,
    ListAnswered,
    LoadReport,
    PacketArrived,
    PeerMessage,
    PeerMessageReceived,
    PeerTableReady,
    RefreshRequested,
    RegionBeacon,
    Roster,
    RoutesChanged,
    SettingsRead,
    SnapshotRequest,
    Spread,
    SpreadRequested,
    Started,
    StopRequested,
    Tick,
    UpstreamsChanged,
    WatchAnswered,
    WatchingChanged,
)
from lycheedeal.relay._records import (
    ConfigurationVersion,
    Entry,
    Era,
    FlowKey,
    Listing,
    Load,
    Loads,
    LoadScope,
    Packet,
    PacketKind,
    Peer,
    Revision,
    Route,
    RouteKey,
    RouteName,
    Source,
    StoreFault,
    StoreKind,
    Token,
    Upstream,
    UpstreamState,
    flow_text,
    route_key,
)
from lycheedeal.relay._tokens import token_of
from lycheedeal.relay._upstream_table import UpstreamTable

RELAY_PLUGINS: Final = (
    'lycheedeal.relay.reading',
    'lycheedeal.relay.zone',
    'lycheedeal.relay.region',
    'lycheedeal.relay.spreading',
    'lycheedeal.relay.routes',
    'lycheedeal.relay.upstreams',
    'lycheedeal.relay.loads',
    'lycheedeal.relay.forwarding',
    'lycheedeal.relay.lifecycle',
)


class RelayKernel(dispatch.Kernel[RelayContext, Event, Effect]):
    """Kernel for the events and effects of the packet relay."""


def build_kernel(context: RelayContext) -> RelayKernel:
    """Return a kernel with all plug-ins of the packet relay; raises PluginError."""
    return RelayKernel(context, dispatch.load_plugins(RELAY_PLUGINS))


__all__ = (
    'BUCKET_SECONDS',
    'RELAY_PLUGINS',
    'Histogram',
    'Beacon',
    'BeaconRequest',
    'CallFailed',
    'WatchAnswered',
    'ConfigurationVersion',
    'ContentChanged',
    'ContentConfirmed',
    'ContentPart',
    'Metrics',
    'Detail',
    'LeadershipChanged',
    'Effect',
    'Entry',
    'Era',
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
    'flow_text',
    'route_key',
    'token_of',
)
