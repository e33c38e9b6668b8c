"""Fabric stand-in: header of forwarded datagrams, host file and faults."""

import random
from pathlib import Path
from typing import Any

import pytest

from lycheedeal import wire
from lycheedeal.model import Endpoint
from standins import fabric

SERVICE = Endpoint('127.0.0.1', 10)
CALLER = Endpoint('127.0.0.1', 20)


class FakeTransport:
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Endpoint]] = []

    def sendto(self, datagram: bytes, target: Endpoint) -> None:
        self.sent.append((datagram, target))


def _make_socket(
    host_file: Path, faults: fabric.Faults
) -> tuple[Any, fabric.HostFile, FakeTransport]:
    hosts = fabric.HostFile(str(host_file))
    transport = FakeTransport()
    socket = fabric.ServiceSocket(SERVICE, hosts, transport, faults, random.Random(1))
    return socket, hosts, transport


def test_datagram_carries_caller_and_service(tmp_path: Path) -> None:
    """Guards against a header that names a wrong caller or service."""
    host_file = tmp_path / 'hosts.json'
    host_file.write_text('["127.0.0.1:31"]')
    socket, hosts, transport = _make_socket(host_file, fabric.Faults(0, 0))
    hosts.refresh()
    socket.datagram_received(b'hello', CALLER)
    ((datagram, target),) = transport.sent
    assert target == Endpoint('127.0.0.1', 31)
    assert wire.unpack_fabric_header(datagram) == (CALLER, SERVICE)
    assert datagram[wire.FABRIC_HEADER_SIZE :] == b'hello'


def test_changed_host_file_is_used(tmp_path: Path) -> None:
    """Guards against datagrams to a host that was removed from the file."""
    host_file = tmp_path / 'hosts.json'
    host_file.write_text('["127.0.0.1:31", "127.0.0.1:32"]')
    socket, hosts, transport = _make_socket(host_file, fabric.Faults(0, 0))
    hosts.refresh()
    host_file.write_text('["127.0.0.1:32"]')
    hosts.refresh()
    for _ in range(20):
        socket.datagram_received(b'x', CALLER)
    assert {target.port for _, target in transport.sent} == {32}


@pytest.mark.parametrize('text', ['', '["127.0.0.1', None])
def test_unreadable_host_file_changes_nothing(tmp_path: Path, text: str | None) -> None:
    """Guards against losing all hosts while the file is being written."""
    host_file = tmp_path / 'hosts.json'
    host_file.write_text('["127.0.0.1:31"]')
    hosts = fabric.HostFile(str(host_file))
    hosts.refresh()
    if text is None:
        host_file.unlink()
    else:
        host_file.write_text(text)
    hosts.refresh()
    assert hosts.hosts == (Endpoint('127.0.0.1', 31),)


def test_loss_and_duplicates_happen(tmp_path: Path) -> None:
    """Guards against fault settings without an effect."""
    host_file = tmp_path / 'hosts.json'
    host_file.write_text('["127.0.0.1:31"]')
    lossy, hosts, lost = _make_socket(host_file, fabric.Faults(loss=1, duplicate=0))
    hosts.refresh()
    lossy.datagram_received(b'x', CALLER)
    doubling, hosts, doubled = _make_socket(
        host_file, fabric.Faults(loss=0, duplicate=1)
    )
    hosts.refresh()
    doubling.datagram_received(b'x', CALLER)
    assert (len(lost.sent), len(doubled.sent)) == (0, 2)
