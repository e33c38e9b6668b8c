"""Callers of the soak test: long flows that send requests until they fail."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import cast

from soak._findings import CONFIG_SECONDS, Findings, now
from soak._packets import ACK, FIN, RST, SYN, End, Segment, decode
from soak._relays import PACKET_PORT, Relay, Router
from soak._targets import Targets

# An opening is sent once for each of these, and waits this long for an answer.
_OPENING_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
# A request without an answer is sent again after this time, which then doubles up
# to the maximum.
_INITIAL_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 1.6
_REQUEST_TIMEOUT_SECONDS = 3.0
# Requests of a flow are numbered from 1 up to, but not including, this number.
_REQUEST_NUMBER_END = 40


class FlowReset(Exception):
    """The flow was reset, by a relay if ``by_relay`` is set and else by its target."""

    def __init__(self, by_relay: bool) -> None:
        super().__init__(by_relay)
        self.by_relay = by_relay


@dataclass
class Flow:
    """One flow of a caller; the token is 0 until a target has answered."""

    caller: End
    route: End
    zone: str
    token: int = 0
    received: asyncio.Queue[Segment] = field(default_factory=asyncio.Queue)


class Callers(asyncio.DatagramProtocol):
    """All flows from one caller address.

    Answers come directly from the targets, except for resets by a relay.
    """

    def __init__(
        self,
        ip: str,
        zone: str,
        router: Router,
        targets: Targets,
        findings: Findings,
        rng: random.Random,
    ) -> None:
        self._ip = ip
        self._zone = zone
        self._router = router
        self._targets = targets
        self._findings = findings
        self._rng = rng
        self._flows: dict[int, Flow] = {}
        self._next_port = 1024
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the UDP socket of the caller address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (self._ip, PACKET_PORT))

    def close(self) -> None:
        """Close the UDP socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Before Python 3.12 the transport's class does not derive from
        # DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        segment = decode(data)
        flow = self._flows.get(segment.destination.port)
        if flow is not None and flow.route == segment.source:
            flow.received.put_nowait(segment)

    async def run_flows(self, route: End) -> None:
        """Open flows to a route one after the other, until cancelled."""
        while True:
            await self._run_flow(self._new_flow(route))
            await asyncio.sleep(self._rng.uniform(0.02, 0.3))

    async def can_open_flow(self, relay: Relay, route: End) -> bool:
        """Return whether a target accepts a flow opened through a relay.

        The opening is sent up to three times. Raises FlowReset if it is reset.
        """
        flow = self._new_flow(route)
        try:
            for _ in range(3):
                self._send(flow, Segment(flow.caller, route, SYN), relay)
                answer = await self._receive(flow, _INITIAL_RETRY_SECONDS * 2)
                if answer is not None:
                    self._targets.owner_by_flow.pop((flow.caller, route), None)
                    return bool(answer.flags & SYN)
        finally:
            self._flows.pop(flow.caller.port, None)
        return False

    def _new_flow(self, route: End) -> Flow:
        self._next_port = self._next_port % 60_000 + 1
        flow = Flow(End(self._ip, self._next_port), route, self._zone)
        self._flows[flow.caller.port] = flow
        return flow

    async def _run_flow(self, flow: Flow) -> None:
        key = flow.caller, flow.route
        try:
            if not await self._open(flow):
                self._findings.count('flows not opened')
                return
            self._findings.count('flows opened')
            for number in range(1, _REQUEST_NUMBER_END):
                if not await self._request(flow, number):
                    self._findings.count('requests without answer')
                    return
                self._findings.count('requests answered')
                await asyncio.sleep(self._rng.expovariate(8))
            self._send(flow, Segment(flow.caller, flow.route, FIN, token=flow.token))
        except FlowReset as reset:
            self._check_reset(flow, reset)
        finally:
            self._flows.pop(flow.caller.port, None)
            self._targets.owner_by_flow.pop(key, None)

    def _check_reset(self, flow: Flow, reset: FlowReset) -> None:
        self._findings.count('flows reset')
        owner = self._targets.owner_by_flow.get((flow.caller, flow.route))
        if not reset.by_relay or owner is None or not owner.is_alive:
            return
        if flow.route in self._targets.allowed_services and not self._is_removable(
            flow.route
        ):
            detail = (
                f'flow of {flow.caller} was reset by a relay while its target '
                f'{owner.name} was alive'
            )
            self._findings.report_violation('FLOW', detail)

    def _is_removable(self, route: End) -> bool:
        """Return whether a fault may remove the route; permanent ones use port 443."""
        return route.port != 443

    async def _open(self, flow: Flow) -> bool:
        for timeout_seconds in _OPENING_TIMEOUTS_SECONDS:
            self._send(flow, Segment(flow.caller, flow.route, SYN))
            answer = await self._receive(flow, timeout_seconds)
            if answer is not None and answer.flags & SYN:
                flow.token = answer.token
                return True
        return False

    async def _request(self, flow: Flow, number: int) -> bool:
        deadline = now() + _REQUEST_TIMEOUT_SECONDS
        retry_seconds = _INITIAL_RETRY_SECONDS
        content = str(number).encode()
        segment = Segment(flow.caller, flow.route, ACK, number, number, content=content)
        while now() < deadline:
            segment.token = flow.token
            self._send(flow, segment)
            until = now() + retry_seconds
            while now() < until:
                answer = await self._receive(flow, until - now())
                if answer is not None and answer.content == content:
                    return True
            retry_seconds = min(2 * retry_seconds, _MAX_RETRY_SECONDS)
        return False

    async def _receive(self, flow: Flow, seconds: float) -> Segment | None:
        try:
            async with asyncio.timeout(max(seconds, 0)):
                segment = await flow.received.get()
        except TimeoutError:
            return None
        if segment.flags & RST:
            raise FlowReset(by_relay=segment.keyed_sum == 0)
        return segment

    def _send(self, flow: Flow, segment: Segment, relay: Relay | None = None) -> None:
        assert self._transport is not None
        if relay is None:
            relay = self._router.choose(self._zone, flow.caller, flow.route)
        self._transport.sendto(segment.encode(), (relay.ip, PACKET_PORT))


@dataclass
class RouteCheck:
    """Checks that relays have put route changes in force within CONFIG_SECONDS.

    Only relays without a recent fault are checked, and only routes whose last
    change is older than that. A route can only be reached if a target of its service
    has accepted flows for that long.
    """

    callers: Callers
    targets: Targets
    findings: Findings
    changed_at: dict[End, float]
    service_by_route: dict[End, str]

    async def check(self, relay: Relay, route: End) -> None:
        """Open a flow to one route through one relay and compare the result."""
        changed_at = self.changed_at.get(route, 0)
        since = now() - CONFIG_SECONDS
        if since <= changed_at or not relay.in_rotation:
            return
        service = self.service_by_route.get(route)
        try:
            reached = await self.callers.can_open_flow(relay, route)
        except FlowReset:
            reached = False
        if (
            self.changed_at.get(route, 0) != changed_at
            or not relay.stability.is_stable()
        ):
            return
        if service and not self.targets.has_accepted_since(service, since):
            self.findings.count('routes without a target')
            return
        self.findings.count('routes checked')
        if reached != bool(service):
            state = 'in force' if service else 'removed'
            detail = f'{route} is {state}, but {relay.name} does not act accordingly'
            self.findings.report_violation('CONFIG', detail)
