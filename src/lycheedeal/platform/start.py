"""Start of the program: binds the address for packets before all else.

The platform sends packets to a host that is still starting when none of the
zone is ready. They wait in the socket while the modules load, which takes most
of a second on a small host.
"""

import importlib
import json
import os
import socket
from typing import Final

from lycheedeal.datagrams import bind_datagrams
from lycheedeal.ids import Endpoint

_SETTINGS_VARIABLE: Final = 'LYCHEEDEAL_CONFIG'


def main() -> int:
    """Run until the platform stops the process; return the exit status."""
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    packet_socket = bind_packet_socket(path)
    program = importlib.import_module('lycheedeal.platform.program')
    status: int = program.run(path, packet_socket)
    return status


def bind_packet_socket(path: str) -> socket.socket | None:
    """Return the socket for packets, or None if the settings are faulty.

    The program reads the settings in full later and reports what is wrong.
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
