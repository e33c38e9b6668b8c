"""Shards in force on this host; a generation never falls."""

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
    """Age of an offered shard compared with the one in force."""

    NEWER = 'newer'
    SAME = 'same'
    OLDER = 'older'


class ShardStore:
    """Holds the newest known copy of each shard."""

    def __init__(self) -> None:
        """Start without configuration."""
        self._shards_by_index: dict[ShardIndex, Shard] = {}

    def __len__(self) -> int:
        """Return the number of shards in force."""
        return len(self._shards_by_index)

    def get(self, index: ShardIndex) -> Shard:
        """Return the shard in force, an empty one of generation 0 if none is."""
        shard = self._shards_by_index.get(index)
        return shard or Shard(index, Generation(0))

    def generation(self, index: ShardIndex) -> Generation:
        """Return the generation in force, 0 if there is none."""
        return self.get(index).generation

    def generations(self) -> dict[ShardIndex, Generation]:
        """Return the generation in force by shard."""
        return {index: one.generation for index, one in self._shards_by_index.items()}

    def compare(self, index: ShardIndex, generation: Generation) -> RelativeAge:
        """Compare a generation with the one in force."""
        in_force = self.generation(index)
        if generation > in_force:
            return RelativeAge.NEWER
        return RelativeAge.SAME if generation == in_force else RelativeAge.OLDER

    def put(self, shard: Shard) -> bool:
        """Put a valid shard in force if it is newer; tell whether it was."""
        if self.compare(shard.index, shard.generation) is not RelativeAge.NEWER:
            return False
        self._shards_by_index[shard.index] = shard
        return True

    def services(self) -> Iterator[Service]:
        """Return the services of all shards in order of their numbers."""
        for index in sorted(self._shards_by_index):
            yield from self._shards_by_index[index].services

    def view(self) -> ConfigurationView:
        """Return the configuration in force.

        Two shards may name the same service address if two changes raced;
        the lower number keeps it, on every host alike.
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
