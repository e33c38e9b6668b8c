"""Parts of content that a host collects from messages of its peers."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import HostId
from lycheedeal.relay import UpstreamState
from lycheedeal.relay.peer_codec import decode_message
from tests.relay_simulation import RelayHost, RelaySimulation, listing

NAMES = tuple(f'i-{one:x}' for one in range(1, 15))


def start_host(simulation: RelaySimulation, name: str, seed: RelayHost) -> RelayHost:
    host = RelayHost(simulation, name, 'south', (seed.endpoint,))
    simulation.hosts[host.endpoint] = host
    host.dispatch(relay.Started())
    simulation.run(1)
    return host


def snapshot_parts(
    simulation: RelaySimulation, sender: RelayHost, reader: RelayHost
) -> list[relay.ContentPart]:
    """Return the parts that a host sends to another one that asks for a snapshot."""
    request = relay.SnapshotRequest(
        HostId(reader.context.settings.host_id), relay.StoreKind.UPSTREAMS
    )
    simulation.recorded = []
    sender.dispatch(relay.PeerMessageReceived(request))
    messages = [decode_message(one) for _, one in simulation.recorded]
    return [one for one in messages if isinstance(one, relay.ContentPart)]


@pytest.fixture
def simulation() -> RelaySimulation:
    """Return hosts whose content is in another order than that of the store."""
    simulation = RelaySimulation()
    simulation.store.put(*map(listing, NAMES))
    simulation.add('sender')
    simulation.add('reader')
    simulation.store.delete(NAMES[0])
    simulation.store.put(listing(NAMES[0]))
    simulation.run(1)
    return simulation


def parts_before_and_after_restart(
    simulation: RelaySimulation,
) -> tuple[list[relay.ContentPart], list[relay.ContentPart]]:
    sender, reader = simulation.hosts.values()
    before = snapshot_parts(simulation, sender, reader)
    simulation.kill(sender)
    restarted = start_host(simulation, 'sender', reader)
    return before, snapshot_parts(simulation, restarted, reader)


def test_parts_from_before_and_after_a_restart_of_the_sender_are_not_mixed(
    simulation: RelaySimulation,
) -> None:
    """Guards against entries that are missing from a snapshot of two incarnations."""
    before, after = parts_before_and_after_restart(simulation)
    assert len(before) == len(after) == 2
    late = RelayHost(simulation, 'late', 'south')
    for part in (before[0], after[1]):
        late.dispatch(relay.PeerMessageReceived(part))
    assert set(late.states()) in (set(), set(NAMES))
    late.dispatch(relay.PeerMessageReceived(after[0]))
    assert late.states() == dict.fromkeys(NAMES, UpstreamState.READY)


def test_restarted_host_sends_the_same_parts(simulation: RelaySimulation) -> None:
    """Guards against a mixture of parts that have the same edition."""
    before, after = parts_before_and_after_restart(simulation)
    assert [one.entries for one in before] == [one.entries for one in after]
