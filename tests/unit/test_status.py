"""Configuration status of a zone, with virtual clock, links and object API."""

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


def view_changed(generation: int) -> kernel.ConfigurationChanged:
    generations = MappingProxyType({SHARD: Generation(generation)})
    return kernel.ConfigurationChanged(
        model.ConfigurationView(generations_by_shard=generations)
    )


class ZoneHarness:
    """Hosts with only the status plug-in, and one object API.

    Reports of hosts in ``lost_senders`` are dropped.
    """

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.calls: list[tuple[float, kernel.CallApi]] = []
        self.reports: list[tuple[float, HostId]] = []
        self.answers: list[kernel.StatusKnown] = []
        self.lost_senders: set[HostId] = set()
        self.api_is_down = False
        self.plugins: dict[HostId, StatusPlugin] = {}
        self.members: tuple[model.Member, ...] = ()
        for number in range(count):
            name = HostId(f'h{number}')
            endpoint = Endpoint('10.0.0.1', number)
            settings = model.HostSettings(
                name, REGION, ZONE, endpoint, endpoint, endpoint, endpoint, '', b''
            )
            rng = random.Random(name)
            context = kernel.Context(settings, self.clock, rng, model.Incarnation(1))
            self.plugins[name] = StatusPlugin(context)
            self.members = (*self.members, context.member)
        self.deliver_to_all(kernel.MembersChanged(self.members))

    @property
    def reporter(self) -> HostId:
        """Return the only host that collects reports."""
        (found,) = (name for name, plugin in self.plugins.items() if plugin._collector)
        return found

    @property
    def others(self) -> list[HostId]:
        return [name for name in self.plugins if name != self.reporter]

    def deliver_to_all(self, event: kernel.Event) -> None:
        for name in self.plugins:
            self.deliver(name, event)

    def deliver(self, name: HostId, event: kernel.Event) -> None:
        for effect in self.plugins[name].handle(event):
            match effect:
                case kernel.SendToPeer(peer, ConfigurationReport() as report):
                    self.reports.append((self.clock.now, name))
                    receiver = HostId(f'h{peer.port}')
                    if name not in self.lost_senders and receiver in self.plugins:
                        self.deliver(receiver, kernel.PeerMessage(peer, report))
                case kernel.CallApi():
                    self.calls.append((self.clock.now, effect))
                    for reply in self._execute(effect):
                        self.deliver(name, reply)
                case kernel.Publish(kernel.StatusKnown() as known):
                    self.answers.append(known)

    def _execute(self, call: kernel.CallApi) -> Iterator[kernel.Event]:
        version, body = self.objects.get(call.key, (0, b''))
        status = ApiStatus.OK
        if self.api_is_down:
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
            self.deliver_to_all(kernel.Tick(self.clock.now))

    def writes(self) -> list[float]:
        return [at for at, call in self.calls if call.operation is ApiCall.WRITE]

    def stored(self) -> model.ZoneStatus:
        status = decode_status(self.objects[KEY][1])
        assert status is not None
        return status


def settled_zone(count: int = 5) -> ZoneHarness:
    """Return a zone whose reporter has written its first status."""
    harness = ZoneHarness(count)
    harness.deliver_to_all(view_changed(7))
    harness.run(40)
    return harness


def test_only_a_report_makes_a_host_count_as_up_to_date() -> None:
    """Guards against a lagging or silent host that is counted as up to date."""
    harness = settled_zone()
    assert (harness.stored().up_to_date, harness.stored().silent) == (5, 0)
    behind, silent, *_ = harness.others
    harness.lost_senders.add(silent)
    for name in harness.plugins:
        if name != behind:
            harness.deliver(name, view_changed(8))
    harness.run(240)
    status = harness.stored()
    assert (status.hosts, status.up_to_date, status.silent) == (5, 3, 1)
    assert status.lagging == (
        model.LaggingHost(behind, {SHARD: Generation(7)}),
        model.LaggingHost(silent, None),
    )
    harness.deliver(behind, view_changed(8))
    harness.lost_senders.clear()
    harness.run(240)
    assert harness.stored().up_to_date == 5


def test_change_on_its_way_is_not_reported_as_lag() -> None:
    """Guards against hosts listed as lagging after each change or a lost report."""
    harness = settled_zone()
    harness.deliver(harness.reporter, view_changed(8))
    harness.run(5)
    harness.lost_senders.add(harness.others[0])
    for name in harness.others:
        harness.deliver(name, view_changed(8))
    harness.run(6)
    harness.lost_senders.clear()
    for _ in range(120):
        harness.run(1)
        assert harness.stored().up_to_date == 5


