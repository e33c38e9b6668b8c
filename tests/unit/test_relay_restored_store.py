"""A store that comes back from an older copy of its content."""

from collections.abc import Iterator

import pytest

from lycheedeal import relay
from lycheedeal.ids import UpstreamId
from lycheedeal.relay import UpstreamState
from lycheedeal.relay.peer_codec import decode_message
from tests.relay_simulation import (
    ROUTES,
    STEP_SECONDS,
    RelayHost,
    RelaySimulation,
    Store,
    listing,
)

# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
# Upstreams write their entries again within this time of the store's return.
RETURN_SECONDS = 2.0
OUTAGE_SECONDS = 2.0
# The store drops the entry of an upstream that it has not heard for this long.
LAPSE_SECONDS = 2.3
ZONES = ('north', 'south')
HOSTS_PER_ZONE = 3
UPSTREAMS = 5


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, UPSTREAMS + 1)))
    for number in range(HOSTS_PER_ZONE):
        for zone in ZONES:
            simulation.add(f'{zone}-{number}', zone)
    simulation.run(8)
    return simulation


def restore_after_outage(simulation: RelaySimulation, copy: Store) -> None:
    simulation.store.up = False
    simulation.run(OUTAGE_SECONDS)
    simulation.store.restore(copy)
    simulation.store.up = True


def add_changes(simulation: RelaySimulation, count: int) -> None:
    """Advance the revision by changes that leave the upstreams as they were."""
    for _ in range(count):
        simulation.store.put(simulation.store.listings['i-5'])


def versions(simulation: RelaySimulation) -> set[int | None]:
    return {host.version() for host in simulation.hosts.values()}


def states_of(simulation: RelaySimulation, name: str) -> set[UpstreamState | None]:
    return {host.states().get(name) for host in simulation.hosts.values()}


def incarnations_of(
    simulation: RelaySimulation, name: str
) -> set[tuple[int, UpstreamState]]:
    """Return start time and state of the incarnation that each host takes for the
    current one.
    """
    tables = [
        host.kernel.plugins_by_name['upstreams'].table
        for host in simulation.hosts.values()
    ]
    current = [table.current_by_id[UpstreamId(name)] for table in tables]
    return {(one.listing.started_ms, one.state) for one in current}


def steps(simulation: RelaySimulation, seconds: float) -> Iterator[None]:
    """Run for a while; yield after each step."""
    for _ in range(round(seconds / STEP_SECONDS)):
        simulation.run(STEP_SECONDS)
        yield


def start_host(
    simulation: RelaySimulation, name: str, zone: str = ZONES[0]
) -> RelayHost:
    host = RelayHost(simulation, name, zone, tuple(simulation.hosts)[:1])
    simulation.hosts[host.endpoint] = host
    host.dispatch(relay.Started())
    return host


@pytest.mark.parametrize('later_changes', [1, 4, 9])
def test_change_at_a_revision_given_out_again_is_in_force(
    simulation: RelaySimulation, later_changes: int
) -> None:
    """Guards against hosts that take a change of the new history for a known one."""
    copy = simulation.store.copy()
    add_changes(simulation, later_changes)
    simulation.store.configure(2, *ROUTES)
    simulation.run(1)
    restore_after_outage(simulation, copy)
    simulation.store.configure(2, *ROUTES)
    simulation.run(4)
    simulation.store.configure(3, *ROUTES)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {3}
    assert states_of(simulation, 'i-1') == {UpstreamState.DRAINING}


def test_content_of_the_old_history_does_not_replace_the_new_one(
    simulation: RelaySimulation,
) -> None:
    """Guards against a living upstream that counts as gone by an old snapshot."""
    copy = simulation.store.copy()
    add_changes(simulation, 9)
    simulation.run(1)
    # Only the host that starts reaches the store that came back.
    simulation.store.refused.update(
        host.context.settings.host_id for host in simulation.hosts.values()
    )
    simulation.store.restore(copy)
    simulation.store.put(listing('i-6'))
    late = start_host(simulation, 'late')
    for _ in steps(simulation, 6):
        assert late.states().get('i-6') is UpstreamState.READY
    assert states_of(simulation, 'i-6') == {UpstreamState.READY}


def test_starting_host_takes_the_newest_configuration(
    simulation: RelaySimulation,
) -> None:
    """Guards against a configuration that comes back older with the store."""
    copy = simulation.store.copy()
    simulation.store.configure(2, *ROUTES)
    simulation.run(1)
    restore_after_outage(simulation, copy)
    simulation.run(2)
    late = start_host(simulation, 'late')
    simulation.run(1)
    assert late.version() == 2
    assert versions(simulation) == {2}


@pytest.mark.parametrize('zone', [ZONES[0], 'west'])
def test_leader_that_read_an_older_configuration_takes_the_newer_one(
    simulation: RelaySimulation, zone: str
) -> None:
    """Guards against a first-ranked host that keeps what it read during a cut."""
    copy = simulation.store.copy()
    simulation.store.configure(2, *ROUTES)
    simulation.run(1)
    restore_after_outage(simulation, copy)
    late = start_host(simulation, 'a-late', zone)
    simulation.disconnected.add(late.endpoint)
    simulation.run(4)
    assert late.version() == 1
    simulation.disconnected.clear()
    simulation.run(IN_FORCE_SECONDS)
    assert late in simulation.watchers()
    assert versions(simulation) == {2}


