"""Runs the kernel of the packet relay: one event loop on one thread.

Datagrams, signals and ticks become events of the kernel; its effects are
carried out here or passed to the front end.
"""

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import Callable
from types import FrameType
from typing import Protocol

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

Dispatch = Callable[[relay.Event], None]


class SystemClock:
    """Clock of the operating system; it keeps running while a host is suspended."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class FrontEnd(Protocol):
    """Connects the relay kernel to callers, upstreams and the store."""

    async def start(self, dispatch: Dispatch, kernel: relay.RelayKernel) -> None:
        """Open all sockets and pass events to ``dispatch`` from now on.

        ``kernel`` is for questions about its state and gets no events. Raises OSError
        if an address is in use.
        """

    def close(self) -> None:
        """Close all sockets."""

    def forward(
        self, packet: relay.Packet, upstream: relay.Upstream, token: relay.Token
    ) -> None:
        """Send a packet to an upstream, with the token of its flow."""

    def reset(self, packet: relay.Packet) -> None:
        """Send a reset of the packet's flow to its caller."""

    def list_objects(self, kind: relay.StoreKind, may_lag: bool) -> None:
        """Start a list of all objects of a kind; the answer is an event.

        A list that ``may_lag`` may be seconds old.
        """

    def watch_objects(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
    ) -> None:
        """Start a watch for changes after a position; the answer is an event.

        The store answers after ``wait_seconds`` at the latest.
        """

    def cancel_call(self, kind: relay.StoreKind) -> None:
        """Cancel the store call in progress for a kind; no event follows."""

    def set_ready(self, ready: bool) -> None:
        """Set the answer to readiness probes."""

    def reload(self) -> None:
        """Read the settings again and apply those that may change at run time."""

    def tick(self, now: float) -> None:
        """Do periodic work; ``now`` is monotonic time in seconds."""


class RelayRuntime:
    """Runs the relay kernel of one process from ``start`` to ``close``."""

    def __init__(
        self,
        context: relay.RelayContext,
        front_end: FrontEnd,
        logs: LogWriter,
    ) -> None:
        """Build the kernel without opening any socket."""
        self._context = context
        self._front_end = front_end
        self._logs = logs
        self._kernel = relay.build_kernel(context)
        self._peer_socket: socket.socket | None = None
        self._exit_requested = asyncio.Event()
        self._encoded_message: relay.PeerMessage | None = None
        self._encoded_datagram = b''

    async def start(self) -> None:
        """Open all sockets, install signal handlers and dispatch ``Started``.

        SIGTERM and SIGINT request a stop; SIGHUP reloads the settings. Raises
        OSError if an address is in use.
        """
        loop = asyncio.get_running_loop()
        self._logs.start()
        self._peer_socket = bind_datagrams(self._context.settings.peer)
        await self._front_end.start(self.dispatch, self._kernel)
        loop.add_reader(self._peer_socket, self._read_peer_datagrams)
        # Not loop.add_signal_handler, which imports inspect and its dependencies:
        # a tenth of the processor time of a start.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._receive_signal)
        self.dispatch(relay.Started())
        loop.call_later(relay.TICK_SECONDS, self._tick)

    async def wait(self) -> None:
        """Wait until the kernel requests the end of the process."""
        await self._exit_requested.wait()

    def close(self) -> None:
        """Close all sockets and write the remaining log lines."""
        self._front_end.close()
        if self._peer_socket is not None:
            asyncio.get_running_loop().remove_reader(self._peer_socket)
            self._peer_socket.close()
        self._logs.close()

    def dispatch(self, event: relay.Event) -> None:
        """Pass an event to the kernel and carry out the resulting effects."""
        for effect in self._kernel.dispatch(event):
            try:
                self._execute(effect)
            except Exception as error:
                # The other effects do not depend on this one.
                self._logs.write(relay.failed_effect_record(effect, error))

    def _execute(self, effect: relay.Effect) -> None:
        match effect:
            case relay.Forward():
                self._front_end.forward(effect.packet, effect.upstream, effect.token)
            case relay.LogRecord():
                self._logs.write(effect)
            case relay.Reset(packet=packet):
                self._front_end.reset(packet)
            case relay.SendPeer(endpoint=endpoint, message=message):
                self._send_peer(endpoint, message)
            case relay.ListObjects(kind=kind, may_lag=may_lag):
                self._front_end.list_objects(kind, may_lag)
            case relay.WatchObjects():
                self._front_end.watch_objects(
                    effect.kind,
                    effect.position,
                    effect.wait_seconds,
                )
            case relay.CancelCall(kind=kind):
                self._front_end.cancel_call(kind)
            case relay.SetReady(ready=ready):
                self._front_end.set_ready(ready)
            case relay.Exit():
                self._exit_requested.set()

    def _receive_signal(self, number: int, _frame: FrameType | None) -> None:
        # A signal arrives between any two steps of the program; the loop handles it
        # after the present callback.
        loop = asyncio.get_running_loop()
        loop.call_soon_threadsafe(self._handle_signal, signal.Signals(number))

    def _handle_signal(self, number: signal.Signals) -> None:
        if number is signal.SIGHUP:
            self._front_end.reload()
        else:
            self.dispatch(relay.StopRequested())

    def _send_peer(self, endpoint: Endpoint, message: relay.PeerMessage) -> None:
        if self._peer_socket is None:
            return
        if message is not self._encoded_message:
            # A message often goes to many hosts in a row; it is encoded once.
            self._encoded_message = message
            self._encoded_datagram = encode_message(message)
        datagram = self._encoded_datagram
        # A datagram that cannot be sent is treated as packet loss.
        with contextlib.suppress(OSError):
            self._peer_socket.sendto(datagram, endpoint)
            self._context.metrics.add('peer_bytes', 'sent', len(datagram))

    def _read_peer_datagrams(self) -> None:
        if self._peer_socket is None:
            return
        for datagram in read_batch(self._peer_socket, MAX_DATAGRAM_BYTES + 1):
            try:
                message = decode_message(datagram)
            except DecodeError as error:
                self._context.metrics.add('peer_errors', error.kind.name.lower())
                continue
            self.dispatch(relay.PeerMessageReceived(message))

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(relay.TICK_SECONDS, self._tick)
        now = self._context.clock.monotonic()
        self.dispatch(relay.Tick(now))
        self._front_end.tick(now)
        self._logs.tick(now)
        self._context.metrics.set_gauge(
            'log_lines_left_out', 'all', self._logs.dropped_lines
        )