def test_reports_writes_and_lists_are_bounded() -> None:
    """Guards against reports, writes and lists of hosts beyond the stated cost."""
    harness = settled_zone(343)
    harness.reports.clear()
    harness.calls.clear()
    harness.run(600)
    assert len(harness.reports) <= 343 * 10
    assert len(harness.writes()) == 2
    stopped, *changing = harness.others
    for generation in range(8, 68):
        for name in (harness.reporter, *changing):
            harness.deliver(name, view_changed(generation))
        harness.run(2)
    assert [host.host_id for host in harness.stored().lagging] == [stopped]
    last: dict[HostId, float] = {}
    for at, name in harness.reports:
        assert at - last.get(name, 0) >= 15
        last[name] = at
    writes = harness.writes()
    assert len(writes) <= 2 + 5
    assert all(b - a >= 30 for a, b in zip(writes, writes[1:], strict=False))
    harness.deliver(harness.reporter, view_changed(99))
    harness.run(90)
    status = harness.stored()
    assert (status.hosts, status.up_to_date, len(status.lagging)) == (343, 1, 20)


def test_rejected_shard_is_reported_until_it_is_repaired() -> None:
    """Guards against a host that keeps an old shard without a reported reason."""
    harness = settled_zone()
    host = harness.others[0]
    harness.deliver(host, kernel.ShardRejected(SHARD, Generation(8), 'x' * 500))
    harness.run(60)
    rejected = model.RejectedShard(SHARD, Generation(8), 'x' * 120)
    assert harness.stored().rejecting == (model.RejectingHost(host, (rejected,)),)
    harness.deliver(host, view_changed(8))
    harness.run(60)
    assert not harness.stored().rejecting
    # An unreadable object has no generation; its rejection expires if not repeated.
    harness.deliver(host, kernel.ShardRejected(SHARD, Generation(0), 'unreadable'))
    harness.run(60)
    assert harness.stored().rejecting
    harness.run(240)
    assert not harness.stored().rejecting


def test_next_host_takes_over_and_reads_the_version_after_a_conflict() -> None:
    """Guards against a status that is no longer written when its reporter is lost."""
    harness = settled_zone()
    first = harness.reporter
    harness.plugins.pop(first)
    left = tuple(member for member in harness.members if member.host_id != first)
    harness.deliver_to_all(kernel.MembersChanged(left))
    harness.run(60)
    status = harness.stored()
    assert (status.hosts, status.up_to_date, status.silent) == (4, 4, 0)
    assert status.reporter == harness.reporter
    harness.objects[KEY] = (99, b'written by another host')
    harness.deliver_to_all(view_changed(8))
    harness.run(90)
    assert harness.objects[KEY][0] >= 100
    assert harness.stored().generations == {SHARD: 8}


def test_query_lists_once_and_names_zones_that_do_not_report() -> None:
    """Guards against a LIST for each query, and an outdated status in an answer."""
    harness = settled_zone()
    asked = harness.others[0]
    now = harness.clock.now
    for zone, at in (('fresh', now - 5), ('old', now - 800)):
        status = model.ZoneStatus(Zone(zone), HostId('x'), at, 9, 9)
        harness.objects[status_key(REGION, zone)] = (1, encode_status(status))
    harness.objects[status_key(REGION, 'broken')] = (1, b'{')
    listed = replace(harness.members[0], zone=Zone('none'))
    harness.deliver(asked, kernel.HostsListed((listed,)))
    harness.calls.clear()
    for _ in range(20):
        harness.deliver(asked, kernel.StatusRequested(model.QueryId(1)))
    answer = harness.answers[-1]
    assert [fresh.zone for fresh in answer.statuses] == ['fresh', ZONE]
    assert answer.not_reporting == ('broken', 'none', 'old')
    harness.api_is_down = True
    harness.run(6)
    harness.deliver(asked, kernel.StatusRequested(model.QueryId(2)))
    assert harness.answers[-1] == replace(answer, query_id=model.QueryId(2))
    lists = [call for _, call in harness.calls if call.operation is ApiCall.LIST]
    assert len(lists) == 2


def test_lost_list_reply_does_not_hold_the_answer() -> None:
    """Guards against a query that is not answered if the reply to a LIST is lost."""
    harness = settled_zone()
    plugin = harness.plugins[harness.reporter]
    (call,) = plugin.handle(kernel.StatusRequested(model.QueryId(4)))
    assert isinstance(call, kernel.CallApi)
    harness.run(4)
    (answer,) = harness.answers
    assert answer.query_id == 4
    # The reporter makes the status of its zone without the object API.
    assert [status.zone for status in answer.statuses] == [ZONE]
