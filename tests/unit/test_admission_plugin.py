"""Decisions of the admission plug-in on each ``Open``."""

import random
from types import MappingProxyType

from test_requests_machine import HOST, Clock

from lycheedeal import kernel, model
from lycheedeal.admission import AdmissionPlugin
from lycheedeal.errors import ErrorKind
from lycheedeal.messages import Open, OpenRefused, Pushback, RelayedOpen

CALLER = model.Endpoint('127.0.0.9', 900)
PEER = model.Endpoint('127.0.0.2', 200)
URGENT, BULK, FEED = model.KindId(0), model.KindId(1), model.KindId(2)
SERVICE = model.Service(
    model.ServiceNumber(1),
    model.ServiceName('api'),
    model.Endpoint('127.0.0.1', 50),
    kinds=(
        model.WorkKind(URGENT, 'urgent', priority=1),
        model.WorkKind(BULK, 'bulk', priority=5),
        model.WorkKind(FEED, 'feed', priority=5, long=True),
    ),
)
VIEW = kernel.ConfigurationChanged(
    model.ConfigurationView(
        MappingProxyType({SERVICE.number: SERVICE}),
        MappingProxyType({SERVICE.address: SERVICE}),
    )
)


class Host:
    """Admission plug-in with a virtual clock that returns the effects of an event."""

    def __init__(self, *events: kernel.Event) -> None:
        self.clock = Clock()
        context = kernel.Context(
            HOST, self.clock, random.Random(3), model.Incarnation(1)
        )
        self.plugin = AdmissionPlugin(context)
        for event in events:
            self.dispatch(event)

    def dispatch(self, event: kernel.Event) -> list[kernel.Effect]:
        return list(self.plugin.handle(event))

    def open(
        self, kind: model.KindId, address: model.Endpoint = SERVICE.address
    ) -> list[kernel.Effect]:
        return self.dispatch(kernel.CallerMessage(CALLER, address, Open(7, kind)))

    def relayed(self, kind: model.KindId) -> list[kernel.Effect]:
        message = RelayedOpen(CALLER, SERVICE.number, Open(7, kind))
        return self.dispatch(kernel.PeerMessage(PEER, message))


def refusal(effects: list[kernel.Effect]) -> OpenRefused:
    answers = [
        effect.message for effect in effects if isinstance(effect, kernel.SendToCaller)
    ]
    assert len(answers) == 1
    assert isinstance(answers[0], OpenRefused)
    assert answers[0].nonce == 7
    return answers[0]


def admitted(effects: list[kernel.Effect]) -> kernel.OpenAdmitted:
    assert len(effects) == 1
    assert isinstance(effects[0], kernel.Publish)
    assert isinstance(effects[0].event, kernel.OpenAdmitted)
    return effects[0].event


def test_each_refusal_names_its_reason() -> None:
    """Guards against an open that gets no answer or the wrong error."""
    assert refusal(Host().open(URGENT)).error is ErrorKind.NOT_READY
    assert refusal(Host().relayed(URGENT)).error is ErrorKind.NOT_READY
    host = Host(VIEW)
    elsewhere = model.Endpoint('127.0.0.1', 51)
    assert refusal(host.open(URGENT, elsewhere)).error is ErrorKind.UNKNOWN_SERVICE
    assert refusal(host.open(model.KindId(9))).error is ErrorKind.UNKNOWN_KIND
    host.dispatch(kernel.StopStarted(deadline=2000))
    assert refusal(host.relayed(URGENT)).error is ErrorKind.OWNER_LEAVING


def test_stopping_host_still_relays_opens() -> None:
    """Guards against a stopping host that refuses opens which it can still relay."""
    host = Host(VIEW)
    host.dispatch(kernel.StopStarted(deadline=2000))
    assert admitted(host.open(URGENT)).relayed_by is None


def test_admitted_open_tells_where_it_came_from() -> None:
    """Guards against relaying an open twice because its relay is not named."""
    host = Host(VIEW)
    assert admitted(host.open(BULK)).relayed_by is None
    event = admitted(host.relayed(BULK))
    assert (event.relayed_by, event.caller, event.service) == (PEER, CALLER, SERVICE)


def test_pushback_covers_its_kinds_until_it_expires() -> None:
    """Guards against a pushback that covers other kinds or never expires."""
    host = Host(VIEW)
    pushback = Pushback(SERVICE.number, kinds=(BULK,), ttl_ms=60_000)
    host.dispatch(kernel.PeerMessage(PEER, pushback))
    assert refusal(host.open(BULK)).error is ErrorKind.PUSHED_BACK
    admitted(host.open(URGENT))
    admitted(host.open(FEED))
    admitted(host.relayed(BULK))
    host.clock.now += 1
    admitted(host.open(BULK))


def test_most_urgent_kind_is_pushed_back_alone() -> None:
    """Guards against a flood of the most urgent kind that is not pushed back.

    A less urgent kind with a floor is still served, so it stays admitted.
    """
    measured = kernel.QueueMeasured(SERVICE.number, frozenset((URGENT,)), drain_ms=800)
    owner = Host(VIEW, measured)
    pushback = Pushback(SERVICE.number, (URGENT,), 400)
    assert kernel.SendToPeer(PEER, pushback) in owner.relayed(URGENT)
    relay = Host(VIEW, kernel.PeerMessage(PEER, pushback))
    assert refusal(relay.open(URGENT)).error is ErrorKind.PUSHED_BACK
    admitted(relay.open(BULK))


def test_retry_delays_are_spread() -> None:
    """Guards against callers that are refused together and retry together."""
    host = Host(VIEW, kernel.PeerMessage(PEER, Pushback(SERVICE.number, (BULK,), 500)))
    delays = [refusal(host.open(BULK)).retry_after_ms for _ in range(200)]
    assert min(delays) < 1300
    assert max(delays) > 2700
    assert all(1000 <= delay <= 3000 for delay in delays)


def test_full_queue_refuses_and_pushes_back_once() -> None:
    """Guards against a pushback for each refused open, and against none at all."""
    measured = kernel.QueueMeasured(
        SERVICE.number, frozenset((BULK, FEED)), drain_ms=800
    )
    host = Host(VIEW, measured)
    effects = host.relayed(BULK)
    assert refusal(effects).error is ErrorKind.PUSHED_BACK
    assert kernel.SendToPeer(PEER, Pushback(SERVICE.number, (BULK,), 400)) in effects
    admitted(host.relayed(URGENT))
    admitted(host.relayed(FEED))
    again = [
        effect for effect in host.relayed(BULK) if isinstance(effect, kernel.SendToPeer)
    ]
    assert not again
    assert refusal(host.open(BULK)).error is ErrorKind.PUSHED_BACK
    host.dispatch(kernel.QueueMeasured(SERVICE.number, frozenset(), drain_ms=0))
    admitted(host.relayed(BULK))
