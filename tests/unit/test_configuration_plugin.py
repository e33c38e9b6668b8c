"""The plug-in with a stored object and two hosts, without a network."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheedeal import kernel, messages, model
from lycheedeal.configuration import apply_change, decode_shard, encode_shard
from lycheedeal.errors import ErrorKind
from standins.platform import ObjectStore, VersionMismatch
from tests.configuration_hosts import INDEX, ONE, TWO, UP, ZONE, Clock, Host, members

KEY = f'config/north/{INDEX}'
CREATE_ONE = model.CreateService(ONE, model.Endpoint('10.0.0.1', 80))
CREATE_TWO = model.CreateService(TWO, model.Endpoint('10.0.0.2', 80))
UP_TWO = model.Endpoint('10.1.0.2', 80)
CREATE_KIND = model.CreateKind(ONE, 'live', 0)
READ, WRITE = kernel.ApiCall.READ, kernel.ApiCall.WRITE
OK, UNKNOWN = kernel.ApiStatus.OK, kernel.ApiStatus.UNKNOWN
UNAVAILABLE = kernel.ApiStatus.UNAVAILABLE
CHANGES: tuple[model.Change, ...] = (
    CREATE_ONE,
    CREATE_TWO,
    model.CreateUpstream(ONE, UP, model.Endpoint('10.1.0.1', 80), ZONE),
    model.DrainUpstream(ONE, UP),
    model.UndrainUpstream(ONE, UP),
)


class PlayedHost(Host):
    """A host whose time and platform the test plays."""

    def __init__(self, name: str, clock: Clock) -> None:
        super().__init__(name, clock)
        self.time = clock

    def tick(self, seconds: float = 0.1) -> None:
        self.time.now += seconds
        self.take(kernel.Tick(self.time.now))

    def outcome(self) -> ErrorKind | None:
        return self.events(kernel.ChangeDecided)[-1].error

    def pop_call(self, operation: kernel.ApiCall) -> kernel.CallApi:
        found = next(one for one in self.calls if one.operation is operation)
        self.calls.remove(found)
        return found

    def answer(self, call: kernel.CallApi, store: ObjectStore) -> None:
        self.take(execute(call, store))

    def finish(self, store: ObjectStore) -> ErrorKind | None:
        """Let the platform answer until the change is decided."""
        before = len(self.events(kernel.ChangeDecided))
        for _ in range(1000):
            if len(self.events(kernel.ChangeDecided)) > before:
                return self.outcome()
            calls, self.calls = self.calls, []
            for call in calls:
                self.answer(call, store)
            self.tick()
        raise AssertionError('the change is not decided')


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


def lose_answer(host: PlayedHost, store: ObjectStore) -> None:
    write = host.pop_call(WRITE)
    execute(write, store)
    host.take(reply_to(write, UNKNOWN))


def new_host(name: str = 'h1') -> PlayedHost:
    """Return a host that was started long enough ago to take changes."""
    host = PlayedHost(name, Clock())
    host.time.now += 6
    return host


def test_booting_host_holds_changes_until_it_heard_its_neighbours() -> None:
    """Guards against a change on an old stored object that neighbours exceed."""
    store = ObjectStore()
    store.put(KEY, encode_shard(shard_at(2)), 0)
    host = PlayedHost('h1', Clock())
    host.take(crowd())
    host.request(CREATE_TWO, 'c1')
    host.tick()
    assert not host.events(kernel.ChangeDecided)
    host.take(
        kernel.GossipReceived(messages.ShardCopy(model.HostId('h2'), shard_at(4)))
    )
    assert host.finish(store) is ErrorKind.CONFIGURATION_REGRESSED


def crowd() -> kernel.MembersChanged:
    return members(*(new_host(f'x{number}') for number in range(20)))


def shard_at(generation: int) -> model.Shard:
    shard = model.Shard(INDEX, model.Generation(0))
    changes = (*CHANGES, *CHANGES[3:] * generation)
    for number, change in enumerate(changes[:generation]):
        shard = apply_change(shard, change, model.ChangeId(f's{number}'), 1.0)
    return shard


def changed(generation: int, version: int = 1) -> kernel.ObjectChanged:
    return kernel.ObjectChanged(KEY, version, encode_shard(shard_at(generation)))


def test_accepted_change_is_stored_in_force_and_passed_on() -> None:
    """Guards against an accepted change that reaches nobody."""
    store, host = ObjectStore(), new_host()
    host.take(members(host, new_host('h2')))
    host.request(CREATE_ONE, 'c1')
    assert host.finish(store) is None
    stored = store.get(KEY)
    assert stored is not None
    shard = decode_shard(stored.body, INDEX)
    assert shard.changes[-1].change_id == 'c1'
    assert host.generation() == 1
    assert messages.ShardCopy(model.HostId('h1'), shard) in host.gossip


def test_dry_run_writes_nothing() -> None:
    """Guards against a trial that takes effect."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_ONE, 'c1', dry_run=True)
    assert host.finish(store) is None
    host.request(model.DrainUpstream(ONE, UP), 'c2', dry_run=True)
    assert host.finish(store) is ErrorKind.INVALID_CONFIGURATION
    assert store.get(KEY) is None


