"""Answers of the store that take long on the links of all hosts."""

import pytest

from lycheedeal import relay
from tests.change_histories import ChangeHistory, Deployment
from tests.relay_simulation import RelayHost, RelaySimulation, listing
from tests.timed_relays import TimedHost

# Largest object of the store, and the narrowest links of the platform.
OBJECT_BYTES = 1_048_576
LINK_BITS_PER_SECOND = 5_000_000
# Time in which a change must be in force on deployments with such links.
IN_FORCE_SECONDS = 5.0
UPSTREAMS = relay.StoreKind.UPSTREAMS
CONFIGURATION = relay.StoreKind.CONFIGURATION
ZONES = [
    pytest.param({'a': 3}, id='one-zone'),
    pytest.param({'a': 2, 'b': 2}, id='two-zones'),
    pytest.param({'a': 20, 'b': 20, 'c': 20}, id='many-hosts'),
]


class NarrowHistory(ChangeHistory):
    """Hosts on narrow links, while each kind holds an object of the largest size."""

    def __init__(self, hosts_by_zone: dict[str, int], *kinds: relay.StoreKind) -> None:
        deployment = Deployment(hosts_by_zone, 0.361, evacuation_seconds=5.0)
        super().__init__(deployment, seed=1)
        self.simulation.link_bits_per_second = LINK_BITS_PER_SECOND
        self.simulation.bytes_by_kind = dict.fromkeys(kinds, OBJECT_BYTES)

    def hosts(self) -> list[TimedHost]:
        return list(self.simulation.timed_hosts())

    def restart_together(self) -> None:
        for host in self.hosts():
            self.simulation.kill(host)
            self.simulation.restart(host)

    def assert_changes_are_in_force(self) -> None:
        """Assert that a new version and a drain reach all hosts in time."""
        simulation = self.simulation
        self.change()
        simulation.store.put(listing('i-1', draining=True))
        simulation.report_changes()
        simulation.run(IN_FORCE_SECONDS)
        version = simulation.store.version
        assert {host.version() for host in self.hosts()} == {version}
        states = {host.states()['i-1'] for host in self.hosts()}
        assert states == {relay.UpstreamState.DRAINING}


@pytest.mark.parametrize('zones', ZONES)
@pytest.mark.parametrize(
    'kinds', [(CONFIGURATION,), (UPSTREAMS,), tuple(relay.StoreKind)]
)
def test_changes_are_in_force_while_answers_take_long(
    zones: dict[str, int], kinds: tuple[relay.StoreKind, ...]
) -> None:
    """Guards against calls that are given up halfway and begun anew for ever."""
    history = NarrowHistory(zones, *kinds)
    history.assert_changes_are_in_force()
    history.simulation.run(3)
    history.assert_changes_are_in_force()


@pytest.mark.parametrize('zones', ZONES)
def test_hosts_that_start_together_are_ready_as_soon_as_links_allow(
    zones: dict[str, int],
) -> None:
    """Guards against hosts that never end their first lists after a loss of all."""
    history = NarrowHistory(zones, *relay.StoreKind)
    history.restart_together()
    kinds = len(relay.StoreKind)
    history.simulation.run(kinds * OBJECT_BYTES * 8 / LINK_BITS_PER_SECOND + 1)
    assert all(host.ready for host in history.hosts())
    history.simulation.run(IN_FORCE_SECONDS)
    history.assert_changes_are_in_force()


def test_hosts_that_start_together_on_a_slow_store_are_ready_in_the_end() -> None:
    """Guards against lists that are begun anew for ever as many hosts share a link."""
    history = NarrowHistory({'a': 20, 'b': 20, 'c': 20}, *relay.StoreKind)
    history.simulation.store_bits_per_second = 50_000_000
    history.restart_together()
    total_bytes = len(history.hosts()) * len(relay.StoreKind) * OBJECT_BYTES
    history.simulation.run(1.1 * total_bytes * 8 / 50_000_000)
    assert all(host.ready for host in history.hosts())


class SlowHost:
    """A host whose watch of upstreams is being answered."""

    def __init__(self) -> None:
        self.simulation = RelaySimulation()
        self.simulation.store.put(listing('i-1'))
        self.host: RelayHost = self.simulation.add('a-0', 'a')
        self.simulation.run(4)
        self.host.watches.pop(UPSTREAMS)
        self.simulation.store.calls.clear()

    def receive_for(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.host.dispatch(relay.CallProgressed(UPSTREAMS))
            self.simulation.run(0.1)

    def calls(self) -> list[str]:
        return [call for _, call in self.simulation.store.calls]

    def age(self) -> float:
        zone = self.host.kernel.plugins_by_name['zone']
        age: float = zone.freshness.age(UPSTREAMS)
        return age


def test_watch_is_not_taken_for_lost_while_its_answer_arrives() -> None:
    """Guards against a watch that is cancelled although its answer arrives."""
    slow = SlowHost()
    slow.receive_for(6)
    assert 'list' not in slow.calls()
    slow.simulation.run(1)
    assert 'list' in slow.calls()


def test_list_is_not_asked_for_while_an_answer_arrives() -> None:
    """Guards against an answer that is given up for one that takes as long."""
    slow = SlowHost()
    slow.receive_for(1)
    slow.host.dispatch(relay.RefreshRequested(UPSTREAMS))
    slow.receive_for(1)
    assert 'list' not in slow.calls()


def test_answer_that_took_long_confirms_the_content_as_of_its_start() -> None:
    """Guards against content that counts as confirmed later than the store read it."""
    slow = SlowHost()
    slow.receive_for(3)
    store = slow.simulation.store
    slow.host.dispatch(relay.WatchAnswered(UPSTREAMS, store.position, ()))
    assert slow.age() == pytest.approx(3)
    # The next watch confirms it soon.
    slow.simulation.run(0.4)
    assert slow.age() < 0.4
