"""Answers of the admission plug-in to each ``Open``."""

import random
from types import MappingProxyType

from lycheedeal.admission import Admission
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    CallerMessage,
    Context,
    Effect,
    Event,
    OpenAdmitted,
    PeerMessage,
    Publish,
    QueueMeasured,
    SendToCaller,
    SendToPeer,
    StopStarted,
    ViewChanged,
)
from lycheedeal.messages import Open, OpenRefused, Pushback, RelayedOpen
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    HostId,
    HostSettings,
    Incarnation,
    KindId,
    Region,
    Service,
    ServiceName,
    ServiceNumber,
    WorkKind,
    Zone,
)

CALLER = Endpoint('127.0.0.9', 900)
PEER = Endpoint('127.0.0.2', 200)
URGENT, BULK, FEED = KindId(0), KindId(1), KindId(2)
SERVICE = Service(
    ServiceNumber(1),
    ServiceName('api'),
    Endpoint('127.0.0.1', 50),
    kinds=(
        WorkKind(URGENT, 'urgent', priority=1),
        WorkKind(BULK, 'bulk', priority=5),
        WorkKind(FEED, 'feed', priority=5, long=True),
    ),
)
VIEW = ViewChanged(
    ConfigurationView(
        MappingProxyType({SERVICE.number: SERVICE}),
        MappingProxyType({SERVICE.address: SERVICE}),
    ),
)


class Clock:
    now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Host:
    """Plug-in with a virtual clock; returns the effects of an event."""

    def __init__(self, *events: Event) -> None:
        places = [Endpoint('127.0.0.1', port) for port in range(1, 5)]
        settings = HostSettings(
            HostId('host'),
            Region('region'),
            Zone('zone'),
            *places,
            platform_url='',
            flow_key=b'key',
        )
        self.clock = Clock()
        context = Context(settings, self.clock, random.Random(3), Incarnation(1))
        self.plugin = Admission(context)
        for event in events:
            self.dispatch(event)

    def dispatch(self, event: Event) -> list[Effect]:
        return list(self.plugin.handle(event))

    def open(self, kind: KindId, address: Endpoint = SERVICE.address) -> list[Effect]:
        return self.dispatch(CallerMessage(CALLER, address, Open(7, kind)))

    def relayed(self, kind: KindId) -> list[Effect]:
        message = RelayedOpen(CALLER, SERVICE.number, Open(7, kind))
        return self.dispatch(PeerMessage(PEER, message))


def refusal(effects: list[Effect]) -> OpenRefused:
    answers = [one.message for one in effects if isinstance(one, SendToCaller)]
    assert len(answers) == 1
    assert isinstance(answers[0], OpenRefused)
    assert answers[0].nonce == 7
    return answers[0]


def admitted(effects: list[Effect]) -> OpenAdmitted:
    assert len(effects) == 1
    assert isinstance(effects[0], Publish)
    assert isinstance(effects[0].event, OpenAdmitted)
    return effects[0].event


def test_each_refusal_names_its_reason() -> None:
    """Guards against opens that get no answer or the wrong one."""
    assert refusal(Host().open(URGENT)).error is ErrorKind.NOT_READY
    assert refusal(Host().relayed(URGENT)).error is ErrorKind.NOT_READY
    host = Host(VIEW)
    elsewhere = Endpoint('127.0.0.1', 51)
    assert refusal(host.open(URGENT, elsewhere)).error is ErrorKind.UNKNOWN_SERVICE
    assert refusal(host.open(KindId(9))).error is ErrorKind.UNKNOWN_KIND
    host.dispatch(StopStarted(deadline=2000))
    assert refusal(host.open(URGENT)).error is ErrorKind.OWNER_LEAVING


def test_admitted_open_tells_where_it_came_from() -> None:
    """Guards against an open that is relayed twice."""
    host = Host(VIEW)
    assert admitted(host.open(BULK)).relayed_by is None
    event = admitted(host.relayed(BULK))
    assert (event.relayed_by, event.caller, event.service) == (PEER, CALLER, SERVICE)


def test_pushback_covers_lower_kinds_until_it_expires() -> None:
    """Guards against urgent work pushed back and a pushback without end."""
    host = Host(VIEW)
    pushback = Pushback(SERVICE.number, max_priority=1, ttl_ms=60_000)
    host.dispatch(PeerMessage(PEER, pushback))
    assert refusal(host.open(BULK)).error is ErrorKind.PUSHED_BACK
    admitted(host.open(URGENT))
    admitted(host.relayed(BULK))
    host.clock.now += 1
    admitted(host.open(BULK))


def test_retry_delays_are_spread() -> None:
    """Guards against callers that were refused together and return together."""
    host = Host(VIEW, PeerMessage(PEER, Pushback(SERVICE.number, 1, 500)))
    delays = [refusal(host.open(BULK)).retry_after_ms for _ in range(200)]
    assert min(delays) < 1300
    assert max(delays) > 2700
    assert all(1000 <= delay <= 3000 for delay in delays)


def test_full_queue_refuses_and_pushes_back_once() -> None:
    """Guards against one pushback for each refused open, and against none."""
    measured = QueueMeasured(SERVICE.number, frozenset((BULK, FEED)), drain_ms=800)
    host = Host(VIEW, measured)
    effects = host.relayed(BULK)
    assert refusal(effects).error is ErrorKind.PUSHED_BACK
    assert SendToPeer(PEER, Pushback(SERVICE.number, 1, 400)) in effects
    admitted(host.relayed(URGENT))
    admitted(host.relayed(FEED))
    again = [one for one in host.relayed(BULK) if isinstance(one, SendToPeer)]
    assert not again
    assert refusal(host.open(BULK)).error is ErrorKind.PUSHED_BACK
    host.dispatch(QueueMeasured(SERVICE.number, frozenset(), drain_ms=0))
    admitted(host.relayed(BULK))
