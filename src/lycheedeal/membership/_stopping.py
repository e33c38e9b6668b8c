"""Sequence of a planned stop."""

from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from transitions import Machine

# Peers need this long to learn that the host leaves, even if it has no work.
_ANNOUNCE_SECONDS: Final = 1.0


@unique
class StopState(Enum):
    """Phase of a planned stop."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class StopSequence:
    """Decides when a planned stop is over; a second request changes nothing."""

    state: StopState
    trigger: Callable[[str], bool]

    def __init__(self, drain_seconds: float) -> None:
        """Take the longest time that work in hand may last."""
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
        """Tell whether no stop has been requested."""
        return self.state is StopState.SERVING

    def begin_stop(self, now: float) -> bool:
        """Start the stop; False if it has started before."""
        if not self.trigger('begin'):
            return False
        self._announced_at = now
        self.deadline = now + self._drain_seconds
        self._counts_by_plugin.clear()
        return True

    def report(self, plugin: str, count: int) -> None:
        """Take the last count of work of a plug-in."""
        self._counts_by_plugin[plugin] = count

    def is_finished(self, now: float) -> bool:
        """Tell, once, that the process has to exit now."""
        if self.state is not StopState.DRAINING:
            return False
        announced = now >= self._announced_at + _ANNOUNCE_SECONDS
        idle = announced and not any(self._counts_by_plugin.values())
        return (idle or now >= self.deadline) and self.trigger('finish')
