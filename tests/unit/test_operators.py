"""Each statement gets one answer, from bounded state."""

import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from types import MappingProxyType, SimpleNamespace
from typing import Any

import pytest

from lycheedeal import kernel, model, operators
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Effect, Event, Kernel, PluginSpec, Reply
from lycheedeal.messages import Digest
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowClass,
    FlowFields,
    FlowId,
    FlowIdCodec,
    Generation,
    HostId,
    Incarnation,
    KindId,
    QueryId,
    Region,
    ServiceName,
    ServiceNumber,
    ShardIndex,
    Upstream,
    UpstreamId,
    Zone,
)

KEY = bytes(16)
HOST = Endpoint('127.0.0.1', 1)
NUMBER = ServiceNumber(3)
FEED = KindId(1)
API = ServiceName('api')
BACK_END = Endpoint('10.0.0.9', 80)
SERVICE = model.Service(
    NUMBER,
    API,
    Endpoint('10.1.0.1', 80),
    kinds=(model.WorkKind(FEED, 'feed', 0, long=True),),
    upstreams=(Upstream(UpstreamId('u1'), BACK_END, Zone('tortel')),),
)
VIEW = ConfigurationView(
    MappingProxyType({NUMBER: SERVICE}),
    MappingProxyType({SERVICE.address: SERVICE}),
    MappingProxyType({ShardIndex(0): Generation(5), ShardIndex(1): Generation(2)}),
)
READY = kernel.UpstreamChanged(
    NUMBER,
    UpstreamId('u1'),
    BACK_END,
    model.UpstreamState.READY,
    Incarnation(1),
    0.5,
)
LAGGING = model.LaggingHost(HostId('h3'), {ShardIndex(0): Generation(4)})
STATUSES = (
    model.ZoneStatus(Zone('tortel'), HostId('h2'), 990, 3, 1, lagging=(LAGGING,)),
    model.ZoneStatus(Zone('higgins'), HostId('h9'), 970, 5, 5),
)


@dataclass
class VirtualClock:
    """Time that a test sets."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time as Unix time."""
        return 1000 + self.now


