"""Shards in force on this host; the generation of a shard never decreases."""

from collections.abc import Iterator
from enum import Enum, unique
from types import MappingProxyType

from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    Generation,
    Service,
    ServiceNumber,
    Shard,
    ShardIndex,
)


@unique
class RelativeAge(Enum):
    """Generation of a received shard compared with the one in force."""

    NEWER = 'newer'
    SAME = 'same'
    OLDER = 'older'


class ShardStore:
    """Newest valid copy of each shard that this host has received."""

    def __init__(self) -> None:
        """Start without any shard."""
        self._shards_by_index: dict[ShardIndex, Shard] = {}

    def __len__(self) -> int:
        """Return the number of shards in force."""
        return len(self._shards_by_index)

    def get(self, index: ShardIndex) -> Shard:
        """Return the shard in force, or an empty one of generation 0."""
        shard = self._shards_by_index.get(index)
        return shard or Shard(index, Generation(0))

    def generation(self, index: ShardIndex) -> Generation:
        """Return the generation in force, or 0 if no shard is."""
        return self.get(index).generation

    def generations(self) -> dict[ShardIndex, Generation]:
        """Return the generation in force for each shard that has one."""
        return {index: one.generation for index, one in self._shards_by_index.items()}

    def compare(self, index: ShardIndex, generation: Generation) -> RelativeAge:
        """Compare a generation with the one in force."""
        in_force = self.generation(index)
        if generation > in_force:
            return RelativeAge.NEWER
        return RelativeAge.SAME if generation == in_force else RelativeAge.OLDER

    def put(self, shard: Shard) -> bool:
        """Put a shard in force if it is newer; return whether it was.

        The caller has validated the shard.
        """
        if self.compare(shard.index, shard.generation) is not RelativeAge.NEWER:
            return False
        self._shards_by_index[shard.index] = shard
        return True

    def services(self) -> Iterator[Service]:
        """Yield the services of all shards, in order of the shard index."""
        for index in sorted(self._shards_by_index):
            yield from self._shards_by_index[index].services

    def view(self) -> ConfigurationView:
        """Return the configuration in force.

        Concurrent changes of two shards can give the same address to two
        services. The service with the lower number gets it, so that all hosts
        agree.
        """
        by_number: dict[ServiceNumber, Service] = {}
        by_address: dict[Endpoint, Service] = {}
        for service in sorted(self.services(), key=_service_number):
            by_number[service.number] = service
            by_address.setdefault(service.address, service)
        return ConfigurationView(
            services_by_number=MappingProxyType(by_number),
            services_by_address=MappingProxyType(by_address),
            generations_by_shard=MappingProxyType(self.generations()),
        )


def _service_number(service: Service) -> ServiceNumber:
    return service.number
