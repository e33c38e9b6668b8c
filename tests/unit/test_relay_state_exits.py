"""States of a host from which it has to become current by itself."""

import random

import pytest

from lycheedeal import relay
from lycheedeal.dispatch import load_plugins
from tests.failing_hosts import (
    IN_FORCE_SECONDS,
    STABLE_SECONDS,
    FailingHost,
    FailingSimulation,
    Failure,
    Moment,
)

CALLS = [(kind, call) for kind in relay.StoreKind for call in ('list', 'watch')]
EVENTS_BY_PLUGIN = {
    spec.name: sorted(spec.events, key=lambda one: one.__name__)
    for spec in load_plugins(relay.RELAY_PLUGINS)
}


def assert_current(simulation: FailingSimulation) -> None:
    """Assert that calm hosts are current, and that the next change reaches them."""
    simulation.run(STABLE_SECONDS)
    assert not simulation.hosts_behind(has_settled=False)
    simulation.change()
    simulation.run(IN_FORCE_SECONDS)
    assert not simulation.hosts_behind()


def watcher_of(simulation: FailingSimulation) -> FailingHost:
    (watcher,) = (one for one in simulation.failing_hosts() if one.watches)
    return watcher


def follower_of(simulation: FailingSimulation) -> FailingHost:
    leaders = simulation.leaders()
    return next(one for one in simulation.failing_hosts() if one not in leaders)


@pytest.mark.parametrize('is_cut_off', [False, True], ids=['zone', 'cut-off'])
@pytest.mark.parametrize(('kind', 'call'), CALLS)
def test_host_whose_call_has_no_end_reads_again(
    kind: relay.StoreKind, call: str, is_cut_off: bool
) -> None:
    """Guards against a reader that waits for ever for the end of a call."""
    simulation = FailingSimulation()
    for host in (watcher_of(simulation), follower_of(simulation)):
        host.lost_calls.add((kind, call))
        if is_cut_off:
            simulation.disconnect(host.endpoint)
        host.dispatch(relay.RefreshRequested(kind))
        simulation.change()
        simulation.run(3)
        host.lost_calls.clear()
    assert_current(simulation)


@pytest.mark.parametrize(('kind', 'call'), CALLS)
def test_host_whose_first_call_has_no_end_reads_again(
    kind: relay.StoreKind, call: str
) -> None:
    """Guards against a host that waits for ever for its first list."""
    simulation = FailingSimulation(zones=1, hosts=1)
    (host,) = simulation.failing_hosts()
    started = simulation.restart(host)
    simulation.pending_events.clear()
    started.lost_calls.add((kind, call))
    simulation.run(3)
    started.lost_calls.clear()
    assert_current(simulation)


def test_list_of_many_pages_is_not_taken_for_a_call_without_an_end() -> None:
    """Guards against a list that is cancelled while its pages arrive."""
    simulation = FailingSimulation(zones=1, hosts=1)
    (host,) = simulation.failing_hosts()
    upstreams = relay.StoreKind.UPSTREAMS
    host.lost_calls.add((upstreams, 'list'))
    simulation.store.calls.clear()
    host.dispatch(relay.RefreshRequested(upstreams))
    for _ in range(4):
        simulation.run(0.9)
        host.dispatch(relay.CallProgressed(upstreams))
    assert simulation.store.calls.count(('a-0', 'list')) == 1
    host.lost_calls.clear()
    assert_current(simulation)


