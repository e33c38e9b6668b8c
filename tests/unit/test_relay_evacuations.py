"""Evacuations of zones: no new flows within seconds, open flows go on."""

from collections.abc import Iterator

import pytest

from lycheedeal import relay
from lycheedeal.relay.reading import SETTLING_SECONDS
from tests.relay_simulation import (
    CALLER,
    INTAKE,
    INTAKE_KEY,
    STEP_SECONDS,
    RelayHost,
    RelaySimulation,
    listing,
    packet,
)

# An evacuation is in force on every host within this time.
EVACUATE_SECONDS = 5.0
ZONES = ('north', 'south', 'west')
HOSTS_PER_ZONE = 3
OPENINGS = 40


@pytest.fixture
def simulation() -> RelaySimulation:
    """Return three zones with hosts and upstreams; the second service is in one."""
    simulation = RelaySimulation()
    simulation.evacuation_seconds = EVACUATE_SECONDS
    for number, zone in enumerate(ZONES):
        names = (f'i-{number * 2 + one}' for one in (1, 2))
        simulation.store.put(*(listing(name, zone=zone) for name in names))
    simulation.store.put(listing('i-9', zone='north', service=INTAKE))
    for one in range(HOSTS_PER_ZONE):
        for zone in ZONES:
            simulation.add(f'{zone}-{one}', zone)
    simulation.run(6)
    return simulation


def used_zones(host: RelayHost, key: relay.RouteKey | None = None) -> set[str]:
    """Return the zones of the upstreams that new flows of a host get."""
    keys = () if key is None else (key,)
    upstreams = (host.try_open(CALLER + one, *keys) for one in range(OPENINGS))
    return {one.listing.zone for one in upstreams if one is not None}


def assert_no_new_flows(simulation: RelaySimulation, *zones: str) -> None:
    for host in simulation.hosts.values():
        used = used_zones(host)
        assert used
        assert not used & set(zones)


def evacuated_sets(simulation: RelaySimulation) -> set[frozenset[str]]:
    return {host.evacuated() for host in simulation.hosts.values()}


def steps(simulation: RelaySimulation, seconds: float) -> Iterator[None]:
    for _ in range(round(seconds / STEP_SECONDS)):
        simulation.run(STEP_SECONDS)
        yield


def hosts_of(simulation: RelaySimulation, zone: str) -> list[RelayHost]:
    return [
        one for one in simulation.hosts.values() if one.context.settings.zone == zone
    ]


def texts(simulation: RelaySimulation, kind: str) -> list[set[str]]:
    return [
        {record.text for record in host.records if record.kind == kind}
        for host in simulation.hosts.values()
    ]


def test_evacuated_zone_gets_no_new_flows_on_any_host(
    simulation: RelaySimulation,
) -> None:
    """Guards against hosts that the message of an evacuation does not reach."""
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert_no_new_flows(simulation, 'north')
    simulation.store.resume('north')
    simulation.run(EVACUATE_SECONDS)
    for host in hosts_of(simulation, 'north'):
        assert 'north' in used_zones(host)


def test_open_flows_of_an_evacuated_zone_go_on(simulation: RelaySimulation) -> None:
    """Guards against an evacuation that resets flows."""
    host = hosts_of(simulation, 'north')[0]
    upstream = host.open()
    token = host.sent[-1].token
    assert upstream.listing.zone == 'north'
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    for other in simulation.hosts.values():
        other.dispatch(
            relay.PacketArrived(packet(relay.PacketKind.DATA, token, acknowledged=1))
        )
        assert other.sent[-1].upstream.listing.upstream_id == (
            upstream.listing.upstream_id
        )
        assert not other.resets


