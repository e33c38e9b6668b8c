"""State machine of a planned stop."""

from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from transitions import Machine

# Peers need this time to learn that the host is leaving, so that a host without
# work waits too.
_ANNOUNCE_SECONDS: Final = 1.0


@unique
class StopState(Enum):
    """Phase of a planned stop of this host."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class StopSequence:
    """Decides when a planned stop is over.

    ``deadline`` is the monotonic time in seconds at which the process exits
    even with work left. A second request to stop changes nothing.
    """

    state: StopState
    trigger: Callable[[str], bool]

    def __init__(self, drain_seconds: float) -> None:
        """Start serving; a stop lasts at most ``drain_seconds``."""
        self.deadline = 0.0
        self._drain_seconds = drain_seconds
        self._announced_at = 0.0
        self._counts_by_plugin: dict[str, int] = {}
        machine = Machine(
            self,
            states=StopState,
            initial=StopState.SERVING,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )
        machine.add_transition('begin', StopState.SERVING, StopState.DRAINING)
        machine.add_transition('finish', StopState.DRAINING, StopState.STOPPED)

    @property
    def is_serving(self) -> bool:
        """Return whether no stop has been requested."""
        return self.state is StopState.SERVING

    def begin_stop(self, now: float) -> bool:
        """Start draining; return False if a stop has been requested before."""
        if not self.trigger('begin'):
            return False
        self._announced_at = now
        self.deadline = now + self._drain_seconds
        self._counts_by_plugin.clear()
        return True

    def report(self, plugin: str, count: int) -> None:
        """Record how many items of work a plug-in still has."""
        self._counts_by_plugin[plugin] = count

    def is_finished(self, now: float) -> bool:
        """Return true once, when the process has to exit."""
        if self.state is not StopState.DRAINING:
            return False
        announced = now >= self._announced_at + _ANNOUNCE_SECONDS
        idle = announced and not any(self._counts_by_plugin.values())
        return (idle or now >= self.deadline) and self.trigger('finish')
