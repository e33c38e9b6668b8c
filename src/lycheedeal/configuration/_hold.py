"""Defers changes on a starting host until its neighbours have reported.

An object that was recreated by hand may be older than the shard that the
neighbours have in force. A change on top of it would be accepted with a
generation below theirs, and would be lost.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.kernel import ChangeRequested

# Limit if no member list arrives; the first one is published within 5 s of the
# start.
_MAX_HOLD_SECONDS: Final = 5.0
# The first digest is sent at once, and neighbours answer it within 0.7 s.
_AFTER_MEMBERS_SECONDS: Final = 1.5


class ChangeHold:
    """Defers changes for a limited time after the start or a pause.

    The queue has no bound of its own: the operators plug-in limits the number
    of statements in progress.
    """

    def __init__(self, now: float) -> None:
        """Hold changes from ``now`` on, for at most 5 s."""
        self._held_until = now + _MAX_HOLD_SECONDS
        self._members_known = False
        self._deferred: list[ChangeRequested] = []

    def note_members(self, now: float) -> None:
        """Shorten the hold, because neighbours can answer from now on."""
        if not self._members_known:
            self._members_known = True
            self._held_until = min(self._held_until, now + _AFTER_MEMBERS_SECONDS)

    def resume(self, now: float) -> None:
        """Hold changes again after a pause of the process."""
        self._held_until = max(self._held_until, now + _AFTER_MEMBERS_SECONDS)

    def defer(self, event: ChangeRequested, now: float) -> bool:
        """Queue a change while the hold lasts; return False if it may proceed."""
        if now >= self._held_until:
            return False
        self._deferred.append(event)
        return True

    def release(self, now: float) -> Iterator[ChangeRequested]:
        """Yield the deferred changes in order of arrival once the hold has ended."""
        if now < self._held_until:
            return
        while self._deferred:
            yield self._deferred.pop(0)
