"""Simulated upstream: slots, long flows and records of its runs."""

import struct
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from lycheedeal import messages
from lycheedeal.errors import ErrorKind
from lycheedeal.model import (
    AttemptId,
    Endpoint,
    FlowId,
    Incarnation,
    ServiceName,
    UpstreamState,
)

if TYPE_CHECKING:
    from scenarios._host import VirtualHost
    from scenarios._simulation import Simulation

# Payload of feed packets: the number of an entry, or of the last one received.
ENTRY_NUMBER = struct.Struct('!Q')
# Attempts are kept this long after their deadline, so that repeated datagrams
# are recognised. Later ones cannot start because the deadline has passed.
_RETENTION_SECONDS = 1.0


@dataclass
class RunRecord:
    """A run of a request on an upstream; times are virtual.

    ``ended`` is the scheduled end.
    """

    token: bytes
    kind_id: int
    upstream: str
    started: float
    deadline: float
    ended: float = 0


@dataclass
class _Flow:
    caller: Endpoint
    host: 'VirtualHost'
    path: int
    last_number: int = 0
    opened: float = 0


@dataclass
class _Assembling:
    """Some of ``total`` parts of the request have been received."""

    total: int
    bodies: dict[int, bytes] = field(default_factory=dict)


@dataclass
class _Running:
    """The run occupies a slot.

    Its answer goes to the host and path of the most recent copy.
    """

    host: 'VirtualHost'
    path: int


@dataclass
class _Finished:
    """The run is complete; its answer is resent for a repeated attempt."""

    answer: tuple[bytes, ...]


@dataclass
class _Refused:
    """The attempt was refused or cancelled and will never start."""

    error: ErrorKind


_Attempt = _Assembling | _Running | _Finished | _Refused


