"""Shards that arrive are checked, put in force and passed on."""

from collections.abc import Iterator
from typing import Final

import xxhash

from lycheedeal import messages
from lycheedeal.configuration._codec import decode_shard
from lycheedeal.configuration._spreading import Spreader
from lycheedeal.configuration._store import Age, ShardStore
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

PART: Final = 'configuration'
_UNREADABLE: Final = Generation(0)


class Applier:
    """Puts shards in force whose generation is higher, and no others."""

    def __init__(self, context: Context, store: ShardStore, spreader: Spreader) -> None:
        """Take the store to fill and the way to the neighbours."""
        self._context = context
        self._region = context.settings.region
        self._store = store
        self._spreader = spreader
        # Generation and fingerprint of the last object that was decoded.
        self._known_by_shard: dict[ShardIndex, tuple[Generation, int]] = {}

    def take_copy(self, message: messages.ShardCopy, now: float) -> Iterator[Effect]:
        """Take a shard that a neighbour sent."""
        shard = message.shard
        match self._store.age(shard.index, shard.generation):
            case Age.NEWER:
                yield from self._apply(shard, f'host {message.sender}')
                if self._store.get(shard.index) is shard:
                    yield from self._spreader.pass_on(shard.index, now)
            case Age.SAME:
                self._spreader.hear_again(shard.index)
            case Age.OLDER:
                return

    def take_stored(self, event: ObjectChanged) -> Iterator[Effect]:
        """Take an object that the platform reported."""
        index = self._index_of(event.key)
        if index is None or self._is_known(index, event.body):
            return
        try:
            shard = read_object(index, event.version, event.body)
        except InvalidConfigurationError as error:
            yield from self.report_invalid(index, f'object {event.key}', error)
            return
        yield from self.apply_stored(shard)
        fingerprint = xxhash.xxh64_intdigest(event.body)
        self._known_by_shard[index] = (shard.generation, fingerprint)

    def apply_stored(self, shard: Shard) -> Iterator[Effect]:
        """Put a shard of the platform in force; count it if it is older."""
        source = f'object {shard_key(self._region, shard.index)}'
        in_force = self._store.generation(shard.index)
        if self._store.age(shard.index, shard.generation) is not Age.OLDER:
            yield from self.apply_own(shard, source)
            return
        detail = f'{source} has generation {shard.generation}, {in_force} is in force'
        yield Log(PART, LogLevel.WARNING, f'Ignored older configuration: {detail}.')
        yield Publish(Refused(ErrorKind.CONFIGURATION_REGRESSED, None, detail))

    def apply_own(self, shard: Shard, source: str) -> Iterator[Effect]:
        """Put a shard in force that may be new to all neighbours."""
        yield from self._apply(shard, source)
        if self._store.get(shard.index) is shard:
            now = self._context.clock.monotonic()
            yield from self._spreader.send_copy(shard.index, now)

    def _apply(self, shard: Shard, source: str) -> Iterator[Effect]:
        if self._store.age(shard.index, shard.generation) is not Age.NEWER:
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
            f'Shard {shard.index} generation {shard.generation} from {source}.',
        )
        yield Publish(ConfigurationChanged(self._store.view()))

    def report_invalid(
        self,
        index: ShardIndex,
        source: str,
        error: InvalidConfigurationError,
        generation: Generation = _UNREADABLE,
    ) -> Iterator[Effect]:
        """Tell that the last good shard stays in force."""
        detail = f'{source}: {error.detail}'
        yield Log(PART, LogLevel.ERROR, f'Ignored invalid configuration: {detail}.')
        yield Publish(Refused(ErrorKind.INVALID_CONFIGURATION, None, detail))
        yield Publish(ShardRejected(index, generation, detail))

    def _is_known(self, index: ShardIndex, body: bytes) -> bool:
        # Lists repeat all shards, and decoding one of 567 upstreams takes a
        # millisecond.
        fingerprint = xxhash.xxh64_intdigest(body)
        known = self._known_by_shard.get(index)
        return known == (self._store.generation(index), fingerprint)

    def _index_of(self, key: str) -> ShardIndex | None:
        prefix = shard_key(self._region, '')
        suffix = key.removeprefix(prefix)
        if suffix == key or not (suffix.isascii() and suffix.isdecimal()):
            return None
        return ShardIndex(int(suffix))


def shard_key(region: Region, index: ShardIndex | str) -> str:
    """Return the key of a shard object; with an empty index, the prefix."""
    return f'config/{region}/{index}'


def read_object(index: ShardIndex, version: int, body: bytes) -> Shard:
    """Return the shard in an object; version 0 means that there is none.

    Raises InvalidConfigurationError.
    """
    if version == 0:
        return Shard(index, Generation(0))
    return decode_shard(body, index)
