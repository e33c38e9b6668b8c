"""Retry budget, and retry delays with jitter."""

import random
from typing import Final

from lycheedeal.errors import ErrorKind, answer_for

# Retries earned by a first attempt.
_RETRY_RATIO: Final = 0.1
# Retries that a host may make before its first attempts have earned any.
_INITIAL_BALANCE: Final = 3
# Retries that can be saved up.
_MAX_BALANCE: Final = 50
_BASE_DELAY_MS: Final = 25
_MAX_DELAY_MS: Final = 2000
# After this many mean service times an answer was probably lost.
_RESEND_FACTOR: Final = 3
# Timers are checked every 100 ms, so a shorter delay would have no effect.
_MIN_RESEND_MS: Final = 100


class RetryBudget:
    """Token bucket that limits retries to a tenth of the first attempts."""

    def __init__(self) -> None:
        """Start with a few retries."""
        self._balance: float = _INITIAL_BALANCE

    def record_first_attempt(self) -> None:
        """Add a tenth of a retry to the budget."""
        self._balance = min(self._balance + _RETRY_RATIO, _MAX_BALANCE)

    def spend(self) -> bool:
        """Take a retry from the budget; return False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def backoff_ms(rng: random.Random, retry: int) -> int:
    """Return the delay before a retry, with jitter of 50% either way.

    ``retry`` is the number of earlier retries; each one doubles the delay, up to
    a limit.
    """
    mean_ms = min(_BASE_DELAY_MS << min(retry, 8), _MAX_DELAY_MS)
    return round(mean_ms * rng.uniform(0.5, 1.5))


def resend_delay_ms(rng: random.Random, service_ms: float, copies: int) -> int:
    """Return the delay before an unanswered attempt is sent again, with jitter.

    ``copies`` is the number of times that it was sent; each one after the first
    doubles the delay, up to a limit. The jitter only adds, so that no copy is
    sent too early.
    """
    first_ms = max(_RESEND_FACTOR * service_ms, _MIN_RESEND_MS)
    return round(first_ms * (1 << min(copies - 1, 8)) * rng.uniform(1, 1.25))


def jittered_retry_after_ms(rng: random.Random, error: ErrorKind) -> int:
    """Return the caller's retry delay for an error, with jitter of 50% either way.

    Callers that were refused at the same time must not retry at the same time.
    """
    return round(answer_for(error).retry_after_ms * rng.uniform(0.5, 1.5))