@pytest.mark.parametrize('is_cut_off', [False, True], ids=['zone', 'cut-off'])
@pytest.mark.parametrize('moment', Moment)
@pytest.mark.parametrize('plugin', EVENTS_BY_PLUGIN)
def test_host_is_current_after_an_exception_in_a_plugin(
    plugin: str, moment: Moment, is_cut_off: bool
) -> None:
    """Guards against plug-ins that disagree after an exception in one of them."""
    for event_type in EVENTS_BY_PLUGIN[plugin]:
        simulation = FailingSimulation()
        watcher, follower = watcher_of(simulation), follower_of(simulation)
        for host in (watcher, follower):
            Failure(plugin, (event_type,), moment).install(host)
        if is_cut_off:
            simulation.disconnect(watcher.endpoint)
            simulation.disconnect(follower.endpoint)
        simulation.change()
        simulation.run(0.5)
        simulation.store.refused.add(watcher.context.settings.host_id)
        simulation.run(3)
        simulation.store.refused.clear()
        assert_current(simulation)


@pytest.mark.parametrize('plugin', ['zone', 'region'])
@pytest.mark.parametrize('call', ['list', 'watch'])
def test_host_that_cannot_decode_a_configuration_does_not_keep_others_from_it(
    call: str, plugin: str
) -> None:
    """Guards against content that counts as confirmed and was not read."""
    simulation = FailingSimulation(zones=1 if plugin == 'zone' else 2)
    watcher = watcher_of(simulation)
    watcher.is_older_build = True
    if call == 'list':
        watcher.watches.pop(relay.StoreKind.CONFIGURATION)
    simulation.change()
    watcher.dispatch(relay.RefreshRequested(relay.StoreKind.CONFIGURATION))
    simulation.run(IN_FORCE_SECONDS)
    assert set(simulation.hosts_behind()) <= {watcher.context.settings.host_id}
    watcher.is_older_build = False
    assert_current(simulation)


def test_host_reads_after_a_change_that_names_no_object() -> None:
    """Guards against content that counts as confirmed after an unknown change."""
    simulation = FailingSimulation(zones=1, hosts=1)
    (host,) = simulation.failing_hosts()
    host.watches.clear()
    simulation.change()
    kind, position = relay.StoreKind.CONFIGURATION, simulation.store.position
    host.dispatch(relay.WatchAnswered(kind, position, (), unusable=('',)))
    simulation.run(1)
    assert not simulation.hosts_behind()


@pytest.mark.parametrize('seed', range(40))
def test_hosts_are_current_after_random_failures(seed: int) -> None:
    """Guards against states that a host does not leave by itself."""
    rng = random.Random(seed)
    simulation = FailingSimulation(zones=rng.randint(1, 3), hosts=rng.randint(1, 4))
    for _ in range(rng.randint(2, 6)):
        _cause_trouble(simulation, rng)
        if rng.random() < 0.6:
            simulation.change()
        simulation.run(rng.choice((0.1, 0.4, 1, 2)))
    for host in simulation.failing_hosts():
        host.lost_calls.clear()
        host.is_older_build = False
    simulation.store.up = True
    simulation.store.refused.clear()
    simulation.disconnected.clear()
    simulation.cut_zone = ''
    simulation.loss = 0
    simulation.change()
    for host in rng.sample(simulation.failing_hosts(), rng.randint(0, 1)):
        simulation.disconnect(host.endpoint)
    assert_current(simulation)


def _cause_trouble(simulation: FailingSimulation, rng: random.Random) -> None:
    hosts = simulation.failing_hosts()
    store = simulation.store
    host = rng.choice(hosts)
    match rng.randrange(9):
        case 0:
            host.lost_calls.add(rng.choice(CALLS))
        case 1:
            plugin = rng.choice(list(EVENTS_BY_PLUGIN))
            event_type = rng.choice(EVENTS_BY_PLUGIN[plugin])
            Failure(plugin, (event_type,), rng.choice(list(Moment))).install(host)
        case 2:
            store.up = not store.up
        case 3:
            store.refused ^= {host.context.settings.host_id}
        case 4:
            simulation.restart(host)
        case 5:
            simulation.loss = rng.choice((0, 0.3, 0.9))
        case 6:
            simulation.cut_zone = rng.choice(('', 'a', 'b'))
        case 7:
            store.compact()
        case 8:
            simulation.disconnected ^= {host.endpoint}
