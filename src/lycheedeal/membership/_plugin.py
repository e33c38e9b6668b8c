"""Plug-in that runs the probe timers, publishes members and stops the host."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.kernel import (
    ApiCall,
    ApiReplied,
    ApiStatus,
    CallApi,
    Context,
    Effect,
    Event,
    Exit,
    HostsListed,
    Log,
    LogLevel,
    MembersChanged,
    PeerMessage,
    Publish,
    Resumed,
    Started,
    StopRequested,
    StopStarted,
    Tick,
    WorkRemaining,
)
from lycheedeal.membership._candidates import Candidates, parse_host_list
from lycheedeal.membership._detector import FailureDetector
from lycheedeal.membership._probe_schedule import ProbeSchedule
from lycheedeal.membership._stopping import StopSequence
from lycheedeal.messages import IndirectProbe, Probe, ProbeAck
from lycheedeal.model import Endpoint, HostId, Incarnation, Member, MemberState

_PROBE_PERIOD_SECONDS: Final = 1.0
# Ticks come every 0.1 s; a longer gap than this is a fault of this process.
_LATE_TICK_SECONDS: Final = 0.5
# Bounds of the interval between host lists, which doubles with each one. A
# starting host needs the list soon. Later the list only adds candidates, and
# the calls of all hosts together count against the platform's limit.
_MIN_HOST_LIST_INTERVAL_SECONDS: Final = 5.0
_MAX_HOST_LIST_INTERVAL_SECONDS: Final = 600.0
_DEAD_PROBE_INTERVAL_SECONDS: Final = 5.0
# After one dead host has come back, others of a healed partition do so too, and
# dead hosts are probed at the shorter interval for some time.
_HEALING_PROBE_INTERVAL_SECONDS: Final = 0.3
_HEALING_SECONDS: Final = 10.0
_CANDIDATE_PROBE_INTERVAL_SECONDS: Final = 1.0
# Interval for untried candidates, and for all while this host is joining. It is
# joining until it finds no new member for the quiet time, at most until the maximum.
_JOIN_PROBE_INTERVAL_SECONDS: Final = 0.2
_JOIN_QUIET_SECONDS: Final = 2.0
_JOIN_MAX_SECONDS: Final = 30.0
# The first member list is published once this host has found no new member for the
# quiet time, at the earliest after the first of these times and at the latest after
# the maximum.
_FIRST_PUBLISH_SECONDS: Final = 1.0
_FIRST_PUBLISH_QUIET_SECONDS: Final = 0.5
_FIRST_PUBLISH_MAX_SECONDS: Final = 5.0
# Members to which a resume or a planned stop is announced at once.
_ANNOUNCEMENT_PROBES: Final = 8
# Candidates examined in one turn to find one that is not a known member.
_MAX_CANDIDATE_TRIES: Final = 8
_CALL_ID_BITS: Final = 63
_JITTER_FRACTION: Final = 0.2

_MemberKey = tuple[HostId, Incarnation, Endpoint]


@dataclass(slots=True)
class _DueTimes:
    """Monotonic times in seconds at which each action is due next."""

    probe: float
    dead: float
    candidate: float
    hosts: float
    expiry: float


class MembershipPlugin:
    """Publishes which hosts of the zone may own services, and stops this host."""

    def __init__(self, context: Context) -> None:
        """Start with only this host as a member and the seeds as candidates."""
        self._context = context
        self._rng = context.rng
        self._detector = FailureDetector(context)
        self._candidates = Candidates(context.settings.peer_seeds)
        self._stop = StopSequence(context.settings.drain_seconds)
        self._started_at = context.clock.monotonic()
        self._last_tick_at = self._started_at
        first = self._started_at + self._rng.random() * _PROBE_PERIOD_SECONDS
        self._due_times = _DueTimes(first, first, self._started_at, first, first)
        self._probe_schedule = ProbeSchedule(context.settings.host_id)
        self._has_unpublished = True
        self._published: tuple[_MemberKey, ...] | None = None
        self._host_list_call_id = 0
        self._host_list_interval = _MIN_HOST_LIST_INTERVAL_SECONDS

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event; other event types are ignored."""
        now = self._context.clock.monotonic()
        match event:
            case Started():
                if not self._candidates:
                    yield from self._publish()
            case Tick():
                yield from self._tick(now)
            case PeerMessage(peer, Probe() | ProbeAck() | IndirectProbe() as message):
                yield from self._detector.receive(peer, message, now)
                yield from self._publish_changes(now)
            case ApiReplied(call_id, status, _, _, body):
                yield from self._handle_host_list(call_id, status, body)
            case Resumed():
                self._last_tick_at = now
                self._detector.resume(now)
                yield from self._detector.announce(now, _ANNOUNCEMENT_PROBES)
            case StopRequested():
                yield from self._begin_stop(now)
            case WorkRemaining(plugin, count):
                self._stop.report(plugin, count)

    def _tick(self, now: float) -> Iterator[Effect]:
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > _LATE_TICK_SECONDS:
            # Acks may wait unread in the socket, so missing ones prove nothing.
            self._detector.health.worsen()
            self._detector.prober.clear()
        yield from self._detector.tick(now)
        yield from self._probe_scheduled(now)
        yield from self._send_extra_probes(now)
        yield from self._request_host_list(now)
        if now >= self._due_times.expiry:
            self._due_times.expiry = now + _PROBE_PERIOD_SECONDS
            self._detector.expire(now)
        yield from self._publish_changes(now)
        if self._stop.is_finished(now):
            yield Exit(0)

    def _publish_changes(self, now: float) -> Iterator[Effect]:
        roster = self._detector.roster
        if roster.is_changed:
            roster.is_changed = False
            self._probe_schedule.update(member.host_id for member in roster.active())
            self._has_unpublished = True
        if self._published or self._may_publish_first(now):
            yield from self._publish()

    def _may_publish_first(self, now: float) -> bool:
        # With an incomplete list this host would consider itself the owner of too
        # many services.
        age = now - self._started_at
        learning = now - self._detector.last_joined_at < _FIRST_PUBLISH_QUIET_SECONDS
        complete = age >= _FIRST_PUBLISH_SECONDS and not learning
        return not self._candidates or complete or age >= _FIRST_PUBLISH_MAX_SECONDS

    def _publish(self) -> Iterator[Effect]:
        if not self._has_unpublished:
            return
        self._has_unpublished = False
        members = self._members()
        key = tuple((one.host_id, one.incarnation, one.peer) for one in members)
        if key != self._published:
            self._published = key
            yield Publish(MembersChanged(members))

    def _members(self) -> tuple[Member, ...]:
        members = list(self._detector.roster.active())
        if self._stop.is_serving:
            members.append(self._detector.roster.own)
        return tuple(sorted(members, key=lambda member: member.host_id))

    def _probe_scheduled(self, now: float) -> Iterator[Effect]:
        if now < self._due_times.probe:
            return
        self._due_times.probe = max(self._due_times.probe + _PROBE_PERIOD_SECONDS, now)
        target = self._probe_schedule.target(
            int(self._context.clock.wall() / _PROBE_PERIOD_SECONDS)
        )
        if target is not None:
            yield from self._detector.start_probe(target, now)

    def _send_extra_probes(self, now: float) -> Iterator[Effect]:
        detector = self._detector
        if detector.push_budget.take(now):
            yield from detector.announce(now, 1)
        if now >= self._due_times.dead:
            healing = now - detector.last_revived_at < _HEALING_SECONDS
            interval = (
                _HEALING_PROBE_INTERVAL_SECONDS
                if healing
                else _DEAD_PROBE_INTERVAL_SECONDS
            )
            self._due_times.dead = now + self._jittered(interval)
            dead = detector.roster.sample_dead()
            if dead is not None:
                yield self._single_probe(dead.peer, now)
        if now >= self._due_times.candidate:
            joining = self._is_joining(now)
            fast = joining or self._candidates.untried_count
            interval = (
                _JOIN_PROBE_INTERVAL_SECONDS
                if fast
                else _CANDIDATE_PROBE_INTERVAL_SECONDS
            )
            self._due_times.candidate = now + interval
            yield from self._probe_candidate(now)
            if joining:
                yield from detector.announce(now, 1)

    def _probe_candidate(self, now: float) -> Iterator[Effect]:
        for _ in range(min(len(self._candidates), _MAX_CANDIDATE_TRIES)):
            candidate = self._candidates.next()
            if candidate and not self._detector.roster.knows_endpoint(candidate):
                yield self._single_probe(candidate, now)
                return

    def _single_probe(self, target: Endpoint, now: float) -> Effect:
        return self._detector.probe(target, self._detector.prober.next_sequence(), now)

    def _is_joining(self, now: float) -> bool:
        quiet = now - self._detector.last_joined_at > _JOIN_QUIET_SECONDS
        return now - self._started_at < _JOIN_MAX_SECONDS and not quiet

    def _request_host_list(self, now: float) -> Iterator[Effect]:
        if now >= self._due_times.hosts:
            self._due_times.hosts = now + self._jittered(self._host_list_interval)
            self._host_list_interval = min(
                self._host_list_interval * 2, _MAX_HOST_LIST_INTERVAL_SECONDS
            )
            self._host_list_call_id = self._rng.getrandbits(_CALL_ID_BITS)
            zone = self._context.settings.zone
            yield CallApi(self._host_list_call_id, ApiCall.HOSTS, zone)

    def _handle_host_list(
        self,
        call_id: int,
        status: ApiStatus,
        body: bytes,
    ) -> Iterator[Effect]:
        if call_id != self._host_list_call_id or status is not ApiStatus.OK:
            return
        listed = parse_host_list(body)
        if listed is None:
            yield Log(
                'membership',
                LogLevel.WARNING,
                'host list of the platform is malformed and ignored, '
                'known candidates are kept',
            )
            return
        zone = self._context.settings.zone
        self._candidates.add(one.peer for one in listed if one.zone == zone)
        yield Publish(HostsListed(listed))

    def _begin_stop(self, now: float) -> Iterator[Effect]:
        if self._stop.begin_stop(now):
            self._detector.raise_revision(state=MemberState.LEAVING)
            yield from self._detector.announce(now, _ANNOUNCEMENT_PROBES)
            self._has_unpublished = True
            yield from self._publish()
            yield Publish(StopStarted(self._stop.deadline))

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + _JITTER_FRACTION * (self._rng.random() - 0.5))
