"""Messages between neighbours on the gossip link."""

from dataclasses import dataclass

from lycheedeal.model import Generation, HostId, Shard, ShardIndex, Zone


@dataclass(frozen=True, slots=True)
class Digest:
    """Generations of the shards that are in force on the sender."""

    sender: HostId
    zone: Zone
    generations: dict[ShardIndex, Generation]


@dataclass(frozen=True, slots=True)
class ShardCopy:
    """A complete shard, sent to neighbours whose generation of it is lower."""

    sender: HostId
    shard: Shard
