"""JSON form of a zone's status as the object API stores it."""

from typing import Final

import msgspec

from lycheedeal.model import Region, Zone, ZoneStatus

# A status with 20 lagging and 20 rejecting hosts has about 12 KB.
_MAX_BODY_BYTES: Final = 131_072
_decoder: Final = msgspec.json.Decoder(ZoneStatus)
_encoder: Final = msgspec.json.Encoder()


def status_key(region: Region, zone: Zone | str) -> str:
    """Return the key of a status object; with an empty zone, the prefix."""
    return f'status/{region}/{zone}'


def encode_status(status: ZoneStatus) -> bytes:
    """Return the JSON that is stored as the body of a status object."""
    return _encoder.encode(status)


def decode_status(body: bytes) -> ZoneStatus | None:
    """Return the status in the body of an object, None if it cannot be decoded."""
    if len(body) > _MAX_BODY_BYTES:
        return None
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
