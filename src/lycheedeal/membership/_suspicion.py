"""Suspicions, the local health multiplier and detection of isolation.

A host is isolated if it has lost contact with most of its zone, so that the
fault is more likely its own than that of the others.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lycheedeal.membership._probing import PROBE_PERIOD_SECONDS
from lycheedeal.model import HostId

# Suspicion timeout of a healthy host; the multiplier extends it up to twofold.
_MIN_SUSPICION_SECONDS: Final = 2.0
_MAX_MULTIPLIER: Final = 8
# Members that became suspect within this window count as lost together.
_ISOLATION_WINDOW_SECONDS: Final = 10.0
# An isolated host keeps a suspect for this time before it is declared dead.
_ISOLATED_CONFIRM_SECONDS: Final = 30.0
# A host that can only send or only receive gets no acks. This is shorter than the
# time from the first failed probe to the first death.
_NO_ACK_SECONDS: Final = 2.5
# A suspect that sends but does not answer postpones its timeout for this long.
_MAX_EXTENSION_SECONDS: Final = 10.0
# Results of recent probes that are kept to estimate the share that failed.
_PROBE_SAMPLES: Final = 8
_MIN_FAILED_PROBES: Final = 3
# Two hosts cannot tell which of them is isolated.
_MIN_ZONE_HOSTS: Final = 3


@dataclass(slots=True)
class Suspicion:
    """A host that did not answer, until it answers or is declared dead.

    The host is probed from ``check_at`` on. It is declared dead only if it
    leaves this probe unanswered too, so the report of a single host is not enough.
    Times are monotonic seconds; ``timer_started_at`` is when the timeout was last
    restarted.
    """

    host_id: HostId
    began_at: float
    timer_started_at: float
    deadline: float
    check_at: float


class HealthMultiplier:
    """Estimate of how likely this host itself is at fault, from 0 (healthy) to 8."""

    def __init__(self) -> None:
        """Start healthy."""
        self.level = 0

    def worsen(self) -> None:
        """Raise the level.

        Called after a missed ack, a late tick or a suspicion of this host.
        """
        self.level = min(self.level + 1, _MAX_MULTIPLIER)

    def improve(self) -> None:
        """Lower the level after an ack that came in time."""
        self.level = max(self.level - 1, 0)

    def suspicion_seconds(self) -> float:
        """Return the suspicion timeout, from 2 to 4 s depending on the level."""
        return _MIN_SUSPICION_SECONDS * (1 + self.level / _MAX_MULTIPLIER)


class Suspicions:
    """Suspected hosts, and whether this host is more likely the faulty one."""

    def __init__(self, health: HealthMultiplier, now: float) -> None:
        """Start without suspicions; ``health`` scales their timeout."""
        self.last_ack_at = now
        self._health = health
        self._suspicions_by_id: dict[HostId, Suspicion] = {}
        self._probe_results: deque[bool] = deque(maxlen=_PROBE_SAMPLES)
        self._suspected_at_by_id: dict[HostId, float] = {}
        self._isolated_until = 0.0

    def begin(self, host_id: HostId, now: float, *, check_now: bool) -> None:
        """Suspect a host, unless it is suspected already.

        ``check_now`` makes the confirming probe due at once instead of one
        period before the timeout.
        """
        if host_id in self._suspicions_by_id:
            return
        deadline = now + self._health.suspicion_seconds()
        check_at = now if check_now else deadline - PROBE_PERIOD_SECONDS
        suspicion = Suspicion(host_id, now, now, deadline, check_at)
        self._suspicions_by_id[host_id] = suspicion
        self._suspected_at_by_id[host_id] = now

    def expedite(self, host_id: HostId, now: float) -> None:
        """Probe a host at once because another host declared it dead."""
        self.begin(host_id, now, check_now=True)
        suspicion = self._suspicions_by_id[host_id]
        suspicion.check_at = min(suspicion.check_at, now)
        suspicion.deadline = min(suspicion.deadline, now + PROBE_PERIOD_SECONDS)

    def extend(self, host_id: HostId, now: float, *, answered: bool) -> None:
        """Restart the timeout of a suspect that sent a message.

        A suspect that sends but never answers may be unable to receive, so
        without ``answered`` this works only for a limited time.
        """
        suspicion = self._suspicions_by_id.get(host_id)
        if suspicion is None:
            return
        if answered or now - suspicion.began_at < _MAX_EXTENSION_SECONDS:
            suspicion.timer_started_at = now
            suspicion.deadline = now + self._health.suspicion_seconds()
            suspicion.check_at = suspicion.deadline - PROBE_PERIOD_SECONDS

    def refute(self, host_id: HostId) -> None:
        """Drop the suspicion of a host that is alive or leaving."""
        self._suspicions_by_id.pop(host_id, None)
        self._suspected_at_by_id.pop(host_id, None)

    def confirm(self, host_id: HostId) -> None:
        """Drop the suspicion of a dead host; it still counts as lost."""
        self._suspicions_by_id.pop(host_id, None)

    def restart(self, now: float) -> None:
        """Restart all timeouts after a pause of this process."""
        self.last_ack_at = now
        self._suspected_at_by_id.clear()
        self._probe_results.clear()
        for host_id in self._suspicions_by_id:
            self.extend(host_id, now, answered=True)

    def due(self, now: float) -> list[HostId]:
        """Return the suspects whose confirming probe is due."""
        return [
            suspicion.host_id
            for suspicion in self._suspicions_by_id.values()
            if now >= suspicion.check_at
        ]

    def has_expired(self, host_id: HostId, now: float, members: int) -> bool:
        """Return whether an unanswered confirming probe makes the host dead.

        ``members`` is the number of active hosts in the zone. On an isolated
        host the deadline moves to 30 s after the timeout was restarted.
        """
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
        """Record the result of a probe that this host sent to an alive member."""
        self._probe_results.append(answered)

    def is_isolated(self, now: float, members: int) -> bool:
        """Return whether this host, rather than the others, seems isolated."""
        has_no_acks = now - self.last_ack_at > _NO_ACK_SECONDS
        return now < self._isolated_until or (
            has_no_acks and members >= _MIN_ZONE_HOSTS
        )

    def detect_isolation(self, now: float, members: int) -> list[HostId]:
        """Return the hosts lost in the window when isolation is first detected.

        The list is empty otherwise. ``members`` counts the hosts that are alive
        or suspect now; hosts that died within the window are added to it.
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
        # In a large zone half of the members cannot become suspect within the
        # window, so the results of recent probes serve as a sample.
        failed_count = self._probe_results.count(False)
        return failed_count >= _MIN_FAILED_PROBES and 2 * failed_count > len(
            self._probe_results
        )
