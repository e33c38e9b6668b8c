"""Load reports between hosts, and flows that go to upstreams of other zones."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint, Zone
from lycheedeal.relay.peer_codec import decode_message
from tests.relay_simulation import CALLER, RelayHost, RelaySimulation, listing, packet

SOUTH, NORTH = Zone('south'), Zone('north')


@pytest.fixture
def simulation() -> RelaySimulation:
    """Return three hosts in each of two zones, with most upstreams in the north."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    simulation.store.put(*(listing(f'i-{one}', zone=NORTH) for one in range(2, 5)))
    for one in range(3):
        simulation.add(f's-{one}', SOUTH)
        simulation.add(f'n-{one}', NORTH)
    simulation.run(8)
    return simulation


def hosts(simulation: RelaySimulation, zone: Zone) -> list[RelayHost]:
    return [
        one for one in simulation.hosts.values() if one.context.settings.zone == zone
    ]


def open_busy_flows(host: RelayHost, flows: int) -> list[int]:
    """Open flows with a request in flight at the upstream of the south.

    Returns the callers.
    """
    callers: list[int] = []
    for caller in range(CALLER, CALLER + 1000):
        upstream = host.open(caller)
        is_local = upstream.listing.zone == SOUTH
        kind = relay.PacketKind.DATA if is_local else relay.PacketKind.FINISH
        host.dispatch(relay.PacketArrived(packet(kind, upstream.token, caller)))
        if is_local:
            callers.append(caller)
        if len(callers) == flows:
            return callers
    raise AssertionError(f'only {len(callers)} flows stayed in the zone')


def share_of_north(host: RelayHost, flows: int = 300) -> float:
    chosen = [host.open(CALLER + 10_000 + one) for one in range(flows)]
    return sum(one.listing.zone == NORTH for one in chosen) / flows


def test_flows_stay_while_the_zone_is_idle(simulation: RelaySimulation) -> None:
    host = hosts(simulation, SOUTH)[0]
    assert all(host.open(CALLER + one).listing.zone == SOUTH for one in range(5))


def test_overloaded_zone_sends_flows_away_from_all_its_hosts(
    simulation: RelaySimulation,
) -> None:
    one, other, _ = hosts(simulation, SOUTH)
    open_busy_flows(one, 8)
    simulation.run(4)
    assert 0.3 < share_of_north(other) < 0.95


def test_flows_return_when_the_zone_is_idle_again(simulation: RelaySimulation) -> None:
    one, other, _ = hosts(simulation, SOUTH)
    callers = open_busy_flows(one, 8)
    simulation.run(4)
    token = one.kernel.plugins_by_name['upstreams'].table.current_by_id['i-1'].token
    for caller in callers:
        done = packet(relay.PacketKind.FINISH, token, caller)
        one.dispatch(relay.PacketArrived(done))
    simulation.run(20)
    assert share_of_north(other, flows=20) < 0.3


def test_zone_without_reports_of_others_keeps_its_flows(
    simulation: RelaySimulation,
) -> None:
    one, other, _ = hosts(simulation, SOUTH)
    open_busy_flows(one, 8)
    for host in hosts(simulation, NORTH):
        simulation.kill(host)
    simulation.run(8)
    assert share_of_north(other, flows=50) == 0


@pytest.mark.parametrize('bulk', [False, True])
def test_bulk_requests_leave_a_zone_later(
    simulation: RelaySimulation, bulk: bool
) -> None:
    one, other, _ = hosts(simulation, SOUTH)
    (first, second) = simulation.store.routes
    route = relay.Route(first.name, first.key, first.services, bulk=bulk)
    simulation.store.configure(2, route, second)
    open_busy_flows(one, 3)
    simulation.run(4)
    share = share_of_north(other, flows=40)
    assert share < 0.1 if bulk else share > 0.1


def test_load_messages_do_not_multiply_without_the_store(
    simulation: RelaySimulation,
) -> None:
    """Guards against all leaders spreading sums, which all hosts pass on.

    Without the store, many hosts of a zone are leaders.
    """
    open_busy_flows(hosts(simulation, SOUTH)[0], 5)
    simulation.store.up = False
    simulation.run(6)
    sent: list[int] = []
    send = simulation.send
    simulation.send = lambda host, endpoint, datagram: (  # type: ignore[method-assign]
        sent.append(len(datagram)),
        send(host, endpoint, datagram),
    )[1]
    simulation.run(10)
    # Each host sends a report a second, a beacon to at most two peers each 0.4 s,
    # and greetings. The first leader of each zone also spreads sums.
    assert len(sent) / 10 < len(simulation.hosts) * 9


def test_loads_of_many_upstreams_reach_all_hosts() -> None:
    """Guards against sums that exceed a datagram, such as those of 600 upstreams."""
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one:x}') for one in range(1, 601)))
    for one in range(4):
        simulation.add(f's-{one}', SOUTH)
    simulation.run(2)
    busy, other, *_ = simulation.hosts.values()
    for caller in range(CALLER, CALLER + 3000):
        busy.open(caller)
    simulation.run(3)
    table = other.kernel.plugins_by_name['upstreams'].table
    reported = table.region_loads.all_loads().values()
    assert sum(load.open_flows for load in reported) == 3000


def test_loads_of_a_silent_host_expire(simulation: RelaySimulation) -> None:
    busy, other, _ = hosts(simulation, SOUTH)
    open_busy_flows(busy, 8)
    simulation.run(4)
    simulation.kill(busy)
    simulation.run(8)
    assert share_of_north(other, flows=50) < 0.3


def test_only_leaders_send_sums(simulation: RelaySimulation) -> None:
    """Guards against a host that reports its own load as the sum of all.

    It comes about while a host knows no leader to report to.
    """
    senders: list[relay.Peer] = []
    send = simulation.send

    def record(host: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        match decode_message(datagram):
            case relay.Spread(message=relay.LoadReport(peer=peer)):
                senders.append(peer)
        send(host, endpoint, datagram)

    simulation.send = record  # type: ignore[method-assign]
    for _ in range(2):
        for leader in simulation.leaders():
            leader.dispatch(relay.StopRequested())
            simulation.run(0.1)
            simulation.kill(leader)
        simulation.add('s-new', SOUTH)
        simulation.run(3)
    assert senders
    assert all(peer.is_leader for peer in senders)
