"""JSON encoding of shards in the object API."""

import re
from typing import Final

import msgspec

from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.model import Shard, ShardIndex

# The object API rejects larger bodies.
MAX_BODY_BYTES: Final = 1_000_000
# Splits the message of a msgspec error into its reason and the JSON path.
_MSGSPEC_ERROR: Final = re.compile('(?P<reason>.*) - at `(?P<place>.*)`', re.DOTALL)
_decoder: Final = msgspec.json.Decoder(Shard)
_encoder: Final = msgspec.json.Encoder()


def encode_shard(shard: Shard) -> bytes:
    """Return the shard as a JSON body.

    Raises InvalidConfigurationError if the body exceeds MAX_BODY_BYTES.
    """
    body = _encoder.encode(shard)
    _check_size(body)
    return body


def decode_shard(body: bytes, index: ShardIndex) -> Shard:
    """Return the shard with this index from its JSON body.

    Only the size, types and index are checked; ``validate_shard`` checks the
    rules. Raises InvalidConfigurationError with the location and reason, and
    no other exception, whatever the body contains.
    """
    _check_size(body)
    try:
        shard = _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _invalid(str(error)) from error
    if shard.index != index:
        raise InvalidConfigurationError(
            '$.index',
            f'shard index is {shard.index}, expected {index}',
        )
    return shard


def _check_size(body: bytes) -> None:
    if len(body) > MAX_BODY_BYTES:
        raise InvalidConfigurationError(
            '$',
            f'body has {len(body)} bytes, expected at most {MAX_BODY_BYTES}',
        )


def _invalid(text: str) -> InvalidConfigurationError:
    found = _MSGSPEC_ERROR.fullmatch(text)
    if found is None:
        return InvalidConfigurationError('$', text)
    return InvalidConfigurationError(found['place'], found['reason'])
