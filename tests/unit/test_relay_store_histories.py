"""Random histories of the store, with hosts that fail and a store that is restored."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lycheedeal import relay
from lycheedeal.ids import ServiceName
from lycheedeal.relay import UpstreamState
from tests.relay_simulation import (
    API,
    INTAKE,
    INTAKE_KEY,
    ROUTE_KEY,
    ROUTES,
    STEP_SECONDS,
    RelayHost,
    RelaySimulation,
    Store,
    listing,
    route,
)

# Service that no route names.
UNKNOWN = ServiceName('unknown')
ZONES = ('north', 'south')
# One of them has neither hosts nor upstreams.
EVACUATED_ZONES = (*ZONES, 'elsewhere')
HOSTS_PER_ZONE = 2
# Until every host has what the store holds: the delay of a change, the removal of
# entries and the time for which entries of a restored store are held back.
SETTLING_SECONDS = 9.0
# The store drops the entry of an upstream that it has not heard for this long.
LAPSE_SECONDS = 3.0
# An evacuation is in force on every host within this time.
EVACUATE_SECONDS = 5.0
# Operator and upstreams write again within this time of the store's return.
RETURN_SECONDS = 2.0
# More than one message holds.
FIRST_UPSTREAMS = tuple(f'i-{number:x}' for number in range(1, 13))

# Services of the first route and of the second, if it exists.
RouteServices = tuple[ServiceName, ServiceName | None]

delays = st.sampled_from((0.1, 0.3, 1.0, 2.5))
route_services = st.tuples(
    st.sampled_from((API, INTAKE)), st.sampled_from((API, INTAKE, None))
)
host_numbers = st.integers(0, len(ZONES) * HOSTS_PER_ZONE - 1)


class StoreHistories(RuleBasedStateMachine):
    """Operators, upstreams and hosts act while the store goes back to copies."""

    @initialize()
    def start(self) -> None:
        self.simulation = RelaySimulation()
        self.simulation.evacuation_seconds = EVACUATE_SECONDS
        self.store = self.simulation.store
        self.version = 1
        self.routes = ROUTES
        # Entry of each upstream that runs.
        self.entries_by_name = {name: listing(name) for name in FIRST_UPSTREAMS}
        self.started = len(FIRST_UPSTREAMS)
        self.copies: list[Store] = []
        # What the operator wants.
        self.evacuated: set[str] = set()
        # Entries of another writer, by id and start time.
        self.foreign: set[tuple[str, int]] = set()
        self.store.put(*self.entries_by_name.values())
        for number in range(HOSTS_PER_ZONE):
            for zone in ZONES:
                self.simulation.add(f'{zone}-{number}', zone)
        self.simulation.run(4)
        self.copies.append(self.store.copy())

    @rule(seconds=delays)
    def wait(self, seconds: float) -> None:
        self._run(seconds)

    @rule()
    def copy_store(self) -> None:
        self.copies.append(self.store.copy())

    @rule(step=st.integers(1, 3), seconds=delays, services=route_services)
    def configure(self, step: int, seconds: float, services: RouteServices) -> None:
        """Write a version with one route or two, whose services differ."""
        self.version += step
        first, second = services
        self.routes = (route('r-api', ROUTE_KEY, first),)
        if second is not None:
            self.routes = (*self.routes, route('r-intake', INTAKE_KEY, second))
        self.store.configure(self.version, *self.routes)
        self._run(seconds)

    @rule(seconds=delays)
    def start_upstream(self, seconds: float) -> None:
        self.started += 1
        self._write(listing(f'i-{self.started:x}'))
        self._run(seconds)

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.simulation.run(STEP_SECONDS)
            self.living_upstreams_are_not_gone()

    def _write(self, entry: relay.Listing) -> None:
        self.entries_by_name[entry.upstream_id] = entry
        self.store.put(entry)

    @rule(number=st.integers(0), seconds=delays, moves=st.booleans())
    def restart_upstream(self, number: int, seconds: float, moves: bool) -> None:
        """Start an upstream again under its id, at its address or at another one."""
        entry = self._entry(number)
        self.started += 1
        port = 9000 + self.started if moves else entry.endpoint.port
        name = entry.upstream_id
        self._write(listing(name, port=port, started_ms=self.started))
        self._run(seconds)

    def _entry(self, number: int) -> relay.Listing:
        names = sorted(self.entries_by_name)
        return self.entries_by_name[names[number % len(names)]]

    @precondition(lambda self: len(self.entries_by_name) > 1)
    @rule(number=st.integers(0), seconds=delays, leaves=st.booleans())
    def end_upstream(self, number: int, seconds: float, leaves: bool) -> None:
        """Drain an upstream; it leaves at once, or later if it is drawn again."""
        entry = replace(self._entry(number), draining=True)
        self._write(entry)
        self._run(seconds)
        if leaves:
            self.entries_by_name.pop(entry.upstream_id)
            self.store.delete(entry.upstream_id)

    @rule(zone=st.sampled_from(EVACUATED_ZONES), seconds=delays)
    def evacuate(self, zone: str, seconds: float) -> None:
        self.evacuated.add(zone)
        self.store.evacuate(zone)
        self._run(seconds)

    @precondition(lambda self: self.evacuated)
    @rule(number=st.integers(0), seconds=delays, damages=st.booleans())
    def resume(self, number: int, seconds: float, damages: bool) -> None:
        """Delete an evacuation, or let another writer replace it by an odd object."""
        zone = sorted(self.evacuated)[number % len(self.evacuated)]
        self.evacuated.remove(zone)
        if damages:
            self.store.damage_evacuation(zone)
        else:
            self.store.resume(zone)
        self._run(seconds)

    @rule(number=st.integers(0), seconds=delays)
    def damage_entry(self, number: int, seconds: float) -> None:
        """Let another writer replace an entry; its upstream goes on."""
        name = self._entry(number).upstream_id
        if name in self.store.listings:
            self.store.damage(name)
        self._run(seconds)

    @rule(number=st.integers(0), seconds=delays, replaces=st.booleans())
    def write_foreign_entry(self, number: int, seconds: float, replaces: bool) -> None:
        """Let another writer name the address of an upstream, or replace its entry."""
        entry = self._entry(number)
        self.started += 1
        name = entry.upstream_id if replaces else f'i-{self.started:x}'
        self.foreign.add((name, self.started))
        port = entry.endpoint.port
        self.store.put(
            listing(name, service=UNKNOWN, port=port, started_ms=self.started)
        )
        self._run(seconds)

    @rule(
        versions=st.lists(route_services, min_size=3, max_size=4), number=host_numbers
    )
    def start_host_between_versions(
        self, versions: list[RouteServices], number: int
    ) -> None:
        """Write versions faster than watches are renewed, while a host starts."""
        for services in versions[:2]:
            self.configure(1, 0.1, services)
        self.restart_host(number)
        for services in versions[2:]:
            self.configure(1, 0.1, services)

    @rule(number=host_numbers)
    def restart_host(self, number: int) -> None:
        host = tuple(self.simulation.hosts.values())[number]
        self.simulation.kill(host)
        own = host.context.settings
        seeds = tuple(self.simulation.hosts)[:1]
        started = RelayHost(self.simulation, own.host_id, own.zone, seeds)
        self.simulation.hosts[started.endpoint] = started
        started.dispatch(relay.Started())

    @rule(number=host_numbers, cut=st.booleans())
    def cut_host(self, number: int, cut: bool) -> None:
        host = tuple(self.simulation.hosts.values())[number]
        self.store.refused.clear()
        if cut:
            self.store.refused.add(host.context.settings.host_id)

    @rule(loss=st.sampled_from((0.0, 0.05, 0.3)), zone=st.sampled_from(('', *ZONES)))
    def harm_links(self, loss: float, zone: str) -> None:
        """Lose a share of the messages between hosts, or cut a zone off."""
        self.simulation.loss = loss
        self.simulation.cut_zone = zone

    @rule(
        number=st.integers(0),
        outage=st.sampled_from((0, 0.3, 2.0)),
        late=delays,
        times=st.integers(1, 2),
    )
    def restore_store(
        self, number: int, outage: float, late: float, times: int
    ) -> None:
        """Go back to a copy, or twice; operator and upstreams write again in 2 s."""
        known = [
            (host, host.evacuated() & self.evacuated)
            for host in self.simulation.hosts.values()
        ]
        for _ in range(times):
            if outage:
                self.store.up = False
                self._run(outage)
                self.store.up = True
            self.store.restore(self.copies[number % len(self.copies)])
            del self.copies[number % len(self.copies) + 1 :]
            self._run(min(late, RETURN_SECONDS))
            # An evacuation that the copy lacks may be written again.
            assert all(zones <= host.evacuated() for host, zones in known)
        if self.store.version != self.version:
            self.store.configure(self.version, *self.routes)
        self.store.put(*self.entries_by_name.values())
        self._write_evacuations()
        self._run(LAPSE_SECONDS)
        for name in self.store.listings.keys() - self.entries_by_name.keys():
            self.store.delete(name)

    def _write_evacuations(self) -> None:
        """Write what the operator wants over that of an older copy."""
        stored = self.store.evacuations.keys()
        self.store.resume(*sorted(stored - self.evacuated))
        self.store.evacuate(*sorted(self.evacuated - stored))

    @invariant()
    def living_upstreams_are_not_gone(self) -> None:
        living = {_incarnation(one) for one in self.entries_by_name.values()}
        for host in self.simulation.hosts.values():
            gone = {
                incarnation
                for incarnation, state in host.incarnations().items()
                if state is UpstreamState.GONE
            }
            assert not gone & living

    def teardown(self) -> None:
        self.store.refused.clear()
        self.harm_links(0, '')
        for name, entry in self.entries_by_name.items():
            if self.store.listings.get(name) != entry:
                self.store.put(entry)
        self._run(SETTLING_SECONDS)
        assert self.store.evacuations.keys() == self.evacuated
        for host in self.simulation.hosts.values():
            # No host is left with another set than that of the store.
            assert host.evacuated() == self.evacuated
            assert host.version() == self.version
            assert host.routes() == {one.name: one for one in self.routes}
            states = host.incarnations()
            for entry in self.entries_by_name.values():
                state = states.pop(_incarnation(entry))
                expected = (
                    UpstreamState.DRAINING if entry.draining else UpstreamState.READY
                )
                assert state is expected
            present = {_incarnation(one) for one in self.store.listings.values()}
            for incarnation in self.foreign & states.keys():
                state = states.pop(incarnation)
                assert incarnation in present or state is not UpstreamState.READY
            assert set(states.values()) <= {UpstreamState.GONE}


def _incarnation(entry: relay.Listing) -> tuple[str, int]:
    return entry.upstream_id, entry.started_ms


StoreHistories.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=12
)
TestStoreHistories = pytest.mark.filterwarnings('error')(StoreHistories.TestCase)
