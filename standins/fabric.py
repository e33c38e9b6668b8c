"""Fabric stand-in: sends each datagram of a caller to a random live host.

Run as ``python -m standins.fabric``. The addresses of caller and service are
put in front of each datagram.
"""

import argparse
import asyncio
import json
import random
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final

import uvloop

from lycheedeal import wire
from lycheedeal.model import Endpoint
from standins._runtime import (
    bind_udp,
    parse_endpoint,
    stop_event,
    write_json_atomically,
)

_POLL_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class Faults:
    """Probabilities, 0 to 1, that a datagram is lost or duplicated."""

    loss: float
    duplicate: float


class HostFile:
    """Data endpoints of live hosts, read from a file that may change."""

    def __init__(self, path: str) -> None:
        """Set the path of the file: a JSON list of ``ip:port`` strings."""
        self._path = Path(path)
        self._text = ''
        self.hosts: tuple[Endpoint, ...] = ()

    def refresh(self) -> None:
        """Read the file; keep the current hosts if it is missing or malformed."""
        try:
            text = self._path.read_text()
            if text != self._text:
                self.hosts = tuple(parse_endpoint(one) for one in json.loads(text))
                self._text = text
        except (OSError, ValueError):
            return


class ServiceSocket(asyncio.DatagramProtocol):
    """Receives the datagrams that callers send to one service address."""

    def __init__(
        self,
        service: Endpoint,
        hosts_file: HostFile,
        host_transport: asyncio.DatagramTransport,
        faults: Faults,
        rng: random.Random,
    ) -> None:
        """Encode the service address that precedes each forwarded datagram."""
        self._packed_service = wire.pack_endpoint(service)
        self._hosts_file = hosts_file
        self._host_transport = host_transport
        self._faults = faults
        self._rng = rng

    def datagram_received(self, datagram: bytes, source: tuple[Any, ...]) -> None:
        """Forward a datagram, unless it is to be lost, to a random live host."""
        if not self._hosts_file.hosts or self._rng.random() < self._faults.loss:
            return
        caller = wire.pack_endpoint(Endpoint(source[0], source[1]))
        framed = caller + self._packed_service + datagram
        copies = 1 + (self._rng.random() < self._faults.duplicate)
        for _ in range(copies):
            self._host_transport.sendto(
                framed, self._rng.choice(self._hosts_file.hosts)
            )

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a caller may have closed its port."""


class HostSocket(asyncio.DatagramProtocol):
    """Socket that sends to hosts; hosts answer callers directly."""

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a host may have stopped."""


def _return_protocol(protocol: ServiceSocket) -> ServiceSocket:
    return protocol


async def serve(arguments: argparse.Namespace) -> None:
    """Forward datagrams until SIGTERM or SIGINT."""
    stopped = stop_event()
    loop = asyncio.get_running_loop()
    hosts_file = HostFile(arguments.host_file)
    hosts_file.refresh()
    rng = random.Random(arguments.seed)
    faults = Faults(arguments.loss, arguments.duplicate)
    host_transport, _ = await loop.create_datagram_endpoint(
        HostSocket,
        sock=bind_udp(Endpoint('127.0.0.1', 0)),
    )
    transports: list[asyncio.DatagramTransport] = []
    for service in arguments.service:
        udp = bind_udp(service)
        protocol = ServiceSocket(
            Endpoint(*udp.getsockname()), hosts_file, host_transport, faults, rng
        )
        transport, _ = await loop.create_datagram_endpoint(
            partial(_return_protocol, protocol), sock=udp
        )
        transports.append(transport)
    if arguments.port_file:
        write_json_atomically(
            arguments.port_file,
            {'ports': [one.get_extra_info('sockname')[1] for one in transports]},
        )
    while not stopped.is_set():
        hosts_file.refresh()
        try:
            await asyncio.wait_for(stopped.wait(), _POLL_SECONDS)
        except TimeoutError:
            continue
    for transport in (*transports, host_transport):
        transport.close()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--service',
        action='append',
        type=parse_endpoint,
        required=True,
        help='service address as IP:PORT; may be given several times',
    )
    parser.add_argument('--host-file', required=True, help='JSON list of IP:PORT')
    parser.add_argument('--port-file')
    parser.add_argument('--loss', type=float, default=0)
    parser.add_argument('--duplicate', type=float, default=0)
    parser.add_argument('--seed', type=int)
    return parser.parse_args()


if __name__ == '__main__':
    uvloop.run(serve(parse_arguments()))
