"""Limits on retries and spread of retry delays."""

import random
from typing import Final

from lycheedeal.errors import ErrorKind, answer_for

_RETRY_RATIO: Final = 0.1
# A quiet service may still retry a few times.
_INITIAL_BALANCE: Final = 3
_MAX_BALANCE: Final = 50
_BASE_DELAY_MS: Final = 25
_MAX_DELAY_MS: Final = 2000
# An answer that takes this many mean service times was probably lost.
_RESEND_FACTOR: Final = 3
# Timers run on ticks of 100 ms, so a shorter delay would have no effect.
_MIN_RESEND_MS: Final = 100


class RetryBudget:
    """Token bucket: retries are at most a tenth of first attempts."""

    def __init__(self) -> None:
        """Start with the reserve."""
        self._balance: float = _INITIAL_BALANCE

    def record_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self._balance = min(self._balance + _RETRY_RATIO, _MAX_BALANCE)

    def spend(self) -> bool:
        """Take a retry from the budget; False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def backoff_ms(rng: random.Random, retry: int) -> int:
    """Return the delay before a retry, counted from 0, with jitter."""
    mean_ms = min(_BASE_DELAY_MS << min(retry, 8), _MAX_DELAY_MS)
    return round(mean_ms * rng.uniform(0.5, 1.5))


def resend_delay_ms(rng: random.Random, service_ms: float, copies: int) -> int:
    """Return the delay before an attempt is sent again, with jitter.

    ``copies`` is the number of times that it was sent; each one doubles the
    delay. The jitter only adds, so that no copy is sent too early.
    """
    first_ms = max(_RESEND_FACTOR * service_ms, _MIN_RESEND_MS)
    return round(first_ms * (1 << min(copies - 1, 8)) * rng.uniform(1, 1.25))


def jittered_retry_after_ms(rng: random.Random, error: ErrorKind) -> int:
    """Return the caller's delay for an error, spread by 50% either way.

    Callers that were refused together must not return together.
    """
    return round(answer_for(error).retry_after_ms * rng.uniform(0.5, 1.5))
