"""Hosts whose calls, messages and plug-ins fail, and what their state should be."""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from itertools import islice
from typing import Any

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from tests.relay_simulation import API, RelayHost, RelaySimulation, listing, route

# A change must be in force on every host within this time.
IN_FORCE_SECONDS = 3.0
# A host counts this long after the last trouble of its own, or of the store.
STABLE_SECONDS = 4.0


class InjectedError(Exception):
    """Raised in a plug-in on purpose."""


@unique
class Moment(Enum):
    """When a plug-in fails while it handles an event."""

    BEFORE = 'before'
    MIDWAY = 'midway'
    AFTER = 'after'


@dataclass
class Failure:
    """Exceptions of a plug-in while it handles events of some types.

    ``count`` is that of the exceptions that are left.
    """

    plugin: str
    event_types: tuple[type, ...]
    moment: Moment
    count: int = 1

    def install(self, host: 'FailingHost') -> None:
        plugin = host.kernel.plugins_by_name[self.plugin]
        plugin.handle = self._wrap(plugin.handle)

    def _wrap(
        self, handle: Callable[[Any], Iterator[Any]]
    ) -> Callable[[Any], Iterator[Any]]:
        def failing(event: Any) -> Iterator[Any]:
            if not (self.count and isinstance(event, self.event_types)):
                yield from handle(event)
                return
            self.count -= 1
            if self.moment is Moment.BEFORE:
                raise InjectedError
            effects = handle(event)
            if self.moment is Moment.MIDWAY:
                effects = islice(effects, 1)
            yield from effects
            raise InjectedError

        return failing


class FailingHost(RelayHost):
    """A host that loses calls: they end with nothing.

    ``lost_calls`` are pairs of the kind and the name of calls. ``is_older_build``: the
    host cannot decode the configuration of the store.
    """

    may_fail = True

    def __init__(self, *settings: Any) -> None:
        super().__init__(*settings)
        self.lost_calls: set[tuple[relay.StoreKind, str]] = set()
        self.is_older_build = False

    def dispatch(self, event: relay.Event) -> None:
        if self.is_older_build:
            event = _undecodable(event)
        # The event loop reports an exception, and goes on.
        with contextlib.suppress(InjectedError):
            super().dispatch(event)

    def current_state(self) -> tuple[object, ...]:
        """Return what is in force for openings on this host."""
        forwarding = self.kernel.plugins_by_name['forwarding']
        routes = tuple(sorted(forwarding._routes_by_key))
        ready = {
            name
            for name, state in self.states().items()
            if state is relay.UpstreamState.READY
        }
        return self.version(), routes, ready, self.evacuated()

    def _execute(self, effect: relay.Effect) -> None:
        match effect:
            case relay.ListObjects(kind=kind) if (kind, 'list') in self.lost_calls:
                self._record_call('list', kind)
                return
            case relay.WatchObjects(kind=kind) if (kind, 'watch') in self.lost_calls:
                self._record_call('watch', kind)
                return
        super()._execute(effect)


class FailingSimulation(RelaySimulation):
    """Hosts of two zones, which read routes, upstreams and evacuations."""

    evacuation_seconds = 5.0

    def __init__(self, zones: int = 2, hosts: int = 3) -> None:
        super().__init__()
        self.store.put(*(listing(f'i-{one}') for one in range(1, 6)))
        for number in range(hosts):
            for zone in range(zones):
                self.add(f'{"abcd"[zone]}-{number}', 'abcd'[zone])
        self.run(STABLE_SECONDS)

    def add(self, name: str, zone: str = 'south') -> FailingHost:
        seeds = tuple(self.hosts)[:1]
        host = FailingHost(self, name, zone, seeds)
        self.hosts[host.endpoint] = host
        host.dispatch(relay.Started())
        self.run(0.5)
        return host

    def restart(self, host: RelayHost) -> FailingHost:
        settings = host.context.settings
        started = FailingHost(
            self, settings.host_id, settings.zone, settings.seeds, host.endpoint
        )
        self.hosts[host.endpoint] = started
        started.dispatch(relay.Started())
        return started

    def failing_hosts(self) -> list[FailingHost]:
        return [one for one in self.hosts.values() if isinstance(one, FailingHost)]

    def change(self) -> None:
        """Change all kinds of content."""
        store = self.store
        version = store.version + 1
        key = relay.route_key('198.18.0.2', version)
        store.configure(version, *store.routes[-2:], route(f'r-{version}', key, API))
        store.put(listing(f'i-{version % 3 + 1}', draining=version % 2 == 1))
        if version % 2:
            store.evacuate('b')
        else:
            store.resume('b')

    def expected_state(self) -> tuple[Any, ...]:
        """Return what should be in force for openings on all hosts."""
        store = self.store
        ready = {one.upstream_id for one in store.listings.values() if not one.draining}
        routes = tuple(sorted(one.key for one in store.routes))
        return store.version, routes, ready, frozenset(store.evacuations)

    def hosts_behind(self, has_settled: bool = True) -> list[str]:
        """Return the hosts on which the content of the store is not in force.

        After a trouble, zones that get new flows again may still count as evacuated
        until the store ``has_settled``.
        """
        *expected, evacuated = self.expected_state()
        return [
            host.context.settings.host_id
            for host in self.failing_hosts()
            if host.current_state()[:-1] != tuple(expected)
            or not evacuated <= host.evacuated()
            or (has_settled and evacuated != host.evacuated())
        ]

    def disconnect(self, endpoint: Endpoint) -> None:
        """Cut a host off from the others; it still reaches the store."""
        self.disconnected.add(endpoint)


def _undecodable(event: relay.Event) -> relay.Event:
    match event:
        case relay.ListAnswered(kind=relay.StoreKind.CONFIGURATION):
            return relay.ListAnswered(event.kind, event.position, (), ('main',))
        case relay.WatchAnswered(kind=relay.StoreKind.CONFIGURATION) if event.version:
            return relay.WatchAnswered(event.kind, event.position, (), (), ('main',))
        case _:
            return event
