"""Codec for the messages of ``lycheedeal.messages``.

An encoded message is one byte with the protocol version in its high half and
the datagram type in its low half, one byte with the message number, and a
msgpack map of its fields.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

from lycheedeal import messages
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError

MAX_DATAGRAM_BYTES: Final = 60_000
# Version 1, datagram type 2; packets of flows have type 1.
_MESSAGE_TYPE: Final = 0x12
_VERSION_MASK: Final = 0xF0
# Bytes before the msgpack map.
_HEADER_SIZE: Final = 2

_Decoder = msgspec.msgpack.Decoder[Any]

# Numbers are part of the protocol: they are never changed or reused.
_TYPES_BY_NUMBER: Final[Mapping[int, type]] = MappingProxyType(
    {
        1: messages.Open,
        2: messages.Opened,
        3: messages.OpenRefused,
        4: messages.Request,
        5: messages.Answer,
        6: messages.Outcome,
        7: messages.CancelRequest,
        8: messages.CloseFlow,
        9: messages.FlowBroken,
        20: messages.Hello,
        21: messages.Welcome,
        22: messages.FlowOpen,
        23: messages.FlowAccepted,
        24: messages.FlowRejected,
        25: messages.UpstreamClose,
        26: messages.Run,
        27: messages.RunAnswer,
        28: messages.RunRefused,
        29: messages.CancelRun,
        30: messages.RunCancelled,
        40: messages.RelayedOpen,
        41: messages.RelayedRequest,
        42: messages.RelayedCancel,
        43: messages.Pushback,
        44: messages.Probe,
        45: messages.ProbeAck,
        46: messages.IndirectProbe,
        47: messages.RelayedClose,
        48: messages.FlowCounts,
        49: messages.ConfigurationReport,
        60: messages.Digest,
        61: messages.ShardCopy,
    },
)
_HEADERS_BY_TYPE: Final = MappingProxyType(
    {
        message_class: bytes((_MESSAGE_TYPE, number))
        for number, message_class in _TYPES_BY_NUMBER.items()
    },
)
_DECODERS_BY_NUMBER: Final[Mapping[int, _Decoder]] = MappingProxyType(
    {
        number: msgspec.msgpack.Decoder(message_class)
        for number, message_class in _TYPES_BY_NUMBER.items()
    },
)
_encoder: Final = msgspec.msgpack.Encoder()


def encode(message: Any) -> bytes:
    """Return the datagram for a message of ``lycheedeal.messages``."""
    return _HEADERS_BY_TYPE[type(message)] + _encoder.encode(message)


def decode(datagram: bytes, limit: int = MAX_DATAGRAM_BYTES) -> Any:
    """Return the message in a datagram of at most ``limit`` bytes.

    Raises DecodeError with kind MALFORMED, OVERSIZED or
    UNSUPPORTED_VERSION; no input causes any other exception.
    """
    decoder = _find_decoder(datagram, limit)
    try:
        return decoder.decode(memoryview(datagram)[_HEADER_SIZE:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise DecodeError(f'invalid message: {error}') from error


def _find_decoder(datagram: bytes, limit: int) -> _Decoder:
    if len(datagram) > limit:
        raise DecodeError('datagram is larger than the limit', ErrorKind.OVERSIZED)
    if len(datagram) < _HEADER_SIZE:
        raise DecodeError('datagram is shorter than the message header')
    if datagram[0] != _MESSAGE_TYPE:
        raise _unknown_type_error(datagram[0])
    decoder = _DECODERS_BY_NUMBER.get(datagram[1])
    if decoder is None:
        raise DecodeError(f'unknown message number {datagram[1]}')
    return decoder


def _unknown_type_error(first_byte: int) -> DecodeError:
    if first_byte & _VERSION_MASK == _MESSAGE_TYPE & _VERSION_MASK:
        return DecodeError(f'unknown datagram type {first_byte:#x}')
    return DecodeError(
        'protocol version of the datagram is not supported',
        ErrorKind.UNSUPPORTED_VERSION,
    )
