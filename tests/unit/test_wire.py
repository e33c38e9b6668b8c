"""Tests of decoders: each input gives a message or a DecodeError."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import messages, wire
from lycheedeal.exceptions import DecodeError
from lycheedeal.model import (
    Endpoint,
    FlowClass,
    FlowFields,
    FlowIdCodec,
    Incarnation,
    KindId,
    ServiceNumber,
)

CODEC = FlowIdCodec(b'key')


@settings(derandomize=True)
@given(st.binary(max_size=200), st.sampled_from((b'', b'\x12', b'\x12\x04', b'\x11')))
def test_random_datagrams_raise_only_decode_errors(tail: bytes, head: bytes) -> None:
    """Guards against another exception, which would end the event loop."""
    try:
        wire.decode(head + tail)
    except DecodeError:
        return


@settings(derandomize=True)
@given(st.integers(0, 200))
def test_truncated_message_is_refused(size: int) -> None:
    """Guards against acting on an incomplete message."""
    encoded = wire.encode(messages.Open(nonce=7, kind_id=KindId(1)))
    if size < len(encoded):
        with pytest.raises(DecodeError):
            wire.decode(encoded[:size])


@settings(derandomize=True)
@given(st.integers(0, 51), st.integers(1, 255))
def test_changed_flow_id_is_refused(position: int, mask: int) -> None:
    """Guards against packets with a forged or damaged flow id being forwarded."""
    flow_id = bytearray(
        CODEC.encode(
            FlowFields(
                flow_class=FlowClass.LONG,
                kind_id=KindId(1),
                service=ServiceNumber(3),
                owner=Endpoint('127.0.0.1', 1),
                owner_incarnation=Incarnation(5),
                nonce=9,
                upstream=Endpoint('127.0.0.1', 2),
                upstream_incarnation=Incarnation(6),
            ),
        ),
    )
    flow_id[position] ^= mask
    with pytest.raises(DecodeError):
        CODEC.decode(bytes(flow_id))
