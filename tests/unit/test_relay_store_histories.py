"""Random histories of the store, with hosts that fail and a store that is restored."""

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
    RelayHost,
    RelaySimulation,
    Store,
    listing,
    route,
)

ZONES = ('north', 'south')
HOSTS_PER_ZONE = 2
# Until every host has what the store holds: the delay of a change, the removal of
# entries and the time for which entries of a restored store are held back.
SETTLING_SECONDS = 9.0
# The store drops the entry of an upstream that it has not heard for this long.
LAPSE_SECONDS = 3.0
FIRST_UPSTREAMS = ('i-1', 'i-2', 'i-3')

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
        self.store = self.simulation.store
        self.version = 1
        self.routes = ROUTES
        # Whether each upstream that runs is draining.
        self.draining_by_name = dict.fromkeys(FIRST_UPSTREAMS, False)
        self.started = len(FIRST_UPSTREAMS)
        self.copies: list[Store] = []
        self.store.put(*map(listing, FIRST_UPSTREAMS))
        for number in range(HOSTS_PER_ZONE):
            for zone in ZONES:
                self.simulation.add(f'{zone}-{number}', zone)
        self.simulation.run(4)
        self.copies.append(self.store.copy())

    @rule(seconds=delays)
    def wait(self, seconds: float) -> None:
        self.simulation.run(seconds)

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
        self.simulation.run(seconds)

    @rule(seconds=delays)
    def start_upstream(self, seconds: float) -> None:
        self.started += 1
        name = f'i-{self.started:x}'
        self.draining_by_name[name] = False
        self.store.put(listing(name))
        self.simulation.run(seconds)

    @precondition(lambda self: len(self.draining_by_name) > 1)
    @rule(number=st.integers(0), seconds=delays, leaves=st.booleans())
    def end_upstream(self, number: int, seconds: float, leaves: bool) -> None:
        """Drain an upstream; it leaves at once, or later if it is drawn again."""
        name = sorted(self.draining_by_name)[number % len(self.draining_by_name)]
        self.draining_by_name[name] = True
        self.store.put(listing(name, draining=True))
        self.simulation.run(seconds)
        if leaves:
            self.draining_by_name.pop(name)
            self.store.delete(name)

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

    @rule(number=st.integers(0), outage=st.sampled_from((0, 0.3, 2.0)), late=delays)
    def restore_store(self, number: int, outage: float, late: float) -> None:
        """Go back to a copy; operator and upstreams write again, within 2 s."""
        if outage:
            self.store.up = False
            self.simulation.run(outage)
            self.store.up = True
        self.store.restore(self.copies[number % len(self.copies)])
        del self.copies[number % len(self.copies) + 1 :]
        self.simulation.run(min(late, 1.8))
        if self.store.version != self.version:
            self.store.configure(self.version, *self.routes)
        self.store.put(
            *(
                listing(name, draining=one)
                for name, one in self.draining_by_name.items()
            )
        )
        self.simulation.run(LAPSE_SECONDS)
        for name in self.store.listings.keys() - self.draining_by_name.keys():
            self.store.delete(name)

    @invariant()
    def living_upstreams_are_not_gone(self) -> None:
        for host in self.simulation.hosts.values():
            gone = {
                name
                for name, state in host.states().items()
                if state is UpstreamState.GONE
            }
            assert not gone & self.draining_by_name.keys()

    def teardown(self) -> None:
        self.store.refused.clear()
        self.simulation.run(SETTLING_SECONDS)
        for host in self.simulation.hosts.values():
            assert host.version() == self.version
            assert host.routes() == {one.name: one for one in self.routes}
            states = host.states()
            for name, draining in self.draining_by_name.items():
                expected = UpstreamState.DRAINING if draining else UpstreamState.READY
                assert states[name] is expected
            left = states.keys() - self.draining_by_name.keys()
            assert all(states[name] is UpstreamState.GONE for name in left)


StoreHistories.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=12
)
TestStoreHistories = pytest.mark.filterwarnings('error')(StoreHistories.TestCase)
