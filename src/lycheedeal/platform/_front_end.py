"""Front end of ``lychee-relay``: packets, store, readiness and metrics."""

import asyncio
import importlib
import socket
import time
from typing import Final

from lycheedeal import relay
from lycheedeal.datagrams import bind_datagrams, read_batch
from lycheedeal.exceptions import DecodeError, SettingsError
from lycheedeal.hosting import (
    Dispatch,
    HttpResponse,
    HttpServer,
    HttpStatus,
)
from lycheedeal.ids import UpstreamId
from lycheedeal.platform._objects import numeric_upstream_id
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

# Interval between checks of the settings file's modification time: the platform
# may replace the file without sending SIGHUP.
_SETTINGS_CHECK_SECONDS: Final = 2.0
# One packet in this many is timed for the forwarding_seconds histogram.
_PACKETS_PER_TIMING: Final = 16


class PlatformFrontEnd:
    """Translates between platform packets and objects and the relay kernel.

    Decoded packets and store answers become events; effects of the kernel
    become datagrams, resets and store calls.
    """

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        metrics: relay.Metrics,
        packet_socket: socket.socket | None = None,
    ) -> None:
        """Create the front end without opening any socket.

        ``path`` is the settings file, which ``reload`` reads again.
        ``packet_socket`` is an already bound socket for packets of callers;
        with None, ``start`` binds one.
        """
        self._settings_path = path
        self._modified_at = modification_time(path)
        self._next_settings_check = 0.0
        self._settings = settings
        self._metrics = metrics
        self._dispatch: Dispatch | None = None
        self._kernel: relay.RelayKernel | None = None
        self._packet_socket = packet_socket
        self._is_reading_packets = False
        self._packets_dispatched = 0
        self._store = StoreClient(settings.store, self._report, metrics)
        self._ready = False
        self._servers = (
            HttpServer(settings.readiness, self._handle_request),
            HttpServer(settings.metrics, self._handle_operator_request),
        )
        self._numeric_ids: dict[UpstreamId, int] = {}

    async def start(self, dispatch: Dispatch, kernel: relay.RelayKernel) -> None:
        """Open all sockets and pass events to ``dispatch`` from now on.

        Raises OSError if an address is in use.
        """
        self._dispatch = dispatch
        self._kernel = kernel
        if self._packet_socket is None:
            self._packet_socket = bind_datagrams(self._settings.packets)
        for server in self._servers:
            await server.start()

    def close(self) -> None:
        """Cancel store calls and close all sockets."""
        self._store.close()
        for server in self._servers:
            server.close()
        if self._packet_socket is not None:
            asyncio.get_running_loop().remove_reader(self._packet_socket)
            self._packet_socket.close()

    def forward(
        self, packet: relay.Packet, upstream: relay.Upstream, token: relay.Token
    ) -> None:
        """Send a packet to its upstream, with the token of the flow in the header."""
        upstream_id = upstream.listing.upstream_id
        numeric_id = self._numeric_ids.get(upstream_id)
        if numeric_id is None:
            numeric_id = numeric_upstream_id(upstream_id)
            self._numeric_ids[upstream_id] = numeric_id
        datagram = encode_forwarded(packet.raw, token, numeric_id)
        self._send(datagram, upstream.listing.endpoint)

    def reset(self, packet: relay.Packet) -> None:
        """Send a reset to the caller with the route's address as its source."""
        address = caller_ip(packet), self._settings.caller_port
        self._send(encode_reset(packet), address)

    def list_objects(self, kind: relay.StoreKind, may_lag: bool) -> None:
        """Start a list of all objects of a kind; the answer is an event.

        A list that ``may_lag`` may be seconds old.
        """
        self._store.list_objects(kind, may_lag)

    def watch_objects(
        self,
        kind: relay.StoreKind,
        position: relay.Position,
        wait_seconds: float,
    ) -> None:
        """Start a watch for changes after a position; the answer is an event.

        The store answers after ``wait_seconds`` at the latest.
        """
        self._store.watch_objects(kind, position, wait_seconds)

    def cancel_call(self, kind: relay.StoreKind) -> None:
        """Cancel the store call in progress for a kind; no event follows."""
        self._store.cancel(kind)

    def set_ready(self, ready: bool) -> None:
        """Set the answer to readiness probes.

        The first call also starts the reading of packets. Until then they wait
        in the socket, because without routes they could only be refused.
        """
        self._ready = ready
        if self._packet_socket is not None and not self._is_reading_packets:
            self._is_reading_packets = True
            asyncio.get_running_loop().add_reader(
                self._packet_socket, self._read_packets
            )

    def reload(self) -> None:
        """Read the settings file and apply the settings that may change at run time.

        An invalid file is reported to the kernel, which logs it; the settings
        in force stay.
        """
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            self._report(relay.SettingsRead(None, error.detail))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._store.endpoint = settings.store
        self._report(relay.SettingsRead(settings.relay, ''))

    def tick(self, now: float) -> None:
        """Reload the settings if the modification time of their file changed."""
        if now >= self._next_settings_check:
            self._next_settings_check = now + _SETTINGS_CHECK_SECONDS
            modified_at = modification_time(self._settings_path)
            if modified_at != self._modified_at:
                self._modified_at = modified_at
                self.reload()

    def _report(self, event: relay.Event) -> None:
        if self._dispatch is not None:
            self._dispatch(event)

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        if self._packet_socket is None:
            return
        try:
            self._packet_socket.sendto(datagram, address)
        except OSError as error:
            # Full send buffer or unreachable address: treated as packet loss.
            self._metrics.add('send_errors', type(error).__name__)

    def _read_packets(self) -> None:
        if self._packet_socket is None or self._dispatch is None:
            return
        for raw in read_batch(self._packet_socket, MAX_PACKET_BYTES + 1):
            try:
                packet = decode_packet(raw)
            except DecodeError as error:
                self._metrics.add('packets', error.kind.name.lower())
                continue
            self._packets_dispatched += 1
            if self._packets_dispatched % _PACKETS_PER_TIMING:
                self._dispatch(relay.PacketArrived(packet))
            else:
                self._dispatch_timed(packet)

    def _dispatch_timed(self, packet: relay.Packet) -> None:
        started = time.perf_counter()
        if self._dispatch is not None:
            self._dispatch(relay.PacketArrived(packet))
        seconds = time.perf_counter() - started
        self._metrics.observe('forwarding_seconds', packet.kind.value, seconds)

    def _handle_operator_request(self, path: str, query: str) -> HttpResponse:
        if path == '/placement' and self._kernel is not None:
            return _explain_placement(self._kernel, query)
        return self._handle_request(path, query)

    def _handle_request(self, path: str, _query: str) -> HttpResponse:
        match path:
            case '/readyz':
                ready = self._ready
                return HttpResponse(
                    HttpStatus.OK if ready else HttpStatus.SERVICE_UNAVAILABLE
                )
            case '/metrics':
                return HttpResponse(HttpStatus.OK, _render_metrics(self._metrics))
        return HttpResponse(HttpStatus.NOT_FOUND)


def _render_metrics(metrics: relay.Metrics) -> bytes:
    # Imported at the first scrape: the import of prometheus_client takes 50 ms
    # of processor time, which would delay the start.
    exposition = importlib.import_module('lycheedeal.hosting.metrics')
    text: bytes = exposition.render(metrics)
    return text


def _explain_placement(kernel: relay.RelayKernel, query: str) -> HttpResponse:
    # Imported at the first question, as the modules behind it serve nothing else.
    placement = importlib.import_module('lycheedeal.hosting.placement')
    response: HttpResponse = placement.respond(kernel, query)
    return response
