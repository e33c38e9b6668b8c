"""Random troubles around changes of the configuration, at the size of a deployment."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lycheedeal import relay
from lycheedeal.ids import Endpoint, HostId
from tests.relay_simulation import API, INTAKE, listing, route
from tests.timed_relays import StoreState, TimedHost, TimedSimulation

# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
# A host counts this long after the last trouble of its own, or of the store.
STABLE_SECONDS = 4.0
_SETTLE_SECONDS = 8.0
_HERD_SHARE = 0.6


@dataclass(frozen=True)
class Deployment:
    """Hosts of each zone, the first of which are larger, and entries in the store."""

    hosts_by_zone: dict[str, int]
    core_share: float
    large_hosts: int = 0
    large_core_share: float = 0
    routes: int = 9
    upstreams: int = 11
    evacuation_seconds: float = 0


DEPLOYMENTS = {
    '15-hosts': Deployment({'a': 7, 'b': 4, 'c': 4}, 0.163),
    '61-hosts': Deployment(
        {'a': 21, 'b': 20, 'c': 20}, 0.387, 2, 2.15, routes=43, upstreams=75
    ),
    '119-hosts': Deployment(
        {'a': 34, 'b': 29, 'c': 27, 'd': 29},
        0.361,
        2,
        2.15,
        routes=43,
        upstreams=75,
        evacuation_seconds=5.0,
    ),
}


@dataclass(frozen=True)
class LateChange:
    """A change that was not in force on a host in time."""

    host_id: HostId
    version: int
    seconds: float


@dataclass
class Boot:
    """A process, from its start to its end."""

    host: TimedHost
    started_at: float
    ended_at: float = float('inf')


class ChangeHistory:
    """A simulation with troubles, and the times when hosts and store had some."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._rng = random.Random(seed)
        self.simulation = TimedSimulation(seed)
        self.simulation.evacuation_seconds = deployment.evacuation_seconds
        self._version = 1
        self._routes = [
            route(f'r-{one}', relay.route_key('198.18.0.1', 1000 + one), API)
            for one in range(deployment.routes)
        ]
        self._unwritten: list[tuple[int, tuple[relay.Route, ...]]] = []
        self._acknowledged_at: dict[int, float] = {}
        self._troubles_by_host: dict[HostId, list[tuple[float, float]]] = {}
        self._store_troubles: list[tuple[float, float]] = []
        self._boots: list[Boot] = []
        store = self.simulation.store
        store.put(*(listing(f'i-{one + 1:x}') for one in range(deployment.upstreams)))
        store.configure(self._version, *self._routes)
        self._start_hosts(deployment)
        self.simulation.run(_SETTLE_SECONDS)

    def play(self) -> None:
        """Let troubles of one kind pass, and others come with a change."""
        self._rng.choice((self.restart_all, self._nothing))()
        self._rng.choice(
            (self.silence_connections, self._lose_store, self._kill_herd)
        )()
        self.simulation.run(self._rng.uniform(STABLE_SECONDS, _SETTLE_SECONDS))
        troubles: list[Callable[[], None]] = [
            self._cut_watchers,
            self.cut_leaders,
            self._kill_watchers,
            self._pause_leader,
            self._delay_hosts,
            self._cut_zone,
        ]
        steps = [self.change, *self._rng.sample(troubles, self._rng.randint(1, 3))]
        self._rng.shuffle(steps)
        for step in steps:
            step()
            self.simulation.run(self._rng.choice((0.01, 0.1, 0.5, 1.0)))
        self.simulation.run(_SETTLE_SECONDS)

    def late_changes(self) -> Iterator[LateChange]:
        """Yield the changes that hosts without a trouble of their own had late."""
        for boot in self._boots:
            for version, acknowledged_at in self._acknowledged_at.items():
                late = self._late_change(boot, version, acknowledged_at)
                if late is not None:
                    yield late

    def _late_change(
        self, boot: Boot, version: int, acknowledged_at: float
    ) -> LateChange | None:
        versions = boot.host.versions
        in_force_at = next((at for at, one in versions if one >= version), None)
        now = self.simulation.clock.now
        until = min(boot.ended_at, now if in_force_at is None else in_force_at)
        host_id = boot.host.context.settings.host_id
        troubles = (
            *self._troubles_by_host.get(host_id, ()),
            *self._store_troubles,
        )
        due_at = max(
            acknowledged_at + IN_FORCE_SECONDS, boot.started_at + STABLE_SECONDS
        )
        # A calm time begins at one of these moments.
        moments = due_at, *(end + STABLE_SECONDS for _, end in troubles)
        if any(due_at <= at < until and _is_calm(at, troubles) for at in moments):
            return LateChange(host_id, version, round(until - acknowledged_at, 2))
        return None

    def _start_hosts(self, deployment: Deployment) -> None:
        count = sum(deployment.hosts_by_zone.values())
        numbers = self._rng.sample(range(1, count + 1), 3)
        seeds = tuple(Endpoint(f'10.0.0.{one}', 7720) for one in numbers)
        for zone, hosts in deployment.hosts_by_zone.items():
            for number in range(hosts):
                is_large = number < deployment.large_hosts
                host = self.simulation.start_host(
                    f'{zone}-{number + 1}',
                    zone,
                    seeds,
                    core_share=deployment.large_core_share
                    if is_large
                    else deployment.core_share,
                )
                host.busy_share = self._rng.uniform(0, 0.6)
                self._boots.append(Boot(host, self.simulation.clock.now))

    def change(self) -> None:
        self._version += self._rng.randint(1, 3)
        added = relay.route_key('198.18.0.1', 2000 + self._version)
        self._routes[self._rng.randrange(len(self._routes))] = route(
            f'r-{1000 + self._version}', added, self._rng.choice((API, INTAKE))
        )
        self._unwritten.append((self._version, tuple(self._routes)))
        self._write()

    def _write(self) -> None:
        """Write what the operator wants, one version after the other."""
        if self.simulation.store_state is not StoreState.ANSWERS or not self._unwritten:
            return
        version, routes = self._unwritten.pop(0)
        self.simulation.store.configure(version, *routes)
        self.simulation.report_changes()
        self._acknowledged_at[version] = self.simulation.clock.now
        self.simulation.call_later(0.025, self._write)

    def wait_for_confirmation(self) -> None:
        """Run until the store has just confirmed all content."""
        # All kinds change together, so their watches end together from now on.
        store = self.simulation.store
        store.put(listing('i-1'))
        store.evacuate('elsewhere')
        self.change()
        self.simulation.run(1)
        for _ in range(200):
            if any(one.content_age() < 0.2 for one in self._watchers()):
                return
            self.simulation.run(0.02)
        raise TimeoutError('the watches do not end together')

    def _nothing(self) -> None:
        """Let all hosts run on."""

    def restart_all(self) -> None:
        for host in list(self.simulation.timed_hosts()):
            self._kill(host, 0.3)
            self.simulation.run(0.25)
        self.simulation.run(_SETTLE_SECONDS)

    def silence_connections(self) -> None:
        for host in self.simulation.timed_hosts():
            host.silence_connections()
            self._record_trouble(host, 0)

    def _lose_store(self) -> None:
        seconds = self._rng.choice((2.5, 5.2, 8.2))
        states = (StoreState.SILENT, StoreState.REFUSES)
        self.simulation.store_state = self._rng.choice(states)
        now = self.simulation.clock.now
        self._store_troubles.append((now, now + seconds))
        for _ in range(3):
            self.change()
        self.simulation.run(seconds / 2)
        if self._rng.random() < 0.7:
            self._kill_herd()
        self.simulation.run(seconds / 2)
        self.simulation.store_state = StoreState.ANSWERS
        self._write()

    def _kill_herd(self) -> None:
        for host in list(self.simulation.timed_hosts()):
            if self._rng.random() < _HERD_SHARE:
                self._kill(host, 1.0)

    def _kill_watchers(self) -> None:
        for host in self._watchers():
            self._kill(host, 3.5)

    def _cut_watchers(self) -> None:
        self._cut(self._watchers())

    def cut_leaders(self) -> None:
        self._cut(self._leaders())

    def _cut(self, hosts: list[TimedHost]) -> None:
        """Cut hosts off from the store."""
        for host in hosts:
            self.simulation.cut_from_store.add(host.context.settings.host_id)
            self._record_trouble(host, _SETTLE_SECONDS)

    def _pause_leader(self) -> None:
        host = self._rng.choice(self._leaders())
        seconds = self._rng.choice((0.5, 1.2, 3.0))
        self.simulation.pause(host, seconds)
        self._record_trouble(host, seconds)

    def _delay_hosts(self) -> None:
        """Let events wait at hosts that are busy with packets."""
        hosts = list(self.simulation.timed_hosts())
        some = self._rng.sample(hosts, len(hosts) // 4)
        for host in dict.fromkeys((*self._leaders(), *some)):
            host.iteration_seconds = self._rng.choice((0.1, 0.2, 0.4))
            self._record_trouble(host, _SETTLE_SECONDS)

    def _cut_zone(self) -> None:
        """Cut a zone off from the others; it still reaches the store."""
        zones = sorted({one.context.settings.zone for one in self._leaders()})
        self.simulation.cut_zone = self._rng.choice(zones)

    def _kill(self, host: TimedHost, seconds: float) -> None:
        """Kill a host, which starts again later."""
        self.simulation.kill(host)
        boot = next(one for one in self._boots if one.host is host)
        boot.ended_at = self.simulation.clock.now
        self.simulation.call_later(seconds, lambda: self._restart(host))

    def _restart(self, host: TimedHost) -> None:
        started = self.simulation.restart(host)
        self._boots.append(Boot(started, self.simulation.clock.now))

    def _record_trouble(self, host: TimedHost, seconds: float) -> None:
        now = self.simulation.clock.now
        host_id = host.context.settings.host_id
        self._troubles_by_host.setdefault(host_id, []).append((now, now + seconds))

    def _leaders(self) -> list[TimedHost]:
        hosts = list(self.simulation.timed_hosts())
        return [one for one in hosts if one.is_leader()] or hosts[:1]

    def _watchers(self) -> list[TimedHost]:
        return [one for one in self._leaders() if one.calls_by_kind]


def _is_calm(at: float, troubles: tuple[tuple[float, float], ...]) -> bool:
    return not any(begin <= at < end + STABLE_SECONDS for begin, end in troubles)
