"""Signals that are held back while no handler can take them.

Without a handler, SIGHUP ends a process. While it is held, it stays pending and
arrives once the handler stands. The module imports little, so a process can hold
signals early in its start.
"""

import signal
from typing import Final

# Signals that the programs handle; also held while a process ends, so that a
# repeated signal does not change its exit status.
_HANDLED: Final = frozenset((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def hold_hangup() -> None:
    """Hold SIGHUP until ``release_hangup`` is called."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def release_hangup() -> None:
    """Let SIGHUP arrive, also one that came while it was held."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))


def hold_all() -> None:
    """Hold all handled signals until the process has ended."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED)
