"""Snapshots that many hosts of a zone ask for at once."""

import json

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId, ServiceName, UpstreamId, Zone
from lycheedeal.relay import Edition
from lycheedeal.relay._copies import split_part
from lycheedeal.relay.peer_codec import MAX_DATAGRAM_BYTES, encode_message
from tests.change_histories import ChangeHistory, Deployment
from tests.relay_simulation import RelayHost, RelaySimulation, listing
from tests.timed_relays import TimedSimulation

# Half of the time in which a change must be in force.
SECONDS = 1.5
# Hosts to which a host passes on a message for its zone.
FANOUT = 4
# A zone of the size and with the content of a large deployment.
ZONE = Deployment({'a': 34}, 0.361, routes=57, upstreams=150, evacuation_seconds=5.0)


class LosingHistory(ChangeHistory):
    """A zone whose hosts have missed a change, and reach only their leader."""

    def __init__(self, seed: int, link_bits_per_second: int) -> None:
        super().__init__(ZONE, seed)
        simulation = self.simulation
        simulation.link_bits_per_second = link_bits_per_second
        (self.leader,) = (one for one in simulation.timed_hosts() if one.is_leader())
        for host in simulation.timed_hosts():
            if host is not self.leader:
                simulation.cut_from_store.add(host.context.settings.host_id)
        simulation.disconnected.update(simulation.hosts)
        self.change()
        simulation.store.put(*(listing(f'i-{one}', draining=True) for one in (1, 2)))
        simulation.report_changes()
        simulation.run(0.3)
        simulation.disconnected.clear()

    def hosts_behind(self) -> list[str]:
        version = self.simulation.store.version
        return [
            host.context.settings.host_id
            for host in self.simulation.timed_hosts()
            if host.version() != version
        ]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('megabits', [2, 5])
def test_zone_that_missed_a_change_has_it_soon(seed: int, megabits: int) -> None:
    """Guards against requests for content that fill the link of one host."""
    history = LosingHistory(seed, megabits * 1_000_000)
    assert len(history.hosts_behind()) == 33
    history.simulation.run(SECONDS)
    assert not history.hosts_behind()


def test_host_asks_one_of_many_senders_for_a_snapshot() -> None:
    """Guards against requests that grow with the number of leaders of a zone."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    for number in range(12):
        simulation.add(f'a-{number}', 'a')
    host, *others = simulation.hosts.values()
    simulation.run(2)
    simulation.recorded = []
    change = relay.ContentPart(
        HostId(''),
        relay.StoreKind.UPSTREAMS,
        base=Edition((1, 90)),
        position=relay.Position(relay.Era(1), relay.Revision(91)),
        part=0,
        parts=1,
        complete=False,
        settled=True,
        version=None,
        entries=(),
        removed=(),
        exact=True,
    )
    for sender in others:
        change.host_id = sender.context.settings.host_id
        host.dispatch(relay.PeerMessageReceived(change))
    requests = [one for _, one in simulation.recorded if b'"snapshot"' in one]
    assert len(requests) == 1
    simulation.run(0.3)
    host.dispatch(relay.PeerMessageReceived(change))
    requests = [one for _, one in simulation.recorded if b'"snapshot"' in one]
    assert len(requests) == 2


class ContentLosingSimulation(RelaySimulation):
    """A simulation that can lose what hosts send of their content."""

    loses_content = False

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if not (self.loses_content and b'"content"' in datagram):
            super().send(sender, endpoint, datagram)


def test_snapshot_is_not_requested_again_while_its_parts_arrive() -> None:
    """Guards against copies of a large snapshot that keep a narrow link busy."""
    simulation = ContentLosingSimulation()
    simulation.store.put(*(listing(f'i-{one + 1:x}') for one in range(400)))
    for number in range(2):
        simulation.add(f'a-{number}', 'a')
    leader, host = simulation.hosts.values()
    simulation.run(2)
    simulation.disconnected.add(host.endpoint)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(0.2)
    simulation.disconnected.clear()
    copies = leader.kernel.plugins_by_name['zone'].copies_by_kind
    snapshot = copies[relay.StoreKind.UPSTREAMS].snapshot()
    parts = list(split_part(snapshot, leader.context.settings.host_id))
    assert len(parts) == 40
    simulation.recorded = []
    simulation.loses_content = True
    for part in parts[:5]:
        host.dispatch(relay.PeerMessageReceived(part))
        simulation.run(0.1)
    requests = [one for _, one in simulation.recorded if b'"snapshot"' in one]
    assert not requests
    # Parts that are lost are requested with the next beacon.
    simulation.run(0.5)
    requests = [one for _, one in simulation.recorded if b'"snapshot"' in one]
    assert requests


def test_parts_with_long_names_fit_into_a_datagram() -> None:
    """Guards against entries of another writer that no host can pass on."""
    name = '\U0001f4a9' * 124
    names = [f'{name}{one:03}' for one in range(40)]
    entries = [
        relay.Listing(
            UpstreamId(f'{one}-1'),
            ServiceName(name),
            Endpoint('10.1.64.1', 8000),
            Zone(name),
            slots=2,
            draining=False,
            warmup_ms=0,
            started_ms=1,
        )
        for one in names
    ]
    change = relay.ContentPart(
        HostId('a-0'),
        relay.StoreKind.UPSTREAMS,
        base=Edition((1, 90)),
        position=relay.Position(relay.Era(1), relay.Revision(91)),
        part=0,
        parts=1,
        complete=True,
        settled=True,
        version=None,
        entries=tuple(entries),
        removed=tuple(names),
        unusable=tuple(names),
    )
    parts = list(split_part(change, HostId('a-0')))
    datagrams = [encode_message(relay.Spread(2**31, 999, 999, one)) for one in parts]
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    assert sum(len(one.unusable) for one in parts) == 40
    assert sum(len(one.entries) for one in parts) == 40


def test_leader_sends_a_snapshot_to_few_hosts_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against traffic of one host that grows with its zone."""
    history = LosingHistory(1, 100_000_000)
    sent = 0

    def count(
        simulation: TimedSimulation, sender: RelayHost, to: Endpoint, datagram: bytes
    ) -> None:
        nonlocal sent
        fields = json.loads(datagram)
        content = fields[-1] if fields[1] == 'spread' else fields[1:]
        kind = relay.StoreKind.CONFIGURATION.value
        sent += sender is history.leader and content[0:3:2] == ['content', kind]
        send(simulation, sender, to, datagram)

    send = TimedSimulation.send
    monkeypatch.setattr(TimedSimulation, 'send', count)
    history.simulation.run(SECONDS)
    assert not history.hosts_behind()
    copy = history.leader.kernel.plugins_by_name['zone'].copies_by_kind[
        relay.StoreKind.CONFIGURATION
    ]
    parts = -(-len(copy.entries_by_name) // 10)
    assert sent <= (3 + FANOUT) * parts
