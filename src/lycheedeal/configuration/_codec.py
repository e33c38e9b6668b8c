"""JSON form of a shard as the object API stores it."""

import re
from typing import Final

import msgspec

from lycheedeal.exceptions import InvalidConfigurationError
from lycheedeal.model import Shard, ShardIndex

# The object API refuses larger values.
MAX_BODY_BYTES: Final = 1_000_000
_MSGSPEC_ERROR: Final = re.compile('(?P<reason>.*) - at `(?P<place>.*)`', re.DOTALL)
_decoder: Final = msgspec.json.Decoder(Shard)
_encoder: Final = msgspec.json.Encoder()


def encode_shard(shard: Shard) -> bytes:
    """Return the stored form; raises InvalidConfigurationError if too large."""
    body = _encoder.encode(shard)
    _check_size(body)
    return body


def decode_shard(body: bytes, index: ShardIndex) -> Shard:
    """Return the shard with this index from its stored form.

    Only types and index are checked here; ``validate_shard`` checks the
    rules. Raises InvalidConfigurationError with place and reason; never any
    other exception.
    """
    _check_size(body)
    try:
        shard = _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _invalid(str(error)) from error
    if shard.index != index:
        raise InvalidConfigurationError('$.index', f'{shard.index} instead of {index}')
    return shard


def _check_size(body: bytes) -> None:
    if len(body) > MAX_BODY_BYTES:
        raise InvalidConfigurationError(
            '$',
            f'{len(body)} bytes are more than {MAX_BODY_BYTES}',
        )


def _invalid(text: str) -> InvalidConfigurationError:
    found = _MSGSPEC_ERROR.fullmatch(text)
    if found is None:
        return InvalidConfigurationError('$', text)
    return InvalidConfigurationError(found['place'], found['reason'])