def test_two_zones_are_evacuated_and_resumed_apart(
    simulation: RelaySimulation,
) -> None:
    """Guards against an evacuation that replaces or ends another one."""
    simulation.store.evacuate('north')
    simulation.run(1)
    simulation.store.evacuate('south')
    simulation.run(EVACUATE_SECONDS)
    assert_no_new_flows(simulation, 'north', 'south')
    simulation.store.resume('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'south'})}
    assert_no_new_flows(simulation, 'south')


def test_service_without_another_zone_is_refused_at_once(
    simulation: RelaySimulation,
) -> None:
    """Guards against callers that wait for a service that is evacuated."""
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    for host in simulation.hosts.values():
        assert host.try_open(key=INTAKE_KEY) is None
        assert len(host.resets) == 1
        assert host.refusal() == 'evacuated'


def test_cold_upstreams_of_an_evacuated_zone_are_refused_as_evacuated(
    simulation: RelaySimulation,
) -> None:
    """Guards against the reason of a warm-up that does not matter."""
    cold = listing('i-9', zone='north', service=INTAKE, warmup_ms=60_000)
    for host in simulation.hosts.values():
        host.context.settings.warmup_overage = 1.5
        host.context.settings.warmup_slack = 5
    simulation.store.put(cold)
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    for host in simulation.hosts.values():
        assert host.try_open(key=INTAKE_KEY) is None
        assert host.refusal() == 'evacuated'


@pytest.mark.parametrize('begins', [True, False])
def test_change_while_the_store_is_down_takes_effect_after_its_return(
    simulation: RelaySimulation, begins: bool
) -> None:
    """Guards against a set that changes by itself, or not, around an outage."""
    if not begins:
        simulation.store.evacuate('north')
        simulation.run(EVACUATE_SECONDS)
    before = evacuated_sets(simulation)
    simulation.store.up = False
    change = simulation.store.evacuate if begins else simulation.store.resume
    change('north')
    for _ in steps(simulation, 10):
        assert evacuated_sets(simulation) == before
    simulation.store.up = True
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'north'} if begins else ())}


@pytest.mark.parametrize('outage', [0, 5.0])
def test_evacuation_that_the_copy_lacks_is_kept_until_it_is_written_again(
    simulation: RelaySimulation, outage: float
) -> None:
    """Guards against flows to an evacuated zone after the store was restored."""
    copy = simulation.store.copy()
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    simulation.store.up = not outage
    simulation.run(outage)
    simulation.store.up = True
    simulation.store.restore(copy)
    for _ in steps(simulation, SETTLING_SECONDS - 0.1):
        assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.store.evacuate('north')
    for _ in steps(simulation, 6):
        assert evacuated_sets(simulation) == {frozenset({'north'})}


def test_evacuation_that_the_copy_lacks_ends_after_the_settling_time(
    simulation: RelaySimulation,
) -> None:
    """Guards against a zone that is never resumed."""
    copy = simulation.store.copy()
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    simulation.store.restore(copy)
    for _ in steps(simulation, SETTLING_SECONDS):
        assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset()}


def test_evacuation_that_the_copy_brings_back_ends_when_it_is_deleted(
    simulation: RelaySimulation,
) -> None:
    """Guards against zones that are all out: a deleted object is not a missing one."""
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    copy = simulation.store.copy()
    simulation.store.resume('north')
    simulation.run(EVACUATE_SECONDS)
    simulation.store.restore(copy)
    simulation.run(1)
    assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.store.resume('north')
    simulation.run(1)
    assert evacuated_sets(simulation) == {frozenset()}


def test_second_restore_gives_evacuations_the_whole_time_again(
    simulation: RelaySimulation,
) -> None:
    """Guards against flows to an evacuated zone after the store went back twice."""
    copy = simulation.store.copy()
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    for _ in range(2):
        simulation.store.restore(copy)
        for _ in steps(simulation, SETTLING_SECONDS - 0.3):
            assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'north'})}


def test_outage_after_a_restore_gives_evacuations_the_whole_time_again(
    simulation: RelaySimulation,
) -> None:
    """Guards against an evacuation that ends before its operator reaches the store."""
    copy = simulation.store.copy()
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    simulation.store.restore(copy)
    simulation.run(0.5)
    simulation.store.up = False
    simulation.run(10)
    simulation.store.up = True
    for _ in steps(simulation, SETTLING_SECONDS - 0.1):
        assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'north'})}


def test_hosts_that_the_store_refuses_learn_it_from_the_others(
    simulation: RelaySimulation,
) -> None:
    """Guards against a host whose own way to the store fails."""
    watcher = simulation.watchers()[0].context.settings.host_id
    others = [f'{zone}-0' for zone in ZONES]
    simulation.store.refused.update((watcher, *others))
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert_no_new_flows(simulation, 'north')
    simulation.store.resume('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset()}


@pytest.mark.parametrize('cut_zone', ZONES)
def test_zone_that_is_cut_off_reads_it_from_the_store(
    simulation: RelaySimulation, cut_zone: str
) -> None:
    """Guards against a zone that learns changes only through the other zones."""
    simulation.cut_zone = cut_zone
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'north'})}
    simulation.store.resume('north')
    simulation.store.evacuate('south')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'south'})}
    simulation.cut_zone = ''
    simulation.store.resume('south')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset()}


