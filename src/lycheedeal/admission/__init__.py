"""Plug-in ``admission`` and the queue by which owners of requests share slots."""

from lycheedeal.admission._lines import QueuedRequest, RequestKey
from lycheedeal.admission._plugin import Admission
from lycheedeal.admission._queue import (
    SEND_MARGIN_MS,
    Assignment,
    ServiceQueue,
    Shed,
)
from lycheedeal.admission._retries import (
    RetryBudget,
    backoff_ms,
    resend_delay_ms,
    spread_retry_after,
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
    'Admission',
    'Assignment',
    'QueuedRequest',
    'RequestKey',
    'RetryBudget',
    'ServiceQueue',
    'Shed',
    'backoff_ms',
    'resend_delay_ms',
    'spread_retry_after',
)

register(
    PluginSpec(
        name='admission',
        factory=Admission,
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
