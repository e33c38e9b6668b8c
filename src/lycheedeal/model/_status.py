"""Records of which configuration the hosts of a zone hold."""

from dataclasses import dataclass, field

from lycheedeal.ids import Generation, HostId, ShardIndex, Zone


@dataclass(frozen=True, slots=True)
class RejectedShard:
    """An invalid shard that a host received; generation 0 means not decodable."""

    index: ShardIndex
    generation: Generation
    reason: str


@dataclass(frozen=True, slots=True)
class LaggingHost:
    """A host that does not hold the expected generation of some shard.

    ``holds`` is the generation it has of each shard in which it is behind;
    None means that the host does not report.
    """

    host_id: HostId
    holds: dict[ShardIndex, Generation] | None


@dataclass(frozen=True, slots=True)
class RejectingHost:
    """A host that keeps its last valid shards because newer ones are invalid."""

    host_id: HostId
    rejected: tuple[RejectedShard, ...]


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Configuration status of a zone at ``at``, Unix time in seconds.

    ``generations`` is what the hosts are expected to hold. ``hosts``,
    ``up_to_date`` and ``silent`` count all hosts of the zone; ``lagging`` and
    ``rejecting`` list a bounded number of them.
    """

    zone: Zone
    reporter: HostId
    at: float
    hosts: int
    up_to_date: int
    silent: int = 0
    generations: dict[ShardIndex, Generation] = field(default_factory=dict)
    lagging: tuple[LaggingHost, ...] = ()
    rejecting: tuple[RejectingHost, ...] = ()
