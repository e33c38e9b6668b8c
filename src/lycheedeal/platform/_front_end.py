"""Front end for the users' platform: packets, store and readiness."""

import asyncio
import importlib
import socket
import time
from typing import Final

from lycheedeal import relay
from lycheedeal.datagrams import bind_datagrams, read_batch
from lycheedeal.exceptions import DecodeError, SettingsError
from lycheedeal.hosting import (
    Answer,
    Dispatch,
    HttpServer,
    HttpStatus,
)
from lycheedeal.ids import UpstreamId
from lycheedeal.platform._objects import intended_number
from lycheedeal.platform._packets import (
    MAX_PACKET_BYTES,
    caller_ip,
    decode_packet,
    encode_forwarded,
    encode_reset,
)
from lycheedeal.platform._settings import (
    PlatformSettings,
    load_settings,
    modification_time,
)
from lycheedeal.platform._store import StoreClient

# The platform may change the settings file without a signal.
_LOOK_SECONDS: Final = 2.0
# One packet of this many is timed.
_TIMED_PACKETS: Final = 16


class PlatformFrontEnd:
    """Translates between the platform and the core."""

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        metrics: relay.Metrics,
        packets: socket.socket | None = None,
    ) -> None:
        """Open nothing before ``start``; ``path`` is read again later.

        ``packets`` is the socket for packets if it is bound already.
        """
        self._path = path
        self._modified_at = modification_time(path)
        self._next_look = 0.0
        self._settings = settings
        self._metrics = metrics
        self._dispatch: Dispatch | None = None
        self._packets = packets
        self._reading = False
        self._forwarded = 0
        self._store = StoreClient(settings.store, self._report, metrics)
        self._ready = False
        self._servers = (
            HttpServer(settings.readiness, self._answer),
            HttpServer(settings.metrics, self._answer),
        )
        self._intended_by_id: dict[UpstreamId, int] = {}

    async def start(self, dispatch: Dispatch) -> None:
        """Open all sockets; raises OSError if an address is taken."""
        self._dispatch = dispatch
        if self._packets is None:
            self._packets = bind_datagrams(self._settings.packets)
        for server in self._servers:
            await server.start()

    def close(self) -> None:
        """Close all sockets."""
        self._store.close()
        for server in self._servers:
            server.close()
        if self._packets is not None:
            asyncio.get_running_loop().remove_reader(self._packets)
            self._packets.close()

    def forward(self, packet: relay.Packet, upstream: relay.Upstream) -> None:
        """Send a packet to its upstream, marked with the upstream's token."""
        upstream_id = upstream.listing.upstream_id
        intended = self._intended_by_id.get(upstream_id)
        if intended is None:
            intended = intended_number(upstream_id)
            self._intended_by_id[upstream_id] = intended
        datagram = encode_forwarded(packet.raw, upstream.token, intended)
        self._send(datagram, upstream.listing.endpoint)

    def reset(self, packet: relay.Packet) -> None:
        """Send a reset from the route's address to the caller."""
        address = caller_ip(packet), self._settings.caller_port
        self._send(encode_reset(packet), address)

    def list_objects(self, kind: relay.StoreKind) -> None:
        """Ask the store for all objects of a kind."""
        self._store.list_objects(kind)

    def watch_objects(
        self,
        kind: relay.StoreKind,
        revision: relay.Revision,
        wait_seconds: float,
    ) -> None:
        """Wait for changes of a kind."""
        self._store.watch_objects(kind, revision, wait_seconds)

    def stop_reading(self, kind: relay.StoreKind) -> None:
        """Give up the call in progress for a kind."""
        self._store.stop(kind)

    def set_ready(self, ready: bool) -> None:
        """Answer readiness probes from now on.

        Packets that came before the host was ready for the first time are
        read then; without routes they could only be turned away.
        """
        self._ready = ready
        if self._packets is not None and not self._reading:
            self._reading = True
            asyncio.get_running_loop().add_reader(self._packets, self._read_packets)

    def reload(self) -> None:
        """Read the settings again and apply those that can change at run time.

        A file that cannot be used is logged and changes nothing.
        """
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self._report(relay.SettingsRead(None, error.detail))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._store.endpoint = settings.store
        self._report(relay.SettingsRead(settings.relay, ''))

    def tick(self, now: float) -> None:
        """Notice settings that changed without a signal."""
        if now >= self._next_look:
            self._next_look = now + _LOOK_SECONDS
            modified_at = modification_time(self._path)
            if modified_at != self._modified_at:
                self._modified_at = modified_at
                self.reload()

    def _report(self, event: relay.Event) -> None:
        if self._dispatch is not None:
            self._dispatch(event)

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        if self._packets is None:
            return
        try:
            self._packets.sendto(datagram, address)
        except OSError as error:
            # The link is full or the address unreachable: a lost datagram.
            self._metrics.add('send_errors', type(error).__name__)

    def _read_packets(self) -> None:
        if self._packets is None or self._dispatch is None:
            return
        for raw in read_batch(self._packets, MAX_PACKET_BYTES + 1):
            try:
                packet = decode_packet(raw)
            except DecodeError as error:
                self._metrics.add('packets', error.kind.name.lower())
                continue
            self._forwarded += 1
            if self._forwarded % _TIMED_PACKETS:
                self._dispatch(relay.PacketArrived(packet))
            else:
                self._dispatch_timed(packet)

    def _dispatch_timed(self, packet: relay.Packet) -> None:
        started = time.perf_counter()
        if self._dispatch is not None:
            self._dispatch(relay.PacketArrived(packet))
        seconds = time.perf_counter() - started
        self._metrics.observe('forwarding_seconds', packet.kind.value, seconds)

    def _answer(self, path: str) -> Answer:
        match path:
            case '/readyz':
                ready = self._ready
                return Answer(
                    HttpStatus.OK if ready else HttpStatus.SERVICE_UNAVAILABLE
                )
            case '/metrics':
                return Answer(HttpStatus.OK, _metrics_text(self._metrics))
        return Answer(HttpStatus.NOT_FOUND)


def _metrics_text(metrics: relay.Metrics) -> bytes:
    # Loaded at the first scrape: the metrics library takes 50 ms of a core.
    exposition = importlib.import_module('lycheedeal.hosting.metrics')
    text: bytes = exposition.render(metrics)
    return text
