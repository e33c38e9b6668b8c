"""Start of ``lychee-relay``: binds the packet socket before loading the program.

If no host of a zone is ready, the platform sends packets to hosts that are
still starting. With the socket bound early, these packets wait in its buffer
while the modules load, which takes most of a second on a small host.
"""

import importlib
import json
import os
import socket
from typing import Final

from lycheedeal.datagrams import bind_datagrams
from lycheedeal.ids import Endpoint
from lycheedeal.signals import hold_hangup

_SETTINGS_VARIABLE: Final = 'LYCHEEDEAL_CONFIG'


def main() -> int:
    """Run the program until it is stopped; return the exit status.

    A SIGHUP is held until the program can read its settings again.
    """
    hold_hangup()
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    packet_socket = bind_packet_socket(path)
    program = importlib.import_module('lycheedeal.platform.program')
    status: int = program.run(path, packet_socket)
    return status


def bind_packet_socket(path: str) -> socket.socket | None:
    """Return a bound socket for packets, or None if it cannot be bound.

    Invalid settings and addresses in use are not reported here: the program
    reads all settings later, binds again and reports the error.
    """
    try:
        with open(path, encoding='utf-8') as settings_file:
            settings = json.load(settings_file)
        match settings:
            case {'packets': str() as address}:
                ip, _, port = address.rpartition(':')
                return bind_datagrams(Endpoint(ip, int(port)))
            case _:
                return None
    except (OSError, ValueError, OverflowError):
        return None
