"""Hosts that are told of a change but do not receive it."""

from collections.abc import Callable

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId, Zone
from lycheedeal.relay import Edition
from lycheedeal.relay._copies import edition_of
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
OLD, NEW = 1, 2


class LosingSimulation(RelaySimulation):
    """Loses content that hosts send to each other while ``loses_content``."""

    loses_content = False
    evacuation_seconds = 5.0

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if not (self.loses_content and b'"content"' in datagram):
            super().send(sender, endpoint, datagram)

    def run_until_read(self, limit_seconds: float) -> RelayHost | None:
        """Run until a host has the new version; None if none has it in time."""
        for _ in range(round(limit_seconds / STEP_SECONDS)):
            for host in self.hosts.values():
                if host.version() == NEW:
                    return host
            self.run(STEP_SECONDS)
        return None


def build(hosts_by_zone: dict[str, int]) -> LosingSimulation:
    simulation = LosingSimulation()
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, 6)))
    for zone, hosts in hosts_by_zone.items():
        for number in range(hosts):
            simulation.add(f'{zone}-{number}', zone)
    simulation.run(8)
    return simulation


@pytest.mark.parametrize('failures', [1, 2])
@pytest.mark.parametrize(
    'hosts_by_zone',
    [{'south': 4}, {'south': 7}, {'north': 4, 'south': 4}],
    ids=['4-hosts', '7-hosts', '2-zones'],
)
def test_change_announced_by_leaders_that_fail_is_in_force_in_time(
    hosts_by_zone: dict[str, int], failures: int
) -> None:
    """Guards against hosts whose content is behind and counts as confirmed."""
    simulation = build(hosts_by_zone)
    written_at = simulation.clock.now
    for watcher in simulation.watchers():
        simulation.store.refused.add(watcher.context.settings.host_id)
    simulation.store.configure(NEW, *ROUTES)
    simulation.loses_content = True
    for _ in range(failures):
        reader = simulation.run_until_read(IN_FORCE_SECONDS)
        if reader is not None:
            # Its beacon arrives; what it has read is lost.
            simulation.run(STEP_SECONDS)
            simulation.kill(reader)
    simulation.loses_content = False
    simulation.run(written_at + IN_FORCE_SECONDS - simulation.clock.now)
    lagging = [
        host.context.settings.host_id
        for host in simulation.hosts.values()
        if host.version() == OLD and host.reaches_store()
    ]
    assert not lagging


def drain(store: Store) -> None:
    store.put(listing('i-1', draining=True))


def evacuate(store: Store) -> None:
    store.evacuate('south')


def configure(store: Store) -> None:
    store.configure(NEW, *ROUTES)


@pytest.mark.parametrize(
    ('kind', 'change'),
    [
        (relay.StoreKind.CONFIGURATION, configure),
        (relay.StoreKind.UPSTREAMS, drain),
        (relay.StoreKind.EVACUATIONS, evacuate),
    ],
)
def test_content_that_is_behind_is_not_confirmed(
    kind: relay.StoreKind, change: Callable[[Store], None]
) -> None:
    """Guards against a host that takes the age of its leader's content for its own."""
    simulation = build({'south': 4})
    (leader,) = simulation.leaders()
    simulation.loses_content = True
    changed_at = simulation.clock.now
    change(simulation.store)
    simulation.run(0.5)
    lagging = [one for one in simulation.hosts.values() if one is not leader]
    for host in lagging:
        freshness = host.kernel.plugins_by_name['zone'].freshness
        assert freshness.confirmed_at(kind) <= changed_at


def test_host_that_hears_two_leaders_reads_what_one_of_them_announces() -> None:
    """Guards against a leader that is behind, too, and hides that its zone is."""
    simulation = build({'south': 4})
    (leader,) = simulation.leaders()
    host = next(one for one in simulation.hosts.values() if one is not leader)
    copies = host.kernel.plugins_by_name['zone'].copies_by_kind.values()
    editions = tuple(map(edition_of, copies))
    ahead = Edition((0, NEW)), *editions[1:]
    simulation.store.calls.clear()
    for _ in range(3):
        for sender, announced in (('south-8', ahead), ('south-9', editions)):
            peer = relay.Peer(
                HostId(sender), Zone('south'), Endpoint('10.9.0.1', 7720), 4, True
            )
            beacon = relay.Beacon(peer, (0,) * len(editions), announced, 4, ())
            host.dispatch(relay.PeerMessageReceived(beacon))
        simulation.run(0.5)
    assert (host.context.settings.host_id, 'list') in simulation.store.calls
