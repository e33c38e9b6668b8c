"""Runs the core in a real process: sockets, platform, gossip, admin HTTP."""

from lycheedeal.runtime._clock import SystemClock
from lycheedeal.runtime._daemon import Daemon, run

__all__ = ('Daemon', 'SystemClock', 'run')
