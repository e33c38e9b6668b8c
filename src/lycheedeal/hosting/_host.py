"""Process around the decision core of the relay: one loop on one thread."""

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import Callable
from typing import Final, Protocol

from lycheedeal import relay
from lycheedeal.datagrams import bind_datagrams, read_batch
from lycheedeal.exceptions import DecodeError
from lycheedeal.hosting._logs import LogWriter
from lycheedeal.ids import Endpoint
from lycheedeal.relay.peer_codec import (
    MAX_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)

_TICK_SECONDS: Final = 0.1

Dispatch = Callable[[relay.Event], None]


class SystemClock:
    """Clock that goes on while the machine is suspended."""

    def monotonic(self) -> float:
        """Return seconds since the boot of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class FrontEnd(Protocol):
    """What connects the core to callers, upstreams and the store."""

    async def start(self, dispatch: Dispatch) -> None:
        """Open sockets and hand events to the core from now on."""

    def close(self) -> None:
        """Close all sockets."""

    def forward(self, packet: relay.Packet, upstream: relay.Upstream) -> None:
        """Send a packet to an upstream."""

    def reset(self, packet: relay.Packet) -> None:
        """Send a reset to the caller of a packet."""

    def list_objects(self, kind: relay.StoreKind) -> None:
        """Ask the store for all objects of a kind."""

    def watch_objects(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision,
        wait_seconds: float,
    ) -> None:
        """Wait for changes of a kind."""

    def stop_reading(self, kind: relay.StoreKind) -> None:
        """Give up the call in progress for a kind."""

    def set_ready(self, ready: bool) -> None:
        """Answer readiness probes from now on."""

    def reload(self) -> None:
        """Read the settings again and apply what may change."""

    def tick(self, now: float) -> None:
        """Do what is due from time to time."""


class Host:
    """Runs the kernel of one process from start to close."""

    def __init__(
        self,
        context: relay.RelayContext,
        front_end: FrontEnd,
        logs: LogWriter,
    ) -> None:
        """Build the kernel; nothing is opened before ``start``."""
        self._context = context
        self._front_end = front_end
        self._logs = logs
        self._kernel = relay.build_kernel(context)
        self._peers: socket.socket | None = None
        self._ended = asyncio.Event()
        self._encoded_message: relay.PeerMessage | None = None
        self._encoded = b''

    async def start(self) -> None:
        """Open everything and begin; raises OSError if an address is taken."""
        loop = asyncio.get_running_loop()
        self._logs.start()
        self._peers = bind_datagrams(self._context.settings.peer)
        await self._front_end.start(self.dispatch)
        loop.add_reader(self._peers, self._read_peers)
        loop.add_signal_handler(signal.SIGTERM, self.dispatch, relay.StopRequested())
        loop.add_signal_handler(signal.SIGINT, self.dispatch, relay.StopRequested())
        loop.add_signal_handler(signal.SIGHUP, self._front_end.reload)
        self.dispatch(relay.Started())
        loop.call_later(_TICK_SECONDS, self._tick)

    async def wait(self) -> None:
        """Wait until the core ends the process."""
        await self._ended.wait()

    def close(self) -> None:
        """Release all sockets."""
        self._front_end.close()
        if self._peers is not None:
            asyncio.get_running_loop().remove_reader(self._peers)
            self._peers.close()
        self._logs.close()

    def dispatch(self, event: relay.Event) -> None:
        """Hand an event to the core and carry out the effects."""
        for effect in self._kernel.dispatch(event):
            self._execute(effect)

    def _execute(self, effect: relay.Effect) -> None:
        match effect:
            case relay.Forward():
                self._front_end.forward(effect.packet, effect.upstream)
            case relay.LogRecord():
                self._logs.write(effect)
            case relay.Reset(packet=packet):
                self._front_end.reset(packet)
            case relay.SendPeer(endpoint=endpoint, message=message):
                self._send_peer(endpoint, message)
            case relay.ListObjects(kind=kind):
                self._front_end.list_objects(kind)
            case relay.WatchObjects():
                self._front_end.watch_objects(
                    effect.kind,
                    effect.revision,
                    effect.wait_seconds,
                )
            case relay.CancelCall(kind=kind):
                self._front_end.stop_reading(kind)
            case relay.SetReady(ready=ready):
                self._front_end.set_ready(ready)
            case relay.Exit():
                self._ended.set()

    def _send_peer(self, endpoint: Endpoint, message: relay.PeerMessage) -> None:
        if self._peers is None:
            return
        if message is not self._encoded_message:
            # One message goes to many hosts in a row.
            self._encoded_message = message
            self._encoded = encode_message(message)
        datagram = self._encoded
        # A datagram that the link does not take is lost like any other.
        with contextlib.suppress(OSError):
            self._peers.sendto(datagram, endpoint)
            self._context.metrics.add('peer_bytes', 'sent', len(datagram))

    def _read_peers(self) -> None:
        if self._peers is None:
            return
        for datagram in read_batch(self._peers, MAX_DATAGRAM_BYTES + 1):
            try:
                message = decode_message(datagram)
            except DecodeError as error:
                self._context.metrics.add('peer_errors', error.kind.name.lower())
                continue
            self.dispatch(relay.PeerMessageReceived(message))

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(_TICK_SECONDS, self._tick)
        now = self._context.clock.monotonic()
        self.dispatch(relay.Tick(now))
        self._front_end.tick(now)
        self._logs.tick(now)
        self._context.metrics.set_gauge(
            'log_lines_left_out', 'all', self._logs.left_out
        )