@dataclass
class Decider:
    """Stands in for the plug-in configuration."""

    decide: bool = True
    error: ErrorKind | None = None
    requests: list[kernel.ChangeRequested] = field(default_factory=list)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Decide a change at once."""
        assert isinstance(event, kernel.ChangeRequested)
        self.requests.append(event)
        if self.decide:
            yield kernel.Publish(
                kernel.ChangeDecided(
                    event.query_id,
                    event.change_id,
                    self.error,
                    Generation(6),
                    'detail',
                ),
            )


def tell_status(event: Event) -> Iterator[Effect]:
    """Stand in for the plug-in status."""
    assert isinstance(event, kernel.StatusRequested)
    missing = (Zone('cochrane'),)
    yield kernel.Publish(kernel.StatusKnown(event.query_id, STATUSES, missing))


class Bench:
    """A kernel with the plug-in under test."""

    def __init__(
        self,
        decide: bool = True,
        error: ErrorKind | None = None,
        events: frozenset[type] = frozenset((kernel.StatusRequested,)),
    ) -> None:
        """Build the kernel and show it a configuration."""
        self.clock = VirtualClock()
        self.decider = Decider(decide, error)
        where = (HostId('h1'), Region('r'), Zone('tortel'))
        ports = (HOST, HOST, HOST, HOST)
        settings = model.HostSettings(*where, *ports, 'http://127.0.0.1:1', KEY)
        context = kernel.Context(settings, self.clock, random.Random(1), Incarnation(1))
        requests = frozenset((kernel.ChangeRequested,))
        decider = PluginSpec('decider', lambda _: self.decider, requests)
        status = PluginSpec(
            'status', lambda _: SimpleNamespace(handle=tell_status), events
        )
        specs = (*kernel.load_plugins(('operators',)), decider, status)
        self.kernel = Kernel(context, specs)
        self.kernel.dispatch(kernel.ConfigurationChanged(VIEW))
        self._last_id = 0

    def tell(self, *events: Event) -> None:
        """Dispatch events that get no reply."""
        for event in events:
            assert not self.replies(event)

    def replies(self, event: Event) -> list[Reply]:
        """Dispatch an event and return the replies."""
        effects = self.kernel.dispatch(event)
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        for reply in replies:
            json.dumps(reply.content)
            assert reply.content['host'] == 'h1'
            assert reply.content['as_of'] == self.clock.wall()
        return replies

    def state(self, text: str, change_id: str = '') -> list[Reply]:
        """Send a statement."""
        self._last_id += 1
        query_id = QueryId(self._last_id)
        return self.replies(kernel.StatementReceived(query_id, text, change_id))

    def ask(self, text: str) -> dict[str, Any]:
        """Return the content of a query that must succeed."""
        (reply,) = self.state(text)
        assert reply.exit_code == 0, reply.content
        return reply.content


def flow(nonce: int = 1) -> FlowId:
    """Return the id of a feed flow on the back end."""
    owner = (HOST, Incarnation(1))
    upstream = (BACK_END, Incarnation(1))
    fields = FlowFields(FlowClass.LONG, FEED, NUMBER, *owner, nonce, *upstream)
    return FlowIdCodec(KEY).encode(fields)


def test_change_is_answered_once_with_its_outcome() -> None:
    """Guards against a lost or doubled answer, and a changed change id."""
    bench = Bench()
    (reply,) = bench.state('drain upstream u1 of api', 'c1')
    assert reply.exit_code == 0
    assert reply.content['outcome'] == 'accepted'
    assert (reply.content['change_id'], reply.content['generation']) == ('c1', 6)
    (request,) = bench.decider.requests
    assert request.change_id == 'c1'
    assert request.change == model.DrainUpstream(API, UpstreamId('u1'))
    ids = (request.query_id, request.change_id)
    assert not bench.replies(kernel.ChangeDecided(*ids, None, Generation(6), ''))


@pytest.mark.parametrize(
    ('error', 'exit_code'),
    [
        (ErrorKind.INVALID_CONFIGURATION, 1),
        (ErrorKind.CONFLICT, 3),
        (ErrorKind.CHANGE_UNKNOWN, 4),
        (ErrorKind.PLATFORM_UNAVAILABLE, 5),
    ],
)
def test_refused_change_keeps_its_reason(error: ErrorKind, exit_code: int) -> None:
    """Guards against an exit code that says more than is known."""
    (reply,) = Bench(error=error).state('delete service api')
    assert reply.exit_code == exit_code
    assert reply.content['error'] == error.name
    assert reply.content['detail'] == 'detail'


def test_undecided_change_is_unknown_and_the_table_is_bounded() -> None:
    """Guards against an operator who waits for ever, and against a leak."""
    bench = Bench(decide=False)
    refused = [bench.state('delete service api') for _ in range(300)]
    full = [reply for replies in refused for reply in replies]
    assert {reply.content['error'] for reply in full} == {'RESOURCE_LIMIT'}
    assert len(bench.decider.requests) == 300 - len(full) == 256
    assert not bench.replies(kernel.Tick(9.9))
    expired = bench.replies(kernel.Tick(10))
    assert {reply.exit_code for reply in expired} == {4}
    assert len({reply.query_id for reply in expired}) == 256
    assert not bench.replies(kernel.Tick(11))


def test_bad_statement_and_unknown_service() -> None:
    """Guards against a fault that is reported as done."""
    bench = Bench()
    (reply,) = bench.state('show\nhost')
    assert (reply.exit_code, reply.content['error']) == (2, 'BAD_STATEMENT')
    assert (reply.content['line'], reply.content['column']) == (2, 1)
    (reply,) = bench.state('show flows of nothing')
    assert (reply.exit_code, reply.content['error']) == (1, 'NOT_FOUND')
    (reply,) = bench.state('delete service api', 'c' * 65)
    assert (reply.exit_code, reply.content['error']) == (2, 'BAD_STATEMENT')


def test_flows_and_upstreams() -> None:
    """Guards against wrong counts, and broken flows without a cause."""
    bench = Bench()
    bench.tell(
        READY,
        kernel.FlowOpened(NUMBER, FEED, flow(1)),
        kernel.FlowOpened(NUMBER, FEED, flow(2)),
        kernel.FlowClosed(NUMBER, flow(1), ErrorKind.UPSTREAM_LOST),
        kernel.RequestFinished(NUMBER, FEED, BACK_END, None, 0.1),
        kernel.RequestFinished(NUMBER, FEED, None, ErrorKind.QUEUE_FULL, 0.1),
    )
    (row,) = bench.ask('show flows')['rows']
    assert (row['service'], row['kind']) == ('api', 'feed')
    assert (row['flows_open'], row['flows_opened']) == (1, 2)
    assert row['flows_broken'] == {'UPSTREAM_LOST': 1}
    assert row['requests_answered'] == 1
    assert row['requests_failed'] == {'QUEUE_FULL': 1}
    (row,) = bench.ask('show upstreams of api')['rows']
    assert (row['state'], row['weight'], row['flows_open']) == ('ready', 0.5, 1)
    shown = bench.ask('show service api')['object']
    assert (shown['kinds'][0]['kind'], len(shown['flows'])) == ('feed', 1)
    assert bench.ask('show services')['rows'][0]['upstreams'] == 1


def test_dry_run_tells_what_is_affected() -> None:
    """Guards against a drain that surprises with open flows."""
    bench = Bench()
    bench.tell(READY, kernel.FlowOpened(NUMBER, FEED, flow()))
    content = bench.ask('dry run drain upstream u1 of api')
    assert bench.decider.requests[0].dry_run
    assert content['outcome'] == 'valid'
    assert content['affected']['upstreams'][0]['flows_open'] == 1
    affected = bench.ask('dry run delete service api')['affected']
    assert (affected['kinds'], affected['upstreams']) == (['feed'], ['u1'])
    affected = bench.ask('dry run delete kind feed of api')['affected']
    assert affected['flows'][0]['flows_opened'] == 1


def test_config_names_hosts_that_lag() -> None:
    """Guards against a host that serves old configuration unnoticed."""
    bench = Bench()
    bench.clock.now = 50
    current = {ShardIndex(0): Generation(5), ShardIndex(1): Generation(2)}
    old = {ShardIndex(0): Generation(4), ShardIndex(99): Generation(1)}
    zone = Zone('tortel')
    bench.tell(
        kernel.GossipReceived(Digest(HostId('h2'), zone, current)),
        kernel.GossipReceived(Digest(HostId('h3'), zone, old)),
    )
    content = bench.ask('show config')
    assert content['heard_from'] == ['h2', 'h3']
    assert [row['lagging'] for row in content['rows']] == [['h3'], ['h3']]
    assert [row['since'] for row in content['rows']] == [1000, 1000]
    bench.clock.now = 200
    assert bench.ask('show config')['heard_from'] == []


def test_refusals_by_age_and_members() -> None:
    """Guards against a ring that grows, and a wrong age filter."""
    bench = Bench()
    for second in range(600):
        bench.clock.now = second
        bench.tell(kernel.Refused(ErrorKind.QUEUE_FULL, NUMBER, 'x' * 1000))
    content = bench.ask('show refusals')
    assert len(content['rows']) == 500
    assert content['counts_since_start'] == {'QUEUE_FULL': 600}
    assert len(content['rows'][0]['detail']) <= 200
    assert len(bench.ask('show refusals since 10s')['rows']) == 11
    bench.tell(kernel.MembersChanged((bench.kernel.context.member,)))
    (row,) = bench.ask('show hosts')['rows']
    assert (row['member'], row['state']) == ('h1', 'alive')


def test_state_is_bounded_by_the_configuration() -> None:
    """Guards against tables that grow with flows, peers or old services."""
    bench = Bench()
    for index in range(5000):
        number = ServiceNumber(1000 + index)
        bench.tell(
            kernel.RequestFinished(number, FEED, Endpoint('10.9.9.9', index), None, 0),
            kernel.GossipReceived(Digest(HostId(f'h{index}'), Zone('z'), {})),
            replace(READY, service=number),
        )
    plugin = bench.kernel.plugins_by_name['operators']
    assert isinstance(plugin, operators.OperatorsPlugin)
    knowledge = plugin._knowledge
    assert len(knowledge.digests_by_host) == 64
    assert len(knowledge.work._counts_by_kind) <= 4096
    assert len(knowledge.upstreams) <= 4096
    bench.tell(kernel.ConfigurationChanged(VIEW))
    assert not knowledge.work._counts_by_kind
    assert not knowledge.work._counts_by_upstream
    assert not knowledge.upstreams


def test_config_tells_the_status_of_each_zone() -> None:
    """Guards against an old status without its age, and a zone left out."""
    content = Bench().ask('show config')
    own, (other, missing) = content['own_zone'], content['other_zones']
    assert (own['zone'], own['age_seconds'], own['up_to_date']) == ('tortel', 10, 1)
    assert own['lagging'] == [{'host': 'h3', 'holds': {'0': 4}}]
    assert (other['zone'], other['age_seconds']) == ('higgins', 30)
    assert missing == {'zone': 'cochrane', 'state': 'not reporting'}


def test_config_is_answered_without_a_status() -> None:
    """Guards against an operator who waits for a plug-in that is not loaded."""
    bench = Bench(events=frozenset())
    assert not bench.state('show config')
    (reply,) = bench.replies(kernel.Tick(4))
    assert reply.content['rows'][0]['generation'] == 5
    assert 'own_zone' not in reply.content
    assert not bench.replies(kernel.Tick(5))