def test_watch_does_not_skip_changes_of_a_new_history(
    simulation: RelaySimulation,
) -> None:
    """Guards against a watch that goes on from a revision given out again."""
    copy = simulation.store.copy()
    add_changes(simulation, 3)
    simulation.run(1)
    # The store is back before the next call, so no call fails.
    simulation.store.restore(copy)
    simulation.store.put(listing('i-1', draining=True))
    add_changes(simulation, 3)
    simulation.run(IN_FORCE_SECONDS)
    assert states_of(simulation, 'i-1') == {UpstreamState.DRAINING}


def test_change_of_one_kind_is_seen_although_only_the_other_is_answered(
    simulation: RelaySimulation,
) -> None:
    """Guards against a watch of the old history that waits to its end."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    simulation.store.restore(copy)
    add_changes(simulation, 1)
    simulation.store.put(listing('i-6'))
    simulation.store.configure(2, *ROUTES)
    simulation.run(0.5)
    assert versions(simulation) == {2}


@pytest.mark.parametrize('outage', [True, False])
def test_upstream_that_the_copy_lacks_is_kept_until_it_is_back(
    simulation: RelaySimulation, outage: bool
) -> None:
    """Guards against resets of flows whose upstream started after the copy."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'), listing('i-7'))
    simulation.run(1)
    if outage:
        restore_after_outage(simulation, copy)
    else:
        simulation.store.restore(copy)
    for _ in steps(simulation, RETURN_SECONDS - 0.3):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    simulation.store.put(listing('i-6'))
    for _ in steps(simulation, 4):
        assert states_of(simulation, 'i-6') == {UpstreamState.READY}
    assert states_of(simulation, 'i-7') == {UpstreamState.GONE}


