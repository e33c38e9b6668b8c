"""Admission control: opening of flows and queueing for the slots of upstreams.

The plug-in ``admission`` decides whether a flow may be opened. A host that
owns requests shares the slots of a service among them by a ``ServiceQueue``.
"""

from lycheedeal.admission._kind_queue import QueuedRequest, RequestKey
from lycheedeal.admission._plugin import AdmissionPlugin
from lycheedeal.admission._queue import (
    SEND_MARGIN_MS,
    Assignment,
    ServiceQueue,
    Shed,
)
from lycheedeal.admission._retries import (
    RetryBudget,
    backoff_ms,
    jittered_retry_after_ms,
    resend_delay_ms,
)
from lycheedeal.kernel import (
    CallerMessage,
    ConfigurationChanged,
    PeerMessage,
    PluginSpec,
    QueueMeasured,
    StopStarted,
    register,
)

__all__ = (
    'SEND_MARGIN_MS',
    'AdmissionPlugin',
    'Assignment',
    'QueuedRequest',
    'RequestKey',
    'RetryBudget',
    'ServiceQueue',
    'Shed',
    'backoff_ms',
    'jittered_retry_after_ms',
    'resend_delay_ms',
)

register(
    PluginSpec(
        name='admission',
        factory=AdmissionPlugin,
        events=frozenset(
            (
                CallerMessage,
                PeerMessage,
                ConfigurationChanged,
                QueueMeasured,
                StopStarted,
            ),
        ),
    ),
)
