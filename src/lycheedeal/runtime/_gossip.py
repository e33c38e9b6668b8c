"""Gossip connections between hosts, on one pynng bus socket."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

import pynng

from lycheedeal import messages, wire
from lycheedeal.errors import ErrorKind
from lycheedeal.exceptions import DecodeError
from lycheedeal.model import Endpoint

# A shard has up to 1 MB in JSON and is smaller as a message, unless it holds many
# floats.
_MAX_MESSAGE_BYTES: Final = 1_300_000
# Shards compress to about an eighth of their size; compressing digests is not
# worth the CPU time.
_MIN_COMPRESSED_BYTES: Final = 400
_COMPRESSION_LEVEL: Final = 6
# First byte of a zlib stream; no uncompressed message starts with it.
_ZLIB_FIRST_BYTE: Final = 0x78
# Bounds the time for which one readiness callback blocks the event loop.
_MESSAGES_PER_CALLBACK: Final = 32
# Messages in the receive and send queues of nng.
_QUEUE_MESSAGES: Final = 32
_RECONNECT_MIN_MS: Final = 200
_RECONNECT_MAX_MS: Final = 5000
# Every host sends a digest at least once in 4 s. A connection without messages
# for much longer has failed without a reset; it is closed so that the dialling
# side connects again.
_SILENCE_TIMEOUT_SECONDS: Final = 12.0
# By default, nng starts 31 native threads on a machine with 10 cores; with one
# thread of each type it starts 6.
_THREAD_PARAMETERS: Final = (
    'NNG_INIT_NUM_TASK_THREADS',
    'NNG_INIT_MAX_TASK_THREADS',
    'NNG_INIT_NUM_EXPIRE_THREADS',
    'NNG_INIT_MAX_EXPIRE_THREADS',
    'NNG_INIT_NUM_POLLER_THREADS',
    'NNG_INIT_MAX_POLLER_THREADS',
    'NNG_INIT_NUM_RESOLVER_THREADS',
)

GossipMessage = messages.Digest | messages.ShardCopy


class GossipLink:
    """Sends messages to all neighbours and delivers the messages they send.

    ``bytes_in`` and ``bytes_out`` count the bytes received and queued on all
    connections. ``dropped_sends`` counts messages dropped because the send
    queue was full, ``silence_closes`` connections closed for lack of messages.
    """

    def __init__(
        self,
        listen: Endpoint,
        silence_seconds: float = _SILENCE_TIMEOUT_SECONDS,
    ) -> None:
        """Create the link without opening a socket.

        Port 0 in ``listen`` lets the system choose a port; ``endpoint`` has it
        afterwards. Connections without messages for ``silence_seconds`` are
        closed.
        """
        self.endpoint = listen
        self.bytes_in = 0
        self.bytes_out = 0
        self.dropped_sends = 0
        self.silence_closes = 0
        self._silence_seconds = silence_seconds
        self._last_receipt_by_pipe: dict[int, float] = {}
        self._silence_timer: asyncio.TimerHandle | None = None
        self._deliver: Callable[[GossipMessage], None] | None = None
        self._on_invalid: Callable[[DecodeError], None] | None = None
        self._socket: Any = None
        self._receive_fd = -1
        self._dialers_by_endpoint: dict[Endpoint, Any] = {}

    def listen(self) -> None:
        """Open the socket and listen; raises OSError if the endpoint is in use."""
        _limit_threads()
        self._socket = pynng.Bus0(
            recv_max_size=_MAX_MESSAGE_BYTES,
            recv_buffer_size=_QUEUE_MESSAGES,
            send_buffer_size=_QUEUE_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        try:
            listener = self._socket.listen(_url(self.endpoint))
        except pynng.NNGException as error:
            self._socket.close()
            self._socket = None
            raise OSError(
                f'cannot listen for gossip on {self.endpoint}: {error}'
            ) from error
        ip, _, port = str(listener.local_address).rpartition(':')
        self.endpoint = Endpoint(ip, int(port))

    def start(
        self,
        deliver: Callable[[GossipMessage], None],
        on_invalid: Callable[[DecodeError], None],
    ) -> None:
        """Deliver messages from now on; the link has to listen.

        ``on_invalid`` gets the errors of invalid frames.
        """
        self._deliver = deliver
        self._on_invalid = on_invalid
        self._receive_fd = self._socket.recv_fd
        asyncio.get_running_loop().add_reader(self._receive_fd, self._receive)
        self._close_silent_connections()

    def close(self) -> None:
        """Close the socket; messages that are still queued may be lost."""
        if self._socket is None:
            return
        if self._receive_fd >= 0:
            asyncio.get_running_loop().remove_reader(self._receive_fd)
            self._receive_fd = -1
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._socket.close()
        self._socket = None
        self._dialers_by_endpoint.clear()

    def set_neighbours(self, neighbours: tuple[Endpoint, ...]) -> None:
        """Connect to these endpoints only; nng reconnects if a connection ends."""
        if self._socket is None:
            return
        for removed in self._dialers_by_endpoint.keys() - set(neighbours):
            self._dialers_by_endpoint.pop(removed).close()
        for endpoint in neighbours:
            if endpoint not in self._dialers_by_endpoint:
                dialer = self._socket.dial(_url(endpoint), block=False)
                self._dialers_by_endpoint[endpoint] = dialer

    def send(self, message: GossipMessage) -> None:
        """Queue a message for every connection; drop it where the queue is full."""
        if self._socket is None:
            return
        frame = encode_frame(message)
        try:
            self._socket.send(frame, block=False)
        except pynng.NNGException:
            self.dropped_sends += 1
            return
        self.bytes_out += len(frame) * len(self._socket.pipes)

    def _receive(self) -> None:
        for _ in range(_MESSAGES_PER_CALLBACK):
            if self._socket is None:
                return
            try:
                received = self._socket.recv_msg(block=False)
            except pynng.NNGException:
                return
            if received.pipe is not None:
                now = asyncio.get_running_loop().time()
                self._last_receipt_by_pipe[received.pipe.id] = now
            frame = received.bytes
            self.bytes_in += len(frame)
            self._handle_frame(frame)

    def _close_silent_connections(self) -> None:
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(
            self._silence_seconds / 2, self._close_silent_connections
        )
        now = loop.time()
        pipes = {pipe.id: pipe for pipe in self._socket.pipes}
        self._last_receipt_by_pipe = {
            pipe_id: self._last_receipt_by_pipe.get(pipe_id, now) for pipe_id in pipes
        }
        for pipe_id, last_receipt in tuple(self._last_receipt_by_pipe.items()):
            if now - last_receipt > self._silence_seconds:
                self._close_pipe(pipes[pipe_id])

    def _close_pipe(self, pipe: Any) -> None:
        # The side that dialled reconnects automatically.
        self.silence_closes += 1
        self._last_receipt_by_pipe.pop(pipe.id, None)
        with suppress(pynng.NNGException):
            pipe.close()

    def _handle_frame(self, frame: bytes) -> None:
        if self._deliver is None or self._on_invalid is None:
            return
        try:
            message = decode_frame(frame)
        except DecodeError as error:
            self._on_invalid(error)
            return
        self._deliver(message)


def encode_frame(message: GossipMessage) -> bytes:
    """Return a message as sent on the link; long messages are compressed."""
    plain = wire.encode(message)
    if len(plain) < _MIN_COMPRESSED_BYTES:
        return plain
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decode_frame(frame: bytes) -> GossipMessage:
    """Return the message in a frame; raises only DecodeError."""
    plain = _decompress(frame) if frame[:1] == bytes((_ZLIB_FIRST_BYTE,)) else frame
    message = wire.decode(plain, _MAX_MESSAGE_BYTES)
    if not isinstance(message, (messages.Digest, messages.ShardCopy)):
        raise DecodeError(f'{type(message).__name__} is not a gossip message')
    return message


def _decompress(frame: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        plain = stream.decompress(frame, _MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise DecodeError(f'invalid compressed message: {error}') from error
    if stream.unconsumed_tail:
        raise DecodeError('decompressed message too large', ErrorKind.OVERSIZED)
    if not stream.eof:
        raise DecodeError('compressed message is truncated')
    return plain


def _limit_threads() -> None:
    # Has an effect only before the process opens its first nng socket.
    for name in _THREAD_PARAMETERS:
        pynng.lib.nng_init_set_parameter(getattr(pynng.lib, name), 1)


def _url(endpoint: Endpoint) -> str:
    return f'tcp://{endpoint.ip}:{endpoint.port}'
