"""Tests of the gossip link between two hosts on the loopback interface."""

import asyncio

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal import messages, model, wire
from lycheedeal.configuration import apply_change
from lycheedeal.exceptions import DecodeError
from lycheedeal.runtime._gossip import (
    GossipLink,
    GossipMessage,
    decode_frame,
    encode_frame,
)

ANY_PORT = model.Endpoint('127.0.0.1', 0)


def large_shard() -> model.Shard:
    index = model.shard_of(model.ServiceName('s0'))
    shard = model.Shard(index, model.Generation(0))
    names = (model.ServiceName(f's{number}') for number in range(2000))
    for number, name in enumerate(one for one in names if model.shard_of(one) == index):
        change = model.CreateService(name, model.Endpoint('10.0.0.1', number + 1))
        shard = apply_change(shard, change, model.ChangeId(f'c{number}'), 1.5)
    return shard


async def send_until_received(
    link: GossipLink,
    message: GossipMessage,
    received: 'asyncio.Queue[GossipMessage]',
) -> GossipMessage:
    # The link drops messages until its connection is established.
    for _ in range(200):
        link.send(message)
        await asyncio.sleep(0.05)
        if not received.empty():
            return received.get_nowait()
    raise AssertionError('no message was received after 200 attempts')


async def exchange() -> None:
    received: asyncio.Queue[GossipMessage] = asyncio.Queue()
    decode_errors: list[DecodeError] = []
    first, second = GossipLink(ANY_PORT), GossipLink(ANY_PORT)
    for link in (first, second):
        link.listen()
        link.start(received.put_nowait, decode_errors.append)
    try:
        first.set_neighbours((second.endpoint,))
        digest = messages.Digest(
            model.HostId('h1'),
            model.Zone('z'),
            {model.ShardIndex(2): model.Generation(9)},
        )
        copy = messages.ShardCopy(model.HostId('h2'), large_shard())
        assert await send_until_received(first, digest, received) == digest
        while not received.empty():
            received.get_nowait()
        second.send(copy)
        assert await asyncio.wait_for(received.get(), 10) == copy
        assert first.bytes_in > 0
        assert second.bytes_out == len(encode_frame(copy))
        first.set_neighbours(())
        assert not decode_errors
    finally:
        first.close()
        second.close()


def test_links_exchange_digests_and_shards_on_uvloop() -> None:
    """Guards against a link that loses large shards or works in one direction only."""
    uvloop.run(exchange())


async def dial_silent_neighbour() -> None:
    connections: asyncio.Queue[int] = asyncio.Queue()

    async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The protocol header of a bus socket, followed by silence.
        writer.write(b'\0SP\0\0\x70\0\0')
        connections.put_nowait(1)
        await asyncio.sleep(60)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    link = GossipLink(ANY_PORT, silence_seconds=0.2)
    link.listen()
    link.start(print, print)
    link.set_neighbours((model.Endpoint(*server.sockets[0].getsockname()),))
    try:
        for _ in range(3):
            await asyncio.wait_for(connections.get(), 20)
    finally:
        link.close()
        server.close()


def test_silent_connection_is_replaced() -> None:
    """Guards against a neighbour that stays unreachable after its connection fails.

    The connection stays open but delivers nothing, so the link has to notice
    the silence and dial again.
    """
    uvloop.run(dial_silent_neighbour())


def test_compressed_shard_is_restored() -> None:
    """Guards against shards damaged by compression or sent uncompressed."""
    copy = messages.ShardCopy(model.HostId('h'), large_shard())
    frame = encode_frame(copy)
    assert decode_frame(frame) == copy
    assert len(frame) * 4 < len(wire.encode(copy))


@settings(derandomize=True)
@given(st.binary(max_size=100), st.sampled_from((b'', b'x\x9c', b'\x12\x3d')))
def test_random_frames_raise_only_decode_errors(tail: bytes, head: bytes) -> None:
    """Guards against other exceptions, which would end the event loop."""
    try:
        decode_frame(head + tail)
    except DecodeError:
        return


def test_message_of_another_protocol_is_refused() -> None:
    """Guards against decoding a message of another protocol as gossip."""
    with pytest.raises(DecodeError):
        decode_frame(wire.encode(messages.Hello(3)))


def test_oversized_decompressed_frame_is_refused() -> None:
    """Guards against a small frame that exhausts memory when decompressed."""
    compressed = encode_frame(
        messages.ShardCopy(model.HostId('h' * 2_000_000), large_shard())
    )
    assert len(compressed) < 100_000
    with pytest.raises(DecodeError):
        decode_frame(compressed)
