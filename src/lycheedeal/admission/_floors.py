"""Accounting of floors: the share of slot time guaranteed to a kind of work."""

from typing import Final

# Unused guaranteed time is kept for one second, so that a kind whose work was
# held up catches up without a burst that starves more urgent work.
_MAX_CREDIT_MS: Final = 1000
# Use of spare capacity counts against the floor for a quarter of a second.
_MAX_DEBT_MS: Final = 250


class FloorAccount:
    """Balance of the slot time of a kind of work, in slot-milliseconds.

    The balance rises with the floor's share of all slots and falls by the
    expected service time at each dispatch, so that several dispatches in the
    same instant do not exceed the floor; ``settle`` corrects the estimate.
    A positive balance is owed to the kind.
    """

    __slots__ = ('_guaranteed_slots', '_balance', 'floor')

    def __init__(self, floor: float) -> None:
        """Start with a balance of 0; ``floor`` is a share from 0 to 1."""
        self.floor = floor
        self._balance: float = 0
        self._guaranteed_slots: float = 0

    @property
    def owed_ms(self) -> float:
        """Time for which the guaranteed slots are owed; 0 without a floor."""
        return self._balance / self._guaranteed_slots if self._guaranteed_slots else 0

    def accrue(self, elapsed_ms: float, slots: int, backlogged: bool) -> None:
        """Credit the floor's share of the elapsed time of all slots.

        Without a backlog the balance does not rise above 0.
        """
        self._guaranteed_slots = self.floor * slots
        max_credit = self._guaranteed_slots * _MAX_CREDIT_MS if backlogged else 0
        self._balance = min(
            self._balance + self._guaranteed_slots * elapsed_ms, max_credit
        )

    def charge(self, service_ms: float) -> None:
        """Charge the expected service time of a dispatched request."""
        max_debt = max(service_ms, self._guaranteed_slots * _MAX_DEBT_MS)
        self._balance = max(self._balance - service_ms, -max_debt)

    def settle(self, expected_ms: float, elapsed_ms: float) -> None:
        """Replace the charged service time by the actual one."""
        if self.floor:
            self._balance += expected_ms - elapsed_ms
