"""Forwarding of packets: openings, tokens, resets and changed upstreams."""

import pytest

from lycheedeal import relay
from lycheedeal.relay import PacketKind, UpstreamState
from lycheedeal.relay.reading import SETTLING_SECONDS
from tests.relay_simulation import (
    API,
    CALLER,
    INTAKE,
    INTAKE_KEY,
    ROUTES,
    RelaySimulation,
    listing,
    packet,
    route,
)

# Until a host that has just started resets the flows of openings that it refuses.
STARTUP_SECONDS = 2


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(
        listing('i-1'),
        listing('i-2'),
        listing('i-3', zone='north'),
        listing('i-9', service=INTAKE),
    )
    return simulation


def test_opening_stays_in_the_zone(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    chosen = {host.open(CALLER + one).listing.upstream_id for one in range(20)}
    assert chosen == {'i-1', 'i-2'}


def test_opening_leaves_the_zone_if_it_has_no_upstream(
    simulation: RelaySimulation,
) -> None:
    simulation.store.put(listing('i-1', draining=True), listing('i-2', draining=True))
    assert simulation.add('a').open().listing.upstream_id == 'i-3'


def test_any_host_forwards_by_the_token_alone(simulation: RelaySimulation) -> None:
    chosen = simulation.add('a').open()
    other = simulation.add('b')
    other.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert other.sent[-1].upstream.listing == chosen.listing


def test_packet_without_token_is_not_a_new_flow(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA)))
    assert not host.sent and not host.resets


