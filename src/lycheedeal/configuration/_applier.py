"""Validates shards that arrive, puts them in force and forwards them."""

from collections.abc import Iterator
from typing import Final

import xxhash

from lycheedeal import messages
from lycheedeal.configuration._codec import decode_shard
from lycheedeal.configuration._gossip import GossipSender
from lycheedeal.configuration._store import RelativeAge, ShardStore
from lycheedeal.configuration._validation import validate_shard
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.kernel import (
    ConfigurationChanged,
    Context,
    Effect,
    Log,
    LogLevel,
    ObjectChanged,
    Publish,
    Refused,
    ShardRejected,
)
from lycheedeal.model import Generation, Region, Shard, ShardIndex

# Prefix of the log lines of this plug-in.
PART: Final = 'configuration'
# Reported for a rejected shard whose generation is not known.
_UNKNOWN_GENERATION: Final = Generation(0)


class Applier:
    """Puts a shard in force if its generation is higher than the current one."""

    def __init__(
        self, context: Context, store: ShardStore, gossip_sender: GossipSender
    ) -> None:
        """Start with the shards in ``store``; accepted ones are added to it."""
        self._context = context
        self._region = context.settings.region
        self._store = store
        self._gossip_sender = gossip_sender
        # Generation and xxh64 fingerprint of the object that was last decoded.
        self._last_object_by_shard: dict[ShardIndex, tuple[Generation, int]] = {}

    def handle_copy(self, message: messages.ShardCopy, now: float) -> Iterator[Effect]:
        """Apply a shard that a neighbour sent, and forward it if it was newer."""
        shard = message.shard
        match self._store.compare(shard.index, shard.generation):
            case RelativeAge.NEWER:
                yield from self._apply(shard, f'host {message.sender}')
                if self._store.get(shard.index) is shard:
                    yield from self._gossip_sender.forward_copy(shard.index, now)
            case RelativeAge.SAME:
                self._gossip_sender.note_duplicate(shard.index)
            case RelativeAge.OLDER:
                return

    def handle_object(self, event: ObjectChanged) -> Iterator[Effect]:
        """Apply an object that the platform reported.

        Objects with other keys and objects that did not change are ignored;
        an invalid one is reported and leaves the shard in force.
        """
        index = self._index_from_key(event.key)
        if index is None or self._is_unchanged(index, event.body):
            return
        try:
            shard = read_object(index, event.version, event.body)
        except InvalidConfigurationError as error:
            yield from self.report_invalid(index, f'object {event.key}', error)
            return
        yield from self.apply_stored(shard)
        fingerprint = xxhash.xxh64_intdigest(event.body)
        self._last_object_by_shard[index] = (shard.generation, fingerprint)

    def apply_stored(self, shard: Shard) -> Iterator[Effect]:
        """Apply a shard read from the platform, or report that it is older."""
        source = f'object {shard_key(self._region, shard.index)}'
        in_force = self._store.generation(shard.index)
        if self._store.compare(shard.index, shard.generation) is not RelativeAge.OLDER:
            yield from self.apply_and_gossip(shard, source)
            return
        detail = (
            f'{source} has generation {shard.generation}, '
            f'generation {in_force} is in force'
        )
        yield Log(
            PART,
            LogLevel.WARNING,
            f'older configuration ignored, the newer one stays in force: {detail}',
        )
        yield Publish(Refused(ErrorKind.CONFIGURATION_REGRESSED, None, detail))

    def apply_and_gossip(self, shard: Shard, source: str) -> Iterator[Effect]:
        """Apply a shard that did not come from a neighbour and send it to them."""
        yield from self._apply(shard, source)
        if self._store.get(shard.index) is shard:
            now = self._context.clock.monotonic()
            yield from self._gossip_sender.send_copy(shard.index, now)

    def _apply(self, shard: Shard, source: str) -> Iterator[Effect]:
        if self._store.compare(shard.index, shard.generation) is not RelativeAge.NEWER:
            return
        try:
            validate_shard(shard)
        except InvalidConfigurationError as error:
            yield from self.report_invalid(
                shard.index,
                source,
                error,
                shard.generation,
            )
            return
        self._store.put(shard)
        yield Log(
            PART,
            LogLevel.INFO,
            f'shard {shard.index} generation {shard.generation} is in force, '
            f'source: {source}',
        )
        yield Publish(ConfigurationChanged(self._store.view()))

    def report_invalid(
        self,
        index: ShardIndex,
        source: str,
        error: InvalidConfigurationError,
        generation: Generation = _UNKNOWN_GENERATION,
    ) -> Iterator[Effect]:
        """Report a shard that was rejected; the last valid one stays in force.

        ``generation`` is 0 if it is not known.
        """
        detail = f'{source}: {error.detail}'
        yield Log(
            PART,
            LogLevel.ERROR,
            'invalid configuration ignored, the last valid one stays in force: '
            f'{detail}',
        )
        yield Publish(Refused(ErrorKind.INVALID_CONFIGURATION, None, detail))
        yield Publish(ShardRejected(index, generation, detail))

    def _is_unchanged(self, index: ShardIndex, body: bytes) -> bool:
        # Every list returns all shards, and decoding a shard with 567 upstreams
        # takes 1 ms.
        fingerprint = xxhash.xxh64_intdigest(body)
        last_object = self._last_object_by_shard.get(index)
        return last_object == (self._store.generation(index), fingerprint)

    def _index_from_key(self, key: str) -> ShardIndex | None:
        prefix = shard_key(self._region, '')
        suffix = key.removeprefix(prefix)
        if suffix == key or not (suffix.isascii() and suffix.isdecimal()):
            return None
        return ShardIndex(int(suffix))


def shard_key(region: Region, index: ShardIndex | str) -> str:
    """Return the key of a shard object, or the common prefix for an empty index."""
    return f'config/{region}/{index}'


def read_object(index: ShardIndex, version: int, body: bytes) -> Shard:
    """Return the shard in an object, or an empty one of generation 0.

    Version 0 means that the object does not exist. Raises
    InvalidConfigurationError if the body cannot be decoded.
    """
    if version == 0:
        return Shard(index, Generation(0))
    return decode_shard(body, index)
