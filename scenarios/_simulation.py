"""The simulated environment of one scenario."""

import itertools
import json
import random
from collections.abc import Iterator
from functools import partial
from typing import Any

from lycheedeal.kernel import (
    DEFAULT_PLUGINS,
    CallerMessage,
    Event,
    StatementReceived,
    UpstreamMessage,
)
from lycheedeal.model import Endpoint, FlowId, KindId, QueryId, Service
from scenarios._callers import CallRecord, FlowCaller, RequestCall, RequestFlow
from scenarios._host import VirtualHost
from scenarios._network import CALLERS, Network
from scenarios._platform import VirtualPlatform
from scenarios._time import VirtualTime
from scenarios._upstream import RunRecord, VirtualUpstream


class Simulation:
    """Connects hosts with the real kernel and simulated systems on virtual time.

    Everything runs in one loop of callbacks, so a run is determined by its seed.
    """

    def __init__(
        self,
        seed: int = 1,
        plugins: tuple[str, ...] = DEFAULT_PLUGINS,
    ) -> None:
        """Create an empty simulation; hosts will run the named plug-ins."""
        self.seed = seed
        self.plugins = plugins
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.network = Network(self.time, random.Random(seed + 1))
        self.platform = VirtualPlatform(self.network)
        self.hosts_by_name: dict[str, VirtualHost] = {}
        self.upstreams_by_name: dict[str, VirtualUpstream] = {}
        self.runs: list[RunRecord] = []
        self.calls: list[CallRecord] = []
        self.flows: list[FlowCaller] = []
        self.foreign_packets = 0
        self.request_flows: dict[tuple[str, str], RequestFlow] = {}
        self.callers_by_flow: dict[FlowId, Endpoint] = {}
        self._hosts_by_peer: dict[Endpoint, VirtualHost] = {}
        self._hosts_by_gossip: dict[Endpoint, VirtualHost] = {}
        self._upstreams_by_endpoint: dict[Endpoint, VirtualUpstream] = {}
        self._callers: dict[Endpoint, RequestCall | FlowCaller] = {}
        self._caller_numbers = itertools.count(1)
        self._tokens = itertools.count(1)
        self._queries = itertools.count(1)
        self._services: dict[str, Service] = {}
        self.time.call_later(1, self._push_entries)
        self.time.call_later(0, self._publish_host_list)

    # Hosts and upstreams

    def add_host(self, name: str, zone: str) -> VirtualHost:
        """Create and start a host."""
        host = VirtualHost(self, name, zone, len(self.hosts_by_name))
        self.hosts_by_name[name] = host
        self._hosts_by_peer[host.settings.peer] = host
        self._hosts_by_gossip[host.settings.gossip] = host
        self.start_host(name)
        return host

    def start_host(self, name: str) -> None:
        """Start a new process of a host, seeded with up to two of its zone."""
        host = self.hosts_by_name[name]
        others = [
            one.settings.peer
            for one in self.hosts_by_name.values()
            if one.zone == host.zone and one is not host
        ]
        host.start(tuple(others[:2]))

    def add_upstream(
        self,
        name: str,
        service: str,
        zone: str,
        endpoint: Endpoint,
    ) -> VirtualUpstream:
        """Create a ready upstream; operators have to add it to the service."""
        upstream = VirtualUpstream(self, name, service, zone, endpoint)
        self.upstreams_by_name[name] = upstream
        self._upstreams_by_endpoint[endpoint] = upstream
        return upstream

    def live_hosts(self) -> list[VirtualHost]:
        """Return the hosts whose process is not stopped, paused ones included."""
        return [one for one in self.hosts_by_name.values() if one.alive]

    # Operators

    def send_statement(self, text: str, host: VirtualHost | None = None) -> int:
        """Send a statement to a host, or a random live one; return the query id."""
        chosen = host or self.rng.choice(self.live_hosts())
        number = next(self._queries)
        event = StatementReceived(QueryId(number), text, f'change-{number}')
        chosen.deliver(event)
        return number

    def reply(self, number: int) -> Any:
        """Return the reply to a query; None if there is none yet."""
        found = (one.replies.get(number) for one in self.hosts_by_name.values())
        return next((one for one in found if one is not None), None)

    def execute(self, text: str, seconds: float = 15) -> Any:
        """Send a statement, run until its reply, and return the reply.

        None if there is no reply within ``seconds`` of virtual time.
        """
        number = self.send_statement(text)
        end = self.time.now + seconds
        while self.reply(number) is None and self.time.now < end:
            self.time.run_until(self.time.now + 0.05)
        return self.reply(number)

    # Configuration as callers know it

    def load_services(self) -> None:
        """Read addresses and kind ids from the views of the live hosts."""
        for host in self.live_hosts():
            if host.trace.view is not None:
                for service in host.trace.view.services_by_number.values():
                    self._services[str(service.name)] = service

    def service_address(self, service: str) -> Endpoint:
        """Return the address of a service."""
        return self._services[service].address

    def kind_id(self, service: str, kind: str) -> KindId:
        """Return the id of a kind of work."""
        kinds = self._services[service].kinds
        return next(one.kind_id for one in kinds if one.name == kind)

    # Callers

    def new_caller(self, caller: RequestCall | FlowCaller) -> Endpoint:
        """Register a caller and return its new address."""
        number = next(self._caller_numbers)
        endpoint = Endpoint(
            f'172.16.{number >> 8 & 255}.{number & 255}', number >> 16 | 1024
        )
        self._callers[endpoint] = caller
        return endpoint

    def drop_caller(self, endpoint: Endpoint) -> None:
        """Unregister an address; messages to it are dropped from now on."""
        self._callers.pop(endpoint, None)

    def new_token(self) -> bytes:
        """Return a unique token for one submission."""
        return f'token-{next(self._tokens):08d}'.encode()

    def from_caller(self, caller: Endpoint, service: Endpoint, message: Any) -> None:
        """Send a caller's message to a random live host, as the fabric does."""
        for host in self._choose_host():
            event = CallerMessage(caller, service, message)
            self.network.send(CALLERS, host.zone, partial(host.deliver, event))

    def packet_from_caller(
        self, caller: Endpoint, flow_id: FlowId, payload: bytes
    ) -> None:
        """Send a packet of a flow to a random live host, as the fabric does."""
        for host in self._choose_host():
            self.network.send(
                CALLERS,
                host.zone,
                partial(host.packet_from_caller, caller, flow_id, payload),
            )

    def _choose_host(self) -> Iterator[VirtualHost]:
        live = self.live_hosts()
        if live:
            yield self.rng.choice(live)

    # Links: deliver to the receiver after the latency of the network

    def to_caller(self, host: VirtualHost, caller: Endpoint, message: Any) -> None:
        """Send a host's message to a caller."""
        self.network.send(
            host.zone, CALLERS, lambda: self._deliver_to_caller(caller, message)
        )

    def _deliver_to_caller(self, caller: Endpoint, message: Any) -> None:
        found = self._callers.get(caller)
        if found is not None:
            found.receive(message)

    def packet_to_caller(
        self,
        host: VirtualHost,
        caller: Endpoint,
        flow_id: FlowId,
        payload: bytes,
    ) -> None:
        """Send a packet of a flow from a host to a caller."""

        def deliver() -> None:
            found = self._callers.get(caller)
            if isinstance(found, FlowCaller):
                found.receive_packet(flow_id, payload)

        self.network.send(host.zone, CALLERS, deliver)

    def to_peer(self, host: VirtualHost, peer: Endpoint, event: Event) -> None:
        """Send a message, as an event, to the host at a peer address."""
        target = self._hosts_by_peer.get(peer)
        if target is not None:
            self.network.send(host.zone, target.zone, lambda: target.deliver(event))

    def gossip_peers(self, host: VirtualHost) -> list[VirtualHost]:
        """Return the live hosts with a gossip link to a host, opened by either."""
        dialled = {self._hosts_by_gossip.get(one) for one in host.neighbours}
        own = host.settings.gossip
        accepted = {one for one in self.live_hosts() if own in one.neighbours}
        linked = [one for one in dialled | accepted if one is not None and one.alive]
        return sorted(linked, key=lambda one: one.name)

    def gossip(self, host: VirtualHost, peer: VirtualHost, event: Event) -> None:
        """Send a gossip message, as an event, over a reliable link."""
        self.network.send(
            host.zone, peer.zone, lambda: peer.deliver(event), reliable=True
        )

    def to_upstream(
        self,
        host: VirtualHost,
        endpoint: Endpoint,
        path: int,
        message: Any,
    ) -> None:
        """Send a message to the upstream at an address."""
        upstream = self._upstreams_by_endpoint.get(endpoint)
        if upstream is not None:
            self.network.send(
                host.zone,
                upstream.zone,
                lambda: upstream.receive(host, path, message),
            )

    def packet_to_upstream(
        self,
        host: VirtualHost,
        endpoint: Endpoint,
        path: int,
        packet_fields: tuple[FlowId, Endpoint, bytes],
    ) -> None:
        """Send a packet of a flow to the upstream at an address."""
        upstream = self._upstreams_by_endpoint.get(endpoint)
        if upstream is not None:
            self.network.send(
                host.zone,
                upstream.zone,
                lambda: upstream.receive_packet(host, path, *packet_fields),
            )

    def from_upstream(
        self,
        upstream: VirtualUpstream,
        host: VirtualHost,
        path: int,
        message: Any,
    ) -> None:
        """Send an upstream's message to a host."""
        event = UpstreamMessage(upstream.endpoint, path, message)
        self.network.send(upstream.zone, host.zone, lambda: host.deliver(event))

    def packet_from_upstream(
        self,
        upstream: VirtualUpstream,
        host: VirtualHost,
        caller: Endpoint,
        flow_id: FlowId,
        payload: bytes,
    ) -> None:
        """Send a packet of a flow from an upstream to a host."""
        self.network.send(
            upstream.zone,
            host.zone,
            lambda: host.packet_from_upstream(
                upstream.endpoint, caller, flow_id, payload
            ),
        )

    def _publish_host_list(self) -> None:
        """Refresh the platform's list of hosts, which lags by 3 s."""
        rows = [
            {
                'host_id': one.name,
                'zone': one.zone,
                'peer': str(one.settings.peer),
                'gossip': str(one.settings.gossip),
                'admin': str(one.settings.admin),
            }
            for one in self.live_hosts()
        ]
        body = json.dumps(rows).encode()
        self.time.call_later(3, lambda: setattr(self.platform, 'hosts_body', body))
        self.time.call_later(2, self._publish_host_list)

    def _push_entries(self) -> None:
        for upstream in self.upstreams_by_name.values():
            upstream.push_entries()
        self.time.call_later(1, self._push_entries)
