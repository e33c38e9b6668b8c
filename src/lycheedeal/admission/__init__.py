"""Plug-in ``admission``: decides whether a flow may be opened.

The package also has the ``ServiceQueue``, by which the plug-in ``requests`` shares
the slots of a service among the requests that this host owns.
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
