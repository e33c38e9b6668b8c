"""Probes in progress, and probes sent on behalf of other hosts."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.model import Endpoint, HostId

# A probe is sent again before other hosts are asked, in case it was lost.
_RESEND_INTERVAL_SECONDS: Final = 0.25
# Time without an ack until other hosts are asked to probe the target.
ACK_TIMEOUT_SECONDS: Final = 0.5
# A probe without an ack has failed after this time.
PROBE_PERIOD_SECONDS: Final = 1.0
# Time in which the ack of a delegated probe is forwarded.
_DELEGATED_TIMEOUT_SECONDS: Final = 2.0
_MAX_DELEGATED_PROBES: Final = 512
_SEQUENCE_MASK: Final = 0xFFFFFFFF


@dataclass(slots=True)
class ProbeRun:
    """Probe of one host, including the datagrams sent again.

    Times are monotonic seconds. ``indirect_requested`` is true once other
    hosts were asked to probe the target.
    """

    host_id: HostId
    target: Endpoint
    sequence: int
    started_at: float
    next_send_at: float
    indirect_requested: bool = False


@dataclass(frozen=True, slots=True)
class DelegatedProbe:
    """Probe sent on behalf of another host.

    ``origin`` is the peer endpoint of the host that asked for it, ``sequence``
    the number of its request, and ``expires_at`` a monotonic time in seconds.
    """

    origin: Endpoint
    sequence: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Resend:
    """Step that sends the probe again."""

    run: ProbeRun


@dataclass(frozen=True, slots=True)
class RequestIndirectProbes:
    """Step that asks other hosts to probe the target."""

    run: ProbeRun


@dataclass(frozen=True, slots=True)
class Failed:
    """Step for a target that did not answer within the probe period."""

    run: ProbeRun


Step = Resend | RequestIndirectProbes | Failed


class Prober:
    """Schedules the steps of each probe: resend, indirect probes and failure."""

    def __init__(self, first_sequence: int) -> None:
        """Start without probes; sequence numbers follow ``first_sequence``."""
        self._sequence = first_sequence
        self._runs_by_sequence: dict[int, ProbeRun] = {}
        self._sequences_by_id: dict[HostId, int] = {}
        self._delegated_by_sequence: dict[int, DelegatedProbe] = {}

    def next_sequence(self) -> int:
        """Return a new sequence number of 32 bits."""
        self._sequence = (self._sequence + 1) & _SEQUENCE_MASK
        return self._sequence

    def start(self, host_id: HostId, target: Endpoint, now: float) -> ProbeRun | None:
        """Start a probe; return None if the host is being probed already."""
        if host_id in self._sequences_by_id:
            return None
        run = ProbeRun(host_id, target, self.next_sequence(), now, now)
        run.next_send_at += _RESEND_INTERVAL_SECONDS
        self._runs_by_sequence[run.sequence] = run
        self._sequences_by_id[host_id] = run.sequence
        return run

    def finish(self, host_id: HostId) -> bool:
        """End the probe of a host; return whether one was in progress."""
        sequence = self._sequences_by_id.pop(host_id, None)
        if sequence is None:
            return False
        self._runs_by_sequence.pop(sequence)
        return True

    def clear(self) -> None:
        """Drop all probes in progress, delegated ones included."""
        self._runs_by_sequence.clear()
        self._sequences_by_id.clear()
        self._delegated_by_sequence.clear()

    def start_delegated(
        self, origin: Endpoint, sequence: int, now: float
    ) -> int | None:
        """Return the sequence number of a probe on behalf of another host.

        None means that too many delegated probes are in progress.
        """
        if len(self._delegated_by_sequence) >= _MAX_DELEGATED_PROBES:
            return None
        own = self.next_sequence()
        self._delegated_by_sequence[own] = DelegatedProbe(
            origin, sequence, now + _DELEGATED_TIMEOUT_SECONDS
        )
        return own

    def finish_delegated(self, sequence: int) -> DelegatedProbe | None:
        """Remove and return the delegated probe of this number, if there is one."""
        return self._delegated_by_sequence.pop(sequence, None)

    def steps(self, now: float) -> Iterator[Step]:
        """Yield the steps that are due, and drop failed and expired probes."""
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
