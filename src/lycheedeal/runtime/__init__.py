"""Runs the kernel in a process: UDP sockets, object API, gossip and admin HTTP."""

from lycheedeal.runtime._clock import SystemClock
from lycheedeal.runtime._daemon import Daemon, run

__all__ = ('Daemon', 'SystemClock', 'run')
