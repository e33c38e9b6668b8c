"""Limit on the flows that an upstream holds over all hosts."""

import math
from collections import Counter

import pytest

from lycheedeal import relay
from lycheedeal.ids import UpstreamId, Zone
from lycheedeal.placement import FlowCount, taper
from lycheedeal.platform._terms import decode_terms
from tests.relay_simulation import (
    API,
    CALLER,
    ROUTES,
    RelayHost,
    RelaySimulation,
    listing,
    packet,
)

# Reached at 2.5% a second; the smallest limit of the customers is 2,000.
LIMIT = 400


def limited(limit: int | None, hosts: int = 4, upstreams: int = 3) -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, upstreams + 1)))
    terms = relay.ServiceTerms(API, max_connections=limit)
    simulation.store.configure(2, *ROUTES, terms)  # type: ignore[arg-type]
    simulation.add_together(hosts, 4)
    return simulation


class Flows:
    """Flows that callers open at the hosts in turn and keep open."""

    def __init__(self, simulation: RelaySimulation) -> None:
        self.simulation = simulation
        self.open_by_id: Counter[str] = Counter()
        self.open_flows: list[tuple[RelayHost, relay.Packet]] = []
        self.resets = 0
        self.largest = 0
        self.openings = 0
        self.steps = 0

    def open(self, flows: int, seconds: float) -> None:
        """Open flows at a steady rate; each sends a packet in two seconds."""
        steps = round(seconds * 10)
        for step in range(steps):
            for host, finish in self.open_flows:
                if (finish.flow >> 48) % 20 == self.steps % 20:
                    self._keep(host, finish)
            self.steps += 1
            for _ in range(flows * (step + 1) // steps - flows * step // steps):
                self._open_one()
            self.simulation.run(0.1)

    def close(self, flows: int) -> None:
        for _ in range(flows):
            host, finish = self.open_flows.pop(0)
            host.dispatch(relay.PacketArrived(finish))
            self.open_by_id[host.sent[-1].upstream.listing.upstream_id] -= 1

    def _keep(self, host: RelayHost, finish: relay.Packet) -> None:
        if self.simulation.hosts.get(host.endpoint) is not host:
            # The fabric delivers the packets of a lost host to another one.
            host = next(iter(self.simulation.hosts.values()))
        kind = relay.PacketKind.ACKNOWLEDGEMENT
        caller = finish.flow >> 48
        host.dispatch(relay.PacketArrived(packet(kind, finish.token, caller)))

    def _open_one(self) -> None:
        hosts = list(self.simulation.hosts.values())
        host = hosts[self.openings % len(hosts)]
        self.openings += 1
        caller = CALLER + self.openings
        resets = len(host.resets)
        upstream = host.open(caller)
        if len(host.resets) > resets:
            self.resets += 1
            return
        self.open_by_id[upstream.listing.upstream_id] += 1
        self.largest = max(self.largest, *self.open_by_id.values())
        token = host.sent[-1].token
        finish = packet(relay.PacketKind.FINISH, token, caller)
        self.open_flows.append((host, finish))


def test_upstreams_stay_below_their_limit_and_use_most_of_it() -> None:
    """Guards against flows that an upstream resets, and against idle room."""
    simulation = limited(LIMIT)
    flows = Flows(simulation)
    flows.open(1500, 50)
    assert flows.largest <= LIMIT
    assert min(flows.open_by_id.values()) >= 0.9 * LIMIT
    assert flows.resets == 1500 - sum(flows.open_by_id.values())


def test_limit_holds_on_many_hosts() -> None:
    """Guards against a flow of each host in the room that all of them see at once.

    Flows are opened five times as often as they end. Before, at nine tenths of the
    limit, none is refused.
    """
    limit = 1000
    simulation = limited(limit, hosts=30)
    flows = Flows(simulation)
    flows.open(2700, 36)
    for _ in range(5):
        flows.close(75)
        flows.open(75, 1)
    assert not flows.resets
    for _ in range(20):
        flows.close(15)
        flows.open(75, 1)
    assert flows.resets
    assert flows.largest <= limit


def test_full_upstream_gets_no_flow_while_others_have_room() -> None:
    """Guards against openings by hosts that do not hold its flows themselves."""
    simulation = limited(LIMIT)
    host, *others = simulation.hosts.values()
    table = host.kernel.plugins_by_name['upstreams'].table
    token = table.current_by_id[UpstreamId('i-1')].token
    for caller in range(CALLER + 5000, CALLER + 5000 + LIMIT):
        host.dispatch(relay.PacketArrived(packet(relay.PacketKind.DATA, token, caller)))
    simulation.run(4)
    for other in others:
        chosen = {other.open(CALLER + one).listing.upstream_id for one in range(40)}
        assert chosen == {'i-2', 'i-3'}


def test_flows_fit_again_after_others_ended() -> None:
    simulation = limited(LIMIT)
    flows = Flows(simulation)
    flows.open(1400, 47)
    flows.close(600)
    simulation.run(4)
    resets = flows.resets
    flows.open(360, 12)
    assert flows.resets == resets
    assert flows.largest <= LIMIT


@pytest.mark.parametrize('limit', [None, 0, 10**9])
def test_without_a_usable_limit_no_flow_is_refused(limit: int | None) -> None:
    """Guards against a mistake in the configuration that closes a service."""
    simulation = limited(limit, hosts=2)
    flows = Flows(simulation)
    flows.open(500, 5)
    assert not flows.resets


@pytest.mark.parametrize(
    ('value', 'limit', 'invalid'),
    [
        (4000, 4000, ()),
        (0, None, ('max_conns',)),
        (0.5, None, ('max_conns',)),
        (-1, None, ('max_conns',)),
        (10**12, None, ('max_conns',)),
        ('4000', None, ('max_conns',)),
        (None, None, ()),
    ],
)
def test_limits_of_the_configuration(
    value: object, limit: int | None, invalid: tuple[str, ...]
) -> None:
    (terms,) = decode_terms([{'name': 'api', 'max_conns': value}])
    assert (terms.max_connections, terms.invalid) == (limit, invalid)


def test_limit_holds_when_the_leader_is_lost() -> None:
    """Guards against the first sums of a new leader, which lack most hosts."""
    simulation = limited(LIMIT, hosts=12)
    flows = Flows(simulation)
    flows.open(1080, 36)
    (leader,) = simulation.leaders()
    simulation.kill(leader)
    flows.open(600, 20)
    # The flows of the lost host are unknown until they pass through another one.
    assert flows.largest <= LIMIT


def test_one_lost_report_does_not_refuse_all() -> None:
    """Guards against a jump of the sums that counts as growth for long."""
    simulation = limited(LIMIT)
    flows = Flows(simulation)
    flows.open(360, 12)
    simulation.loss = 1
    simulation.run(5)
    simulation.loss = 0
    simulation.run(3)
    flows.open(45, 3)
    assert not flows.resets


def test_false_report_is_forgotten() -> None:
    """Guards against a report of too many flows that closes a service for long."""
    simulation = limited(LIMIT, hosts=2)
    flows = Flows(simulation)
    flows.open(60, 3)
    host = next(one for one in simulation.hosts.values() if one not in leaders(one))
    table = host.kernel.plugins_by_name['upstreams'].table
    loads = {token: relay.Load(0, 60_000) for token in table.by_token}
    peer = simulation.leaders()[0].context.settings.own_peer
    peer.is_leader = True
    host.dispatch(
        relay.PeerMessageReceived(
            relay.LoadReport(
                peer, relay.LoadScope.REGION, (Zone('south'),), 10_000, 0, 1, loads
            )
        )
    )
    simulation.run(6)
    resets = flows.resets
    flows.open(30, 3)
    assert flows.resets == resets


def leaders(host: RelayHost) -> list[RelayHost]:
    return host.simulation.leaders()


def test_lines_about_full_upstreams_are_few() -> None:
    """Guards against a line for each report while upstreams are at their limit."""
    simulation = limited(LIMIT)
    flows = Flows(simulation)
    flows.open(1800, 60)
    host = next(iter(simulation.hosts.values()))
    lines = [one for one in host.records if one.kind == 'full']
    assert 3 <= len(lines) <= 6
    assert host.context.metrics.gauges_by_label['upstream_conditions', 'full'] == 3


def test_growth_counts_until_the_next_report() -> None:
    count = FlowCount()
    count.update(800, 0, 1000, 1)
    assert count.room(1000, 0, 1, 1) == pytest.approx(0.199)
    count.update(820, 0, 1000, 2)
    assert count.room(1000, 0, 1, 2) == pytest.approx(0.129)
    assert count.room(1000, 0, 1, 4) == pytest.approx(0.089)
    assert count.room(1000, 50, 1, 4) == pytest.approx(0.039)


def test_other_hosts_are_expected_to_open_as_many() -> None:
    """Guards against all hosts taking the same room at once."""
    count = FlowCount()
    count.update(970, 0, 1000, 1)
    assert count.room(1000, 0, 20, 1) > 0
    assert count.room(1000, 2, 20, 1) <= 0


def test_known_flows_fall_slowly() -> None:
    count = FlowCount()
    count.update(1000, 0, 1000, 1)
    count.update(100, 0, 1000, 2)
    assert count.flows == pytest.approx(970)


def test_count_without_a_report_is_usable() -> None:
    """Guards against an age without end in the time before the first report."""
    room = FlowCount().room(10, 2, 1, 1000)
    assert math.isclose(room, 0.75)


def test_weight_falls_near_the_limit() -> None:
    assert [taper(room) for room in (-1, 0, 0.05, 0.1, 1)] == [0, 0, 0.5, 1, 1]
