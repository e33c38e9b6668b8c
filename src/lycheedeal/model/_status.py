"""Which configuration the hosts of a zone hold."""

from dataclasses import dataclass, field

from lycheedeal.ids import Generation, HostId, ShardIndex, Zone


@dataclass(frozen=True, slots=True)
class RejectedShard:
    """A shard that a host cannot apply; generation 0 means unreadable."""

    index: ShardIndex
    generation: Generation
    reason: str


@dataclass(frozen=True, slots=True)
class LaggingHost:
    """A host that lacks a generation; ``holds`` None means that it is silent.

    ``holds`` has the generation of each shard in which the host is behind.
    """

    host_id: HostId
    holds: dict[ShardIndex, Generation] | None


@dataclass(frozen=True, slots=True)
class RejectingHost:
    """A host that keeps its last good shards instead of newer ones."""

    host_id: HostId
    rejected: tuple[RejectedShard, ...]


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """Configuration status of a zone at Unix time ``at``.

    ``generations`` is what hosts are expected to hold. The lists are bounded;
    the counts are not.
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
