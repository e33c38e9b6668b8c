"""Failure detection: what records, probes and their failures mean."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Final

from lycheedeal.kernel import Context, Effect, Log, LogLevel, Observe, SendToPeer
from lycheedeal.membership._gossip import Composer
from lycheedeal.membership._probing import (
    AskHelpers,
    Failed,
    Prober,
    ProbeRun,
    Repeat,
)
from lycheedeal.membership._roster import ACTIVE, Entry, Roster
from lycheedeal.membership._suspicion import HealthMultiplier, Suspicions
from lycheedeal.membership._updates import PushBudget, UpdateQueue
from lycheedeal.messages import IndirectProbe, Probe, ProbeAck
from lycheedeal.model import Endpoint, HostId, Member, MemberState

_HELPERS: Final = 3
_LOG_SECONDS: Final = 30.0
_SEQUENCE_BITS: Final = 32


class Detector:
    """Keeps the records of the zone up to date."""

    def __init__(self, context: Context) -> None:
        """Start knowing only this host."""
        self.roster = Roster(context.member, context.rng)
        self.health = HealthMultiplier()
        self.suspicions = Suspicions(self.health, context.clock.monotonic())
        self.prober = Prober(context.rng.getrandbits(_SEQUENCE_BITS))
        self.pushes = PushBudget(context.clock.monotonic())
        self.last_joined = context.clock.monotonic()
        self.last_revived = 0.0
        self._updates = UpdateQueue()
        self._composer = Composer(self.roster, self._updates)
        self._has_rival = False
        self._rival_logged = -_LOG_SECONDS
        self._cut_off_logged = -_LOG_SECONDS

    def receive(
        self,
        peer: Endpoint,
        message: Probe | ProbeAck | IndirectProbe,
        now: float,
    ) -> Iterator[Effect]:
        """Take a message of another host; hosts of other zones are ignored."""
        sender = message.sender
        own = self.roster.own
        if sender.zone != own.zone or sender.host_id == own.host_id:
            return
        self.absorb((sender,), now)
        self.suspicions.postpone(
            sender.host_id,
            now,
            answered=isinstance(message, ProbeAck),
        )
        match message:
            case Probe(sequence, _, updates):
                self.absorb(updates, now)
                ack = self._composer.ack(sequence, sender.host_id, now)
                yield SendToPeer(peer, ack)
            case ProbeAck(sequence, _, updates):
                self.absorb(updates, now)
                self.suspicions.last_ack = now
                if self.prober.finish(sender.host_id):
                    self.health.better()
                    self.suspicions.note_probe(answered=True)
                relay = self.prober.relayed(sequence)
                if relay is not None:
                    passed_on = ProbeAck(relay.sequence, sender, updates)
                    yield SendToPeer(relay.origin, passed_on)
            case IndirectProbe(sequence, _, target):
                number = self.prober.relay(sender.peer, sequence, now)
                if number is not None:
                    yield self.probe(target, number, now)

    def absorb(self, records: Iterable[Member], now: float) -> None:
        """Take records; those that are older than what is known are ignored."""
        own = self.roster.own
        for record in records:
            if record.host_id == own.host_id:
                self._answer_about_self(record)
            elif record.zone == own.zone and record.peer != own.peer:
                if self.roster.is_news(record):
                    self._replace_occupant(record, now)
                    self._apply(record, now)

    def tick(self, now: float) -> Iterator[Effect]:
        """Continue the probes in progress and check the suspects."""
        for step in self.prober.steps(now):
            match step:
                case Repeat(run):
                    yield self.probe(run.target, run.sequence, now)
                case AskHelpers(run):
                    yield from self._ask_helpers(run)
                case Failed(run):
                    yield from self._fail(run, now)
        for host_id in self.suspicions.due(now):
            yield from self.start_probe(host_id, now)
        yield from self._report_cut_off(now)
        if self._has_rival and now >= self._rival_logged + _LOG_SECONDS:
            self._has_rival = False
            self._rival_logged = now
            text = (
                'another process with this host id started later, or the clock is off'
            )
            yield Log('membership', LogLevel.ERROR, text)

    def start_probe(self, host_id: HostId, now: float) -> Iterator[Effect]:
        """Probe a member, unless a probe of it is in progress."""
        entry = self.roster.find(host_id)
        if entry is None or entry.member.state not in ACTIVE:
            return
        run = self.prober.start(host_id, entry.member.peer, now)
        if run is not None:
            yield self.probe(run.target, run.sequence, now)

    def probe(self, target: Endpoint, sequence: int, now: float) -> SendToPeer:
        """Return a single probe of an endpoint."""
        entry = self.roster.owner_of(target)
        receiver = None if entry is None else entry.member.host_id
        return SendToPeer(target, self._composer.probe(sequence, receiver, now))

    def announce(self, now: float, count: int) -> Iterator[Effect]:
        """Send the own record to several random members at once."""
        for member in self.roster.sample_active(count):
            yield self.probe(member.peer, self.prober.next_sequence(), now)

    def raise_revision(
        self,
        revision: int = 0,
        state: MemberState | None = None,
    ) -> None:
        """Replace the own record by a newer one."""
        own = self.roster.own
        self.roster.own = replace(
            own,
            revision=max(own.revision, revision) + 1,
            state=state or own.state,
        )
        self._tell(self.roster.own)

    def resume(self, now: float) -> None:
        """Forget what a pause of this process makes doubtful."""
        self.prober.clear()
        self.suspicions.restart(now)
        self.raise_revision()

    def expire(self, now: float) -> None:
        """Forget hosts that are dead for long."""
        for gone in self.roster.expire(now):
            self.roster.store(gone, now)

    def _answer_about_self(self, record: Member) -> None:
        own = self.roster.own
        self._has_rival |= record.incarnation > own.incarnation
        if record.incarnation != own.incarnation or record.revision < own.revision:
            return
        if record.revision > own.revision or record.state is not own.state:
            self.health.worse()
            self.raise_revision(record.revision)

    def _replace_occupant(self, record: Member, now: float) -> None:
        occupant = self.roster.owner_of(record.peer)
        if occupant is None or occupant.member.host_id == record.host_id:
            return
        if occupant.member.state is not MemberState.DEAD:
            self._bury(occupant.member, now)

    def _apply(self, record: Member, now: float) -> None:
        entry = self.roster.find(record.host_id)
        match record.state:
            case MemberState.ALIVE | MemberState.LEAVING:
                self.suspicions.refuted(record.host_id)
                self._store(record, now)
            case MemberState.SUSPECT:
                self._store(record, now)
                self.suspicions.begin(record.host_id, now, own=False)
            case MemberState.DEAD:
                self._hear_dead(entry, record, now)

    def _hear_dead(self, entry: Entry | None, record: Member, now: float) -> None:
        if entry is None or entry.member.state not in ACTIVE:
            self._store(record, now)
            return
        suspect = replace(record, state=MemberState.SUSPECT)
        if self.roster.is_news(suspect):
            self._store(suspect, now)
        self.suspicions.hurry(record.host_id, now)

    def _store(self, record: Member, now: float) -> None:
        before = self.roster.store(record, now)
        was_active = before is not None and before.state in ACTIVE
        if record.state in ACTIVE and not was_active:
            self.last_joined = now
            if before is not None:
                self.last_revived = now
        self._tell(record)

    def _tell(self, record: Member) -> None:
        self._updates.add(record)
        self.pushes.ask()

    def _bury(self, member: Member, now: float) -> None:
        self.suspicions.confirmed(member.host_id)
        self.prober.finish(member.host_id)
        self._store(replace(member, state=MemberState.DEAD), now)

    def _ask_helpers(self, run: ProbeRun) -> Iterator[Effect]:
        request = IndirectProbe(run.sequence, self.roster.own, run.target)
        for helper in self.roster.sample_active(_HELPERS, run.host_id):
            yield SendToPeer(helper.peer, request)

    def _fail(self, run: ProbeRun, now: float) -> Iterator[Effect]:
        entry = self.roster.find(run.host_id)
        if entry is None or entry.member.state not in ACTIVE:
            return
        if entry.member.state is MemberState.ALIVE:
            self._store(replace(entry.member, state=MemberState.SUSPECT), now)
            self.suspicions.begin(run.host_id, now, own=True)
            self.suspicions.note_probe(answered=False)
            self.health.worse()
        elif self.suspicions.is_over(run.host_id, now, len(self.roster)):
            self._bury(entry.member, now)
            yield Observe('membership_deaths')
            yield Log('membership', LogLevel.INFO, f'host {run.host_id} is dead')

    def _report_cut_off(self, now: float) -> Iterator[Effect]:
        for host_id in self.suspicions.notice_cut_off(now, len(self.roster)):
            entry = self.roster.find(host_id)
            if entry is not None and entry.member.state is MemberState.DEAD:
                self._store(replace(entry.member, state=MemberState.SUSPECT), now)
                self.suspicions.begin(host_id, now, own=False)
        if self.suspicions.is_cut_off(now, len(self.roster)):
            if now >= self._cut_off_logged + _LOG_SECONDS:
                text = 'this host seems cut off; members stay until confirmed dead'
                yield Log('membership', LogLevel.WARNING, text)
                self._cut_off_logged = now
