"""Membership of a zone on a virtual-time network."""

import pytest

from bench.zone_network import ZoneNetwork


def joined_zone(count: int, seed: int) -> ZoneNetwork:
    """Return a zone whose hosts all list each other."""
    zone = ZoneNetwork(seed)
    zone.start_zone(count)
    assert zone.seconds_until(lambda: zone.agree(zone.hosts), 30) < 30
    zone.run(5)
    return zone


def deaths(zone: ZoneNetwork) -> float:
    """Hosts that any live host declared dead."""
    return sum(host.deaths for host in zone.live())


@pytest.mark.parametrize('count', (1, 2, 16))
def test_hosts_with_seeds_find_each_other(count: int) -> None:
    """Guards against a host that never learns part of its zone."""
    zone = joined_zone(count, seed=1)
    assert zone.agree(zone.hosts)


def test_loss_is_not_taken_for_deaths() -> None:
    """Guards against false deaths when a fifth of the datagrams is lost."""
    zone = joined_zone(64, seed=2)
    zone.loss = 0.2
    zone.run(60)
    assert deaths(zone) == 0
    assert zone.agree(zone.hosts)


@pytest.mark.parametrize('seed', (3, 4, 5))
def test_killed_host_leaves_every_list_in_time(seed: int) -> None:
    """Guards against a dead owner that callers are still sent to."""
    zone = joined_zone(16, seed)
    zone.kill('h003')
    names = [name for name in zone.hosts if name != 'h003']
    assert zone.seconds_until(lambda: zone.agree(names), 10) <= 6
