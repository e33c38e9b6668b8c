"""Sockets, timers, log files and signals of the stand-ins."""

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
    After,
    Clock,
    Dispatcher,
    MessageReceived,
    PacketReceived,
    Record,
    Send,
    SendPacket,
)

# Bursts of a few hundred fragments overrun the default buffer of 208 KB.
_SOCKET_BUFFER: Final = 4 * 1024 * 1024


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint written as ``ip:port``."""
    ip, _, port = text.rpartition(':')
    return Endpoint(ip, int(port))


def system_clock(seed: int | str | None = None) -> Clock:
    """Return the clock and randomness of the machine."""
    return Clock(time.monotonic, time.time, random.Random(seed))


def bind_udp(endpoint: Endpoint) -> socket.socket:
    """Return a bound non-blocking UDP socket with large buffers."""
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setblocking(False)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER)
    udp.bind(endpoint)
    return udp


def write_whole(path: str, content: dict[str, Any] | list[str]) -> None:
    """Write a JSON file so that a reader never sees half of it."""
    partial = Path(f'{path}.partial')
    partial.write_text(json.dumps(content))
    os.replace(partial, path)


class RecordLog:
    """Log file of JSON lines; each line is flushed when it is written."""

    def __init__(self, path: str, common: dict[str, Any]) -> None:
        """Open the file; ``common`` fields go into every line."""
        self._file = Path(path).open('ab', buffering=0)
        self._common = common
        self._encoder = msgspec.json.Encoder()

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Append one line with the time of the machine."""
        line = {'event': event, 'at': time.time(), **self._common, **fields}
        self._file.write(self._encoder.encode(line) + b'\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Node(asyncio.DatagramProtocol):
    """One UDP socket that feeds a dispatcher and carries out its effects."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        records: RecordLog,
        accepts: Callable[[Endpoint], bool] = lambda _: True,
    ) -> None:
        """Take the parts, the log file and a filter for sources."""
        self._dispatcher = dispatcher
        self._records = records
        self._accepts = accepts
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Bind the socket and return its address."""
        loop = asyncio.get_running_loop()
        udp = bind_udp(endpoint)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            sock=udp,
        )
        return Endpoint(*udp.getsockname())

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def datagram_received(self, datagram: bytes, source: tuple[Any, ...]) -> None:
        """Decode a datagram and dispatch it."""
        sender = Endpoint(source[0], source[1])
        if not self._accepts(sender):
            return
        if datagram[:1] == bytes((wire.PACKET_TYPE,)):
            head = wire.CALLER_PACKET_HEADER_SIZE
            flow_id = FlowId(datagram[1:head])
            self.dispatch(PacketReceived(sender, flow_id, datagram[head:]))
            return
        try:
            message = wire.decode(datagram)
        except DecodeError as error:
            self._records.write('undecodable', {'detail': str(error)})
            return
        self.dispatch(MessageReceived(sender, message))

    def error_received(self, exc: Exception) -> None:
        """Note the refusal of a datagram by a port that is closed."""

    def dispatch(self, event: Any) -> None:
        """Hand an event to the parts and carry out the effects."""
        for effect in self._dispatcher.dispatch(event):
            match effect:
                case Send(target, message):
                    self._send(wire.encode(message), target)
                case SendPacket(target, flow_id, payload, None):
                    self._send(wire.caller_packet(flow_id, payload), target)
                case SendPacket(target, flow_id, payload, caller) if caller:
                    packed = wire.pack_endpoint(caller)
                    self._send(wire.upstream_packet(flow_id, packed, payload), target)
                case After(seconds, later):
                    loop = asyncio.get_running_loop()
                    loop.call_later(seconds, self.dispatch, later)
                case Record(name, fields):
                    self._records.write(name, fields)

    def _send(self, datagram: bytes, target: Endpoint) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, target)


def stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
