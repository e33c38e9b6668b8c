"""Tests of the configuration plug-in with an object store, without a network."""

from dataclasses import replace

import pytest
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lycheedeal import kernel, messages, model
from lycheedeal.configuration import apply_change, decode_shard, encode_shard
from lycheedeal.errors import ErrorKind
from standins.platform import ObjectStore, VersionMismatch
from tests.configuration_hosts import (
    OTHER_SERVICE,
    SERVICE,
    SHARD_INDEX,
    UPSTREAM_ID,
    ZONE,
    Clock,
    Host,
    members,
)

KEY = f'config/north/{SHARD_INDEX}'
CREATE_SERVICE = model.CreateService(SERVICE, model.Endpoint('10.0.0.1', 80))
CREATE_OTHER_SERVICE = model.CreateService(
    OTHER_SERVICE, model.Endpoint('10.0.0.2', 80)
)
OTHER_ENDPOINT = model.Endpoint('10.1.0.2', 80)
CREATE_KIND = model.CreateKind(SERVICE, 'live', 0)
READ, WRITE = kernel.ApiCall.READ, kernel.ApiCall.WRITE
OK, UNKNOWN = kernel.ApiStatus.OK, kernel.ApiStatus.UNKNOWN
UNAVAILABLE = kernel.ApiStatus.UNAVAILABLE
CHANGES: tuple[model.Change, ...] = (
    CREATE_SERVICE,
    CREATE_OTHER_SERVICE,
    model.CreateUpstream(SERVICE, UPSTREAM_ID, model.Endpoint('10.1.0.1', 80), ZONE),
    model.DrainUpstream(SERVICE, UPSTREAM_ID),
    model.UndrainUpstream(SERVICE, UPSTREAM_ID),
)


class SimulatedHost(Host):
    """Host whose clock and platform are controlled by the test."""

    def __init__(self, name: str, clock: Clock) -> None:
        super().__init__(name, clock)
        self.clock = clock

    def tick(self, seconds: float = 0.1) -> None:
        self.clock.now += seconds
        self.handle(kernel.Tick(self.clock.now))

    def outcome(self) -> ErrorKind | None:
        return self.published_events(kernel.ChangeDecided)[-1].error

    def pop_call(self, operation: kernel.ApiCall) -> kernel.CallApi:
        found = next(one for one in self.calls if one.operation is operation)
        self.calls.remove(found)
        return found

    def answer(self, call: kernel.CallApi, store: ObjectStore) -> None:
        self.handle(execute(call, store))

    def run_until_decided(self, store: ObjectStore) -> ErrorKind | None:
        """Answer the calls from ``store`` until the change is decided."""
        before = len(self.published_events(kernel.ChangeDecided))
        for _ in range(1000):
            if len(self.published_events(kernel.ChangeDecided)) > before:
                return self.outcome()
            calls, self.calls = self.calls, []
            for call in calls:
                self.answer(call, store)
            self.tick()
        raise AssertionError('the change was not decided within 1000 ticks')


def reply_to(
    call: kernel.CallApi,
    status: kernel.ApiStatus,
    version: int = 0,
    body: bytes = b'',
) -> kernel.ApiReplied:
    return kernel.ApiReplied(call.call_id, status, call.key, version, body)


def execute(call: kernel.CallApi, store: ObjectStore) -> kernel.ApiReplied:
    if call.operation is READ:
        found = store.get(call.key)
        if found is None:
            return reply_to(call, kernel.ApiStatus.NOT_FOUND)
        return reply_to(call, OK, found.version, found.body)
    if call.operation is WRITE:
        try:
            return reply_to(call, OK, store.put(call.key, call.body, call.version))
        except VersionMismatch:
            return reply_to(call, kernel.ApiStatus.CONFLICT)
    return reply_to(call, OK)


def lose_answer(host: SimulatedHost, store: ObjectStore) -> None:
    write = host.pop_call(WRITE)
    execute(write, store)
    host.handle(reply_to(write, UNKNOWN))


def new_host(name: str = 'h1') -> SimulatedHost:
    """Return a host that started 6 s ago, so that it no longer holds changes."""
    host = SimulatedHost(name, Clock())
    host.clock.now += 6
    return host


def test_starting_host_holds_changes_until_neighbours_have_reported() -> None:
    """Guards against a change based on a stored object older than the neighbours'.

    A starting host does not know the newer generation until it receives it by
    gossip.
    """
    store = ObjectStore()
    store.put(KEY, encode_shard(shard_at(2)), 0)
    host = SimulatedHost('h1', Clock())
    host.handle(many_members())
    host.request(CREATE_OTHER_SERVICE, 'c1')
    host.tick()
    assert not host.published_events(kernel.ChangeDecided)
    host.handle(
        kernel.GossipReceived(messages.ShardCopy(model.HostId('h2'), shard_at(4)))
    )
    assert host.run_until_decided(store) is ErrorKind.CONFIGURATION_REGRESSED


def many_members() -> kernel.MembersChanged:
    return members(*(new_host(f'x{number}') for number in range(20)))


def shard_at(generation: int) -> model.Shard:
    shard = model.Shard(SHARD_INDEX, model.Generation(0))
    changes = (*CHANGES, *CHANGES[3:] * generation)
    for number, change in enumerate(changes[:generation]):
        shard = apply_change(shard, change, model.ChangeId(f's{number}'), 1.0)
    return shard


def changed_object(generation: int, version: int = 1) -> kernel.ObjectChanged:
    return kernel.ObjectChanged(KEY, version, encode_shard(shard_at(generation)))


def test_accepted_change_is_stored_in_force_and_passed_on() -> None:
    """Guards against an accepted change that is not stored or not gossiped."""
    store, host = ObjectStore(), new_host()
    host.handle(members(host, new_host('h2')))
    host.request(CREATE_SERVICE, 'c1')
    assert host.run_until_decided(store) is None
    stored = store.get(KEY)
    assert stored is not None
    shard = decode_shard(stored.body, SHARD_INDEX)
    assert shard.changes[-1].change_id == 'c1'
    assert host.generation() == 1
    assert messages.ShardCopy(model.HostId('h1'), shard) in host.gossip


def test_dry_run_writes_nothing() -> None:
    """Guards against a dry run that changes the stored shard."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_SERVICE, 'c1', dry_run=True)
    assert host.run_until_decided(store) is None
    host.request(model.DrainUpstream(SERVICE, UPSTREAM_ID), 'c2', dry_run=True)
    assert host.run_until_decided(store) is ErrorKind.INVALID_CONFIGURATION
    assert store.get(KEY) is None


@pytest.mark.parametrize('lost_writes', [1, 3])
def test_lost_answer_is_resolved_by_reading_back(lost_writes: int) -> None:
    """Guards against a write that succeeded but is reported unknown or repeated."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_SERVICE, 'c1')
    host.answer(host.pop_call(READ), store)
    for _ in range(lost_writes):
        write = host.pop_call(WRITE)
        host.handle(reply_to(write, UNKNOWN))
        host.tick(2)
        host.answer(host.pop_call(READ), store)
    lose_answer(host, store)
    assert host.run_until_decided(store) is None
    host.request(CREATE_SERVICE, 'c1')
    assert host.outcome() is None
    assert store.revision == 1


@pytest.mark.parametrize('sent', [False, True])
def test_unreachable_platform_is_distinguished_from_unknown_outcome(sent: bool) -> None:
    """Guards against reporting "not written" while a write may still take effect."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_SERVICE, 'c1')
    if sent:
        host.answer(host.pop_call(READ), store)
        write = host.pop_call(WRITE)
        host.handle(reply_to(write, UNKNOWN))
        host.tick(2)
        # The read does not return the write yet, which does not prove that it failed.
        host.answer(host.pop_call(READ), store)
    while not host.published_events(kernel.ChangeDecided):
        for call in host.calls:
            host.handle(reply_to(call, UNAVAILABLE))
        host.calls.clear()
        host.tick()
    expected = ErrorKind.CHANGE_UNKNOWN if sent else ErrorKind.PLATFORM_UNAVAILABLE
    assert host.outcome() is expected


@pytest.mark.parametrize(
    ('other', 'expected'),
    [(CHANGES[4], ErrorKind.CONFLICT), (CREATE_OTHER_SERVICE, None)],
)
def test_only_a_change_of_the_same_service_conflicts(
    other: model.Change,
    expected: ErrorKind | None,
) -> None:
    """Guards against lost updates and against unnecessary conflicts."""
    store, host, other_host = ObjectStore(), new_host(), new_host('h2')
    for change_id, change in enumerate((CREATE_SERVICE, CHANGES[2], CHANGES[3])):
        host.request(change, f'c{change_id}')
        host.run_until_decided(store)
    host.request(
        model.CreateUpstream(SERVICE, model.UpstreamId('u2'), OTHER_ENDPOINT, ZONE),
        'c8',
    )
    host.answer(host.pop_call(READ), store)
    other_host.request(other, 'c9')
    assert other_host.run_until_decided(store) is None
    assert host.run_until_decided(store) is expected


def test_older_object_is_counted_and_never_applied() -> None:
    """Guards against a recreated object that reverts the configuration."""
    store, host = ObjectStore(), new_host()
    host.handle(changed_object(5))
    for event in (
        changed_object(3, version=9),
        changed_object(5),
        kernel.ObjectChanged(KEY, 0, b''),
    ):
        host.handle(event)
    refused = [one.error for one in host.published_events(kernel.Refused)]
    assert refused == [ErrorKind.CONFIGURATION_REGRESSED] * 2
    assert host.generation() == 5
    store.put(KEY, encode_shard(shard_at(3)), 0)
    host.request(CREATE_OTHER_SERVICE, 'c1')
    assert host.run_until_decided(store) is ErrorKind.CONFIGURATION_REGRESSED
    assert store.revision == 1


def test_change_is_refused_on_a_divergent_object_of_the_same_generation() -> None:
    """Guards against a change that puts the content of a recreated object in force."""
    store, host = ObjectStore(), new_host()
    host.handle(changed_object(5))
    other = replace(shard_at(5), next_counter=9)
    store.put(KEY, encode_shard(other), 0)
    host.request(CREATE_KIND, 'c1')
    assert host.run_until_decided(store) is ErrorKind.CONFIGURATION_REGRESSED


RESTORE = model.RestoreConfiguration(SERVICE)


@pytest.mark.parametrize('stored', [0, 3, 5])
def test_restore_writes_the_shard_in_force_again(stored: int) -> None:
    """Guards against a shard that stays unchangeable after its object is recreated.

    The object is missing, older, or of the same generation with other content.
    """
    store, host = ObjectStore(), new_host()
    host.handle(changed_object(5))
    if stored:
        other = replace(shard_at(stored), next_counter=9)
        store.put(KEY, encode_shard(other), 0)
    host.request(RESTORE, 'r1', dry_run=True)
    assert host.run_until_decided(store) is None
    assert store.revision == bool(stored)
    host.request(RESTORE, 'r2')
    host.answer(host.pop_call(READ), store)
    lose_answer(host, store)
    assert host.run_until_decided(store) is None
    found = store.get(KEY)
    assert found is not None
    shard = decode_shard(found.body, SHARD_INDEX)
    assert shard.services == shard_at(5).services
    assert (shard.generation, shard.changes[-1].change_id) == (6, 'r2')
    # Service numbers that the stored shard allocated are not used again.
    assert shard.next_counter == (9 if stored else shard_at(5).next_counter)
    assert host.generation() == 6
    host.request(CREATE_KIND, 'c1')
    assert host.run_until_decided(store) is None


def test_restore_does_not_touch_a_shard_that_is_not_older() -> None:
    """Guards against a restore that reverts changes, even after a stale read."""
    store, host = ObjectStore(), new_host()
    host.handle(changed_object(5))
    store.put(KEY, encode_shard(shard_at(5)), 0)
    host.request(RESTORE, 'r1')
    assert host.run_until_decided(store) is ErrorKind.CONFLICT
    host.request(RESTORE, 'r2')
    read = host.pop_call(READ)
    host.handle(reply_to(read, OK, 99, encode_shard(shard_at(3))))
    assert host.run_until_decided(store) is ErrorKind.CONFLICT
    assert store.revision == 1
    host = new_host()
    host.handle(changed_object(1))
    host.request(model.RestoreConfiguration(OTHER_SERVICE), 'r3')
    assert host.run_until_decided(ObjectStore()) is ErrorKind.INVALID_CONFIGURATION


def test_change_stored_below_the_generation_in_force_is_not_accepted() -> None:
    """Guards against accepting a change that no host with a newer shard applies.

    The object is replaced by an older one between the read and the write.
    """
    store, host = ObjectStore(), new_host()
    store.put(KEY, encode_shard(shard_at(3)), 0)
    host.request(CREATE_KIND, 'c1')
    host.answer(host.pop_call(READ), store)
    host.handle(changed_object(7))
    host.answer(host.pop_call(WRITE), store)
    assert host.outcome() is ErrorKind.CHANGE_UNKNOWN


@pytest.mark.parametrize(
    ('change', 'other'),
    [
        (CHANGES[3], CHANGES[4]),
        (CREATE_KIND, CREATE_KIND),
        (model.CreateUpstream(SERVICE, model.UpstreamId('u2'), OTHER_ENDPOINT, ZONE),)
        * 2,
    ],
)
def test_stored_change_is_not_refused_after_the_object_was_recreated(
    change: model.Change, other: model.Change
) -> None:
    """Guards against "refused" for a change whose write had taken effect.

    Its answer was lost, the object was recreated from the body before the write,
    and another change was stored at the same generation.
    """
    store, host, other_host = ObjectStore(), new_host(), new_host('h2')
    before = encode_shard(shard_at(3))
    store.put(KEY, before, 0)
    host.request(change, 'c1')
    host.answer(host.pop_call(READ), store)
    lose_answer(host, store)
    store.delete(KEY, None)
    store.put(KEY, before, 0)
    other_host.request(other, 'c2')
    assert other_host.run_until_decided(store) is None
    assert host.run_until_decided(store) in {None, ErrorKind.CHANGE_UNKNOWN}


def test_invalid_shard_leaves_the_last_valid_one_in_force() -> None:
    """Guards against a damaged object or shard copy that clears the configuration."""
    host = new_host()
    host.handle(changed_object(5))
    broken = model.Shard(
        SHARD_INDEX, model.Generation(9), services=shard_at(5).services
    )
    host.handle(kernel.ObjectChanged(KEY, 2, b'{"generation": 9}'))
    host.receive_gossip(messages.ShardCopy(model.HostId('h2'), broken))
    assert len(host.published_events(kernel.Refused)) == 2
    rejected = host.published_events(kernel.ShardRejected)
    assert [(one.index, one.generation) for one in rejected] == [
        (SHARD_INDEX, 0),
        (SHARD_INDEX, 9),
    ]
    assert host.generation() == 5


def test_lagging_neighbour_gets_the_shard_at_a_limited_rate() -> None:
    """Guards against a neighbour that stays behind, and against flooding it."""
    host, other = new_host(), new_host('h2')
    host.handle(members(host, other))
    host.handle(changed_object(5))
    host.gossip.clear()
    digest = messages.Digest(
        model.HostId('h2'), ZONE, {SHARD_INDEX: model.Generation(4)}
    )
    for _ in range(20):
        host.receive_gossip(digest)
        host.tick(0.05)
    copies = host.sent_gossip(messages.ShardCopy)
    assert 1 <= len(copies) <= 4
    other.receive_gossip(copies[0])
    assert other.generation() == 5
    host.gossip.clear()
    host.handle(kernel.Resumed(9))
    assert isinstance(host.gossip[0], messages.Digest)


@pytest.mark.parametrize(('repeats', 'sent'), [(0, 1), (1, 0)])
def test_copy_is_forwarded_unless_neighbours_sent_it(repeats: int, sent: int) -> None:
    """Guards against lost changes, and against every host sending every shard."""
    host = new_host()
    host.handle(many_members())
    for sender in range(1 + repeats):
        copy = messages.ShardCopy(model.HostId(f'x{sender}'), shard_at(2))
        host.receive_gossip(copy)
    for _ in range(20):
        host.tick()
    assert len(host.sent_gossip(messages.ShardCopy)) == sent


def test_digest_is_skipped_only_while_neighbours_agree() -> None:
    """Guards against a lagging host that stops sending digests."""
    host = new_host()
    host.handle(many_members())
    host.handle(changed_object(5))
    counts = []
    for generation in (5, 6):
        host.gossip.clear()
        theirs = {SHARD_INDEX: model.Generation(generation)}
        digest = messages.Digest(model.HostId('x1'), ZONE, theirs)
        for _ in range(80):
            host.receive_gossip(digest)
            host.tick()
        counts.append(len(host.sent_gossip(messages.Digest)))
    assert counts[0] == 2
    assert counts[1] > 8


def test_watchers_and_neighbours_do_not_grow_with_the_zone() -> None:
    """Guards against watches and links that grow with the number of hosts."""
    clock = Clock()
    hosts = [SimulatedHost(f'h{number}', clock) for number in range(100)]
    for host in hosts:
        host.handle(kernel.Started())
        host.handle(members(*hosts))
        host.tick(0)
    watchers = [
        host
        for host in hosts
        if any(call.operation is kernel.ApiCall.WATCH for call in host.calls)
    ]
    assert len(watchers) == 2
    assert {len(host.neighbours) for host in hosts} == {7}
    watchers[0].handle(members(*hosts[:0]))
    watchers[0].handle(members(*(one for one in hosts if one not in watchers)))
    assert watchers[0].calls[-1].operation is kernel.ApiCall.UNWATCH


def test_failed_list_is_retried_slowly_until_a_neighbour_sends_a_shard() -> None:
    """Guards against overloading the platform when it becomes reachable again."""
    host = new_host()
    others = [new_host(f'x{number}') for number in range(20)]
    host.handle(kernel.Started())
    host.handle(members(host, *others))
    failed = []
    for _ in range(600):
        host.tick()
        for call in host.calls:
            failed.append(host.clock.now)
            host.handle(reply_to(call, UNAVAILABLE))
        host.calls.clear()
    assert min(b - a for a, b in zip(failed, failed[1:], strict=False)) >= 2
    host.handle(
        kernel.GossipReceived(messages.ShardCopy(model.HostId('x1'), shard_at(2)))
    )
    host.tick(100)
    assert not host.calls


CALL_FATES = (*['ok'] * 6, 'lost', 'late', 'late', 'down', 'stale')


class ConcurrentOperators(RuleBasedStateMachine):
    """Two operators on two hosts, with faults of the platform and the gossip link.

    Answers and gossip may be lost, late or repeated, and reads may be stale. A
    write without an answer may take effect later, but not after the object was
    recreated.
    """

    def __init__(self) -> None:
        super().__init__()
        clock = Clock()
        self.hosts = (SimulatedHost('h1', clock), SimulatedHost('h2', clock))
        for host in self.hosts:
            host.handle(members(*self.hosts))
        self.store = ObjectStore()
        self.bodies = [encode_shard(shard_at(3))]
        self.store.put(KEY, self.bodies[0], 0)
        self.late_writes: list[kernel.CallApi] = []
        self.last_generations = [0, 0]
        self.requested = 0
        self.recreated = False

    def pending_calls(self, host: SimulatedHost) -> list[kernel.CallApi]:
        host.calls = [one for one in host.calls if one.operation in (READ, WRITE)]
        return host.calls

    def execute_and_record(self, call: kernel.CallApi) -> kernel.ApiReplied:
        reply = execute(call, self.store)
        if call.operation is WRITE and reply.status is OK:
            self.bodies.append(call.body)
        return reply

    @rule(
        host_number=st.integers(0, 1),
        change=st.sampled_from(
            (CREATE_OTHER_SERVICE, *CHANGES[3:], *[CREATE_KIND] * 3)
        ),
    )
    def request(self, host_number: int, change: model.Change) -> None:
        if len(self.pending_calls(self.hosts[host_number])) < 3:
            self.requested += 1
            if change is CREATE_KIND:
                change = replace(CREATE_KIND, name=f'k{self.requested}')
            self.hosts[host_number].request(change, f'c{self.requested}')

    @rule(
        host_number=st.integers(0, 1),
        fates=st.lists(st.sampled_from(CALL_FATES), min_size=1, max_size=6),
        pick=st.integers(0, 9),
    )
    def answer(self, host_number: int, fates: list[str], pick: int) -> None:
        host = self.hosts[host_number]
        for fate in fates:
            if not self.pending_calls(host):
                host.tick(1.5)
            if self.pending_calls(host):
                self.answer_one(host, fate, pick)

    def answer_one(self, host: SimulatedHost, fate: str, pick: int) -> None:
        call = host.calls.pop(pick % len(host.calls))
        if fate == 'ok':
            host.handle(self.execute_and_record(call))
        elif fate == 'lost':
            self.execute_and_record(call)
            host.handle(reply_to(call, UNKNOWN))
        elif fate == 'late' and call.operation is WRITE:
            self.late_writes.append(call)
            host.handle(reply_to(call, UNKNOWN))
        elif fate == 'stale' and call.operation is READ:
            place = pick % len(self.bodies)
            host.handle(reply_to(call, OK, 1 + place, self.bodies[place]))
        else:
            host.handle(reply_to(call, UNAVAILABLE))

    @rule()
    def late_write_arrives(self) -> None:
        if self.late_writes:
            self.execute_and_record(self.late_writes.pop(0))

    @rule(host_number=st.integers(0, 1), pick=st.integers(0, 9), keep=st.booleans())
    def gossip_arrives(self, host_number: int, pick: int, keep: bool) -> None:
        """Deliver a message of the other host late, twice or not at all."""
        sent = self.hosts[1 - host_number].gossip
        if sent:
            message = sent[pick % len(sent)]
            self.hosts[host_number].receive_gossip(message)
            if not keep:
                sent.clear()

    @rule(host_number=st.integers(0, 1), pick=st.integers(0, 99))
    def watch_reports_any_earlier_body(self, host_number: int, pick: int) -> None:
        body = self.bodies[pick % len(self.bodies)]
        self.hosts[host_number].handle(kernel.ObjectChanged(KEY, 1 + pick, body))

    @precondition(lambda self: self.requested > 4)
    @rule(pick=st.integers(0, 99))
    def recreate(self, pick: int) -> None:
        self.recreated = True
        self.late_writes.clear()
        self.store.delete(KEY, None)
        self.store.put(KEY, self.bodies[pick % len(self.bodies)], None)

    @rule(seconds=st.sampled_from((0.1, 0.5, 3.0)))
    def tick(self, seconds: float) -> None:
        for host in self.hosts:
            host.tick(seconds / 2)

    @invariant()
    def generation_never_falls(self) -> None:
        current = [host.generation() for host in self.hosts]
        assert all(
            new >= old for old, new in zip(self.last_generations, current, strict=True)
        )
        self.last_generations = current

    @invariant()
    def accepted_means_stored_and_refused_means_not(self) -> None:
        stored = {
            record.change_id
            for body in self.bodies
            for record in decode_shard(body, SHARD_INDEX).changes
        }
        for host in self.hosts:
            for decided in host.published_events(kernel.ChangeDecided):
                if decided.error is None:
                    assert decided.change_id in stored
                elif decided.error is not ErrorKind.CHANGE_UNKNOWN:
                    assert decided.change_id not in stored

    @invariant()
    def accepted_change_stays_in_force(self) -> None:
        # After a recreation, lagging hosts can accept changes on a divergent
        # shard, which the higher generation then replaces.
        if self.recreated:
            return
        for host in self.hosts:
            in_force = host.plugin.store.get(SHARD_INDEX)
            kept = {record.change_id for record in in_force.changes}
            for decided in host.published_events(kernel.ChangeDecided):
                if decided.error is None:
                    assert decided.change_id in kept


ConcurrentOperators.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
test_operators = ConcurrentOperators.TestCase


@pytest.mark.parametrize('number', [5, 7])
def test_operators_with_seeds_that_failed(number: int) -> None:
    """Guards against CONFLICT for a stored change after the object was recreated."""
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        seed(number)(ConcurrentOperators),
        settings=settings(test_operators.settings, derandomize=False, database=None),
    )
