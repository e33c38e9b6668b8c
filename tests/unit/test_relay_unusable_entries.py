"""Entries of the store that cannot be read; their upstreams keep their flows."""

import pytest

from lycheedeal.relay import UpstreamState
from tests.relay_simulation import RelayHost, RelaySimulation, listing

UPSTREAMS = 20
HOSTS = 4


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one:x}') for one in range(UPSTREAMS)))
    for one in range(HOSTS):
        simulation.add(f'host-{one}')
    simulation.run(4)
    return simulation


def follower_of(simulation: RelaySimulation) -> RelayHost:
    return next(host for host in simulation.hosts.values() if not host.watches)


def lose_change(simulation: RelaySimulation, host: RelayHost) -> None:
    """Let a host miss a change, so that it asks for a snapshot."""
    simulation.disconnected.add(host.endpoint)
    simulation.store.put(listing('i-0', draining=True))
    simulation.run(0.3)
    simulation.disconnected.clear()
    simulation.run(1)
    assert host.states()['i-0'] is UpstreamState.DRAINING


@pytest.mark.parametrize('damaged', [1, 15])
def test_snapshot_does_not_end_upstreams_with_unusable_entries(
    simulation: RelaySimulation, damaged: int
) -> None:
    """Guards against flows that are reset although their upstream lives."""
    names = tuple(f'i-{one + 1:x}' for one in range(damaged))
    simulation.store.damage(*names)
    simulation.run(1)
    follower = follower_of(simulation)
    lose_change(simulation, follower)
    assert {follower.states()[name] for name in names} == {UpstreamState.UNLISTED}


@pytest.mark.parametrize('listed', [True, False])
def test_removed_unusable_entry_ends_its_upstream(
    simulation: RelaySimulation, listed: bool
) -> None:
    """Guards against flows that wait for an upstream that has left."""
    simulation.store.damage('i-1')
    simulation.run(1)
    simulation.store.watches_silent = listed
    simulation.store.delete('i-1')
    if listed:
        simulation.store.compact()
        simulation.store.watches_silent = False
    simulation.run(3)
    states = {host.states()['i-1'] for host in simulation.hosts.values()}
    assert states == {UpstreamState.GONE}


def test_repaired_entry_is_used_again(simulation: RelaySimulation) -> None:
    """Guards against an upstream that stays without flows once its entry is good."""
    simulation.store.damage('i-1')
    simulation.run(1)
    simulation.store.put(listing('i-1'))
    simulation.run(1)
    lose_change(simulation, follower_of(simulation))
    states = {host.states()['i-1'] for host in simulation.hosts.values()}
    assert states == {UpstreamState.READY}
