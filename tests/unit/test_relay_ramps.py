"""Ramp-ups on several hosts, with upstreams that queue requests, on virtual time."""

import heapq
from collections import Counter, defaultdict
from itertools import product

import pytest

from lycheedeal import relay
from lycheedeal.ids import UpstreamId, Zone
from lycheedeal.relay import PacketKind
from tests.relay_simulation import CALLER, RelayHost, RelaySimulation, listing, packet

HOSTS, UPSTREAMS, SLOTS = 6, 8, 2
NEW = UpstreamId('i-1')
STEP_SECONDS = 0.1
# Half of what the upstreams can serve.
FLOWS_PER_STEP = 6
REQUEST_SECONDS = 0.15
# A cold upstream needs this many times longer, for this many seconds.
COLD_FACTOR, COLD_SECONDS = 3.0, 4.0


class Fleet:
    """Callers with one request a flow, and upstreams with two slots and a queue.

    Without ``ramps`` the hosts do as they do for upstreams that are not new.
    """

    def __init__(self, first: int, ramps: bool = True, seed: int = 0) -> None:
        self.simulation = RelaySimulation()
        self.ramps = ramps
        self.silent: set[UpstreamId] = set()
        self.cold_until: dict[UpstreamId, float] = {}
        self.openings: list[Counter[UpstreamId]] = []
        self.longest_wait: dict[UpstreamId, float] = defaultdict(float)
        self._free_at = defaultdict(lambda: [0.0] * SLOTS)
        self._caller = CALLER
        self._due: list[tuple[float, int, RelayHost, relay.Upstream | None]] = []
        names = range(first, UPSTREAMS + 1)
        self.simulation.store.put(*(listing(f'i-{one}') for one in names))
        self.simulation.add_together(HOSTS, seconds=6)
        for host in self.simulation.hosts.values():
            host.context.rng.seed(f'{host.context.settings.host_id} {seed}')
        self.run(4)

    def run(self, seconds: int) -> list[float]:
        """Return the openings of NEW each second, relative to the mean of others."""
        since = len(self.openings)
        for _ in range(seconds):
            self.openings.append(Counter())
            for _ in range(round(1 / STEP_SECONDS)):
                self._run_step()
        others = UPSTREAMS - 1
        return [
            round(one[NEW] * others / max(one.total() - one[NEW], 1), 2)
            for one in self.openings[since:]
        ]

    def _run_step(self) -> None:
        while self._due and self._due[0][0] <= self.simulation.clock.now:
            _, caller, host, upstream = heapq.heappop(self._due)
            if upstream is None:
                self._open(host, caller, 1)
            else:
                self._send(host, upstream, caller, PacketKind.FINISH, 100)
        hosts = [
            one
            for one in self.simulation.hosts.values()
            if one.context.settings.zone == 'south'
        ]
        for _ in range(FLOWS_PER_STEP):
            self._caller += 1
            self._open(hosts[self._caller % len(hosts)], self._caller, 0)
        self.simulation.run(STEP_SECONDS)

    def _open(self, host: RelayHost, caller: int, attempt: int) -> None:
        if not self.ramps:
            ramps = host.kernel.plugins_by_name['forwarding']._candidates._ramps
            ramps.follow_table = lambda table: None
            ramps.resume = lambda zones: None
            ramps.advance = lambda now, load_of: iter(())
        now = self.simulation.clock.now
        upstream = host.open(caller, attempt)
        name = upstream.listing.upstream_id
        self.openings[-1][name] += 1
        if name in self.silent:
            heapq.heappush(self._due, (now + 0.2, caller, host, None))
            return
        factor = COLD_FACTOR if self.cold_until.get(name, 0) > now else 1
        slots = self._free_at[name]
        begin = max(heapq.heappop(slots), now)
        end = begin + REQUEST_SECONDS * factor
        heapq.heappush(slots, end)
        self.longest_wait[name] = max(self.longest_wait[name], begin - now)
        self._send(host, upstream, caller, PacketKind.ACKNOWLEDGEMENT)
        self._send(host, upstream, caller, PacketKind.DATA)
        heapq.heappush(self._due, (end, caller, host, upstream))

    def _send(
        self,
        host: RelayHost,
        upstream: relay.Upstream,
        caller: int,
        kind: PacketKind,
        acknowledged: int = 0,
    ) -> None:
        sent = packet(kind, upstream.token, caller, acknowledged=acknowledged)
        host.dispatch(relay.PacketArrived(sent))

    def start_cold(self, started_ms: int = 1) -> None:
        self.simulation.store.put(listing(NEW, started_ms=started_ms))
        self.cold_until[NEW] = self.simulation.clock.now + COLD_SECONDS

    def changes(self) -> Counter[str]:
        """Return the changes in the log lines of one host."""
        host, *_ = self.simulation.hosts.values()
        records = [one for one in host.records if one.kind == 'ramp']
        return Counter(str(one.details['change']) for one in records)


