"""Messages on the gossip link between neighbouring hosts."""

from dataclasses import dataclass

from lycheedeal.model import Generation, HostId, Shard, ShardIndex, Zone


@dataclass(frozen=True, slots=True)
class Digest:
    """Generation by shard of one host."""

    sender: HostId
    zone: Zone
    generations: dict[ShardIndex, Generation]


@dataclass(frozen=True, slots=True)
class ShardCopy:
    """A whole shard, sent to neighbours that are behind."""

    sender: HostId
    shard: Shard
