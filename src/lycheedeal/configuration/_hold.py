"""Changes that wait until a booting host has heard its neighbours.

A stored object that was made anew by hand may be older than what the
neighbours have in force. A change on top of it would be accepted with a
generation that they already exceed, and be lost.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.kernel import ChangeRequested

# The first list of members comes within 5 s of the start.
_MAX_HOLD_SECONDS: Final = 5.0
# A neighbour answers a digest, sent at once, within 0.7 s.
_AFTER_MEMBERS_SECONDS: Final = 1.5


class ChangeHold:
    """Keeps changes back for some time after the start or a pause.

    The operators plug-in bounds the number of statements that wait.
    """

    def __init__(self, now: float) -> None:
        """Start to hold."""
        self._held_until = now + _MAX_HOLD_SECONDS
        self._members_known = False
        self._deferred: list[ChangeRequested] = []

    def note_members(self, now: float) -> None:
        """Shorten the wait once neighbours can be heard."""
        if not self._members_known:
            self._members_known = True
            self._held_until = min(self._held_until, now + _AFTER_MEMBERS_SECONDS)

    def resume(self, now: float) -> None:
        """Hold again after a pause of the process."""
        self._held_until = max(self._held_until, now + _AFTER_MEMBERS_SECONDS)

    def defer(self, event: ChangeRequested, now: float) -> bool:
        """Take a change that must wait; False if it may go on at once."""
        if now >= self._held_until:
            return False
        self._deferred.append(event)
        return True

    def release(self, now: float) -> Iterator[ChangeRequested]:
        """Yield the changes whose wait is over."""
        if now < self._held_until:
            return
        while self._deferred:
            yield self._deferred.pop(0)
