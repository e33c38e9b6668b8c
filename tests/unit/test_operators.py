"""Tests of the operators plug-in: one answer for each statement, bounded tables."""

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
UPSTREAM_ENDPOINT = Endpoint('10.0.0.9', 80)
SERVICE = model.Service(
    NUMBER,
    API,
    Endpoint('10.1.0.1', 80),
    kinds=(model.WorkKind(FEED, 'feed', 0, long=True),),
    upstreams=(Upstream(UpstreamId('u1'), UPSTREAM_ENDPOINT, Zone('tortel')),),
)
VIEW = ConfigurationView(
    MappingProxyType({NUMBER: SERVICE}),
    MappingProxyType({SERVICE.address: SERVICE}),
    MappingProxyType({ShardIndex(0): Generation(5), ShardIndex(1): Generation(2)}),
)
READY = kernel.UpstreamChanged(
    NUMBER,
    UpstreamId('u1'),
    UPSTREAM_ENDPOINT,
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
    """Clock whose time is set by the test."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time as Unix time in seconds."""
        return 1000 + self.now


@dataclass
class FakeConfiguration:
    """Replaces the plug-in ``configuration``; decides changes if ``decide`` is set."""

    decide: bool = True
    error: ErrorKind | None = None
    requests: list[kernel.ChangeRequested] = field(default_factory=list)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Record the request and decide it at once, or never."""
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


def report_status(event: Event) -> Iterator[Effect]:
    """Replace the plug-in ``status``: report two zones and one without a status."""
    assert isinstance(event, kernel.StatusRequested)
    missing = (Zone('cochrane'),)
    yield kernel.Publish(kernel.StatusKnown(event.query_id, STATUSES, missing))


class Harness:
    """A kernel with the plug-in under test and replacements of two others."""

    def __init__(
        self,
        decide: bool = True,
        error: ErrorKind | None = None,
        status_events: frozenset[type] = frozenset((kernel.StatusRequested,)),
    ) -> None:
        """Build the kernel and publish a configuration.

        ``status_events`` are the events that the replaced plug-in ``status``
        handles; without any it does not answer.
        """
        self.clock = VirtualClock()
        self.configuration = FakeConfiguration(decide, error)
        identity = (HostId('h1'), Region('r'), Zone('tortel'))
        endpoints = (HOST, HOST, HOST, HOST)
        settings = model.HostSettings(*identity, *endpoints, 'http://127.0.0.1:1', KEY)
        context = kernel.Context(settings, self.clock, random.Random(1), Incarnation(1))
        requests = frozenset((kernel.ChangeRequested,))
        configuration = PluginSpec(
            'configuration', lambda _: self.configuration, requests
        )
        status = PluginSpec(
            'status', lambda _: SimpleNamespace(handle=report_status), status_events
        )
        specs = (*kernel.load_plugins(('operators',)), configuration, status)
        self.kernel = Kernel(context, specs)
        self.kernel.dispatch(kernel.ConfigurationChanged(VIEW))
        self._last_id = 0

    def dispatch(self, *events: Event) -> None:
        """Dispatch events and check that they get no reply."""
        for event in events:
            assert not self.replies(event)

    def replies(self, event: Event) -> list[Reply]:
        """Dispatch an event and return the replies.

        Each reply must be encodable as JSON and name its host and time.
        """
        effects = self.kernel.dispatch(event)
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        for reply in replies:
            json.dumps(reply.content)
            assert reply.content['host'] == 'h1'
            assert reply.content['as_of'] == self.clock.wall()
        return replies

    def send(self, text: str, change_id: str = '') -> list[Reply]:
        """Send a statement and return the immediate replies."""
        self._last_id += 1
        query_id = QueryId(self._last_id)
        return self.replies(kernel.StatementReceived(query_id, text, change_id))

    def query(self, text: str) -> dict[str, Any]:
        """Send a statement and return the content of its reply, which must succeed."""
        (reply,) = self.send(text)
        assert reply.exit_code == 0, reply.content
        return reply.content


def flow_id(nonce: int = 1) -> FlowId:
    """Return the id of a flow of kind ``feed`` to the upstream."""
    owner = (HOST, Incarnation(1))
    upstream = (UPSTREAM_ENDPOINT, Incarnation(1))
    fields = FlowFields(FlowClass.LONG, FEED, NUMBER, *owner, nonce, *upstream)
    return FlowIdCodec(KEY).encode(fields)


def test_change_is_answered_once_with_its_outcome() -> None:
    """Guards against a change that is answered twice or under another change id.

    A decision that is repeated after the answer gets no second reply.
    """
    harness = Harness()
    (reply,) = harness.send('drain upstream u1 of api', 'c1')
    assert reply.exit_code == 0
    assert reply.content['outcome'] == 'accepted'
    assert (reply.content['change_id'], reply.content['generation']) == ('c1', 6)
    (request,) = harness.configuration.requests
    assert request.change_id == 'c1'
    assert request.change == model.DrainUpstream(API, UpstreamId('u1'))
    ids = (request.query_id, request.change_id)
    assert not harness.replies(kernel.ChangeDecided(*ids, None, Generation(6), ''))


@pytest.mark.parametrize(
    ('error', 'exit_code'),
    [
        (ErrorKind.INVALID_CONFIGURATION, 1),
        (ErrorKind.CONFLICT, 3),
        (ErrorKind.CHANGE_UNKNOWN, 4),
        (ErrorKind.PLATFORM_UNAVAILABLE, 5),
    ],
)
def test_refused_change_reports_error_and_detail(
    error: ErrorKind, exit_code: int
) -> None:
    """Guards against an exit code that claims a known outcome for an unknown one."""
    (reply,) = Harness(error=error).send('delete service api')
    assert reply.exit_code == exit_code
    assert reply.content['error'] == error.name
    assert reply.content['detail'] == 'detail'


def test_undecided_changes_expire_and_are_bounded() -> None:
    """Guards against a change that is never answered, and against unbounded memory.

    Without a decision the answer is "unknown" after 10 s; changes over the
    limit of 256 are refused at once.
    """
    harness = Harness(decide=False)
    refused = [harness.send('delete service api') for _ in range(300)]
    full = [reply for replies in refused for reply in replies]
    assert {reply.content['error'] for reply in full} == {'RESOURCE_LIMIT'}
    assert len(harness.configuration.requests) == 300 - len(full) == 256
    assert not harness.replies(kernel.Tick(9.9))
    expired = harness.replies(kernel.Tick(10))
    assert {reply.exit_code for reply in expired} == {4}
    assert len({reply.query_id for reply in expired}) == 256
    assert not harness.replies(kernel.Tick(11))


def test_invalid_statements_are_refused() -> None:
    """Guards against exit code 0 for statements that were not executed.

    The reply to a syntax error holds its line and column.
    """
    harness = Harness()
    (reply,) = harness.send('show\nhost')
    assert (reply.exit_code, reply.content['error']) == (2, 'BAD_STATEMENT')
    assert (reply.content['line'], reply.content['column']) == (2, 1)
    (reply,) = harness.send('show flows of nothing')
    assert (reply.exit_code, reply.content['error']) == (1, 'NOT_FOUND')
    (reply,) = harness.send('delete service api', 'c' * 65)
    assert (reply.exit_code, reply.content['error']) == (2, 'BAD_STATEMENT')


def test_flows_and_upstreams() -> None:
    """Guards against wrong counts, and against broken flows without their error."""
    harness = Harness()
    harness.dispatch(
        READY,
        kernel.FlowOpened(NUMBER, FEED, flow_id(1)),
        kernel.FlowOpened(NUMBER, FEED, flow_id(2)),
        kernel.FlowClosed(NUMBER, flow_id(1), ErrorKind.UPSTREAM_LOST),
        kernel.RequestFinished(NUMBER, FEED, UPSTREAM_ENDPOINT, None, 0.1),
        kernel.RequestFinished(NUMBER, FEED, None, ErrorKind.QUEUE_FULL, 0.1),
    )
    (row,) = harness.query('show flows')['rows']
    assert (row['service'], row['kind']) == ('api', 'feed')
    assert (row['flows_open'], row['flows_opened']) == (1, 2)
    assert row['flows_broken'] == {'UPSTREAM_LOST': 1}
    assert row['requests_answered'] == 1
    assert row['requests_failed'] == {'QUEUE_FULL': 1}
    (row,) = harness.query('show upstreams of api')['rows']
    assert (row['state'], row['weight'], row['flows_open']) == ('ready', 0.5, 1)
    shown = harness.query('show service api')['object']
    assert (shown['kinds'][0]['kind'], len(shown['flows'])) == ('feed', 1)
    assert harness.query('show services')['rows'][0]['upstreams'] == 1


def test_dry_run_reports_affected_objects() -> None:
    """Guards against a dry run that omits open flows and other affected objects."""
    harness = Harness()
    harness.dispatch(READY, kernel.FlowOpened(NUMBER, FEED, flow_id()))
    content = harness.query('dry run drain upstream u1 of api')
    assert harness.configuration.requests[0].dry_run
    assert content['outcome'] == 'valid'
    assert content['affected']['upstreams'][0]['flows_open'] == 1
    affected = harness.query('dry run delete service api')['affected']
    assert (affected['kinds'], affected['upstreams']) == (['feed'], ['u1'])
    affected = harness.query('dry run delete kind feed of api')['affected']
    assert affected['flows'][0]['flows_opened'] == 1


def test_config_lists_lagging_hosts() -> None:
    """Guards against a host that serves old configuration unnoticed.

    Digests older than 60 s are ignored, so their hosts are not listed.
    """
    harness = Harness()
    harness.clock.now = 50
    current = {ShardIndex(0): Generation(5), ShardIndex(1): Generation(2)}
    old = {ShardIndex(0): Generation(4), ShardIndex(99): Generation(1)}
    zone = Zone('tortel')
    harness.dispatch(
        kernel.GossipReceived(Digest(HostId('h2'), zone, current)),
        kernel.GossipReceived(Digest(HostId('h3'), zone, old)),
    )
    content = harness.query('show config')
    assert content['heard_from'] == ['h2', 'h3']
    assert [row['lagging'] for row in content['rows']] == [['h3'], ['h3']]
    assert [row['since'] for row in content['rows']] == [1000, 1000]
    harness.clock.now = 200
    assert harness.query('show config')['heard_from'] == []


def test_refusals_are_bounded_and_filtered_by_age() -> None:
    """Guards against an unbounded list of refusals, and against a wrong age filter."""
    harness = Harness()
    for second in range(600):
        harness.clock.now = second
        harness.dispatch(kernel.Refused(ErrorKind.QUEUE_FULL, NUMBER, 'x' * 1000))
    content = harness.query('show refusals')
    assert len(content['rows']) == 500
    assert content['counts_since_start'] == {'QUEUE_FULL': 600}
    assert len(content['rows'][0]['detail']) <= 200
    assert len(harness.query('show refusals since 10s')['rows']) == 11
    harness.dispatch(kernel.MembersChanged((harness.kernel.context.member,)))
    (row,) = harness.query('show hosts')['rows']
    assert (row['member'], row['state']) == ('h1', 'alive')


def test_state_is_bounded_by_the_configuration() -> None:
    """Guards against tables that grow with flows, peers or removed services."""
    harness = Harness()
    for index in range(5000):
        number = ServiceNumber(1000 + index)
        harness.dispatch(
            kernel.RequestFinished(number, FEED, Endpoint('10.9.9.9', index), None, 0),
            kernel.GossipReceived(Digest(HostId(f'h{index}'), Zone('z'), {})),
            replace(READY, service=number),
        )
    plugin = harness.kernel.plugins_by_name['operators']
    assert isinstance(plugin, operators.OperatorsPlugin)
    host_state = plugin._host_state
    assert len(host_state.digests_by_host) == 64
    assert len(host_state.work_counters._counts_by_kind) <= 4096
    assert len(host_state.upstreams) <= 4096
    harness.dispatch(kernel.ConfigurationChanged(VIEW))
    assert not host_state.work_counters._counts_by_kind
    assert not host_state.work_counters._counts_by_upstream
    assert not host_state.upstreams


def test_config_reports_the_status_of_each_zone() -> None:
    """Guards against a status without its age, and against an omitted zone."""
    content = Harness().query('show config')
    own, (other, missing) = content['own_zone'], content['other_zones']
    assert (own['zone'], own['age_seconds'], own['up_to_date']) == ('tortel', 10, 1)
    assert own['lagging'] == [{'host': 'h3', 'holds': {'0': 4}}]
    assert (other['zone'], other['age_seconds']) == ('higgins', 30)
    assert missing == {'zone': 'cochrane', 'state': 'not reporting'}


def test_config_is_answered_without_a_status() -> None:
    """Guards against a query that is never answered if ``status`` is not loaded."""
    harness = Harness(status_events=frozenset())
    assert not harness.send('show config')
    (reply,) = harness.replies(kernel.Tick(4))
    assert reply.content['rows'][0]['generation'] == 5
    assert 'own_zone' not in reply.content
    assert not harness.replies(kernel.Tick(5))