@pytest.mark.parametrize('loses', [1, 3])
def test_lost_answer_is_resolved_by_reading_back(loses: int) -> None:
    """Guards against "unknown" or a second change for a write that landed."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_ONE, 'c1')
    host.answer(host.pop_call(READ), store)
    for _ in range(loses):
        write = host.pop_call(WRITE)
        host.take(reply_to(write, UNKNOWN))
        host.tick(2)
        host.answer(host.pop_call(READ), store)
    lose_answer(host, store)
    assert host.finish(store) is None
    host.request(CREATE_ONE, 'c1')
    assert host.outcome() is None
    assert store.revision == 1


@pytest.mark.parametrize('sent', [False, True])
def test_platform_down_is_told_apart_from_unknown(sent: bool) -> None:
    """Guards against "not written" for a write that may yet land."""
    store, host = ObjectStore(), new_host()
    host.request(CREATE_ONE, 'c1')
    if sent:
        host.answer(host.pop_call(READ), store)
        write = host.pop_call(WRITE)
        host.take(reply_to(write, UNKNOWN))
        host.tick(2)
        # The write is not seen yet, which does not prove that it failed.
        host.answer(host.pop_call(READ), store)
    while not host.events(kernel.ChangeDecided):
        for call in host.calls:
            host.take(reply_to(call, UNAVAILABLE))
        host.calls.clear()
        host.tick()
    expected = ErrorKind.CHANGE_UNKNOWN if sent else ErrorKind.PLATFORM_UNAVAILABLE
    assert host.outcome() is expected


@pytest.mark.parametrize(
    ('other', 'expected'),
    [(CHANGES[4], ErrorKind.CONFLICT), (CREATE_TWO, None)],
)
def test_only_a_change_of_the_same_service_conflicts(
    other: model.Change,
    expected: ErrorKind | None,
) -> None:
    """Guards against silent overwriting and against needless conflicts."""
    store, host, racer = ObjectStore(), new_host(), new_host('h2')
    for change_id, change in enumerate((CREATE_ONE, CHANGES[2], CHANGES[3])):
        host.request(change, f'c{change_id}')
        host.finish(store)
    host.request(model.CreateUpstream(ONE, model.UpstreamId('u2'), UP_TWO, ZONE), 'c8')
    host.answer(host.pop_call(READ), store)
    racer.request(other, 'c9')
    assert racer.finish(store) is None
    assert host.finish(store) is expected


def test_older_object_is_counted_and_never_applied() -> None:
    """Guards against a recreated object that reverts the configuration."""
    store, host = ObjectStore(), new_host()
    host.take(changed(5))
    for event in (changed(3, version=9), changed(5), kernel.ObjectChanged(KEY, 0, b'')):
        host.take(event)
    refused = [one.error for one in host.events(kernel.Refused)]
    assert refused == [ErrorKind.CONFIGURATION_REGRESSED] * 2
    assert host.generation() == 5
    store.put(KEY, encode_shard(shard_at(3)), 0)
    host.request(CREATE_TWO, 'c1')
    assert host.finish(store) is ErrorKind.CONFIGURATION_REGRESSED
    assert store.revision == 1


def test_other_history_of_the_same_generation_is_not_extended() -> None:
    """Guards against a change that carries a recreated object into force."""
    store, host = ObjectStore(), new_host()
    host.take(changed(5))
    other = replace(shard_at(5), next_counter=9)
    store.put(KEY, encode_shard(other), 0)
    host.request(CREATE_KIND, 'c1')
    assert host.finish(store) is ErrorKind.CONFIGURATION_REGRESSED


RESTORE = model.RestoreConfiguration(ONE)


@pytest.mark.parametrize('stored', [0, 3, 5])
def test_restore_writes_the_shard_in_force_again(stored: int) -> None:
    """Guards against endless refusals after an object is deleted or made anew."""
    store, host = ObjectStore(), new_host()
    host.take(changed(5))
    if stored:
        other = replace(shard_at(stored), next_counter=9)
        store.put(KEY, encode_shard(other), 0)
    host.request(RESTORE, 'r1', dry_run=True)
    assert host.finish(store) is None
    assert store.revision == bool(stored)
    host.request(RESTORE, 'r2')
    host.answer(host.pop_call(READ), store)
    lose_answer(host, store)
    assert host.finish(store) is None
    found = store.get(KEY)
    assert found is not None
    shard = decode_shard(found.body, INDEX)
    assert shard.services == shard_at(5).services
    assert (shard.generation, shard.changes[-1].change_id) == (6, 'r2')
    # Numbers that the stored shard gave out are not given out again.
    assert shard.next_counter == (9 if stored else shard_at(5).next_counter)
    assert host.generation() == 6
    host.request(CREATE_KIND, 'c1')
    assert host.finish(store) is None


def test_restore_does_not_touch_a_shard_that_is_not_older() -> None:
    """Guards against a restore that reverts changes, also after a stale read."""
    store, host = ObjectStore(), new_host()
    host.take(changed(5))
    store.put(KEY, encode_shard(shard_at(5)), 0)
    host.request(RESTORE, 'r1')
    assert host.finish(store) is ErrorKind.CONFLICT
    host.request(RESTORE, 'r2')
    read = host.pop_call(READ)
    host.take(reply_to(read, OK, 99, encode_shard(shard_at(3))))
    assert host.finish(store) is ErrorKind.CONFLICT
    assert store.revision == 1
    host = new_host()
    host.take(changed(1))
    host.request(model.RestoreConfiguration(TWO), 'r3')
    assert host.finish(ObjectStore()) is ErrorKind.INVALID_CONFIGURATION


def test_change_stored_below_the_generation_in_force_is_not_accepted() -> None:
    """Guards against "accepted" if the object is replaced before the write."""
    store, host = ObjectStore(), new_host()
    store.put(KEY, encode_shard(shard_at(3)), 0)
    host.request(CREATE_KIND, 'c1')
    host.answer(host.pop_call(READ), store)
    host.take(changed(7))
    host.answer(host.pop_call(WRITE), store)
    assert host.outcome() is ErrorKind.CHANGE_UNKNOWN


def test_invalid_shard_leaves_the_last_good_one_in_force() -> None:
    """Guards against a damaged object that empties the configuration."""
    host = new_host()
    host.take(changed(5))
    broken = model.Shard(INDEX, model.Generation(9), services=shard_at(5).services)
    host.take(kernel.ObjectChanged(KEY, 2, b'{"generation": 9}'))
    host.hear(messages.ShardCopy(model.HostId('h2'), broken))
    assert len(host.events(kernel.Refused)) == 2
    rejected = host.events(kernel.ShardRejected)
    assert [(one.index, one.generation) for one in rejected] == [(INDEX, 0), (INDEX, 9)]
    assert host.generation() == 5


def test_neighbour_that_lags_gets_the_shard_at_a_limited_rate() -> None:
    """Guards against lost gossip, and against copies that use up the link."""
    host, other = new_host(), new_host('h2')
    host.take(members(host, other))
    host.take(changed(5))
    host.gossip.clear()
    digest = messages.Digest(model.HostId('h2'), ZONE, {INDEX: model.Generation(4)})
    for _ in range(20):
        host.hear(digest)
        host.tick(0.05)
    copies = host.sent(messages.ShardCopy)
    assert 1 <= len(copies) <= 4
    other.hear(copies[0])
    assert other.generation() == 5
    host.gossip.clear()
    host.take(kernel.Resumed(9))
    assert isinstance(host.gossip[0], messages.Digest)


@pytest.mark.parametrize(('repeats', 'sent'), [(0, 1), (1, 0)])
def test_copy_is_passed_on_unless_neighbours_did(repeats: int, sent: int) -> None:
    """Guards against lost changes, and against each host sending each shard."""
    host = new_host()
    host.take(crowd())
    for sender in range(1 + repeats):
        copy = messages.ShardCopy(model.HostId(f'x{sender}'), shard_at(2))
        host.hear(copy)
    for _ in range(20):
        host.tick()
    assert len(host.sent(messages.ShardCopy)) == sent


def test_digest_is_left_out_only_while_neighbours_agree() -> None:
    """Guards against a host that lags and does not tell."""
    host = new_host()
    host.take(crowd())
    host.take(changed(5))
    counts = []
    for generation in (5, 6):
        host.gossip.clear()
        theirs = {INDEX: model.Generation(generation)}
        digest = messages.Digest(model.HostId('x1'), ZONE, theirs)
        for _ in range(80):
            host.hear(digest)
            host.tick()
        counts.append(len(host.sent(messages.Digest)))
    assert counts[0] == 2
    assert counts[1] > 8


def test_two_hosts_of_a_zone_watch_and_neighbours_are_few() -> None:
    """Guards against platform calls and links that grow with the fleet."""
    clock = Clock()
    hosts = [PlayedHost(f'h{number}', clock) for number in range(100)]
    for host in hosts:
        host.take(kernel.Started())
        host.take(members(*hosts))
        host.tick(0)
    watchers = [
        host
        for host in hosts
        if any(call.operation is kernel.ApiCall.WATCH for call in host.calls)
    ]
    assert len(watchers) == 2
    assert {len(host.neighbours) for host in hosts} == {7}
    watchers[0].take(members(*hosts[:0]))
    watchers[0].take(members(*(one for one in hosts if one not in watchers)))
    assert watchers[0].calls[-1].operation is kernel.ApiCall.UNWATCH


def test_failed_list_is_retried_slowly_until_neighbours_help() -> None:
    """Guards against a rush on the platform when it comes back."""
    host = new_host()
    others = [new_host(f'x{number}') for number in range(20)]
    host.take(kernel.Started())
    host.take(members(host, *others))
    failed = []
    for _ in range(600):
        host.tick()
        for call in host.calls:
            failed.append(host.time.now)
            host.take(reply_to(call, UNAVAILABLE))
        host.calls.clear()
    assert min(b - a for a, b in zip(failed, failed[1:], strict=False)) >= 2
    host.take(
        kernel.GossipReceived(messages.ShardCopy(model.HostId('x1'), shard_at(2)))
    )
    host.tick(100)
    assert not host.calls


FATES = (*['ok'] * 6, 'lost', 'late', 'late', 'down', 'stale')


class Operators(RuleBasedStateMachine):
    """Two operators on two hosts, with a platform and a link that misbehave.

    A write without an answer may land later, but not across a recreation of
    the object.
    """

    def __init__(self) -> None:
        super().__init__()
        clock = Clock()
        self.hosts = (PlayedHost('h1', clock), PlayedHost('h2', clock))
        for host in self.hosts:
            host.take(members(*self.hosts))
        self.store = ObjectStore()
        self.bodies = [encode_shard(shard_at(3))]
        self.store.put(KEY, self.bodies[0], 0)
        self.late: list[kernel.CallApi] = []
        self.highest = [0, 0]
        self.requested = 0
        self.recreated = False

    def pending(self, host: PlayedHost) -> list[kernel.CallApi]:
        host.calls = [one for one in host.calls if one.operation in (READ, WRITE)]
        return host.calls

    def put(self, call: kernel.CallApi) -> kernel.ApiReplied:
        reply = execute(call, self.store)
        if call.operation is WRITE and reply.status is OK:
            self.bodies.append(call.body)
        return reply

    @rule(
        which=st.integers(0, 1),
        change=st.sampled_from((CREATE_TWO, *CHANGES[3:], *[CREATE_KIND] * 3)),
    )
    def request(self, which: int, change: model.Change) -> None:
        if len(self.pending(self.hosts[which])) < 3:
            self.requested += 1
            if change is CREATE_KIND:
                change = replace(CREATE_KIND, name=f'k{self.requested}')
            self.hosts[which].request(change, f'c{self.requested}')

    @rule(
        which=st.integers(0, 1),
        fates=st.lists(st.sampled_from(FATES), min_size=1, max_size=6),
        pick=st.integers(0, 9),
    )
    def answer(self, which: int, fates: list[str], pick: int) -> None:
        host = self.hosts[which]
        for fate in fates:
            if not self.pending(host):
                host.tick(1.5)
            if self.pending(host):
                self.answer_one(host, fate, pick)

    def answer_one(self, host: PlayedHost, fate: str, pick: int) -> None:
        call = host.calls.pop(pick % len(host.calls))
        if fate == 'ok':
            host.take(self.put(call))
        elif fate == 'lost':
            self.put(call)
            host.take(reply_to(call, UNKNOWN))
        elif fate == 'late' and call.operation is WRITE:
            self.late.append(call)
            host.take(reply_to(call, UNKNOWN))
        elif fate == 'stale' and call.operation is READ:
            place = pick % len(self.bodies)
            host.take(reply_to(call, OK, 1 + place, self.bodies[place]))
        else:
            host.take(reply_to(call, UNAVAILABLE))

    @rule()
    def late_write_arrives(self) -> None:
        if self.late:
            self.put(self.late.pop(0))

    @rule(which=st.integers(0, 1), pick=st.integers(0, 9), keep=st.booleans())
    def hear(self, which: int, pick: int, keep: bool) -> None:
        """A neighbour's message arrives late, twice or not at all."""
        heard = self.hosts[1 - which].gossip
        if heard:
            message = heard[pick % len(heard)]
            self.hosts[which].hear(message)
            if not keep:
                heard.clear()

    @rule(which=st.integers(0, 1), pick=st.integers(0, 99))
    def watch_reports_any_earlier_body(self, which: int, pick: int) -> None:
        body = self.bodies[pick % len(self.bodies)]
        self.hosts[which].take(kernel.ObjectChanged(KEY, 1 + pick, body))

    @precondition(lambda self: self.requested > 4)
    @rule(pick=st.integers(0, 99))
    def recreate(self, pick: int) -> None:
        self.recreated = True
        self.late.clear()
        self.store.delete(KEY, None)
        self.store.put(KEY, self.bodies[pick % len(self.bodies)], None)

    @rule(seconds=st.sampled_from((0.1, 0.5, 3.0)))
    def tick(self, seconds: float) -> None:
        for host in self.hosts:
            host.tick(seconds / 2)

    @invariant()
    def generation_never_falls(self) -> None:
        current = [host.generation() for host in self.hosts]
        assert all(new >= old for old, new in zip(self.highest, current, strict=True))
        self.highest = current

    @invariant()
    def accepted_means_stored_and_refused_means_not(self) -> None:
        stored = {
            record.change_id
            for body in self.bodies
            for record in decode_shard(body, INDEX).changes
        }
        for host in self.hosts:
            for decided in host.events(kernel.ChangeDecided):
                if decided.error is None:
                    assert decided.change_id in stored
                elif decided.error is not ErrorKind.CHANGE_UNKNOWN:
                    assert decided.change_id not in stored

    @invariant()
    def accepted_change_stays_in_force(self) -> None:
        # Hosts that lag behind a recreated object can fork the history; what
        # they accepted is replaced by the higher generation.
        if self.recreated:
            return
        for host in self.hosts:
            in_force = host.plugin.store.get(INDEX)
            kept = {record.change_id for record in in_force.changes}
            for decided in host.events(kernel.ChangeDecided):
                if decided.error is None:
                    assert decided.change_id in kept


Operators.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
test_operators = Operators.TestCase