class VirtualUpstream:
    """Runs requests in slots and pushes numbered entries to long flows.

    Attributes set by a scenario switch on faults; ``silent_paths`` holds pairs
    of host name and path whose datagrams are dropped in both directions.
    """

    # Tests set this to drop attempts once they start, so that a copy runs again.
    _deduplication_off = False

    def __init__(
        self,
        simulation: 'Simulation',
        name: str,
        service: str,
        zone: str,
        endpoint: Endpoint,
    ) -> None:
        """Create a ready upstream."""
        self.simulation = simulation
        self.name = name
        self.service = service
        self.zone = zone
        self.endpoint = endpoint
        self.slots = 2
        self.connections = 4000
        self.service_seconds = 0.05
        self.incarnation = 1
        self.state = UpstreamState.READY
        self.alive = True
        self.reports_no_load = False
        self.refuses_runs = False
        self.silent_paths: set[tuple[str, int]] = set()
        self.flows: dict[FlowId, _Flow] = {}
        self.running: list[RunRecord] = []
        self.finished = 0
        self.flow_open_times: list[float] = []
        self.misrouted = 0
        self.refused_runs = 0
        self._attempts_by_id: dict[AttemptId, _Attempt] = {}

    @property
    def started_total(self) -> int:
        """Return how many runs all processes of this upstream started."""
        return sum(one.upstream == self.name for one in self.simulation.runs)

    def restart(self, service: str | None = None) -> None:
        """Start a new process at this address; ``service`` None keeps the service."""
        self.incarnation += 1
        self.service = service or self.service
        self.flows.clear()
        self.running.clear()
        self._attempts_by_id.clear()

    def receive(self, host: 'VirtualHost', path: int, message: Any) -> None:
        """Handle a message that a host sent on one of its paths."""
        if not self.alive or (host.name, path) in self.silent_paths:
            return
        match message:
            case messages.Hello(nonce=nonce):
                self._reply(host, path, self._welcome(nonce))
            case messages.FlowOpen():
                self._reply(host, path, self._open_flow(host, path, message))
            case messages.UpstreamClose(flow_id=flow_id):
                self.flows.pop(flow_id, None)
            case messages.Run():
                self._handle_run(host, path, message)
            case messages.CancelRun(attempt_id=attempt_id):
                self._reply(host, path, self._cancel(attempt_id))

    def receive_packet(
        self,
        host: 'VirtualHost',
        path: int,
        flow_id: FlowId,
        caller: Endpoint,
        payload: bytes,
    ) -> None:
        """Handle a keepalive: resend up to 20 entries, or echo the last one.

        Its payload is the number of the last entry that the caller received.
        """
        if not self.alive or (host.name, path) in self.silent_paths:
            return
        flow = self.flows.get(flow_id)
        if flow is None:
            error = ErrorKind.UNKNOWN_FLOW
            self._reply(host, path, messages.FlowRejected(flow_id, error, caller))
            return
        flow.host, flow.path, flow.caller = host, path, caller
        (acknowledged,) = ENTRY_NUMBER.unpack(payload)
        missing = range(acknowledged + 1, flow.last_number + 1)
        for number in missing[:20] or (flow.last_number,):
            self._push_entry(flow_id, flow, number)

    def push_entries(self) -> None:
        """Push the next entry of every feed."""
        for flow_id, flow in self.flows.items():
            flow.last_number += 1
            self._push_entry(flow_id, flow, flow.last_number)

    def _push_entry(self, flow_id: FlowId, flow: _Flow, number: int) -> None:
        if self.alive and (flow.host.name, flow.path) not in self.silent_paths:
            self.simulation.packet_from_upstream(
                self, flow.host, flow.caller, flow_id, ENTRY_NUMBER.pack(number)
            )

    def _welcome(self, nonce: int) -> messages.Welcome:
        running = 0 if self.reports_no_load else len(self.running)
        flows = 0 if self.reports_no_load else len(self.flows)
        return messages.Welcome(
            nonce,
            ServiceName(self.service),
            Incarnation(self.incarnation),
            self.state,
            self.slots,
            running,
            flows,
        )

    def _open_flow(
        self, host: 'VirtualHost', path: int, message: messages.FlowOpen
    ) -> Any:
        flow_id = message.flow_id
        if not self._has_identity(message.service, message.incarnation):
            error = ErrorKind.UPSTREAM_REPLACED
            return messages.FlowRejected(flow_id, error, message.caller)
        if flow_id not in self.flows:
            if len(self.flows) >= self.connections:
                return messages.FlowRejected(
                    flow_id, ErrorKind.FLOW_LIMIT, message.caller
                )
            now = self.simulation.time.now
            self.simulation.callers_by_flow[flow_id] = message.caller
            self.flows[flow_id] = _Flow(message.caller, host, path, opened=now)
            self.flow_open_times.append(now)
        return messages.FlowAccepted(flow_id)

    def _has_identity(self, service: str, incarnation: int) -> bool:
        return service == self.service and incarnation == self.incarnation

    def _handle_run(
        self, host: 'VirtualHost', path: int, message: messages.Run
    ) -> None:
        attempt_id = message.attempt_id
        if not self._has_identity(message.service, message.incarnation):
            error = ErrorKind.UPSTREAM_REPLACED
            self._reply(host, path, messages.RunRefused(attempt_id, error))
            return
        match self._attempts_by_id.get(attempt_id):
            case _Running() as running:
                running.host, running.path = host, path
            case _Finished(answer):
                # A repeated request gets one answer, not one for each of its parts.
                if message.part == 0:
                    self._send_answer(host, path, attempt_id, answer)
            case _Refused(error):
                self._reply(host, path, messages.RunRefused(attempt_id, error))
            case _Assembling() as assembling:
                self._add_part(host, path, message, assembling)
            case None:
                assembling = _Assembling(message.parts)
                self._store_attempt(attempt_id, assembling, message.deadline_ms)
                self._add_part(host, path, message, assembling)

    def _add_part(
        self,
        host: 'VirtualHost',
        path: int,
        message: messages.Run,
        assembling: _Assembling,
    ) -> None:
        attempt_id = message.attempt_id
        error = self._refusal(message)
        if error is not None:
            self._store_attempt(attempt_id, _Refused(error), message.deadline_ms)
            self._reply(host, path, messages.RunRefused(attempt_id, error))
            return
        bodies = assembling.bodies
        bodies[message.part] = message.body
        if len(bodies) == assembling.total:
            body = b''.join(bodies[number] for number in range(assembling.total))
            self._start(host, path, message, body)

    def _refusal(self, message: messages.Run) -> ErrorKind | None:
        if self.refuses_runs or len(self.running) >= self.slots:
            self.refused_runs += 1
            return ErrorKind.QUEUE_FULL
        if self.simulation.time.wall() * 1000 > message.deadline_ms:
            return ErrorKind.DEADLINE_PASSED
        return None

    def _cancel(self, attempt_id: AttemptId) -> messages.RunCancelled:
        """Cancel an attempt unless it started.

        An unknown attempt counts as started: an earlier process at this
        address may have run it.
        """
        match self._attempts_by_id.get(attempt_id):
            case _Assembling() | _Refused():
                self._attempts_by_id[attempt_id] = _Refused(ErrorKind.CANCELLED)
                return messages.RunCancelled(attempt_id, started=False)
            case _:
                return messages.RunCancelled(attempt_id, started=True)

    def _store_attempt(
        self,
        attempt_id: AttemptId,
        attempt: _Attempt,
        deadline_ms: int,
    ) -> None:
        """Keep an attempt until the retention period after its deadline ends."""
        if attempt_id not in self._attempts_by_id:
            seconds_left = deadline_ms / 1000 - self.simulation.time.wall()
            self.simulation.time.call_later(
                max(0, seconds_left) + _RETENTION_SECONDS,
                lambda: self._drop_attempt(attempt_id),
            )
        self._attempts_by_id[attempt_id] = attempt

    def _drop_attempt(self, attempt_id: AttemptId) -> None:
        if not isinstance(self._attempts_by_id.get(attempt_id), _Running):
            self._attempts_by_id.pop(attempt_id, None)

    def _start(
        self,
        host: 'VirtualHost',
        path: int,
        message: messages.Run,
        body: bytes,
    ) -> None:
        service, _, token = body.partition(b'/')
        if service.decode() != self.service:
            self.misrouted += 1
        now = self.simulation.time.now
        deadline = message.deadline_ms / 1000 - self.simulation.time.wall() + now
        duration = self.service_seconds * self.simulation.rng.uniform(0.6, 1.4)
        record = RunRecord(
            token, message.kind_id, self.name, now, deadline, now + duration
        )
        running = _Running(host, path)
        if self._deduplication_off:
            self._attempts_by_id.pop(message.attempt_id)
        else:
            self._store_attempt(message.attempt_id, running, message.deadline_ms)
        self.running.append(record)
        self.simulation.runs.append(record)
        incarnation = self.incarnation
        self.simulation.time.call_later(
            duration,
            lambda: self._finish(message.attempt_id, running, record, incarnation),
        )

    def _finish(
        self,
        attempt_id: AttemptId,
        running: _Running,
        record: RunRecord,
        incarnation: int,
    ) -> None:
        if not self.alive or incarnation != self.incarnation:
            return
        self.running.remove(record)
        self.finished += 1
        half = len(record.token) // 2
        answer = (record.token[:half], record.token[half:])
        if self.simulation.time.now > record.deadline + _RETENTION_SECONDS:
            self._attempts_by_id.pop(attempt_id, None)
        elif not self._deduplication_off:
            self._attempts_by_id[attempt_id] = _Finished(answer)
        self._send_answer(running.host, running.path, attempt_id, answer)

    def _send_answer(
        self,
        host: 'VirtualHost',
        path: int,
        attempt_id: AttemptId,
        answer: tuple[bytes, ...],
    ) -> None:
        for part, body in enumerate(answer):
            reply = messages.RunAnswer(attempt_id, part, len(answer), body)
            self._reply(host, path, reply)

    def _reply(self, host: 'VirtualHost', path: int, message: Any) -> None:
        if (host.name, path) not in self.silent_paths:
            self.simulation.from_upstream(self, host, path, message)


def kind_counts(runs: list[RunRecord]) -> Counter[int]:
    """Return the number of runs by id of the kind of work."""
    return Counter(one.kind_id for one in runs)
