"""Leaders of a zone, and the time until changes of the store are in force."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId
from lycheedeal.relay import UpstreamState
from tests.relay_simulation import ROUTES, RelayHost, RelaySimulation, listing

# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
HOSTS = 7


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, 6)))
    for one in range(HOSTS):
        simulation.add(f'host-{one}')
    simulation.run(4)
    return simulation


def versions(simulation: RelaySimulation) -> set[int | None]:
    return {host.version() for host in simulation.hosts.values()}


def test_one_host_of_the_zone_watches_the_store(simulation: RelaySimulation) -> None:
    assert len(simulation.leaders()) == 1
    simulation.store.calls.clear()
    simulation.run(30)
    # Two watches, each renewed after 1.5 s.
    assert len(simulation.store.calls) <= 2 * 30 / 1.5 + 2


def test_host_that_starts_costs_two_calls(simulation: RelaySimulation) -> None:
    """Guards against a host that watches the store until it hears a leader."""
    simulation.store.calls.clear()
    simulation.add('late')
    assert [call for host, call in simulation.store.calls if host == 'late'] == [
        'list'
    ] * 2


def test_changes_in_quick_succession_are_read_together(
    simulation: RelaySimulation,
) -> None:
    """Guards against one store call of each zone for each change."""
    simulation.store.calls.clear()
    for step in range(50):
        simulation.store.put(listing('i-1', draining=bool(step % 2)))
        simulation.run(0.1)
    # A watch of one kind each 0.25 s, and of the other kind each 1.5 s.
    assert len(simulation.store.calls) <= 5 / 0.25 + 5 / 1.5 + 2


def test_each_zone_has_a_leader(simulation: RelaySimulation) -> None:
    for one in range(3):
        simulation.add(f'north-{one}', 'north')
    simulation.run(4)
    zones = {host.context.settings.zone for host in simulation.leaders()}
    assert zones == {'south', 'north'}
    assert len(simulation.leaders()) == 2


def test_change_is_in_force_everywhere_at_once(simulation: RelaySimulation) -> None:
    simulation.store.configure(2, *ROUTES)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(0.2)
    assert versions(simulation) == {2}
    for host in simulation.hosts.values():
        assert host.states()['i-1'] is UpstreamState.DRAINING


def test_many_routes_are_passed_on(simulation: RelaySimulation) -> None:
    many = tuple(
        relay.Route(
            relay.RouteName(f'r-{one}'),
            relay.route_key('198.18.1.1', 1000 + one),
            ROUTES[0].services,
        )
        for one in range(350)
    )
    simulation.store.configure(2, *ROUTES, *many)
    simulation.run(0.2)
    assert versions(simulation) == {2}


@pytest.mark.parametrize('failures', [1, 3])
def test_failed_leaders_are_replaced_in_time(
    simulation: RelaySimulation, failures: int
) -> None:
    for _ in range(failures):
        for host in simulation.leaders():
            simulation.kill(host)
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {2}


def test_leader_without_the_store_is_replaced_in_time(
    simulation: RelaySimulation,
) -> None:
    (leader,) = simulation.leaders()
    simulation.store.refused.add(leader.context.settings.host_id)
    simulation.store.configure(2, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {2}
    simulation.store.refused.clear()
    simulation.run(10)
    assert len(simulation.leaders()) == 1


def test_change_is_read_if_a_silent_watch_loses_history(
    simulation: RelaySimulation,
) -> None:
    simulation.store.watches_silent = True
    simulation.store.configure(2, *ROUTES)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(1)
    simulation.store.compact()
    simulation.store.watches_silent = False
    simulation.run(IN_FORCE_SECONDS - 1)
    assert versions(simulation) == {2}
    for host in simulation.hosts.values():
        assert host.states()['i-1'] is UpstreamState.DRAINING


def test_store_that_refuses_the_watch_from_its_own_list_is_not_asked_at_once(
    simulation: RelaySimulation,
) -> None:
    """Guards against a host that lists and watches in turn without a pause."""
    (watcher,) = simulation.watchers()
    kind = relay.StoreKind.UPSTREAMS
    lost = relay.CallFailed(kind, relay.StoreFault.HISTORY_LOST, '')
    simulation.store.calls.clear()
    watcher.dispatch(lost)
    assert [call for _, call in simulation.store.calls] == ['list']
    watcher.dispatch(simulation.store.list_all(kind))
    watcher.dispatch(lost)
    assert [call for _, call in simulation.store.calls] == ['list', 'watch']
    simulation.pending_events.clear()
    simulation.run(0.3)
    assert [call for _, call in simulation.store.calls][2] == 'list'


def test_host_that_starts_without_the_store_reads_from_its_zone(
    simulation: RelaySimulation,
) -> None:
    simulation.store.refused.add('late')
    late = simulation.add('late')
    simulation.run(1)
    assert late.ready
    assert late.version() == 1


def test_lost_part_of_a_change_is_repaired(simulation: RelaySimulation) -> None:
    disconnected_host = next(
        host for host in simulation.hosts.values() if not host.watches
    )
    simulation.disconnected.add(disconnected_host.endpoint)
    simulation.store.configure(2, *ROUTES)
    simulation.run(0.3)
    simulation.disconnected.clear()
    simulation.run(1)
    assert disconnected_host.version() == 2


def test_host_that_listed_later_needs_no_snapshot(
    simulation: RelaySimulation,
) -> None:
    """Guards against a leader that sends its whole content to each host that started.

    The list of such a host has a later revision than the leader's last change of the
    kind, since changes of all kinds share one counter.
    """
    simulation.store.configure(2, *ROUTES)
    simulation.run(0.2)
    late = simulation.add('late')
    requests: list[bytes] = []
    send = simulation.send

    def record(sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if b'"snapshot"' in datagram:
            requests.append(datagram)
        send(sender, endpoint, datagram)

    simulation.send = record  # type: ignore[method-assign]
    for draining in (True, False):
        simulation.store.put(listing('i-1', draining=draining))
        simulation.run(0.5)
        expected = UpstreamState.DRAINING if draining else UpstreamState.READY
        assert late.states()['i-1'] is expected
    assert not requests


def test_change_and_change_back_reach_a_host_that_listed_between(
    simulation: RelaySimulation,
) -> None:
    """Guards against a host that keeps a state which the leader never saw.

    The leader gets both changes in one answer, and its own content stays the same.
    """
    # A change is answered at once; the next watch starts 0.25 s later.
    simulation.store.put(listing('i-2', draining=True))
    simulation.run(0.1)
    simulation.store.put(listing('i-1', draining=True))
    late = RelayHost(simulation, 'late', 'south', tuple(simulation.hosts)[:1])
    simulation.hosts[late.endpoint] = late
    late.dispatch(relay.Started())
    simulation.run(0.1)
    assert late.states()['i-1'] is UpstreamState.DRAINING
    simulation.store.put(listing('i-1'))
    simulation.run(2)
    assert late.states()['i-1'] is UpstreamState.READY


def test_upstream_that_came_and_went_between_lists_gets_no_flows(
    simulation: RelaySimulation,
) -> None:
    """Guards against a host that keeps an upstream which no list of the leader had."""
    simulation.store.watches_silent = True
    simulation.store.put(listing('i-7'))
    late = RelayHost(simulation, 'late', 'south', tuple(simulation.hosts)[:1])
    simulation.hosts[late.endpoint] = late
    late.dispatch(relay.Started())
    simulation.run(0.3)
    assert late.states()['i-7'] is UpstreamState.READY
    simulation.store.delete('i-7')
    simulation.store.compact()
    simulation.store.watches_silent = False
    simulation.run(3)
    assert late.states()['i-7'] is UpstreamState.GONE


@pytest.mark.parametrize('starting', [True, False])
def test_list_that_took_long_does_not_undo_a_later_change(
    simulation: RelaySimulation, starting: bool
) -> None:
    """Guards against new flows to an upstream that began to drain during a list."""
    host = next(one for one in simulation.hosts.values() if not one.watches)
    if starting:
        host = RelayHost(simulation, 'late', 'south', tuple(simulation.hosts)[:1])
        simulation.hosts[host.endpoint] = host
        host.dispatch(relay.Started())
    else:
        host.dispatch(relay.RefreshRequested(relay.StoreKind.UPSTREAMS))
    answers = [event for one, event in simulation.pending_events if one is host]
    simulation.pending_events.clear()
    simulation.run(0.5)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(0.5)
    assert host.states()['i-1'] is UpstreamState.DRAINING
    for answer in answers:
        host.dispatch(answer)
    assert host.states()['i-1'] is UpstreamState.DRAINING


def test_watch_answer_that_took_long_does_not_undo_a_later_change(
    simulation: RelaySimulation,
) -> None:
    """Guards against new flows to an upstream whose drain another host has read."""
    (watcher,) = simulation.watchers()
    store = simulation.store
    store.put(listing('i-1'))
    answer = store.changes(relay.StoreKind.UPSTREAMS, store.revision - 1)
    assert isinstance(answer, relay.WatchAnswered)
    store.put(listing('i-1', draining=True))
    snapshot = relay.ContentPart(
        HostId('other'),
        relay.StoreKind.UPSTREAMS,
        relay.NO_EDITION,
        store.position,
        part=0,
        parts=1,
        complete=True,
        settled=True,
        version=None,
        entries=tuple(store.listings.values()),
        removed=(),
    )
    watcher.dispatch(relay.PeerMessageReceived(snapshot))
    watcher.dispatch(answer)
    assert watcher.states()['i-1'] is UpstreamState.DRAINING


def test_zone_goes_on_without_the_store(simulation: RelaySimulation) -> None:
    simulation.store.up = False
    simulation.run(60)
    for host in simulation.hosts.values():
        assert host.ready
        assert host.open().state is UpstreamState.READY
    simulation.store.up = True
    simulation.store.configure(3, *ROUTES)
    simulation.run(IN_FORCE_SECONDS)
    assert versions(simulation) == {3}


def test_entries_that_expired_in_an_outage_are_kept_for_a_while(
    simulation: RelaySimulation,
) -> None:
    simulation.store.up = False
    simulation.run(5)
    entries = [simulation.store.listings['i-1'], simulation.store.listings['i-2']]
    simulation.store.delete('i-1')
    simulation.store.delete('i-2')
    simulation.store.up = True
    simulation.run(1.5)
    host = next(iter(simulation.hosts.values()))
    assert host.states()['i-1'] is UpstreamState.READY
    simulation.store.put(entries[0])
    simulation.run(3)
    for host in simulation.hosts.values():
        assert host.states()['i-1'] is UpstreamState.READY
        assert host.states()['i-2'] is UpstreamState.GONE


def test_stopping_leader_is_replaced_at_once(simulation: RelaySimulation) -> None:
    (leader,) = simulation.leaders()
    leader.dispatch(relay.StopRequested())
    simulation.run(0.3)
    assert any(host is not leader for host in simulation.leaders())


def stop_seconds(host: RelayHost, simulation: RelaySimulation) -> float:
    host.dispatch(relay.StopRequested())
    started = simulation.clock.now
    while not host.ended:
        simulation.run(0.1)
    return simulation.clock.now - started


def test_stop_is_soon_if_no_packets_come(simulation: RelaySimulation) -> None:
    host = next(iter(simulation.hosts.values()))
    assert stop_seconds(host, simulation) < 2
    assert not host.ready


def test_paused_host_reads_the_content_when_it_resumes(
    simulation: RelaySimulation,
) -> None:
    paused = next(host for host in simulation.hosts.values() if not host.watches)
    endpoint = paused.endpoint
    del simulation.hosts[endpoint]
    simulation.run(20)
    simulation.store.configure(2, *ROUTES)
    simulation.run(0.2)
    simulation.hosts[endpoint] = paused
    simulation.run(0.3)
    assert paused.version() == 2


def test_unusable_settings_change_nothing(simulation: RelaySimulation) -> None:
    host = next(iter(simulation.hosts.values()))
    before = host.context.settings
    host.dispatch(relay.SettingsRead(None, 'zone: a text is needed'))
    assert host.context.settings is before
    assert host.records[-1].details['detail'] == 'zone: a text is needed'