def test_token_never_leads_to_another_service(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    token = host.open().token
    foreign = packet(PacketKind.DATA, token, key=INTAKE_KEY)
    host.sent.clear()
    host.dispatch(relay.PacketArrived(foreign))
    assert not host.sent


def test_opening_without_route_is_reset(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    simulation.run(STARTUP_SECONDS)
    unknown = relay.route_key('198.18.0.99', 443)
    host.dispatch(relay.PacketArrived(packet(PacketKind.OPENING, key=unknown)))
    assert [one.route for one in host.resets] == [unknown]


@pytest.mark.parametrize(('seconds', 'attempt'), [(0, 0), (STARTUP_SECONDS, 1)])
def test_refused_opening_that_another_host_may_have_forwarded_is_not_reset(
    simulation: RelaySimulation, seconds: float, attempt: int
) -> None:
    """Guards against the reset of a flow that another copy of its opening opened.

    The copy waited in the socket of a host that started, or is the first that this host
    sees.
    """
    host = simulation.add('a')
    simulation.run(seconds)
    unknown = relay.route_key('198.18.0.99', 443)
    opening = packet(PacketKind.OPENING, key=unknown, attempt=attempt)
    host.dispatch(relay.PacketArrived(opening))
    assert not host.sent and not host.resets


def test_copy_of_an_opening_is_reset_if_no_upstream_is_left(
    simulation: RelaySimulation,
) -> None:
    """Guards against callers that wait for an answer that cannot come."""
    host = simulation.add('a')
    simulation.run(STARTUP_SECONDS)
    host.open()
    for name in tuple(simulation.store.listings):
        simulation.store.delete(name)
    simulation.run(1)
    host.dispatch(relay.PacketArrived(packet(PacketKind.OPENING, attempt=1)))
    assert len(host.resets) == 1


def test_forged_opening_is_dropped(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    host.dispatch(relay.PacketArrived(packet(PacketKind.FORGED)))
    assert not host.sent and not host.resets


def test_removed_route_resets_its_flows(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    token = host.open().token
    simulation.store.configure(2, ROUTES[1])
    simulation.run(0.2)
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, token)))
    assert len(host.resets) == 1


def test_flow_continues_while_its_upstream_drains(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    chosen = host.open()
    simulation.store.put(listing(chosen.listing.upstream_id, draining=True))
    simulation.run(0.2)
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert host.sent[-1].upstream.token == chosen.token
    assert host.open(CALLER + 1).token != chosen.token


def test_flow_of_a_gone_upstream_is_reset(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    # A host that has just started does not know whether entries were lost before.
    simulation.run(SETTLING_SECONDS)
    chosen = host.open()
    simulation.store.delete(chosen.listing.upstream_id)
    simulation.run(0.2)
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert len(host.resets) == 1


def test_restarted_upstream_gets_the_packets_of_its_earlier_token(
    simulation: RelaySimulation,
) -> None:
    """Guards against a reset of flows opened before a restart was known.

    Such a flow carries the earlier token, so the relay cannot tell it from flows of
    the earlier incarnation. The upstream resets those itself.
    Seed 103 of tests/scenarios/test_relay_soak.py covers the same fault.
    """
    host = simulation.add('a')
    chosen = host.open()
    name = chosen.listing.upstream_id
    for started_ms in (2, 3):
        simulation.store.put(listing(name, started_ms=started_ms))
        # Long enough for the next watch to report the second change.
        simulation.run(0.4)
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert host.sent[-1].upstream.listing == listing(name, started_ms=3)
    assert not host.resets


@pytest.mark.parametrize('restarts', [1, 2])
def test_host_that_starts_after_a_restart_of_an_upstream_keeps_its_flows(
    simulation: RelaySimulation, restarts: int
) -> None:
    """Guards against a reset of flows opened before a restart was known.

    Hosts that start later, such as in a rolling restart, list the new entry only.
    """
    host = simulation.add('a')
    simulation.run(4)
    chosen = host.open()
    token = host.sent[-1].token
    name = chosen.listing.upstream_id
    for restart in range(restarts):
        simulation.store.put(listing(name, started_ms=2 + restart))
        simulation.run(0.5)
    late = simulation.add('late')
    simulation.kill(host)
    simulation.run(5)
    for _ in range(20):
        late.dispatch(relay.PacketArrived(packet(PacketKind.DATA, token)))
        simulation.run(0.2)
    assert len(late.sent) == 20
    assert late.sent[-1].upstream.listing.upstream_id == name
    assert not late.resets


def test_upstream_that_returns_to_an_earlier_address_gets_flows(
    simulation: RelaySimulation,
) -> None:
    """Guards against an upstream that is taken for its own ended incarnation."""
    host = simulation.add('a')
    name = host.open().listing.upstream_id
    for started_ms, port in ((2, 9999), (3, 0), (4, 9999), (5, 0)):
        moved = listing(name, started_ms=started_ms, port=port)
        simulation.store.put(moved)
        simulation.run(0.5)
        table = host.kernel.plugins_by_name['upstreams'].table
        current = table.current_by_id[moved.upstream_id]
        assert current.listing == moved
        assert current.state is UpstreamState.READY
        assert table.by_token[relay.token_of(moved)] is current
    assert len(table.by_earlier_build_token) <= len(table.by_token)


def test_restart_at_another_address_ends_the_flows(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    chosen = host.open()
    name = chosen.listing.upstream_id
    simulation.store.put(listing(name, started_ms=2, port=9999))
    simulation.run(0.2)
    host.sent.clear()
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert not host.sent and len(host.resets) == 1


def test_restart_as_another_service_ends_the_flows(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    chosen = host.open()
    name = chosen.listing.upstream_id
    simulation.store.put(listing(name, started_ms=2, service=INTAKE))
    simulation.run(0.2)
    host.sent.clear()
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert not host.sent and len(host.resets) == 1


def test_address_of_an_ended_upstream_serves_another_service(
    simulation: RelaySimulation,
) -> None:
    host = simulation.add('a')
    chosen = host.open()
    port = chosen.listing.endpoint.port
    simulation.store.put(listing('i-77', service=INTAKE, port=port))
    simulation.run(0.2)
    host.sent.clear()
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert not host.sent and len(host.resets) == 1


def test_openings_that_waited_during_a_pause_are_dropped(
    simulation: RelaySimulation,
) -> None:
    """Guards against a paused host that opens flows by what it knew before.

    The upstreams may have left meanwhile, and the callers have given up.
    """
    host = simulation.add('a')
    chosen = host.open()
    host.sent.clear()
    simulation.clock.now += 5
    waiting = packet(PacketKind.OPENING, caller=CALLER + 1)
    host.dispatch(relay.PacketArrived(waiting))
    assert not host.sent and not host.resets
    # Packets of open flows go on.
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert len(host.sent) == 1
    simulation.run(0.2)
    host.open(CALLER + 1)
    assert len(host.sent) == 2


@pytest.mark.parametrize('name', ['i-0', 'i-77'])
def test_stale_entry_does_not_take_its_address_back(
    simulation: RelaySimulation, name: str
) -> None:
    """Guards against openings to an upstream whose address has a later holder.

    Its entry may be written and read again before it lapses (incident inc-83bd), and
    a host that starts then lists both entries, in the order of their names.
    """
    host = simulation.add('a')
    port = listing('i-1').endpoint.port
    simulation.store.put(listing(name, service=INTAKE, port=port, started_ms=9))
    simulation.run(0.5)
    simulation.store.put(listing('i-1'))
    simulation.run(0.5)
    for one in (host, simulation.add('late')):
        assert one.states()['i-1'] is UpstreamState.GONE
        assert one.states()[name] is UpstreamState.READY
        opened = {one.open(CALLER + n).listing.upstream_id for n in range(20)}
        assert opened == {'i-2'}


def test_flow_of_an_upstream_that_ended_before_the_start_is_reset(
    simulation: RelaySimulation,
) -> None:
    """Guards against dropping all packets until the caller's deadline.

    A host that started after the upstream ended does not know its token.
    """
    token = simulation.add('a').open().token
    simulation.store.delete('i-1')
    simulation.store.delete('i-2')
    late = simulation.add('late')
    simulation.run(4)
    data = packet(PacketKind.DATA, token)
    late.dispatch(relay.PacketArrived(data))
    assert not late.resets
    simulation.run(0.2)
    late.dispatch(relay.PacketArrived(data))
    assert len(late.resets) == 1


def test_unknown_token_is_not_reset_right_after_the_start(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets of flows whose upstream still runs.

    An entry that expired while the store failed may come back within 2 s.
    """
    token = simulation.add('a').open().token
    simulation.store.delete('i-1')
    simulation.store.delete('i-2')
    late = simulation.add('late')
    for _ in range(5):
        late.dispatch(relay.PacketArrived(packet(PacketKind.DATA, token)))
        simulation.run(0.2)
    assert not late.resets


def test_unknown_token_of_a_newer_upstream_is_forwarded_later(
    simulation: RelaySimulation,
) -> None:
    host = simulation.add('a')
    simulation.run(4)
    simulation.store.watches_silent = True
    newer = listing('i-5')
    simulation.store.put(newer)
    data = packet(PacketKind.DATA, relay.token_of(newer))
    host.dispatch(relay.PacketArrived(data))
    simulation.run(0.2)
    host.dispatch(relay.PacketArrived(data))
    assert not host.resets
    assert host.sent[-1].upstream.listing == newer


def test_repeated_opening_goes_to_another_upstream(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    first = host.open()
    simulation.clock.now += 0.2
    assert host.open(attempt=1) is not first
    assert all(host.open(CALLER + one) is not first for one in range(1, 9))


def test_avoided_upstream_returns(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    first = host.open()
    host.open(attempt=1)
    simulation.clock.now += 1
    assert any(host.open(CALLER + one) is first for one in range(1, 9))


def test_request_is_in_flight_until_its_answer(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    first = host.open()
    data = packet(PacketKind.DATA, first.token, acknowledged=7)
    host.dispatch(relay.PacketArrived(data))
    assert first.in_flight == 1
    answered = packet(PacketKind.ACKNOWLEDGEMENT, first.token, acknowledged=99)
    host.dispatch(relay.PacketArrived(answered))
    assert first.in_flight == 0


def test_unusable_entry_takes_no_flow_but_keeps_its_own(
    simulation: RelaySimulation,
) -> None:
    host = simulation.add('a')
    chosen = host.open()
    host.dispatch(
        relay.WatchAnswered(
            relay.StoreKind.UPSTREAMS,
            relay.Position(
                relay.Era(simulation.store.era),
                relay.Revision(simulation.store.revision + 1),
            ),
            (),
            unusable=(chosen.listing.upstream_id,),
        )
    )
    assert host.states()[chosen.listing.upstream_id] is UpstreamState.UNLISTED
    host.dispatch(relay.PacketArrived(packet(PacketKind.DATA, chosen.token)))
    assert host.sent[-1].upstream is chosen
    assert host.open(CALLER + 1) is not chosen


def test_weighted_route_splits_flows_the_same_way_everywhere(
    simulation: RelaySimulation,
) -> None:
    shares = ((API, 1), (INTAKE, 1))
    split = relay.Route(relay.RouteName('r-api'), ROUTES[0].key, shares)
    simulation.store.configure(2, split)
    one, other = simulation.add('a'), simulation.add('b')
    for caller in range(CALLER, CALLER + 40):
        assert one.open(caller).listing.service == other.open(caller).listing.service
    services = {forward.upstream.listing.service for forward in one.sent}
    assert services == {API, INTAKE}


def test_configuration_without_routes_is_in_force(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    simulation.run(STARTUP_SECONDS)
    simulation.store.configure(2)
    simulation.run(0.2)
    assert host.version() == 2
    host.dispatch(relay.PacketArrived(packet(PacketKind.OPENING)))
    assert not host.sent and len(host.resets) == 1


def test_older_version_never_replaces_a_newer_one(simulation: RelaySimulation) -> None:
    host = simulation.add('a')
    simulation.store.configure(7, *ROUTES)
    simulation.run(0.2)
    simulation.store.configure(5, route('r-api', ROUTES[0].key, INTAKE))
    simulation.run(0.2)
    assert host.version() == 7
    assert host.open().listing.service == API
