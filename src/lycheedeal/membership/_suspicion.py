"""Suspicions, the local health multiplier and the sign of being cut off."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lycheedeal.membership._probing import PERIOD
from lycheedeal.model import HostId

_SUSPICION_SECONDS: Final = 2.0
_MAX_MULTIPLIER: Final = 8
_CUT_OFF_WINDOW: Final = 10.0
_CONFIRM_SECONDS: Final = 30.0
# A host that only sends or only receives gets no acks. This is less than the time
# from the first failed probe to the first death.
_SILENCE_SECONDS: Final = 2.5
_UNANSWERED_SECONDS: Final = 10.0
_PROBED: Final = 8
_MIN_FAILED: Final = 3
# Two hosts cannot tell which of them is cut off.
_MIN_ZONE: Final = 3


@dataclass(slots=True)
class Suspicion:
    """A host that did not answer, until it answers or is declared dead.

    The host is probed from ``check_from`` on; only a host that leaves this
    probe unanswered too is declared dead, so no single accuser can do it.
    """

    host_id: HostId
    began: float
    since: float
    deadline: float
    check_from: float


class HealthMultiplier:
    """Estimate of how far this host itself is at fault; 0 is healthy."""

    def __init__(self) -> None:
        """Start healthy."""
        self.level = 0

    def worse(self) -> None:
        """Count a missed ack, a late tick or a refuted suspicion."""
        self.level = min(self.level + 1, _MAX_MULTIPLIER)

    def better(self) -> None:
        """Count an ack in time."""
        self.level = max(self.level - 1, 0)

    def suspicion_seconds(self) -> float:
        """Return the suspicion timeout, from 2 to 4 s."""
        return _SUSPICION_SECONDS * (1 + self.level / _MAX_MULTIPLIER)


class Suspicions:
    """Hosts under suspicion, and whether the fault is more likely here."""

    def __init__(self, health: HealthMultiplier, now: float) -> None:
        """Take the multiplier that scales the timeout."""
        self.last_ack = now
        self._health = health
        self._suspicions_by_id: dict[HostId, Suspicion] = {}
        self._probed: deque[bool] = deque(maxlen=_PROBED)
        self._turned_by_id: dict[HostId, float] = {}
        self._cut_off_until = 0.0

    def begin(self, host_id: HostId, now: float, *, own: bool) -> None:
        """Suspect a host; an own accusation is checked again at once."""
        if host_id in self._suspicions_by_id:
            return
        deadline = now + self._health.suspicion_seconds()
        check_from = now if own else deadline - PERIOD
        suspicion = Suspicion(host_id, now, now, deadline, check_from)
        self._suspicions_by_id[host_id] = suspicion
        self._turned_by_id[host_id] = now

    def hurry(self, host_id: HostId, now: float) -> None:
        """Check a host at once that another host declared dead."""
        self.begin(host_id, now, own=True)
        suspicion = self._suspicions_by_id[host_id]
        suspicion.check_from = min(suspicion.check_from, now)
        suspicion.deadline = min(suspicion.deadline, now + PERIOD)

    def postpone(self, host_id: HostId, now: float, *, answered: bool) -> None:
        """Start the timeout anew for a host that was heard from.

        A host that sends but never answers may be unable to receive; it is
        given a limited time.
        """
        suspicion = self._suspicions_by_id.get(host_id)
        if suspicion is None:
            return
        if answered or now - suspicion.began < _UNANSWERED_SECONDS:
            suspicion.since = now
            suspicion.deadline = now + self._health.suspicion_seconds()
            suspicion.check_from = suspicion.deadline - PERIOD

    def refuted(self, host_id: HostId) -> None:
        """Drop the suspicion of a host that is alive or left."""
        self._suspicions_by_id.pop(host_id, None)
        self._turned_by_id.pop(host_id, None)

    def confirmed(self, host_id: HostId) -> None:
        """Drop the suspicion of a host that is dead."""
        self._suspicions_by_id.pop(host_id, None)

    def restart(self, now: float) -> None:
        """Start all timeouts anew after a pause of this process."""
        self.last_ack = now
        self._turned_by_id.clear()
        self._probed.clear()
        for host_id in self._suspicions_by_id:
            self.postpone(host_id, now, answered=True)

    def due(self, now: float) -> list[HostId]:
        """Return the hosts that have to be probed."""
        return [
            suspicion.host_id
            for suspicion in self._suspicions_by_id.values()
            if now >= suspicion.check_from
        ]

    def is_over(self, host_id: HostId, now: float, members: int) -> bool:
        """Tell whether an unanswered check makes the host dead."""
        suspicion = self._suspicions_by_id.get(host_id)
        if suspicion is None or now < suspicion.deadline:
            return False
        patient_until = suspicion.since + _CONFIRM_SECONDS
        if now < patient_until and self.is_cut_off(now, members):
            suspicion.deadline = patient_until
            suspicion.check_from = patient_until - PERIOD
            return False
        return True

    def note_probe(self, *, answered: bool) -> None:
        """Take the result of an own probe of a host that was taken for alive."""
        self._probed.append(answered)

    def is_cut_off(self, now: float, members: int) -> bool:
        """Tell whether this host rather than the others seems cut off."""
        silent = now - self.last_ack > _SILENCE_SECONDS
        return now < self._cut_off_until or (silent and members >= _MIN_ZONE)

    def notice_cut_off(self, now: float, members: int) -> list[HostId]:
        """Return the hosts that turned when this host finds itself cut off.

        ``members`` counts the hosts that are alive or suspect now; hosts that
        died within the window are added to it.
        """
        self._turned_by_id = {
            host_id: turned
            for host_id, turned in self._turned_by_id.items()
            if now - turned <= _CUT_OFF_WINDOW
        }
        if now < self._cut_off_until or not self._has_lost_most(members):
            return []
        self._cut_off_until = now + _CONFIRM_SECONDS
        return sorted(self._turned_by_id)

    def _has_lost_most(self, members: int) -> bool:
        dead = self._turned_by_id.keys() - self._suspicions_by_id.keys()
        if 2 * len(self._turned_by_id) > members + len(dead):
            return True
        # In a large zone half of the members cannot turn within the window;
        # the recent own probes are a sample of them.
        failed = self._probed.count(False)
        return failed >= _MIN_FAILED and 2 * failed > len(self._probed)
