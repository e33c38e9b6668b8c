"""One host that watches the store for the leaders of all zones."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay import UpstreamState, route_key
from lycheedeal.relay._copies import edition_of
from tests.relay_simulation import (
    API,
    INTAKE,
    ROUTE_KEY,
    ROUTES,
    RelayHost,
    RelaySimulation,
    listing,
    route,
)

# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
ZONES = ('east', 'north', 'south', 'west')
HOSTS_PER_ZONE = 4
RUN_SECONDS = 30
WATCH_SECONDS = 1.5


def build(zones: tuple[str, ...]) -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, 6)))
    # The first host is the seed of all others, and the last of a zone leads it.
    for number in reversed(range(HOSTS_PER_ZONE)):
        for zone in zones:
            simulation.add(f'{zone}-{number}', zone)
    simulation.run(8)
    return simulation


@pytest.fixture
def simulation() -> RelaySimulation:
    return build(ZONES)


def watcher_of(simulation: RelaySimulation) -> RelayHost:
    (watcher,) = simulation.watchers()
    return watcher


def zone_of(host: RelayHost) -> str:
    return host.context.settings.zone


def start_host(simulation: RelaySimulation, name: str, zone: str) -> RelayHost:
    """Start a host, which lists the store's content at once."""
    seeds = tuple(simulation.hosts)[:1]
    host = RelayHost(simulation, name, zone, seeds)
    simulation.hosts[host.endpoint] = host
    host.dispatch(relay.Started())
    simulation.run(0.2)
    return host


def assert_in_force(simulation: RelaySimulation, version: int) -> None:
    hosts = simulation.hosts.values()
    lagging = [
        host.context.settings.host_id for host in hosts if host.version() != version
    ]
    assert not lagging


@pytest.mark.parametrize('zones', [ZONES[:1], ZONES])
def test_calls_grow_neither_with_hosts_nor_with_zones(zones: tuple[str, ...]) -> None:
    """Guards against watches in each zone: the store's rate grows more slowly."""
    simulation = build(zones)
    assert len(simulation.leaders()) == len(zones)
    assert len(simulation.watchers()) == 1
    simulation.store.calls.clear()
    simulation.run(RUN_SECONDS)
    assert len(simulation.store.calls) <= 2 * RUN_SECONDS / WATCH_SECONDS + 2


def test_change_is_in_force_in_all_zones_at_once(simulation: RelaySimulation) -> None:
    """Guards against zones that learn a change only when their content is old."""
    simulation.store.configure(2, *ROUTES)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(0.3)
    assert_in_force(simulation, 2)
    for host in simulation.hosts.values():
        assert host.states()['i-1'] is UpstreamState.DRAINING


def test_difference_from_another_zone_is_not_applied_to_a_version_between(
    simulation: RelaySimulation,
) -> None:
    """Guards against a route of an earlier version in a newer configuration."""
    watcher = watcher_of(simulation)
    other_zone = next(zone for zone in ZONES if zone != zone_of(watcher))
    simulation.store.put(listing('i-9', service=INTAKE))
    simulation.run(1)
    simulation.store.watches_silent = True
    simulation.store.configure(2, route('r-api', ROUTE_KEY, INTAKE), *ROUTES[1:])
    late = start_host(simulation, 'late', other_zone)
    assert late.version() == 2
    added = route('r-added', route_key('198.18.0.9', 443), API)
    simulation.store.configure(3, *ROUTES, added)
    simulation.store.watches_silent = False
    simulation.run(0.5)
    assert_in_force(simulation, 3)
    assert late.open().listing.service == API