def test_second_restore_gives_entries_the_whole_time_again(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets when the store goes back while entries are missing."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    for wait in (1.5, RETURN_SECONDS - 0.2):
        simulation.store.restore(copy)
        for _ in steps(simulation, wait):
            assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    simulation.store.put(listing('i-6'))
    for _ in steps(simulation, 4):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    assert states_of(simulation, 'i-6') == {UpstreamState.READY}


def test_outage_after_a_restore_gives_entries_the_whole_time_again(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets when the store is away while entries are missing."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    simulation.store.restore(copy)
    simulation.run(0.5)
    simulation.store.up = False
    simulation.run(10)
    simulation.store.up = True
    for _ in steps(simulation, RETURN_SECONDS - 0.2):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    simulation.store.put(listing('i-6'))
    for _ in steps(simulation, 4):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    assert states_of(simulation, 'i-6') == {UpstreamState.READY}


def test_upstream_is_kept_if_the_message_of_its_return_is_lost(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets by a host that has not heard yet of a returned entry."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    simulation.store.restore(copy)
    simulation.run(RETURN_SECONDS - 0.2)
    followers = {host.endpoint for host in simulation.hosts.values()}
    followers -= {host.endpoint for host in simulation.leaders()}
    simulation.disconnected.update(followers)
    simulation.store.put(listing('i-6'))
    simulation.run(0.4)
    simulation.disconnected.clear()
    for _ in steps(simulation, 4):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    assert states_of(simulation, 'i-6') == {UpstreamState.READY}


def test_confirmation_that_waited_during_a_pause_proves_nothing_missing(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets by a host that takes an old message for a new one."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    simulation.store.restore(copy)
    paused = next(
        host for host in simulation.hosts.values() if host not in simulation.leaders()
    )
    simulation.recorded = []
    simulation.run(RETURN_SECONDS - 0.2)
    waiting = [one for to, one in simulation.recorded if to == paused.endpoint]
    del simulation.hosts[paused.endpoint]
    simulation.store.put(listing('i-6'))
    simulation.run(5)
    simulation.hosts[paused.endpoint] = paused
    for datagram in waiting[-5:]:
        paused.dispatch(relay.PeerMessageReceived(decode_message(datagram)))
        assert paused.states()['i-6'] is not UpstreamState.GONE
    for _ in steps(simulation, 2):
        assert paused.states()['i-6'] is not UpstreamState.GONE
    assert paused.states()['i-6'] is UpstreamState.READY


def test_host_that_started_after_the_restore_proves_nothing_missing(
    simulation: RelaySimulation,
) -> None:
    """Guards against resets on the word of a host that does not know of the restore."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-6'))
    simulation.run(1)
    simulation.store.refused.update(
        host.context.settings.host_id for host in simulation.hosts.values()
    )
    simulation.run(3)
    simulation.store.restore(copy)
    start_host(simulation, 'late')
    for _ in steps(simulation, RETURN_SECONDS):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')
    simulation.store.put(listing('i-6'))
    for _ in steps(simulation, 4):
        assert UpstreamState.GONE not in states_of(simulation, 'i-6')


@pytest.mark.parametrize('has_left', [True, False])
def test_entry_of_the_copy_does_not_take_an_upstream_back(
    simulation: RelaySimulation, has_left: bool
) -> None:
    """Guards against new flows to an upstream that is leaving or has left."""
    copy = simulation.store.copy()
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(0.5)
    if has_left:
        simulation.store.delete('i-1')
        simulation.run(0.5)
    restore_after_outage(simulation, copy)
    for _ in steps(simulation, LAPSE_SECONDS):
        assert UpstreamState.READY not in states_of(simulation, 'i-1')
    if has_left:
        simulation.store.delete('i-1')
    else:
        simulation.store.put(listing('i-1', draining=True))
    for _ in steps(simulation, 5):
        assert UpstreamState.READY not in states_of(simulation, 'i-1')


@pytest.mark.parametrize('port', [8001, 8101])
def test_entry_of_an_earlier_incarnation_does_not_end_a_living_one(
    simulation: RelaySimulation, port: int
) -> None:
    """Guards against resets and lost openings of an upstream that restarted."""
    copy = simulation.store.copy()
    restarted = listing('i-1', port=port, started_ms=2000)
    simulation.store.put(restarted)
    simulation.run(0.5)
    restore_after_outage(simulation, copy)
    for _ in steps(simulation, RETURN_SECONDS - 0.3):
        assert incarnations_of(simulation, 'i-1') == {(2000, UpstreamState.READY)}
    simulation.store.put(restarted)
    for _ in steps(simulation, 4):
        assert incarnations_of(simulation, 'i-1') == {(2000, UpstreamState.READY)}


def test_entry_that_stays_in_a_restored_store_is_used(
    simulation: RelaySimulation,
) -> None:
    """Guards against a living upstream that gets no flows after its entry expired."""
    copy = simulation.store.copy()
    simulation.store.delete('i-1')
    simulation.run(1)
    assert states_of(simulation, 'i-1') == {UpstreamState.GONE}
    restore_after_outage(simulation, copy)
    simulation.run(8)
    assert states_of(simulation, 'i-1') == {UpstreamState.READY}


def test_list_without_changes_costs_no_snapshots(simulation: RelaySimulation) -> None:
    """Guards against a host that announces a position which its snapshots lack."""
    simulation.store.configure(2, *ROUTES)
    simulation.run(1)
    simulation.recorded = []
    (watcher,) = simulation.watchers()
    watcher.dispatch(relay.RefreshRequested(relay.StoreKind.UPSTREAMS))
    simulation.run(5)
    assert not [one for _, one in simulation.recorded if b'"snapshot"' in one]


@pytest.mark.parametrize('port', [8001, 8101])
def test_entry_of_the_copy_is_held_back_while_the_store_is_away_again(
    simulation: RelaySimulation, port: int
) -> None:
    """Guards against resets of an upstream that restarted, after two restores.

    The time for which an entry is held back ran out while the store was away.
    """
    copy = simulation.store.copy()
    restarted = listing('i-1', port=port, started_ms=2000)
    simulation.store.put(restarted)
    simulation.run(0.5)
    for _ in range(2):
        restore_after_outage(simulation, copy)
        for _ in steps(simulation, RETURN_SECONDS):
            assert incarnations_of(simulation, 'i-1') == {(2000, UpstreamState.READY)}
    simulation.store.put(restarted)
    for _ in steps(simulation, 6):
        assert incarnations_of(simulation, 'i-1') == {(2000, UpstreamState.READY)}


@pytest.mark.parametrize('return_after', [0.5, 2.0, 3.0])
@pytest.mark.parametrize('has_lapsed', [False, True])
def test_zone_that_was_cut_off_does_not_take_its_upstreams_for_gone(
    simulation: RelaySimulation, return_after: float, has_lapsed: bool
) -> None:
    """Guards against resets of upstreams that could not write their entries.

    They were cut off from the store with the hosts of their zone, while it came back
    from a copy that lacks them, or while their entries lapsed.
    """
    cut_hosts = [
        host
        for host in simulation.hosts.values()
        if host.context.settings.zone == 'south'
    ]
    copy = simulation.store.copy()
    own = [listing(f'i-{one}') for one in (6, 7)]
    simulation.store.put(*own)
    simulation.run(1)
    simulation.cut_zone = 'south'
    simulation.store.refused.update(host.context.settings.host_id for host in cut_hosts)
    simulation.run(return_after)
    if has_lapsed:
        for one in own:
            simulation.store.delete(one.upstream_id)
    else:
        simulation.store.restore(copy)
    simulation.run(6.0 - return_after)
    add_changes(simulation, 1)
    simulation.run(0.4)
    # Other hosts are heard before the store.
    simulation.cut_zone = ''
    for number, _ in enumerate(steps(simulation, 8)):
        if number == round(0.5 / STEP_SECONDS):
            simulation.store.refused.clear()
        if number == round(0.8 / STEP_SECONDS):
            simulation.store.put(*own)
        for host in cut_hosts:
            states = host.states()
            assert {states['i-6'], states['i-7']} == {UpstreamState.READY}
    assert states_of(simulation, 'i-6') == {UpstreamState.READY}
