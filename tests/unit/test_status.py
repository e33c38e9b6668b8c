"""Configuration status of a zone, with a virtual clock, links and object API."""

import random
from collections.abc import Iterator
from dataclasses import replace
from types import MappingProxyType

from lycheedeal import kernel, model
from lycheedeal.kernel import ApiCall, ApiReplied, ApiStatus
from lycheedeal.messages import ConfigurationReport
from lycheedeal.model import Endpoint, Generation, HostId, ShardIndex, Zone
from lycheedeal.status import StatusPlugin, decode_status, encode_status, status_key
from tests.configuration_hosts import Clock

ZONE = Zone('z')
REGION = model.Region('north')
KEY = status_key(REGION, ZONE)
SHARD = ShardIndex(3)


def view(generation: int) -> kernel.ConfigurationChanged:
    generations = MappingProxyType({SHARD: Generation(generation)})
    return kernel.ConfigurationChanged(
        model.ConfigurationView(generations_by_shard=generations)
    )


class ZoneBench:
    """Hosts with only this plug-in, and one object API."""

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.calls: list[tuple[float, kernel.CallApi]] = []
        self.reports: list[tuple[float, HostId]] = []
        self.known: list[kernel.StatusKnown] = []
        self.lost: set[HostId] = set()
        self.down = False
        self.plugins: dict[HostId, StatusPlugin] = {}
        self.members: tuple[model.Member, ...] = ()
        for number in range(count):
            name = HostId(f'h{number}')
            here = Endpoint('10.0.0.1', number)
            settings = model.HostSettings(
                name, REGION, ZONE, here, here, here, here, '', b''
            )
            rng = random.Random(name)
            context = kernel.Context(settings, self.clock, rng, model.Incarnation(1))
            self.plugins[name] = StatusPlugin(context)
            self.members = (*self.members, context.member)
        self.tell_all(kernel.MembersChanged(self.members))

    @property
    def reporter(self) -> HostId:
        """Return the only host that collects."""
        (found,) = (name for name, one in self.plugins.items() if one._collector)
        return found

    @property
    def others(self) -> list[HostId]:
        return [name for name in self.plugins if name != self.reporter]

    def tell_all(self, event: kernel.Event) -> None:
        for name in self.plugins:
            self.tell(name, event)

    def tell(self, name: HostId, event: kernel.Event) -> None:
        for effect in self.plugins[name].handle(event):
            match effect:
                case kernel.SendToPeer(peer, ConfigurationReport() as report):
                    self.reports.append((self.clock.now, name))
                    receiver = HostId(f'h{peer.port}')
                    if name not in self.lost and receiver in self.plugins:
                        self.tell(receiver, kernel.PeerMessage(peer, report))
                case kernel.CallApi():
                    self.calls.append((self.clock.now, effect))
                    for reply in self._execute(effect):
                        self.tell(name, reply)
                case kernel.Publish(kernel.StatusKnown() as known):
                    self.known.append(known)

    def _execute(self, call: kernel.CallApi) -> Iterator[kernel.Event]:
        version, body = self.objects.get(call.key, (0, b''))
        status = ApiStatus.OK
        if self.down:
            status = ApiStatus.UNAVAILABLE
        elif call.operation is ApiCall.LIST:
            for key, stored in self.objects.items():
                yield kernel.ObjectChanged(key, *stored)
        elif call.operation is ApiCall.READ:
            status = ApiStatus.OK if version else ApiStatus.NOT_FOUND
        elif version == call.version:
            version += 1
            self.objects[call.key] = (version, call.body)
        else:
            status = ApiStatus.CONFLICT
        yield ApiReplied(call.call_id, status, call.key, version, body)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 2)):
            self.clock.now += 0.5
            self.tell_all(kernel.Tick(self.clock.now))

    def writes(self) -> list[float]:
        return [at for at, one in self.calls if one.operation is ApiCall.WRITE]

    def stored(self) -> model.ZoneStatus:
        status = decode_status(self.objects[KEY][1])
        assert status is not None
        return status


def settled(count: int = 5) -> ZoneBench:
    """Return a zone whose reporter has written its first status."""
    bench = ZoneBench(count)
    bench.tell_all(view(7))
    bench.run(40)
    return bench


def test_only_a_report_makes_a_host_count_as_up_to_date() -> None:
    """Guards against a lagging or silent host that is counted as good."""
    bench = settled()
    assert (bench.stored().up_to_date, bench.stored().silent) == (5, 0)
    behind, silent, *_ = bench.others
    bench.lost.add(silent)
    for name in bench.plugins:
        if name != behind:
            bench.tell(name, view(8))
    bench.run(240)
    status = bench.stored()
    assert (status.hosts, status.up_to_date, status.silent) == (5, 3, 1)
    assert status.lagging == (
        model.LaggingHost(behind, {SHARD: Generation(7)}),
        model.LaggingHost(silent, None),
    )
    bench.tell(behind, view(8))
    bench.lost.clear()
    bench.run(240)
    assert bench.stored().up_to_date == 5


