"""Probes in progress, and answers that are passed on for other hosts."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.model import Endpoint, HostId

# A lost datagram is repeated before other hosts are asked to help.
_RESEND_INTERVAL_SECONDS: Final = 0.25
ACK_TIMEOUT_SECONDS: Final = 0.5
PROBE_PERIOD_SECONDS: Final = 1.0
_DELEGATED_TIMEOUT_SECONDS: Final = 2.0
_MAX_DELEGATED_PROBES: Final = 512
_SEQUENCE_MASK: Final = 0xFFFFFFFF


@dataclass(slots=True)
class ProbeRun:
    """One probe of one host with its repetitions."""

    host_id: HostId
    target: Endpoint
    sequence: int
    started_at: float
    next_send_at: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class DelegatedProbe:
    """A probe sent on behalf of another host."""

    origin: Endpoint
    sequence: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Resend:
    """The probe has to be sent again."""

    run: ProbeRun


@dataclass(frozen=True, slots=True)
class RequestIndirectProbes:
    """Other hosts have to probe the target."""

    run: ProbeRun


@dataclass(frozen=True, slots=True)
class Failed:
    """The target did not answer within the period."""

    run: ProbeRun


Step = Resend | RequestIndirectProbes | Failed


class Prober:
    """Schedules repetitions, helpers and the end of each probe."""

    def __init__(self, first_sequence: int) -> None:
        """Number probes from ``first_sequence`` on."""
        self._sequence = first_sequence
        self._runs_by_sequence: dict[int, ProbeRun] = {}
        self._sequences_by_id: dict[HostId, int] = {}
        self._delegated_by_sequence: dict[int, DelegatedProbe] = {}

    def next_sequence(self) -> int:
        """Return a new sequence number."""
        self._sequence = (self._sequence + 1) & _SEQUENCE_MASK
        return self._sequence

    def start(self, host_id: HostId, target: Endpoint, now: float) -> ProbeRun | None:
        """Begin a probe; None if one of this host is already in progress."""
        if host_id in self._sequences_by_id:
            return None
        run = ProbeRun(host_id, target, self.next_sequence(), now, now)
        run.next_send_at += _RESEND_INTERVAL_SECONDS
        self._runs_by_sequence[run.sequence] = run
        self._sequences_by_id[host_id] = run.sequence
        return run

    def finish(self, host_id: HostId) -> bool:
        """End the probe of a host; tell whether one was in progress."""
        sequence = self._sequences_by_id.pop(host_id, None)
        if sequence is None:
            return False
        self._runs_by_sequence.pop(sequence)
        return True

    def clear(self) -> None:
        """Forget all probes in progress."""
        self._runs_by_sequence.clear()
        self._sequences_by_id.clear()
        self._delegated_by_sequence.clear()

    def start_delegated(
        self, origin: Endpoint, sequence: int, now: float
    ) -> int | None:
        """Return the number for a probe on behalf of another host."""
        if len(self._delegated_by_sequence) >= _MAX_DELEGATED_PROBES:
            return None
        own = self.next_sequence()
        self._delegated_by_sequence[own] = DelegatedProbe(
            origin, sequence, now + _DELEGATED_TIMEOUT_SECONDS
        )
        return own

    def finish_delegated(self, sequence: int) -> DelegatedProbe | None:
        """Return for whom the probe of this number was sent, once."""
        return self._delegated_by_sequence.pop(sequence, None)

    def steps(self, now: float) -> Iterator[Step]:
        """Yield what is due; failed probes are forgotten."""
        for run in tuple(self._runs_by_sequence.values()):
            yield from self._run_steps(run, now)
        for sequence, delegated in tuple(self._delegated_by_sequence.items()):
            if now >= delegated.expires_at:
                self._delegated_by_sequence.pop(sequence)

    def _run_steps(self, run: ProbeRun, now: float) -> Iterator[Step]:
        if now >= run.started_at + PROBE_PERIOD_SECONDS:
            self.finish(run.host_id)
            yield Failed(run)
            return
        if now >= run.next_send_at:
            run.next_send_at += _RESEND_INTERVAL_SECONDS
            yield Resend(run)
        if now >= run.started_at + ACK_TIMEOUT_SECONDS and not run.indirect_requested:
            run.indirect_requested = True
            yield RequestIndirectProbes(run)
