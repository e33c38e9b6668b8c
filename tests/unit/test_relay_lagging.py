"""Hosts that others show to be ahead for too long."""

import json

import pytest

from lycheedeal import relay
from lycheedeal.hosting.placement import respond
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay import Edition
from lycheedeal.relay._copies import edition_of
from tests.failing_hosts import (
    IN_FORCE_SECONDS,
    FailingHost,
    FailingSimulation,
)

CONFIGURATION = relay.StoreKind.CONFIGURATION
AHEAD = Edition((0, 99))


def announce(
    host: FailingHost,
    edition: Edition,
    zone: str = 'a',
    kind: relay.StoreKind = CONFIGURATION,
) -> None:
    """Let a leader of low rank announce an edition with old content."""
    copies = host.kernel.plugins_by_name['zone'].copies_by_kind
    editions = tuple(
        edition if one is kind else edition_of(copy) for one, copy in copies.items()
    )
    peer = relay.Peer(HostId('z-9'), Zone(zone), Endpoint('10.9.0.9', 7720), 0.1, True)
    ages = (9000,) * len(editions)
    message: relay.PeerMessage = relay.RegionBeacon(peer, ages, editions)
    if zone == 'a':
        message = relay.Beacon(peer, ages, editions, 3, ())
    host.dispatch(relay.PeerMessageReceived(message))


def lagging_records(host: FailingHost) -> list[relay.LogRecord]:
    return [one for one in host.records if one.kind == 'lagging']


def keep_announcing(
    simulation: FailingSimulation, host: FailingHost, seconds: float, zone: str = 'a'
) -> None:
    for _ in range(round(seconds / 0.4)):
        announce(host, AHEAD, zone)
        simulation.run(0.4)


def lists_of(simulation: FailingSimulation, host: FailingHost) -> int:
    return simulation.store.calls.count((host.context.settings.host_id, 'list'))


@pytest.mark.parametrize('zone', ['a', 'b'])
def test_host_that_lags_says_so_and_reads_the_store(zone: str) -> None:
    """Guards against a host that stays behind unnoticed, whatever the cause."""
    simulation = FailingSimulation(zones=1)
    host = simulation.failing_hosts()[0]
    simulation.store.calls.clear()
    keep_announcing(simulation, host, 2, zone)
    (record,) = lagging_records(host)
    assert (record.details['edition'], record.details['own_edition']) == (99, 1)
    assert record.details['announced_by'] == 'z-9'
    assert lists_of(simulation, host)
    gauges = host.context.metrics.gauges_by_label
    assert gauges['lagging_seconds', 'configuration'] > 1
    answer = json.loads(respond(host.kernel, 'route=r-api').body)
    lags = {one['content']: one['lag_s'] for one in answer['contents']}
    assert lags['configuration'] > 1
    assert lags['upstreams'] == lags['evacuations'] == 0


def test_host_that_still_lags_reads_less_and_less_often() -> None:
    """Guards against calls without a limit if the store has no later content."""
    simulation = FailingSimulation(zones=1)
    host = simulation.failing_hosts()[0]
    simulation.store.calls.clear()
    keep_announcing(simulation, host, 30)
    assert 3 <= lists_of(simulation, host) <= 6
    assert len(lagging_records(host)) == 1


@pytest.mark.parametrize('watches', [True, False])
def test_list_of_the_same_entries_at_a_later_position_is_no_lag(watches: bool) -> None:
    """Guards against reads of hosts that have missed nothing."""
    simulation = FailingSimulation(zones=1)
    simulation.run(1)
    hosts = (one for one in simulation.failing_hosts() if bool(one.watches) is watches)
    host = next(hosts)
    simulation.store.calls.clear()
    announce(host, Edition((1, 90)), kind=relay.StoreKind.UPSTREAMS)
    simulation.run(4)
    assert not lagging_records(host)
    assert not lists_of(simulation, host)


def test_host_that_watches_is_not_taken_for_one_that_lags() -> None:
    """Guards against announcements of positions that the store has confirmed."""
    simulation = FailingSimulation(zones=1)
    (host,) = (one for one in simulation.failing_hosts() if one.watches)
    simulation.store.calls.clear()
    for _ in range(12):
        announce(host, Edition((1, 90)), kind=relay.StoreKind.UPSTREAMS)
        simulation.run(0.4)
    assert not lagging_records(host)
    assert not lists_of(simulation, host)


def test_content_that_is_no_longer_announced_is_not_looked_for() -> None:
    """Guards against a host that lags for ever behind one that has ended."""
    simulation = FailingSimulation(zones=1)
    host = simulation.failing_hosts()[0]
    keep_announcing(simulation, host, 2)
    simulation.run(3)
    assert len(lagging_records(host)) == 2
    assert host.context.metrics.gauges_by_label['lagging_seconds', 'configuration'] == 0


def test_change_that_arrives_in_time_is_no_lag() -> None:
    """Guards against reads of the store after each change."""
    simulation = FailingSimulation()
    simulation.loss = 0.2
    for _ in range(8):
        simulation.change()
        simulation.run(1.3)
    assert not any(map(lagging_records, simulation.failing_hosts()))


def test_host_whose_routes_are_older_than_its_copy_reads_the_store() -> None:
    """Guards against a copy that is taken for what is in force."""
    simulation = FailingSimulation()
    leaders = simulation.leaders()
    host = next(one for one in simulation.failing_hosts() if one not in leaders)
    plugin = host.kernel.plugins_by_name['routes']
    handle = plugin.handle
    plugin.handle = lambda event: iter(())
    simulation.change()
    simulation.run(0.5)
    plugin.handle = handle
    simulation.run(IN_FORCE_SECONDS - 0.5)
    assert lagging_records(host)
    assert not simulation.hosts_behind()