def test_change_on_its_way_is_not_reported_as_lag() -> None:
    """Guards against a false alarm after each change, with one report lost."""
    bench = settled()
    bench.tell(bench.reporter, view(8))
    bench.run(5)
    bench.lost.add(bench.others[0])
    for name in bench.others:
        bench.tell(name, view(8))
    bench.run(6)
    bench.lost.clear()
    for _ in range(120):
        bench.run(1)
        assert bench.stored().up_to_date == 5


def test_cost_is_bounded() -> None:
    """Guards against reports, calls and lists beyond the stated cost."""
    bench = settled(343)
    bench.reports.clear()
    bench.calls.clear()
    bench.run(600)
    assert len(bench.reports) <= 343 * 10
    assert len(bench.writes()) == 2
    stopped, *changing = bench.others
    for generation in range(8, 68):
        for name in (bench.reporter, *changing):
            bench.tell(name, view(generation))
        bench.run(2)
    assert [one.host_id for one in bench.stored().lagging] == [stopped]
    last: dict[HostId, float] = {}
    for at, name in bench.reports:
        assert at - last.get(name, 0) >= 15
        last[name] = at
    writes = bench.writes()
    assert len(writes) <= 2 + 5
    assert all(b - a >= 30 for a, b in zip(writes, writes[1:], strict=False))
    bench.tell(bench.reporter, view(99))
    bench.run(90)
    status = bench.stored()
    assert (status.hosts, status.up_to_date, len(status.lagging)) == (343, 1, 20)


def test_rejected_shard_is_reported_until_it_is_repaired() -> None:
    """Guards against a host that keeps an old shard and does not say why."""
    bench = settled()
    host = bench.others[0]
    bench.tell(host, kernel.ShardRejected(SHARD, Generation(8), 'x' * 500))
    bench.run(60)
    rejected = model.RejectedShard(SHARD, Generation(8), 'x' * 120)
    assert bench.stored().rejecting == (model.RejectingHost(host, (rejected,)),)
    bench.tell(host, view(8))
    bench.run(60)
    assert not bench.stored().rejecting
    # An unreadable object has no generation; it is dropped when not seen again.
    bench.tell(host, kernel.ShardRejected(SHARD, Generation(0), 'unreadable'))
    bench.run(60)
    assert bench.stored().rejecting
    bench.run(240)
    assert not bench.stored().rejecting


def test_next_host_takes_over_and_reads_the_version_after_a_conflict() -> None:
    """Guards against a zone whose status ends with its reporter."""
    bench = settled()
    first = bench.reporter
    bench.plugins.pop(first)
    left = tuple(one for one in bench.members if one.host_id != first)
    bench.tell_all(kernel.MembersChanged(left))
    bench.run(60)
    status = bench.stored()
    assert (status.hosts, status.up_to_date, status.silent) == (4, 4, 0)
    assert status.reporter == bench.reporter
    bench.objects[KEY] = (99, b'written by another host')
    bench.tell_all(view(8))
    bench.run(90)
    assert bench.objects[KEY][0] >= 100
    assert bench.stored().generations == {SHARD: 8}


def test_query_lists_once_and_names_zones_that_do_not_report() -> None:
    """Guards against a LIST for each query, and an old status shown as new."""
    bench = settled()
    asked = bench.others[0]
    now = bench.clock.now
    for zone, at in (('fresh', now - 5), ('old', now - 800)):
        status = model.ZoneStatus(Zone(zone), HostId('x'), at, 9, 9)
        bench.objects[status_key(REGION, zone)] = (1, encode_status(status))
    bench.objects[status_key(REGION, 'broken')] = (1, b'{')
    listed = replace(bench.members[0], zone=Zone('none'))
    bench.tell(asked, kernel.HostsListed((listed,)))
    bench.calls.clear()
    for _ in range(20):
        bench.tell(asked, kernel.StatusRequested(model.QueryId(1)))
    answer = bench.known[-1]
    assert [one.zone for one in answer.statuses] == ['fresh', ZONE]
    assert answer.not_reporting == ('broken', 'none', 'old')
    bench.down = True
    bench.run(6)
    bench.tell(asked, kernel.StatusRequested(model.QueryId(2)))
    assert bench.known[-1] == replace(answer, query_id=model.QueryId(2))
    lists = [one for _, one in bench.calls if one.operation is ApiCall.LIST]
    assert len(lists) == 2


def test_lost_list_reply_does_not_hold_the_answer() -> None:
    """Guards against a query that waits for ever."""
    bench = settled()
    plugin = bench.plugins[bench.reporter]
    (call,) = plugin.handle(kernel.StatusRequested(model.QueryId(4)))
    assert isinstance(call, kernel.CallApi)
    bench.run(4)
    (answer,) = bench.known
    assert answer.query_id == 4
    # The reporter knows its own zone without the object API.
    assert [one.zone for one in answer.statuses] == [ZONE]
