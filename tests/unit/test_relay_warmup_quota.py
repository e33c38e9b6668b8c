"""Openings that cold upstreams get from all hosts together, in any second."""

import random
from collections import defaultdict
from collections.abc import Callable

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from tests.relay_simulation import (
    API,
    CALLER,
    STEP_SECONDS,
    RelayHost,
    RelaySimulation,
    listing,
)

OVERAGE, SLACK = 1.5, 5.0
OPENINGS_PER_SECOND = 50
# More than all hosts of a zone may send, at each of them.
FLOOD_PER_SECOND = 400
COLD_MS = 600_000
HOST_COUNTS = (3, 10, 30)
# Part of the limit that cold upstreams get at least while more flows arrive.
MIN_USED_SHARE = 0.3
# Time after which all hosts of a zone have a share in the limits.
SHARING_SECONDS = 10.0


class WarmupSimulation(RelaySimulation):
    """Sends openings to all hosts in turn, and notes which upstreams get them."""

    evacuation_seconds = 5.0
    warmup_overage = OVERAGE
    warmup_slack = SLACK

    def __init__(self) -> None:
        super().__init__()
        self.times_by_upstream: dict[str, list[float]] = defaultdict(list)
        self.callers = 0
        # Pairs of hosts between which no datagrams pass.
        self.parts: tuple[set[Endpoint], ...] = ()
        self._order = random.Random(0)

    def open_for(self, seconds: float, rate: int = OPENINGS_PER_SECOND) -> None:
        """Run while openings arrive at the hosts at random."""
        per_step = round(rate * STEP_SECONDS)
        for _ in range(round(seconds / STEP_SECONDS)):
            for _ in range(per_step):
                self.clock.now += STEP_SECONDS / per_step
                self._open()
            self.clock.now -= STEP_SECONDS
            self.run(STEP_SECONDS)

    def _open(self) -> None:
        hosts = list(self.hosts.values())
        host = self._order.choice(hosts)
        self.callers += 1
        upstream = host.try_open(CALLER + self.callers)
        if upstream is not None:
            name = upstream.listing.upstream_id
            self.times_by_upstream[name].append(self.clock.now)

    def send(self, sender: RelayHost, endpoint: Endpoint, datagram: bytes) -> None:
        if not any(
            (sender.endpoint in part) != (endpoint in part) for part in self.parts
        ):
            super().send(sender, endpoint, datagram)

    def most_in_a_second(self, name: str) -> int:
        times = sorted(self.times_by_upstream[name])
        return max(
            (
                sum(at <= one < at + 1 for one in times[index:])
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def assert_within(self, limit: float) -> None:
        for name in self.times_by_upstream:
            assert self.most_in_a_second(name) <= limit


def terms(rate: float | None) -> relay.ServiceTerms:
    return relay.ServiceTerms(API, warmup_seconds=2, warmup_rate=rate)


def started(
    hosts: int, rate: float | None = 10, upstreams: int = 1
) -> WarmupSimulation:
    """Return a zone whose upstreams are cold, after it has found a leader."""
    simulation = WarmupSimulation()
    simulation.store.terms = (terms(rate),)
    names = (f'i-{one}' for one in range(1, upstreams + 1))
    simulation.store.put(*(listing(one, warmup_ms=COLD_MS) for one in names))
    simulation.add_together(hosts, 1)
    simulation.open_for(SHARING_SECONDS)
    return simulation


def limit_of(rate: float | None) -> float:
    return (rate or 0) * OVERAGE + SLACK


@pytest.mark.parametrize('hosts', HOST_COUNTS)
@pytest.mark.parametrize('rate', [0, None, 10, 20])
def test_cold_upstreams_are_neither_flooded_nor_idle(
    hosts: int, rate: float | None
) -> None:
    """Guards against a split that exceeds the limit, or leaves most of it unused."""
    simulation = started(hosts, rate)
    simulation.times_by_upstream.clear()
    simulation.open_for(10)
    simulation.assert_within(limit_of(rate))
    used = len(simulation.times_by_upstream['i-1'])
    assert used >= MIN_USED_SHARE * limit_of(rate) * 10


@pytest.mark.parametrize('hosts', HOST_COUNTS)
def test_large_rate_does_not_keep_flows_from_a_cold_upstream(hosts: int) -> None:
    """Guards against refusals where the limit is far above the demand."""
    simulation = started(hosts, 100_000)
    simulation.times_by_upstream.clear()
    simulation.open_for(3)
    assert len(simulation.times_by_upstream['i-1']) == 3 * OPENINGS_PER_SECOND


def start_hosts(simulation: WarmupSimulation) -> None:
    seeds = tuple(simulation.hosts)[:1]
    for one in range(max(len(simulation.hosts) // 2, 1)):
        host = RelayHost(simulation, f'late-{one}', 'south', seeds)
        simulation.hosts[host.endpoint] = host
        host.dispatch(relay.Started())


def stop_hosts(simulation: WarmupSimulation) -> None:
    for host in tuple(simulation.hosts.values())[::3]:
        host.dispatch(relay.StopRequested())


def lose_hosts(simulation: WarmupSimulation) -> None:
    for host in tuple(simulation.hosts.values())[1::3]:
        simulation.kill(host)


def lose_leader(simulation: WarmupSimulation) -> None:
    for leader in simulation.leaders():
        simulation.kill(leader)


def cut_leader_off(simulation: WarmupSimulation) -> None:
    simulation.parts = ({one.endpoint for one in simulation.leaders()},)


def cut_follower_off(simulation: WarmupSimulation) -> None:
    leaders = {one.endpoint for one in simulation.leaders()}
    followers = [one for one in simulation.hosts if one not in leaders]
    simulation.parts = ({followers[0]},)


def split_zone(simulation: WarmupSimulation) -> None:
    endpoints = tuple(simulation.hosts)
    simulation.parts = (set(endpoints[: len(endpoints) // 2]),)


def lose_messages(simulation: WarmupSimulation) -> None:
    simulation.loss = 0.3


def stop_store(simulation: WarmupSimulation) -> None:
    simulation.store.up = False


def start_and_lose_leader(simulation: WarmupSimulation) -> None:
    start_hosts(simulation)
    lose_leader(simulation)


CHANGES = (
    start_hosts,
    stop_hosts,
    lose_hosts,
    lose_leader,
    cut_leader_off,
    cut_follower_off,
    split_zone,
    lose_messages,
    stop_store,
    start_and_lose_leader,
)


@pytest.mark.parametrize('hosts', HOST_COUNTS)
@pytest.mark.parametrize('change', CHANGES)
def test_limit_holds_while_hosts_and_links_change(
    hosts: int, change: Callable[[WarmupSimulation], None]
) -> None:
    """Guards against hosts that split the limit by tables that differ."""
    simulation = started(hosts)
    change(simulation)
    simulation.open_for(16)
    simulation.parts = ()
    simulation.loss = 0
    simulation.store.up = True
    simulation.open_for(6)
    simulation.assert_within(limit_of(10))


@pytest.mark.parametrize('hosts', HOST_COUNTS)
@pytest.mark.parametrize('cut', [cut_leader_off, cut_follower_off, split_zone])
def test_limit_holds_while_parts_of_a_zone_do_not_hear_each_other(
    hosts: int, cut: Callable[[WarmupSimulation], None]
) -> None:
    """Guards against a part that takes itself for the zone and all of the limit.

    The first host leads from its start, and never hears another leader.
    """
    simulation = WarmupSimulation()
    simulation.store.terms = (terms(10),)
    simulation.store.put(listing('i-1', warmup_ms=COLD_MS))
    for one in range(hosts):
        simulation.add(f'host-{one:02}')
    simulation.run(SHARING_SECONDS)
    cut(simulation)
    simulation.open_for(25, FLOOD_PER_SECOND)
    simulation.parts = ()
    simulation.open_for(6, FLOOD_PER_SECOND)
    simulation.assert_within(limit_of(10))
    assert simulation.times_by_upstream['i-1']


def test_host_whose_seeds_are_gone_takes_no_share() -> None:
    """Guards against a host that is not known to the others of its zone."""
    simulation = started(3)
    simulation.times_by_upstream.clear()
    late = RelayHost(simulation, 'late', 'south', (Endpoint('10.0.0.250', 7720),))
    simulation.hosts[late.endpoint] = late
    late.dispatch(relay.Started())
    simulation.open_for(15, FLOOD_PER_SECOND)
    assert late.ready
    simulation.assert_within(limit_of(10))


def test_host_that_is_alone_uses_the_limit() -> None:
    """Guards against a zone of one host that waits for others."""
    simulation = started(1)
    simulation.times_by_upstream.clear()
    simulation.open_for(10)
    simulation.assert_within(limit_of(10))
    used = len(simulation.times_by_upstream['i-1'])
    assert used >= MIN_USED_SHARE * limit_of(10) * 10


@pytest.mark.parametrize('hosts', HOST_COUNTS)
@pytest.mark.parametrize('lost', [lose_leader, lose_hosts, stop_store])
def test_cold_upstreams_get_flows_again_after_a_failure(
    hosts: int, lost: Callable[[WarmupSimulation], None]
) -> None:
    """Guards against a share that nobody takes over."""
    simulation = started(hosts)
    lost(simulation)
    simulation.open_for(15)
    simulation.times_by_upstream.clear()
    simulation.open_for(10)
    used = len(simulation.times_by_upstream['i-1'])
    assert used >= MIN_USED_SHARE * limit_of(10) * 10


@pytest.mark.parametrize('hosts', HOST_COUNTS)
def test_hosts_that_restart_one_after_the_other_stay_within_the_limit(
    hosts: int,
) -> None:
    """Guards against a host that forgets by its restart what it has sent."""
    simulation = started(hosts)
    for _ in range(5):
        # The one that has run for the longest time.
        host = next(iter(simulation.hosts.values()))
        simulation.kill(host)
        own = host.context.settings
        seeds = tuple(simulation.hosts)[:1]
        late = RelayHost(simulation, own.host_id, own.zone, seeds)
        simulation.hosts[late.endpoint] = late
        late.dispatch(relay.Started())
        simulation.open_for(2)
    simulation.open_for(8)
    simulation.assert_within(limit_of(10))


@pytest.mark.parametrize('hosts', HOST_COUNTS)
def test_zone_that_returns_with_cold_upstreams_is_not_flooded(hosts: int) -> None:
    """Guards against hosts that hear of the return before the warm-up."""
    simulation = WarmupSimulation()
    simulation.store.terms = (terms(10),)
    simulation.store.put(listing('i-1'), listing('i-2'))
    simulation.store.put(listing('i-3', zone='north'))
    simulation.add_together(hosts, SHARING_SECONDS)
    simulation.store.evacuate('south')
    simulation.run(5)
    simulation.open_for(1)
    assert 'i-1' not in simulation.times_by_upstream
    simulation.store.resume('south')
    began = simulation.clock.now
    simulation.open_for(2)
    simulation.store.put(listing('i-1', warmup_ms=1000))
    simulation.open_for(3)
    # Cold upstreams of other zones get nothing, warm ones what exceeds the limit.
    assert simulation.times_by_upstream['i-1']
    warm_at = began + 2
    for name in ('i-1', 'i-2'):
        times = simulation.times_by_upstream[name]
        simulation.times_by_upstream[name] = [at for at in times if at < warm_at]
        assert simulation.most_in_a_second(name) <= limit_of(10)


def test_other_zones_send_nothing_to_a_cold_upstream() -> None:
    """Guards against hosts that do not take part in the split."""
    simulation = started(3)
    simulation.store.put(listing('i-2', zone='north'))
    north = simulation.add('north-0', 'north')
    simulation.run(SHARING_SECONDS)
    for one in range(40):
        upstream = north.try_open(CALLER + one)
        assert upstream is not None
        assert upstream.listing.zone == 'north'


def test_deployment_without_limits_treats_cold_upstreams_as_before() -> None:
    """Guards against refusals where the settings have no bounds."""
    simulation = WarmupSimulation()
    simulation.warmup_overage = simulation.warmup_slack = None
    simulation.store.terms = (terms(0),)
    simulation.store.put(listing('i-1', warmup_ms=COLD_MS))
    simulation.add_together(3, 1)
    simulation.open_for(2)
    assert len(simulation.times_by_upstream['i-1']) == 2 * OPENINGS_PER_SECOND