def test_change_costs_no_snapshots(simulation: RelaySimulation) -> None:
    """Guards against leaders that hear of a change before they receive it."""
    requests: list[bytes] = []
    send = simulation.send

    def record(sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if b'"snapshot"' in datagram:
            requests.append(datagram)
        send(sender, endpoint, datagram)

    simulation.send = record  # type: ignore[method-assign]
    simulation.store.configure(2, *ROUTES)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(2)
    assert_in_force(simulation, 2)
    assert not requests


def test_watching_host_that_fails_is_replaced_in_time(
    simulation: RelaySimulation,
) -> None:
    """Guards against a region whose zones all wait for one failed host."""
    simulation.kill(watcher_of(simulation))
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert_in_force(simulation, 2)
    simulation.run(8)
    assert len(simulation.watchers()) == 1


def test_all_leaders_that_fail_are_replaced_in_time(
    simulation: RelaySimulation,
) -> None:
    """Guards against zones that wait for each other's leaders."""
    for host in simulation.leaders():
        simulation.kill(host)
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert_in_force(simulation, 2)
    simulation.run(12)
    assert len(simulation.watchers()) == 1


@pytest.mark.parametrize('silent', [True, False])
def test_watching_host_without_the_store_is_replaced_in_time(
    simulation: RelaySimulation, silent: bool
) -> None:
    """Guards against a watching host that is cut from the store and still followed.

    Its watches stay silent until they time out, or its process is paused.
    """
    watcher = watcher_of(simulation)
    if silent:
        simulation.store.refused.add(watcher.context.settings.host_id)
    else:
        del simulation.hosts[watcher.endpoint]
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert_in_force(simulation, 2)
    if not silent:
        simulation.hosts[watcher.endpoint] = watcher
        simulation.run(1)
        assert_in_force(simulation, 2)
    simulation.store.refused.clear()
    simulation.run(10)
    assert len(simulation.watchers()) == 1


def test_zone_that_is_cut_off_watches_for_itself(simulation: RelaySimulation) -> None:
    """Guards against a zone without changes while it still reaches the store."""
    cut = zone_of(watcher_of(simulation))
    simulation.cut_zone = cut
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert_in_force(simulation, 2)
    watching_zones = {zone_of(host) for host in simulation.watchers()}
    assert cut in watching_zones and len(watching_zones) == 2
    simulation.cut_zone = ''
    simulation.store.configure(3, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert_in_force(simulation, 3)
    simulation.run(10)
    assert len(simulation.watchers()) == 1


def test_stopping_watcher_is_replaced_at_once(simulation: RelaySimulation) -> None:
    """Guards against a planned stop after which nobody watches for a second."""
    watcher = watcher_of(simulation)
    watcher.dispatch(relay.StopRequested())
    simulation.run(0.5)
    assert any(host is not watcher for host in simulation.watchers())


def fresh_beacon(
    host: RelayHost, edition: relay.Edition | None = None
) -> relay.PeerMessageReceived:
    """Return a beacon of a host that goes before all others.

    It has the content of ``host``, unless ``edition`` is that of its configuration.
    """
    copies = host.kernel.plugins_by_name['zone'].copies_by_kind.values()
    editions = [edition_of(copy) for copy in copies]
    if edition is not None:
        editions[0] = edition
    peer = relay.Peer(
        HostId('elsewhere-0'), Zone('elsewhere'), Endpoint('10.9.0.1', 7720), 4, True
    )
    beacon = relay.RegionBeacon(peer, (0,) * len(editions), tuple(editions))
    return relay.PeerMessageReceived(beacon)


def test_watching_host_that_is_behind_keeps_its_calls(
    simulation: RelaySimulation,
) -> None:
    """Guards against a call that is cancelled before its content has come."""
    watcher = watcher_of(simulation)
    watcher.dispatch(fresh_beacon(watcher, relay.Edition((0, 2))))
    assert len(watcher.watches) == 2
    watcher.dispatch(fresh_beacon(watcher))
    assert not watcher.watches


def test_watching_host_that_hands_over_to_a_failed_one_is_replaced(
    simulation: RelaySimulation,
) -> None:
    """Guards against zones that wait for a host which has stopped watching."""
    watcher = watcher_of(simulation)
    watcher.dispatch(fresh_beacon(watcher))
    assert not simulation.watchers()
    simulation.run(0.6)
    assert simulation.watchers()
