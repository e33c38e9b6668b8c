"""Messages exchanged between processes; ``lycheedeal.wire`` encodes them.

The names of classes and fields are part of the protocol.
"""

from lycheedeal.messages._caller import (
    Answer,
    CancelRequest,
    CloseFlow,
    FlowBroken,
    Open,
    Opened,
    OpenRefused,
    Outcome,
    Request,
)
from lycheedeal.messages._gossip import Digest, ShardCopy
from lycheedeal.messages._peer import (
    ConfigurationReport,
    FlowCount,
    FlowCounts,
    IndirectProbe,
    Probe,
    ProbeAck,
    Pushback,
    RelayedCancel,
    RelayedClose,
    RelayedOpen,
    RelayedRequest,
)
from lycheedeal.messages._upstream import (
    CancelRun,
    FlowAccepted,
    FlowOpen,
    FlowRejected,
    Hello,
    Run,
    RunAnswer,
    RunCancelled,
    RunRefused,
    UpstreamClose,
    Welcome,
)

__all__ = (
    'Answer',
    'CancelRequest',
    'CancelRun',
    'CloseFlow',
    'ConfigurationReport',
    'Digest',
    'FlowAccepted',
    'FlowBroken',
    'FlowCount',
    'FlowCounts',
    'FlowOpen',
    'FlowRejected',
    'Hello',
    'IndirectProbe',
    'Open',
    'OpenRefused',
    'Opened',
    'Outcome',
    'Probe',
    'ProbeAck',
    'Pushback',
    'RelayedCancel',
    'RelayedClose',
    'RelayedOpen',
    'RelayedRequest',
    'Request',
    'Run',
    'RunAnswer',
    'RunCancelled',
    'RunRefused',
    'ShardCopy',
    'UpstreamClose',
    'Welcome',
)
