"""Failure detection by probes and suspicions, after the SWIM protocol."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final

from lycheedeal.kernel import Context, Effect, Log, LogLevel, Observe, SendToPeer
from lycheedeal.membership._messages import MessageBuilder
from lycheedeal.membership._probing import (
    Failed,
    Prober,
    ProbeRun,
    RequestIndirectProbes,
    Resend,
)
from lycheedeal.membership._roster import ACTIVE, Entry, Roster
from lycheedeal.membership._suspicion import HealthMultiplier, Suspicions
from lycheedeal.membership._updates import PushBudget, UpdateQueue
from lycheedeal.messages import IndirectProbe, Probe, ProbeAck
from lycheedeal.model import Endpoint, HostId, Member, MemberState

# Members that are asked to probe a host that did not answer.
_INDIRECT_PROBERS: Final = 3
# Shortest interval between two log lines about the same condition.
_LOG_INTERVAL_SECONDS: Final = 30.0
_SEQUENCE_BITS: Final = 32


class FailureDetector:
    """Keeps the member records of the zone up to date.

    It answers probes, merges the records that they carry, and turns missing
    answers into suspicions and deaths.
    """

    def __init__(self, context: Context) -> None:
        """Start with only the record of this host."""
        self.roster = Roster(context.member, context.rng)
        self.health = HealthMultiplier()
        self.suspicions = Suspicions(self.health, context.clock.monotonic())
        self.prober = Prober(context.rng.getrandbits(_SEQUENCE_BITS))
        self.push_budget = PushBudget(context.clock.monotonic())
        self.last_joined_at = context.clock.monotonic()
        self.last_revived_at = 0.0
        self._updates = UpdateQueue()
        self._message_builder = MessageBuilder(self.roster, self._updates)
        self._duplicate_id_seen = False
        self._duplicate_id_logged_at = -_LOG_INTERVAL_SECONDS
        self._isolation_logged_at = -_LOG_INTERVAL_SECONDS

    def receive(
        self,
        peer: Endpoint,
        message: Probe | ProbeAck | IndirectProbe,
        now: float,
    ) -> Iterator[Effect]:
        """Handle a message from a member; those from other zones are ignored."""
        sender = message.sender
        own = self.roster.own
        if sender.zone != own.zone or sender.host_id == own.host_id:
            return
        self.merge((sender,), now)
        self.suspicions.extend(
            sender.host_id,
            now,
            answered=isinstance(message, ProbeAck),
        )
        match message:
            case Probe(sequence, _, updates):
                self.merge(updates, now)
                ack = self._message_builder.ack(sequence, sender.host_id, now)
                yield SendToPeer(peer, ack)
            case ProbeAck(sequence, _, updates):
                self.merge(updates, now)
                self.suspicions.last_ack_at = now
                if self.prober.finish(sender.host_id):
                    self.health.improve()
                    self.suspicions.record_probe(answered=True)
                delegated = self.prober.finish_delegated(sequence)
                if delegated is not None:
                    forwarded_ack = ProbeAck(delegated.sequence, sender, updates)
                    yield SendToPeer(delegated.origin, forwarded_ack)
            case IndirectProbe(sequence, _, target):
                number = self.prober.start_delegated(sender.peer, sequence, now)
                if number is not None:
                    yield self.probe(target, number, now)

    def merge(self, records: Iterable[Member], now: float) -> None:
        """Merge received records; older ones and other zones are ignored.

        A record of this host itself is refuted unless it is correct.
        """
        own = self.roster.own
        for record in records:
            if record.host_id == own.host_id:
                self._refute(record)
            elif record.zone == own.zone and record.peer != own.peer:
                if self.roster.accepts(record):
                    self._retire_previous_holder(record, now)
                    self._apply(record, now)

    def tick(self, now: float) -> Iterator[Effect]:
        """Continue the probes in progress, and probe suspects that are due."""
        for step in self.prober.steps(now):
            match step:
                case Resend(run):
                    yield self.probe(run.target, run.sequence, now)
                case RequestIndirectProbes(run):
                    yield from self._request_indirect_probes(run)
                case Failed(run):
                    yield from self._handle_failed_probe(run, now)
        for host_id in self.suspicions.due(now):
            yield from self.start_probe(host_id, now)
        yield from self._check_isolation(now)
        if (
            self._duplicate_id_seen
            and now >= self._duplicate_id_logged_at + _LOG_INTERVAL_SECONDS
        ):
            self._duplicate_id_seen = False
            self._duplicate_id_logged_at = now
            text = (
                'a newer process uses this host id, or the clock of this host is '
                'behind; other members follow the newer process'
            )
            yield Log('membership', LogLevel.ERROR, text)

    def start_probe(self, host_id: HostId, now: float) -> Iterator[Effect]:
        """Probe an active member, unless a probe of it is in progress."""
        entry = self.roster.find(host_id)
        if entry is None or entry.member.state not in ACTIVE:
            return
        run = self.prober.start(host_id, entry.member.peer, now)
        if run is not None:
            yield self.probe(run.target, run.sequence, now)

    def probe(self, target: Endpoint, sequence: int, now: float) -> SendToPeer:
        """Return a probe message to an endpoint, without tracking the answer."""
        entry = self.roster.find_by_peer(target)
        receiver = None if entry is None else entry.member.host_id
        return SendToPeer(target, self._message_builder.probe(sequence, receiver, now))

    def announce(self, now: float, count: int) -> Iterator[Effect]:
        """Send the record of this host to up to ``count`` random members."""
        for member in self.roster.sample_active(count):
            yield self.probe(member.peer, self.prober.next_sequence(), now)

    def raise_revision(
        self,
        revision: int = 0,
        state: MemberState | None = None,
    ) -> None:
        """Publish a newer record of this host.

        The new revision is above ``revision``; ``state`` None keeps the state.
        """
        own = self.roster.own
        self.roster.own = replace(
            own,
            revision=max(own.revision, revision) + 1,
            state=state or own.state,
        )
        self._enqueue_update(self.roster.own)

    def resume(self, now: float) -> None:
        """Restart probes and timers after a pause and publish a newer record.

        Acks that were missed during the pause say nothing about other hosts.
        """
        self.prober.clear()
        self.suspicions.restart(now)
        self.raise_revision()

    def expire(self, now: float) -> None:
        """Remove hosts that died long ago; mark hosts as dead that have left."""
        for departed in self.roster.expire(now):
            self.roster.store(departed, now)

    def _refute(self, record: Member) -> None:
        own = self.roster.own
        self._duplicate_id_seen |= record.incarnation > own.incarnation
        if record.incarnation != own.incarnation or record.revision < own.revision:
            return
        if record.revision > own.revision or record.state is not own.state:
            self.health.worsen()
            self.raise_revision(record.revision)

    def _retire_previous_holder(self, record: Member, now: float) -> None:
        holder = self.roster.find_by_peer(record.peer)
        if holder is None or holder.member.host_id == record.host_id:
            return
        if holder.member.state is not MemberState.DEAD:
            self._declare_dead(holder.member, now)

    def _apply(self, record: Member, now: float) -> None:
        entry = self.roster.find(record.host_id)
        match record.state:
            case MemberState.ALIVE | MemberState.LEAVING:
                self.suspicions.refute(record.host_id)
                self._store(record, now)
            case MemberState.SUSPECT:
                self._store(record, now)
                self.suspicions.begin(record.host_id, now, check_now=False)
            case MemberState.DEAD:
                self._handle_reported_death(entry, record, now)

    def _handle_reported_death(
        self, entry: Entry | None, record: Member, now: float
    ) -> None:
        if entry is None or entry.member.state not in ACTIVE:
            self._store(record, now)
            return
        suspect = replace(record, state=MemberState.SUSPECT)
        if self.roster.accepts(suspect):
            self._store(suspect, now)
        self.suspicions.expedite(record.host_id, now)

    def _store(self, record: Member, now: float) -> None:
        previous = self.roster.store(record, now)
        was_active = previous is not None and previous.state in ACTIVE
        if record.state in ACTIVE and not was_active:
            self.last_joined_at = now
            if previous is not None:
                self.last_revived_at = now
        self._enqueue_update(record)

    def _enqueue_update(self, record: Member) -> None:
        self._updates.add(record)
        self.push_budget.request()

    def _declare_dead(self, member: Member, now: float) -> None:
        self.suspicions.confirm(member.host_id)
        self.prober.finish(member.host_id)
        self._store(replace(member, state=MemberState.DEAD), now)

    def _request_indirect_probes(self, run: ProbeRun) -> Iterator[Effect]:
        request = IndirectProbe(run.sequence, self.roster.own, run.target)
        for member in self.roster.sample_active(_INDIRECT_PROBERS, run.host_id):
            yield SendToPeer(member.peer, request)

    def _handle_failed_probe(self, run: ProbeRun, now: float) -> Iterator[Effect]:
        entry = self.roster.find(run.host_id)
        if entry is None or entry.member.state not in ACTIVE:
            return
        if entry.member.state is MemberState.ALIVE:
            self._store(replace(entry.member, state=MemberState.SUSPECT), now)
            self.suspicions.begin(run.host_id, now, check_now=True)
            self.suspicions.record_probe(answered=False)
            self.health.worsen()
        elif self.suspicions.has_expired(run.host_id, now, len(self.roster)):
            self._declare_dead(entry.member, now)
            yield Observe('membership_deaths')
            yield Log(
                'membership',
                LogLevel.INFO,
                f'host {run.host_id} is declared dead, '
                'it did not answer within the suspicion timeout',
            )

    def _check_isolation(self, now: float) -> Iterator[Effect]:
        for host_id in self.suspicions.detect_isolation(now, len(self.roster)):
            entry = self.roster.find(host_id)
            if entry is not None and entry.member.state is MemberState.DEAD:
                self._store(replace(entry.member, state=MemberState.SUSPECT), now)
                self.suspicions.begin(host_id, now, check_now=False)
        if self.suspicions.is_isolated(now, len(self.roster)):
            if now >= self._isolation_logged_at + _LOG_INTERVAL_SECONDS:
                text = (
                    'this host appears isolated from its zone; '
                    'members are kept until they are confirmed dead'
                )
                yield Log('membership', LogLevel.WARNING, text)
                self._isolation_logged_at = now