def mean(parts: list[float]) -> float:
    return sum(parts) / len(parts)


def test_new_upstream_is_neither_flooded_nor_idle() -> None:
    """Guards against a queue at a cold upstream, and its idle time afterwards."""
    before = Fleet(first=2, ramps=False)
    before.start_cold()
    parts_before = before.run(16)
    fleet = Fleet(first=2)
    fleet.start_cold()
    parts = fleet.run(16)
    # The queue of the flood leaves it idle while it is cold.
    assert max(parts_before[:2]) > 1 and min(parts_before[2:8]) < 0.2
    assert mean(parts[:2]) < 0.4 and mean(parts[4:8]) > 0.5 and mean(parts[8:]) > 0.8
    assert fleet.longest_wait[NEW] < before.longest_wait[NEW] / 2
    assert fleet.changes()['started'] == fleet.changes()['ended'] == 1


def test_recovered_upstream_returns_sooner_and_at_a_pace() -> None:
    """Guards against idle time until votes and avoidances expire, and a flood then.

    The hosts' trials cost no more openings than those by chance. One run tells little.
    """
    lost, returned, worst = Counter[bool](), Counter[bool](), Counter[bool]()
    for ramps, seed in product((False, True), range(8)):
        fleet = Fleet(first=1, ramps=ramps, seed=seed)
        fleet.silent.add(NEW)
        lost[ramps] += round(100 * sum(fleet.run(6)))
        fleet.silent.clear()
        parts = fleet.run(14)
        returned[ramps] += round(100 * sum(parts[:6]))
        worst[ramps] += round(100 * max(parts))
        assert not ramps or mean(parts[6:]) > 0.7
    assert lost[True] <= lost[False]
    assert returned[True] > returned[False]
    assert worst[True] < worst[False]


def test_flapping_upstream_gets_less_at_each_return() -> None:
    """Guards against a flood at each return of an upstream that fails again."""
    fleet = Fleet(first=1)
    returns = []
    for _ in range(4):
        fleet.silent.add(NEW)
        fleet.run(4)
        fleet.silent.clear()
        returns.append(fleet.run(4))
    assert max(max(parts) for parts in returns) < 1
    fleet.run(8)
    assert mean(fleet.run(6)) > 0.7
    assert fleet.changes().total() < 40


@pytest.mark.parametrize('failure', ['leader', 'reports', 'silence'])
def test_ramp_up_survives_one_failure(
    failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a ramp-up that stalls, or floods, without a leader or reports.

    An upstream that becomes silent gets few openings, and ramps up once it answers.
    """
    fleet = Fleet(first=2)
    fleet.start_cold()
    first = fleet.run(1)
    match failure:
        case 'leader':
            fleet.simulation.kill(fleet.simulation.leaders()[0])
        case 'reports':
            monkeypatch.setattr(
                'lycheedeal.relay.loads.LoadsPlugin._collector', lambda plugin: None
            )
        case 'silence':
            fleet.silent.add(NEW)
    parts = fleet.run(4)
    # While it is cold; without the ramp-up, it gets 1.9 times the others' at first.
    assert mean(first + parts[:3]) < 0.6 and max(first + parts[:3]) < 1.2
    fleet.silent.clear()
    fleet.run(10)
    assert mean(fleet.run(6)) > 0.7


def test_later_host_joins_a_ramp_up() -> None:
    """Guards against a flood by a host without any history of the upstream."""
    fleet = Fleet(first=2)
    young = round((fleet.simulation.clock.now - 1) * 1000)
    fleet.start_cold(started_ms=young)
    later = fleet.simulation.add('later')
    assert later.kernel.plugins_by_name['forwarding']._candidates._ramps.paces_by_id(
        fleet.simulation.clock.now
    ).keys() == {NEW}
    assert fleet.changes()['started'] == 1


def test_zone_that_is_resumed_ramps_up() -> None:
    """Guards against all flows of a zone at its cold upstreams at the same time."""
    returns = []
    for ramps in (False, True):
        fleet = Fleet(first=1, ramps=ramps)
        north = [listing(f'i-{one:x}', zone='north') for one in range(0x11, 0x19)]
        fleet.simulation.add('north-1', 'north')
        fleet.simulation.store.put(*north)
        fleet.run(12)
        for evacuated, resumed in (({Zone('south')}, ()), ((), {Zone('south')})):
            since = len(fleet.openings)
            event = relay.EvacuationsChanged(frozenset(evacuated), frozenset(resumed))
            for host in fleet.simulation.hosts.values():
                host.dispatch(event)
            fleet.run(14)
        names = {one.upstream_id for one in north}
        returns.append(
            [
                1 - sum(one[name] for name in names) / one.total()
                for one in fleet.openings[since:]
            ]
        )
    before, shares = returns
    assert mean(before[:2]) > 0.8
    assert mean(shares[:2]) < 0.4 and mean(shares[6:]) > mean(before[6:]) - 0.1
