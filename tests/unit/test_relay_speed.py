"""Load of upstreams of different speed, with hosts and queues on virtual time."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import UpstreamId, Zone
from lycheedeal.placement import SpeedEstimates
from lycheedeal.relay.peer_codec import encode_message
from tests.relay_simulation import CALLER, RelayHost, RelaySimulation, listing
from tests.upstream_queues import Workload

# Parts of the capacity: the usual load, and four times as much.
USUAL, OVERLOAD = 0.25, 1.0
# Of the load that its speed allows.
BUSIEST = 1.25
UPSTREAMS = 12


def workload(slow: int, hosts: int = 4, fast: float = 1.2) -> Workload:
    """Return upstreams of which some are slow, after a time of usual load."""
    speeds_by_id = {
        f'i-{one + 1:x}': 0.55 if one < slow else fast for one in range(UPSTREAMS)
    }
    simulation = RelaySimulation()
    simulation.store.put(*map(listing, speeds_by_id))
    simulation.add_together(hosts, 4)
    load = Workload(simulation, speeds_by_id)
    load.run(60, USUAL)
    load.reset_counts()
    return load


def slowness(host: RelayHost) -> dict[str, float]:
    table = host.kernel.plugins_by_name['upstreams'].table
    return {
        upstream.listing.upstream_id: upstream.slowness
        for upstream in table.by_token.values()
    }


def first_host(load: Workload) -> RelayHost:
    return next(iter(load.simulation.hosts.values()))


@pytest.mark.parametrize('slow', [3, 4])
@pytest.mark.parametrize('utilization', [USUAL, 0.5, 0.75, OVERLOAD])
def test_busiest_upstream_has_what_its_speed_allows(
    slow: int, utilization: float
) -> None:
    """Guards against slow upstreams that get as many flows as fast ones."""
    load = workload(slow)
    load.run(60, utilization)
    assert load.imbalance() <= BUSIEST


@pytest.mark.parametrize('slow', [3, 4])
def test_long_flows_are_placed_by_speed(slow: int) -> None:
    """Guards against an overload of flows that stay where they were opened."""
    load = workload(slow)
    load.run(40, OVERLOAD, requests=20)
    load.reset_counts()
    load.run(60, OVERLOAD, requests=20)
    assert load.imbalance() <= BUSIEST


@pytest.mark.parametrize(
    ('slow', 'utilization', 'requests'),
    [(3, USUAL, 1), (4, USUAL, 1), (4, OVERLOAD, 20)],
)
def test_without_estimates_the_busiest_has_more(
    monkeypatch: pytest.MonkeyPatch, slow: int, utilization: float, requests: int
) -> None:
    """Shows that the queues of these tests need the estimates."""
    monkeypatch.setattr(SpeedEstimates, 'differing', lambda *_: ())
    load = workload(slow)
    load.run(40, utilization, requests)
    load.reset_counts()
    load.run(60, utilization, requests)
    assert load.imbalance() > BUSIEST


def test_equally_fast_upstreams_get_flows_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against another choice in deployments whose upstreams are alike."""
    counts = []
    for _ in range(2):
        load = workload(0, fast=1)
        load.run(30, 0.5)
        counts.append(dict(load.opened_by_id))
        monkeypatch.setattr(SpeedEstimates, 'differing', lambda *_: ())
    assert counts[0] == counts[1]


def test_loss_of_the_leader_changes_nothing() -> None:
    """Guards against estimates that only the leader has."""
    load = workload(4)
    load.run(20, OVERLOAD)
    (leader,) = load.simulation.leaders()
    load.simulation.kill(leader)
    load.reset_counts()
    load.run(30, OVERLOAD)
    assert load.imbalance() <= BUSIEST


def test_missing_reports_leave_the_estimate_for_a_while() -> None:
    """Guards against a rush on slow upstreams in the first seconds without reports."""
    load = workload(4)
    for _ in range(6):
        load.simulation.loss = 0
        load.pause_counts = True
        load.run(20, OVERLOAD)
        load.simulation.loss = 1
        load.pause_counts = False
        load.run(10, OVERLOAD)
    assert load.imbalance() <= BUSIEST
    load.run(400, 0.02)
    assert set(slowness(first_host(load)).values()) == {1}


def test_false_reports_of_a_host_have_a_bounded_effect() -> None:
    """Guards against a host whose reports take the load from good upstreams for long.

    For five seconds it says that two fast upstreams answer very slowly.
    """
    load = workload(4)
    load.run(20, 0.5)
    simulation = load.simulation
    (leader,) = simulation.leaders()
    liar = next(one for one in simulation.hosts.values() if one is not leader)
    peer = liar.context.settings.own_peer
    tokens_by_id = {
        upstream.listing.upstream_id: token
        for token, upstream in liar.kernel.plugins_by_name[
            'upstreams'
        ].table.by_token.items()
    }
    rows = {
        tokens_by_id[UpstreamId(name)]: relay.Load(
            0, 0, answers=60_000, answer_seconds=600_000
        )
        for name in ('i-b', 'i-c')
    }
    load.reset_counts()
    for second in range(5):
        report = relay.LoadReport(
            peer, relay.LoadScope.HOST, (Zone('south'),), 10_000 + second, 0, 1, rows
        )
        simulation.send(liar, leader.endpoint, encode_message(report))
        load.run(1, 0.5)
    load.run(25, 0.5)
    assert load.imbalance() <= 2 * BUSIEST
    load.reset_counts()
    load.run(60, 0.5)
    assert load.imbalance() <= BUSIEST


def test_idle_zone_with_slow_upstreams_keeps_its_flows() -> None:
    """Guards against paid traffic between zones because a mean of waits is larger."""
    simulation = RelaySimulation()
    simulation.store.put(
        *(listing(f'i-{one}') for one in range(1, 5)),
        *(listing(f'i-{one}', zone='north') for one in range(5, 9)),
    )
    for one in range(2):
        simulation.add(f's-{one}')
        simulation.add(f'n-{one}', 'north')
    simulation.run(4)
    host = next(iter(simulation.hosts.values()))
    table = host.kernel.plugins_by_name['upstreams'].table
    for name in ('i-1', 'i-2'):
        table.current_by_id[UpstreamId(name)].slowness = 2
    # Enough to be idle, too few to change the load much.
    zones = [host.open(CALLER + one).listing.zone for one in range(12)]
    assert set(zones) == {Zone('south')}


def test_lines_about_slow_upstreams_are_few() -> None:
    """Guards against a line for each report while an estimate is near the bound."""
    load = workload(4)
    load.run(60, USUAL)
    load.run(60, OVERLOAD)
    host = first_host(load)
    lines = [one for one in host.records if one.kind == 'speed']
    assert {one.details['upstream'] for one in lines} >= {'i-1', 'i-2', 'i-3', 'i-4'}
    assert len(lines) <= 2 * UPSTREAMS
    metrics = host.context.metrics
    assert metrics.counts_by_label['upstreams', 'slow'] >= 4
