"""Messages that waited in the sockets of a paused process."""

import pytest

from lycheedeal import relay
from lycheedeal.relay.peer_codec import decode_message
from tests.relay_simulation import STEP_SECONDS, RelayHost, RelaySimulation, listing

PAUSE_SECONDS = 3.0
ZONES = ('north', 'south')
HOSTS_PER_ZONE = 3


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.evacuation_seconds = 5.0
    simulation.store.put(*(listing(f'i-{one}') for one in range(1, 6)))
    for number in range(HOSTS_PER_ZONE):
        for zone in ZONES:
            simulation.add(f'{zone}-{number}', zone)
    simulation.run(8)
    return simulation


def confirmed_at(host: RelayHost) -> float:
    freshness = host.kernel.plugins_by_name['zone'].freshness
    times = map(freshness.confirmed_at, host.context.settings.kinds)
    return max(times)


def beacons_to(
    simulation: RelaySimulation, host: RelayHost, beacon_type: type
) -> list[relay.Event]:
    """Return the beacons that are sent to a host within a second."""
    simulation.recorded = []
    simulation.run(1)
    messages = (
        decode_message(datagram)
        for endpoint, datagram in simulation.recorded
        if endpoint == host.endpoint
    )
    return [
        relay.PeerMessageReceived(one.message if isinstance(one, relay.Spread) else one)
        for one in messages
        if isinstance(one, beacon_type)
        or (isinstance(one, relay.Spread) and isinstance(one.message, beacon_type))
    ]


@pytest.mark.parametrize('beacon_type', [relay.Beacon, relay.RegionBeacon])
@pytest.mark.parametrize('ticks', [False, True], ids=['before-tick', 'after-tick'])
def test_beacon_that_waited_confirms_no_later_content(
    simulation: RelaySimulation, beacon_type: type, ticks: bool
) -> None:
    """Guards against ages that leave out the time in a socket."""
    (watcher,) = simulation.watchers()
    leaders = [one for one in simulation.leaders() if one is not watcher]
    followers = [
        one for one in simulation.hosts.values() if one not in (watcher, *leaders)
    ]
    receiver = leaders[0] if beacon_type is relay.RegionBeacon else followers[0]
    beacon = beacons_to(simulation, receiver, beacon_type)[-1]
    paused_at = simulation.clock.now
    simulation.clock.now += PAUSE_SECONDS
    if ticks:
        receiver.dispatch(relay.Tick(simulation.clock.now))
    receiver.dispatch(beacon)
    assert confirmed_at(receiver) <= paused_at + STEP_SECONDS


@pytest.mark.parametrize('has_changes', [False, True])
def test_answer_that_waited_confirms_no_later_content(
    simulation: RelaySimulation, has_changes: bool
) -> None:
    """Guards against a watch that counts as answered when its answer is read."""
    (watcher,) = simulation.watchers()
    paused_at = simulation.clock.now
    kind = relay.StoreKind.UPSTREAMS
    del watcher.watches[kind]
    simulation.clock.now += PAUSE_SECONDS
    entries = (listing('i-1', draining=True),) if has_changes else ()
    answer = relay.WatchAnswered(kind, simulation.store.position, entries)
    watcher.dispatch(answer)
    assert confirmed_at(watcher) <= paused_at + STEP_SECONDS
