"""Sockets, timers, log files and signals of the stand-in programs."""

import asyncio
import json
import os
import random
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec

from lycheedeal import wire
from lycheedeal.exceptions import DecodeError
from lycheedeal.model import Endpoint, FlowId
from standins._core import (
    Clock,
    Dispatcher,
    DispatchLater,
    LogRecord,
    MessageReceived,
    PacketReceived,
    Send,
    SendPacket,
)

# The default buffer of 208 KB overflows on bursts of a few hundred IP fragments.
_SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``ip:port``; raises ValueError if the port is not a number."""
    ip, _, port = text.rpartition(':')
    return Endpoint(ip, int(port))


def system_clock(seed: int | str | None = None) -> Clock:
    """Return the system clocks and a generator; None seeds it at random."""
    return Clock(time.monotonic, time.time, random.Random(seed))


def bind_udp(endpoint: Endpoint) -> socket.socket:
    """Return a bound, non-blocking UDP socket with enlarged buffers."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES)
    udp.bind(endpoint)
    return udp


def write_json_atomically(path: str, content: dict[str, Any] | list[str]) -> None:
    """Write a JSON file by renaming, so that readers never see a partial one."""
    temporary = Path(f'{path}.partial')
    temporary.write_text(json.dumps(content))
    os.replace(temporary, path)


class JsonLineLog:
    """Log file of JSON lines, unbuffered so that a killed process loses none."""

    def __init__(self, path: str, common_fields: dict[str, Any]) -> None:
        """Open the file for appending; common fields go into every line."""
        self._file = Path(path).open('ab', buffering=0)
        self._common_fields = common_fields
        self._encoder = msgspec.json.Encoder()

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Append one line with the event name and the Unix time."""
        line = {'event': event, 'at': time.time(), **self._common_fields, **fields}
        self._file.write(self._encoder.encode(line) + b'\n')

    def close(self) -> None:
        """Close the log file."""
        self._file.close()


class UdpRuntime(asyncio.DatagramProtocol):
    """Runs the plug-ins of a program on one UDP socket."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        log: JsonLineLog,
        accepts: Callable[[Endpoint], bool] = lambda _: True,
    ) -> None:
        """Prepare without a socket.

        Datagrams from sources that ``accepts`` rejects are dropped.
        """
        self._dispatcher = dispatcher
        self._log = log
        self._accepts = accepts
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Bind the socket and return its address; port 0 picks a free one."""
        loop = asyncio.get_running_loop()
        udp = bind_udp(endpoint)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            sock=udp,
        )
        return Endpoint(*udp.getsockname())

    def close(self) -> None:
        """Close the socket; effects that send are ignored from now on."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, datagram: bytes, source: tuple[Any, ...]) -> None:
        """Dispatch a datagram as a packet or message; log it if undecodable."""
        sender = Endpoint(source[0], source[1])
        if not self._accepts(sender):
            return
        if datagram[:1] == bytes((wire.PACKET_TYPE,)):
            header_size = wire.CALLER_PACKET_HEADER_SIZE
            flow_id = FlowId(datagram[1:header_size])
            self.dispatch(PacketReceived(sender, flow_id, datagram[header_size:]))
            return
        try:
            message = wire.decode(datagram)
        except DecodeError as error:
            self._log.write('undecodable', {'detail': str(error)})
            return
        self.dispatch(MessageReceived(sender, message))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: the peer may have closed its port."""

    def dispatch(self, event: Any) -> None:
        """Pass an event to the plug-ins and carry out their effects."""
        for effect in self._dispatcher.dispatch(event):
            match effect:
                case Send(target, message):
                    self._send(wire.encode(message), target)
                case SendPacket(target, flow_id, payload, None):
                    self._send(wire.caller_packet(flow_id, payload), target)
                case SendPacket(target, flow_id, payload, caller) if caller:
                    packed_caller = wire.pack_endpoint(caller)
                    self._send(
                        wire.upstream_packet(flow_id, packed_caller, payload), target
                    )
                case DispatchLater(seconds, later):
                    loop = asyncio.get_running_loop()
                    loop.call_later(seconds, self.dispatch, later)
                case LogRecord(name, fields):
                    self._log.write(name, fields)

    def _send(self, datagram: bytes, target: Endpoint) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, target)


def stop_event() -> asyncio.Event:
    """Install handlers and return the event that SIGTERM or SIGINT sets."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped
