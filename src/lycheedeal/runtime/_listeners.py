"""Sockets that a daemon listens on."""

import json
import os
import socket
from contextlib import ExitStack
from dataclasses import replace

from lycheedeal.datagrams import bind_datagrams
from lycheedeal.model import Endpoint, HostSettings
from lycheedeal.runtime._gossip import GossipLink
from lycheedeal.runtime._sockets import RECEIVE_BUFFER_BYTES


class Listeners:
    """The bound sockets of a daemon.

    They are bound before the kernel is built: for an address with port 0 the
    system chooses the port, and the kernel tells its own addresses to other hosts.
    """

    data: socket.socket
    peer: socket.socket
    admin: socket.socket

    def __init__(self, settings: HostSettings) -> None:
        """Keep the settings; ``start`` opens the sockets."""
        self.settings = settings
        self.gossip = GossipLink(settings.gossip)

    def start(self) -> None:
        """Bind all addresses in the settings, which hold the actual ports afterwards.

        Raises OSError if an address cannot be bound; no socket is left open then.
        """
        settings = self.settings
        with ExitStack() as stack:
            self.data = stack.enter_context(_bind_udp(settings.data))
            self.peer = stack.enter_context(_bind_udp(settings.peer))
            self.admin = stack.enter_context(socket.create_server(settings.admin))
            self.gossip.listen()
            stack.pop_all()
        self.settings = replace(
            settings,
            data=_local_endpoint(self.data),
            peer=_local_endpoint(self.peer),
            admin=_local_endpoint(self.admin),
            gossip=self.gossip.endpoint,
        )

    def close(self) -> None:
        """Close all sockets that the daemon has not taken over and closed."""
        self.gossip.close()
        for listener in (self.data, self.peer, self.admin):
            listener.close()

    def write_address_file(self) -> None:
        """Write the addresses to the file that the settings name, if they do.

        The file holds a JSON object with the text ``IP:PORT`` for each listener.
        Raises OSError if it cannot be written.
        """
        path = self.settings.address_file
        if not path:
            return
        addresses = {
            'data': str(self.settings.data),
            'peer': str(self.settings.peer),
            'gossip': str(self.settings.gossip),
            'admin': str(self.settings.admin),
        }
        partial_path = f'{path}.partial'
        with open(partial_path, 'w', encoding='utf-8') as address_file:
            json.dump(addresses, address_file)
        os.replace(partial_path, path)


def _bind_udp(endpoint: Endpoint) -> socket.socket:
    return bind_datagrams(endpoint, RECEIVE_BUFFER_BYTES)


def _local_endpoint(listener: socket.socket) -> Endpoint:
    return Endpoint(*listener.getsockname())
