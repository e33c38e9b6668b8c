"""Broadcast in a zone: delivery, cost, and failures of hosts that pass it on."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import HostId
from tests.relay_simulation import ROUTES, CountingSimulation, RelaySimulation, listing

HOSTS = 60
# Limit of the control traffic that a host sends.
BYTES_PER_SECOND = 5000
# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
FIRST_POSITION = relay.Position(relay.Era(0), relay.Revision(1))
# Of the configuration and the upstreams.
EDITIONS = (relay.Edition((0, 1)), relay.Edition(FIRST_POSITION))


def zone_of(hosts: int) -> CountingSimulation:
    simulation = CountingSimulation()
    simulation.store.put(*(listing(f'i-{one:x}') for one in range(1, 41)))
    simulation.add_together(hosts, seconds=8)
    return simulation


@pytest.fixture(scope='module')
def idle_zone() -> CountingSimulation:
    """Return a zone without changes; tests that use it must not change it."""
    simulation = zone_of(HOSTS)
    # A new leader first sends its beacons to each host itself.
    simulation.run(8)
    return simulation


@pytest.fixture
def simulation() -> CountingSimulation:
    return zone_of(HOSTS)


def versions(simulation: RelaySimulation) -> set[int | None]:
    return {host.version() for host in simulation.hosts.values()}


def test_zone_of_many_hosts_has_one_leader(idle_zone: CountingSimulation) -> None:
    idle_zone.run(10)
    assert len(idle_zone.leaders()) == 1


def test_leader_sends_no_more_than_the_limit_of_a_host(
    idle_zone: CountingSimulation,
) -> None:
    """Guards against a leader that sends each message to every host itself.

    With 35 hosts that takes 72 KB/s.
    """
    idle_zone.bytes_by_host.clear()
    idle_zone.run(10)
    assert max(idle_zone.bytes_by_host.values()) / 10 < BYTES_PER_SECOND


def test_change_costs_each_host_a_few_messages(simulation: CountingSimulation) -> None:
    (leader,) = simulation.leaders()
    host_id = leader.context.settings.host_id
    part = relay.ContentPart(
        host_id,
        relay.StoreKind.UPSTREAMS,
        relay.NO_EDITION,
        FIRST_POSITION,
        0,
        1,
        False,
        True,
        None,
        (),
        (),
    )
    effects = leader.kernel.dispatch(relay.SpreadRequested(part))
    assert len(effects) == 4


def test_change_is_in_force_everywhere_at_once(simulation: CountingSimulation) -> None:
    """Guards against hosts that no host serves in the order of some message.

    The host that a message comes from has a place in the order, too.
    """
    for version in range(2, 32):
        simulation.store.configure(version, *ROUTES)
        simulation.run(0.2)
        assert versions(simulation) == {version}
        simulation.run(0.3)


def test_hosts_with_different_peer_tables(simulation: CountingSimulation) -> None:
    """Guards against messages that loop, and against hosts that stay behind.

    Each host removes another third of the zone from its table. A host that did not
    get a message learns from the next beacon that its content is behind.
    """
    for place, host in enumerate(simulation.hosts.values()):
        if host in simulation.leaders():
            continue
        known = host.kernel.plugins_by_name['zone']._peer_table._peers_by_id
        for one in range(HOSTS):
            if one % 3 == place % 3:
                known.pop(HostId(f'host-{one}'), None)
    simulation.messages_by_host.clear()
    simulation.store.configure(2, *ROUTES)
    simulation.run(0.1)
    assert simulation.messages_by_host.total() < 4 * HOSTS
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {2}


@pytest.mark.parametrize('share', [0.1, 0.5])
def test_hosts_that_fail_together_leave_one_leader(
    simulation: CountingSimulation, share: float
) -> None:
    """Guards against changes of the leader when many hosts fail together.

    Failed hosts stay in the peer tables for some seconds, and messages that they
    should pass on are lost.
    """
    (leader,) = simulation.leaders()
    others = [host for host in simulation.hosts.values() if host is not leader]
    for host in others[: int(HOSTS * share)]:
        simulation.kill(host)
    for _ in range(50):
        simulation.run(0.1)
        assert simulation.leaders() == [leader]
    simulation.store.configure(2, *ROUTES)
    simulation.run(1)
    assert versions(simulation) == {2}


def test_failure_of_half_a_zone_with_its_leader(simulation: CountingSimulation) -> None:
    (leader,) = simulation.leaders()
    others = [host for host in simulation.hosts.values() if host is not leader]
    for host in (leader, *others[: HOSTS // 2]):
        simulation.kill(host)
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {2}
    for _ in range(50):
        simulation.run(0.1)
        assert len(simulation.leaders()) == 1


def test_own_message_that_comes_back_is_dropped(idle_zone: CountingSimulation) -> None:
    (leader,) = idle_zone.leaders()
    beacon = relay.Beacon(leader.context.settings.own_peer, (0, 0), EDITIONS, 4, ())
    spread = relay.Spread(7, 0, 1 << 32, beacon)
    assert not leader.kernel.dispatch(relay.PeerMessageReceived(spread))


def test_address_of_another_host_causes_no_loop() -> None:
    """Guards against a host that endlessly sends a message to itself.

    It comes about when the message is for an earlier host at its address.
    """
    simulation = zone_of(4)
    leader, other, *_ = simulation.hosts.values()
    settings = other.context.settings
    stale = relay.Peer(HostId('gone'), settings.zone, other.endpoint, 0.5)
    for host in simulation.hosts.values():
        host.dispatch(
            relay.PeerMessageReceived(relay.Greeting(stale, wants_answer=False))
        )
    simulation.messages_by_host.clear()
    for order_seed in range(0, 1 << 32, 1 << 27):
        beacon = relay.Beacon(leader.context.settings.own_peer, (0, 0), EDITIONS, 4, ())
        spread = relay.Spread(order_seed, 0, 1 << 32, beacon)
        other.dispatch(relay.PeerMessageReceived(spread))
        for _ in range(HOSTS):
            deliver(simulation)
        assert not simulation.datagrams


def deliver(simulation: RelaySimulation) -> None:
    """Deliver the pending datagrams, but not those sent in response."""
    for host, event in list(simulation._take_pending()):
        host.dispatch(event)