@pytest.mark.parametrize('delay', [0, 0.1, 0.3])
def test_loss_of_all_leaders_does_not_delay_it_beyond_the_bound(
    simulation: RelaySimulation, delay: float
) -> None:
    """Guards against an evacuation that a lost leader had read alone."""
    simulation.store.evacuate('north')
    simulation.run(delay)
    for leader in simulation.leaders():
        simulation.kill(leader)
    simulation.run(EVACUATE_SECONDS - delay)
    assert_no_new_flows(simulation, 'north')


@pytest.mark.parametrize('store_is_up', [True, False])
def test_host_that_starts_inside_one_is_not_ready_without_it(
    simulation: RelaySimulation, store_is_up: bool
) -> None:
    """Guards against a host that opens flows before it knows the evacuations."""
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    simulation.store.up = store_is_up
    seeds = tuple(simulation.hosts)[:1]
    host = RelayHost(simulation, 'late', 'north', seeds)
    simulation.hosts[host.endpoint] = host
    host.dispatch(relay.Started())
    for _ in steps(simulation, EVACUATE_SECONDS):
        assert not host.ready or host.evacuated() == {'north'}
    assert host.ready
    assert 'north' not in used_zones(host)


def test_host_that_starts_alone_without_the_store_is_not_ready() -> None:
    """Guards against readiness without the evacuations."""
    simulation = RelaySimulation()
    simulation.evacuation_seconds = EVACUATE_SECONDS
    simulation.store.put(listing('i-1'))
    simulation.store.evacuate('south')
    simulation.store.up = False
    host = simulation.add('only')
    simulation.run(5)
    assert not host.ready
    simulation.store.up = True
    simulation.run(2)
    assert host.ready
    assert host.try_open() is None


def test_object_that_cannot_be_read_evacuates_nothing(
    simulation: RelaySimulation,
) -> None:
    """Guards against an odd object that takes a zone or another evacuation away."""
    simulation.store.damage_evacuation('south')
    simulation.store.damage_evacuation('')
    simulation.store.evacuate('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset({'north'})}
    text = 'Evacuation cannot be read; it evacuates nothing.'
    assert all(text in found for found in texts(simulation, 'evacuation'))
    simulation.store.damage_evacuation('north')
    simulation.run(EVACUATE_SECONDS)
    assert evacuated_sets(simulation) == {frozenset()}
    late = simulation.add('late', 'west')
    assert late.ready
    assert not late.evacuated()


def test_evacuation_of_a_zone_without_upstreams_is_logged(
    simulation: RelaySimulation,
) -> None:
    """Guards against an operator who mistypes a zone and believes it evacuated."""
    simulation.store.evacuate('nroth')
    simulation.run(EVACUATE_SECONDS)
    late = simulation.add('late', 'west')
    text = 'Evacuation names a zone without upstreams; it evacuates nothing.'
    assert all(text in found for found in texts(simulation, 'unknown zone'))
    assert 'north' in used_zones(hosts_of(simulation, 'north')[0])
    assert late.ready
    logged = [one for one in late.records if one.kind == 'unknown zone']
    assert len(logged) == 1


def test_deployment_without_evacuations_does_not_read_them() -> None:
    """Guards against calls that count against the budget of other deployments."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    simulation.store.evacuate('south')
    for one in range(3):
        simulation.add(f'host-{one}')
    simulation.run(6)
    assert simulation.store.calls_by_kind[relay.StoreKind.EVACUATIONS] == 0
    simulation.store.calls.clear()
    simulation.run(30)
    assert len(simulation.store.calls) <= 2 * 30 / 1.5 + 2
    assert all(host.try_open() for host in simulation.hosts.values())


def test_evacuations_cost_one_watch_of_the_region(
    simulation: RelaySimulation,
) -> None:
    """Guards against a watch of each host or zone."""
    simulation.store.calls.clear()
    simulation.run(30)
    assert len(simulation.store.calls) <= 3 * 30 / 1.5 + 3
