"""Services that routes name.

Another writer may leave an entry of any other service. It proves nothing about an
upstream, such as one with its address or one whose entry it replaced.
"""

from collections.abc import Iterable, Iterator

from lycheedeal.ids import ServiceName
from lycheedeal.relay._records import Route


class NamedServices:
    """Services of the routes in force."""

    def __init__(self) -> None:
        """Start without routes, so that no entry proves anything about another."""
        self._services: frozenset[ServiceName] = frozenset()

    def __contains__(self, service: ServiceName) -> bool:
        """Return whether a route names a service."""
        return service in self._services

    def follow(self, routes: Iterable[Route]) -> bool:
        """Note the routes in force; return whether they name other services."""
        services = frozenset(_services_of(routes))
        is_changed = services != self._services
        self._services = services
        return is_changed


def _services_of(routes: Iterable[Route]) -> Iterator[ServiceName]:
    for route in routes:
        for service, _ in route.services:
            yield service
