"""Routes in force, from the newest configuration.

A configuration of an older version never replaces a newer one.
"""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._copies import entry_name
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    ContentChanged,
    ContentNotApplied,
    Event,
    RoutesChanged,
)
from lycheedeal.relay._records import (
    ConfigurationVersion,
    Route,
    RouteKey,
    RouteName,
    ServiceTerms,
    StoreKind,
)

# Removed routes whose flows are still reset; beyond that the oldest are dropped.
_MAX_REMOVED: Final = 4096


class RoutesPlugin:
    """Keeps the newest configuration that this process has read."""

    def __init__(self, context: RelayContext) -> None:
        """Start without a configuration."""
        self._context = context
        self.version: ConfigurationVersion | None = None
        self.routes_by_name: dict[RouteName, Route] = {}
        self.terms_by_name: dict[str, ServiceTerms] = {}
        # A dictionary as an ordered set: keys in order of removal.
        self._removed: dict[RouteKey, None] = {}
        # Whether the version in force has to be applied once more.
        self._applies_again = False

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case ContentChanged(kind=StoreKind.CONFIGURATION):
                yield from self._content_changed(event)
            case ContentNotApplied():
                self._applies_again = True

    def _content_changed(self, event: ContentChanged) -> Iterator[Effect]:
        if event.version is None:
            yield LogRecord(
                Part.ROUTES,
                'unusable',
                'Configuration is not usable; the last one stays in force.',
                {
                    'era': event.position.era,
                    'revision': event.position.revision,
                    'source': event.source.value,
                },
            )
            return
        if not self._is_due(event.version):
            return
        self._merge(event)
        previous = self.version
        self.version = event.version
        self._applies_again = False
        self._context.metrics.add('configuration', 'applied')
        self._context.metrics.set_gauge(
            'configuration_version', 'in force', event.version
        )
        by_key = {route.key: route for route in self.routes_by_name.values()}
        terms = {one.service: one for one in self.terms_by_name.values()}
        removed = frozenset(self._removed)
        yield Publish(RoutesChanged(event.version, by_key, removed, terms))
        for entry in event.entries:
            if isinstance(entry, ServiceTerms) and entry.invalid:
                yield _invalid_record(entry)
        yield LogRecord(
            Part.ROUTES,
            'version',
            'Configuration is in force.',
            {
                'version': event.version,
                'previous': previous,
                'routes': len(by_key),
                'era': event.position.era,
                'revision': event.position.revision,
                'source': event.source.value,
            },
        )

    def _is_due(self, version: ConfigurationVersion) -> bool:
        """Return whether a version has to be applied; counts older ones."""
        if self.version is None or version > self.version:
            return True
        if version < self.version:
            self._context.metrics.add('configuration', 'older ignored')
            return False
        return self._applies_again

    def _merge(self, event: ContentChanged) -> None:
        old_keys = {route.key for route in self.routes_by_name.values()}
        changed = {
            entry.name: entry for entry in event.entries if isinstance(entry, Route)
        }
        terms = {
            entry_name(entry): entry
            for entry in event.entries
            if isinstance(entry, ServiceTerms)
        }
        if event.complete:
            self.routes_by_name = changed
            self.terms_by_name = terms
        else:
            for name in event.removed:
                self.routes_by_name.pop(RouteName(name), None)
                self.terms_by_name.pop(name, None)
            self.routes_by_name.update(changed)
            self.terms_by_name.update(terms)
        keys = {route.key for route in self.routes_by_name.values()}
        self._removed.update(dict.fromkeys(old_keys - keys))
        for key in keys & self._removed.keys():
            self._removed.pop(key)
        while len(self._removed) > _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))


def _invalid_record(terms: ServiceTerms) -> LogRecord:
    return LogRecord(
        Part.ROUTES,
        'terms',
        'Fields of a service cannot be used; they count as missing.',
        {'service': terms.service, 'fields': ', '.join(terms.invalid)},
    )


register(
    PluginSpec('routes', RoutesPlugin, frozenset((ContentChanged, ContentNotApplied)))
)
