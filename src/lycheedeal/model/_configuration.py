"""Records of the configuration; the object API stores it in shards."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

import xxhash

from lycheedeal.ids import (
    ChangeId,
    Endpoint,
    Generation,
    KindId,
    ServiceName,
    ServiceNumber,
    ShardIndex,
    UpstreamId,
    Zone,
)
from lycheedeal.model._states import SpillRule

# Number of shards of a region. Service numbers contain the shard index.
SHARD_COUNT: Final = 16


@dataclass(frozen=True, slots=True)
class WorkKind:
    """Kind of work of a service.

    Priority 0 is the most urgent. ``floor`` is the share of slots, from 0
    to 1, that the kind keeps while other kinds overload the service. A kind
    with ``long`` set carries long flows, the others carry requests. Requests
    of an ``idempotent`` kind may be run more than once.
    """

    kind_id: KindId
    name: str
    priority: int
    floor: float = 0
    idempotent: bool = False
    long: bool = False


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end of a service.

    ``slots`` is the number of requests that it runs at a time and
    ``connections`` the number of long flows that it holds, in both cases from
    all hosts together. A drained upstream gets no new work.
    """

    upstream_id: UpstreamId
    endpoint: Endpoint
    zone: Zone
    slots: int = 2
    connections: int = 4000
    drained: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service address with its kinds of work and upstreams.

    ``next_kind`` is the id of the next new kind. Kind ids are never reused,
    since existing flow ids contain them.
    """

    number: ServiceNumber
    name: ServiceName
    address: Endpoint
    spill: SpillRule = SpillRule.NEVER
    kinds: tuple[WorkKind, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    next_kind: int = 1

    def kind(self, kind_id: KindId) -> WorkKind | None:
        """Return the kind of work with this id; None if the service has none."""
        return next((kind for kind in self.kinds if kind.kind_id == kind_id), None)


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """An accepted change, stored with the shard.

    It tells a host or an operator that did not get the answer to a change
    whether the change took effect. ``accepted_at`` is Unix time in seconds.
    """

    change_id: ChangeId
    generation: Generation
    summary: str
    accepted_at: float


@dataclass(frozen=True, slots=True)
class Shard:
    """Unit of configuration that is changed and distributed as a whole.

    ``generation`` rises by one with each accepted change and never falls,
    whatever the version of the stored object. ``next_counter`` is the counter
    that the number of the next new service contains; service numbers are never
    reused. ``changes`` holds the latest accepted changes, oldest first.
    """

    index: ShardIndex
    generation: Generation
    next_counter: int = 1
    services: tuple[Service, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """Configuration in force on one host, indexed for look-ups.

    A shard that the host has never received has no generation here.
    """

    services_by_number: Mapping[ServiceNumber, Service] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    services_by_address: Mapping[Endpoint, Service] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    generations_by_shard: Mapping[ShardIndex, Generation] = field(
        default_factory=lambda: MappingProxyType({}),
    )


def shard_of(name: ServiceName) -> ShardIndex:
    """Return the index of the shard that holds the service of this name."""
    return ShardIndex(xxhash.xxh32_intdigest(name.encode()) % SHARD_COUNT)
