"""Suspicions, the local health multiplier and the sign of being cut off."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lycheedeal.membership._probing import PROBE_PERIOD_SECONDS
from lycheedeal.model import HostId

_MIN_SUSPICION_SECONDS: Final = 2.0
_MAX_MULTIPLIER: Final = 8
_ISOLATION_WINDOW_SECONDS: Final = 10.0
_ISOLATED_CONFIRM_SECONDS: Final = 30.0
# A host that only sends or only receives gets no acks. This is less than the time
# from the first failed probe to the first death.
_NO_ACK_SECONDS: Final = 2.5
_MAX_EXTENSION_SECONDS: Final = 10.0
_PROBE_SAMPLES: Final = 8
_MIN_FAILED_PROBES: Final = 3
# Two hosts cannot tell which of them is cut off.
_MIN_ZONE_HOSTS: Final = 3


@dataclass(slots=True)
class Suspicion:
    """A host that did not answer, until it answers or is declared dead.

    The host is probed from ``check_from`` on; only a host that leaves this
    probe unanswered too is declared dead, so no single accuser can do it.
    """

    host_id: HostId
    began_at: float
    timer_started_at: float
    deadline: float
    check_at: float


class HealthMultiplier:
    """Estimate of how far this host itself is at fault; 0 is healthy."""

    def __init__(self) -> None:
        """Start healthy."""
        self.level = 0

    def worsen(self) -> None:
        """Count a missed ack, a late tick or a refuted suspicion."""
        self.level = min(self.level + 1, _MAX_MULTIPLIER)

    def improve(self) -> None:
        """Count an ack in time."""
        self.level = max(self.level - 1, 0)

    def suspicion_seconds(self) -> float:
        """Return the suspicion timeout, from 2 to 4 s."""
        return _MIN_SUSPICION_SECONDS * (1 + self.level / _MAX_MULTIPLIER)


class Suspicions:
    """Hosts under suspicion, and whether the fault is more likely here."""

    def __init__(self, health: HealthMultiplier, now: float) -> None:
        """Take the multiplier that scales the timeout."""
        self.last_ack_at = now
        self._health = health
        self._suspicions_by_id: dict[HostId, Suspicion] = {}
        self._probe_results: deque[bool] = deque(maxlen=_PROBE_SAMPLES)
        self._suspected_at_by_id: dict[HostId, float] = {}
        self._isolated_until = 0.0

    def begin(self, host_id: HostId, now: float, *, check_now: bool) -> None:
        """Suspect a host; an own accusation is checked again at once."""
        if host_id in self._suspicions_by_id:
            return
        deadline = now + self._health.suspicion_seconds()
        check_at = now if check_now else deadline - PROBE_PERIOD_SECONDS
        suspicion = Suspicion(host_id, now, now, deadline, check_at)
        self._suspicions_by_id[host_id] = suspicion
        self._suspected_at_by_id[host_id] = now

    def expedite(self, host_id: HostId, now: float) -> None:
        """Check a host at once that another host declared dead."""
        self.begin(host_id, now, check_now=True)
        suspicion = self._suspicions_by_id[host_id]
        suspicion.check_at = min(suspicion.check_at, now)
        suspicion.deadline = min(suspicion.deadline, now + PROBE_PERIOD_SECONDS)

    def extend(self, host_id: HostId, now: float, *, answered: bool) -> None:
        """Start the timeout anew for a host that was heard from.

        A host that sends but never answers may be unable to receive; it is
        given a limited time.
        """
        suspicion = self._suspicions_by_id.get(host_id)
        if suspicion is None:
            return
        if answered or now - suspicion.began_at < _MAX_EXTENSION_SECONDS:
            suspicion.timer_started_at = now
            suspicion.deadline = now + self._health.suspicion_seconds()
            suspicion.check_at = suspicion.deadline - PROBE_PERIOD_SECONDS

    def refute(self, host_id: HostId) -> None:
        """Drop the suspicion of a host that is alive or left."""
        self._suspicions_by_id.pop(host_id, None)
        self._suspected_at_by_id.pop(host_id, None)

    def confirm(self, host_id: HostId) -> None:
        """Drop the suspicion of a host that is dead."""
        self._suspicions_by_id.pop(host_id, None)

    def restart(self, now: float) -> None:
        """Start all timeouts anew after a pause of this process."""
        self.last_ack_at = now
        self._suspected_at_by_id.clear()
        self._probe_results.clear()
        for host_id in self._suspicions_by_id:
            self.extend(host_id, now, answered=True)

    def due(self, now: float) -> list[HostId]:
        """Return the hosts that have to be probed."""
        return [
            suspicion.host_id
            for suspicion in self._suspicions_by_id.values()
            if now >= suspicion.check_at
        ]

    def has_expired(self, host_id: HostId, now: float, members: int) -> bool:
        """Tell whether an unanswered check makes the host dead."""
        suspicion = self._suspicions_by_id.get(host_id)
        if suspicion is None or now < suspicion.deadline:
            return False
        confirm_until = suspicion.timer_started_at + _ISOLATED_CONFIRM_SECONDS
        if now < confirm_until and self.is_isolated(now, members):
            suspicion.deadline = confirm_until
            suspicion.check_at = confirm_until - PROBE_PERIOD_SECONDS
            return False
        return True

    def record_probe(self, *, answered: bool) -> None:
        """Take the result of an own probe of a host that was taken for alive."""
        self._probe_results.append(answered)

    def is_isolated(self, now: float, members: int) -> bool:
        """Tell whether this host rather than the others seems cut off."""
        has_no_acks = now - self.last_ack_at > _NO_ACK_SECONDS
        return now < self._isolated_until or (
            has_no_acks and members >= _MIN_ZONE_HOSTS
        )

    def detect_isolation(self, now: float, members: int) -> list[HostId]:
        """Return the hosts that turned when this host finds itself cut off.

        ``members`` counts the hosts that are alive or suspect now; hosts that
        died within the window are added to it.
        """
        self._suspected_at_by_id = {
            host_id: suspected_at
            for host_id, suspected_at in self._suspected_at_by_id.items()
            if now - suspected_at <= _ISOLATION_WINDOW_SECONDS
        }
        if now < self._isolated_until or not self._has_lost_majority(members):
            return []
        self._isolated_until = now + _ISOLATED_CONFIRM_SECONDS
        return sorted(self._suspected_at_by_id)

    def _has_lost_majority(self, members: int) -> bool:
        dead = self._suspected_at_by_id.keys() - self._suspicions_by_id.keys()
        if 2 * len(self._suspected_at_by_id) > members + len(dead):
            return True
        # In a large zone half of the members cannot turn within the window;
        # the recent own probes are a sample of them.
        failed_count = self._probe_results.count(False)
        return failed_count >= _MIN_FAILED_PROBES and 2 * failed_count > len(
            self._probe_results
        )
