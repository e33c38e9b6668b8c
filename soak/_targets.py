"""Targets of the soak test: upstreams that answer callers.

They also check the packets that relays forward to them.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from soak._findings import DRAIN_SECONDS, EVACUATE_SECONDS, Findings, now
from soak._packets import ACK, FIN, RST, SYN, End, Segment, decode
from soak._relays import PACKET_PORT, Relay, Router
from standins.object_store import ObjectStoreServer

TARGET_PORT = 9000
# From the crash of a target to the removal of its entry.
ENTRY_EXPIRY_SECONDS = 1.5
# Caller and route of a flow.
FlowKey = tuple[End, End]


@dataclass(eq=False)
class Incarnation:
    """One run of a target from its start to its end.

    ``listed_at`` and ``draining_since`` are times of the event loop, of the entry in
    the store and of the drain, or None before.
    ``misdirected_packets`` counts packets of flows that another one owns.
    """

    name: str
    ip: str
    zone: str
    service: str
    started_ms: int
    is_alive: bool = True
    listed_at: float | None = None
    draining_since: float | None = None
    flows: set[FlowKey] = field(default_factory=set)
    misdirected_packets: dict[FlowKey, int] = field(default_factory=dict)

    @property
    def numeric_id(self) -> int:
        """Number that relays put in front of packets for this target."""
        return int(self.name.rpartition('-')[2], 16)

    def accepts_since(self, since: float) -> bool:
        """Return whether it has been listed and ready for new flows since a time."""
        if not self.is_alive or self.draining_since is not None:
            return False
        return self.listed_at is not None and self.listed_at <= since

    def store_entry(self) -> dict[str, Any]:
        """Return the entry of the target as it stands in the store."""
        return {
            'service': self.service,
            'address': f'{self.ip}:{TARGET_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 2,
            'state': 'ready' if self.draining_since is None else 'draining',
            'warmup_left_ms': 0,
            'seq': 1,
            'born': self.started_ms,
        }


class TargetSocket(asyncio.DatagramProtocol):
    """UDP socket at an address that successive incarnations use.

    ``incarnation`` is the present one, which may have crashed.
    """

    def __init__(self, targets: 'Targets', ip: str) -> None:
        self.ip = ip
        self.incarnation: Incarnation | None = None
        self._targets = targets
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Before Python 3.12 the transport's class does not derive from
        # DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        incarnation = self.incarnation
        if incarnation is None or not incarnation.is_alive:
            return
        if int.from_bytes(data[:8], 'big') != incarnation.numeric_id:
            self._targets.findings.count('packets for an earlier holder')
            return
        segment = decode(data[8:])
        answer = self._targets.handle_segment(incarnation, segment, addr[0])
        if answer is not None:
            self.send(answer)

    def send(self, answer: Segment) -> None:
        """Send directly to the caller, not through a relay."""
        assert self._transport is not None
        self._transport.sendto(answer.encode(), (answer.destination.ip, PACKET_PORT))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class Targets:
    """All targets, their entries in the store, and the checks of what they receive.

    ``owner_by_flow`` has the incarnation that last took a packet of a flow.
    """

    def __init__(
        self,
        store: ObjectStoreServer,
        router: Router,
        findings: Findings,
        rng: random.Random,
    ) -> None:
        self.findings = findings
        self.sockets: list[TargetSocket] = []
        self.owner_by_flow: dict[FlowKey, Incarnation] = {}
        # Services of a route in any configuration so far.
        self.allowed_services: dict[End, set[str]] = {}
        self.store_is_stable: Callable[[], bool] = lambda: True
        self._store = store
        self._router = router
        self._rng = rng
        self._last_numeric_id = 0x1000
        # Times of the event loop at which the store accepted and deleted evacuations.
        self._evacuated_at_by_zone: dict[str, float] = {}
        self._resumed_at_by_zone: dict[str, float] = {}

    async def add_target(self, ip: str, zone: str, service: str) -> TargetSocket:
        """Bind an address and start a target there."""
        loop = asyncio.get_running_loop()
        _, target_socket = await loop.create_datagram_endpoint(
            lambda: TargetSocket(self, ip), (ip, TARGET_PORT)
        )
        self.sockets.append(target_socket)
        await self.start_incarnation(target_socket, zone, service)
        return target_socket

    async def start_incarnation(
        self, target_socket: TargetSocket, zone: str, service: str
    ) -> None:
        """Start a target with a new id at an address and list it in the store."""
        self._last_numeric_id += 1
        incarnation = Incarnation(
            f'i-{self._last_numeric_id:x}',
            target_socket.ip,
            zone,
            service,
            started_ms=int(now() * 1000),
        )
        target_socket.incarnation = incarnation
        await self._list_target(incarnation)

    async def restart(
        self,
        target_socket: TargetSocket,
        previous: Incarnation,
        unlisted_seconds: float,
    ) -> None:
        """Start a target again under its id, and list it some time later.

        Until then it takes the flows that its previous entry attracts.
        """
        incarnation = Incarnation(
            previous.name,
            previous.ip,
            previous.zone,
            previous.service,
            started_ms=int(now() * 1000),
        )
        target_socket.incarnation = incarnation
        await asyncio.sleep(unlisted_seconds)
        await self._list_target(incarnation)

    async def _list_target(self, incarnation: Incarnation) -> None:
        await self._store.put('servers', incarnation.name, incarnation.store_entry())
        incarnation.listed_at = now()

    def has_accepted_since(self, service: str, since: float) -> bool:
        """Return whether a target of a service has accepted flows since a time."""
        return any(
            one.incarnation is not None
            and one.incarnation.service == service
            and one.incarnation.accepts_since(since)
            and self._is_in_service(one.incarnation.zone)
            for one in self.sockets
        )

    async def evacuate(self, zone: str) -> None:
        """Evacuate a zone in the store."""
        # Set before the write, so that no check runs while it is in progress, and
        # after it, because the bound counts from the acceptance of the object.
        self._evacuated_at_by_zone[zone] = now()
        await self._store.put('evacuations', zone, {})
        self._evacuated_at_by_zone[zone] = now()

    async def resume(self, zone: str) -> None:
        """Delete the evacuation of a zone from the store."""
        self._evacuated_at_by_zone.pop(zone)
        self._resumed_at_by_zone[zone] = now()
        await self._store.delete('evacuations', zone)
        self._resumed_at_by_zone[zone] = now()

    def _is_in_service(self, zone: str) -> bool:
        """Return whether no relay may take a zone for evacuated."""
        if zone in self._evacuated_at_by_zone:
            return False
        resumed_at = self._resumed_at_by_zone.get(zone)
        return resumed_at is None or now() - resumed_at > EVACUATE_SECONDS

    async def drain(self, incarnation: Incarnation) -> None:
        """Mark a target as draining in the store."""
        if incarnation.draining_since is None:
            # Set before the write, because the entry depends on it, and after it,
            # because the bound counts from the acceptance of the entry.
            incarnation.draining_since = now()
            await self._store.put(
                'servers', incarnation.name, incarnation.store_entry()
            )
            incarnation.draining_since = now()

    async def remove_entry(self, incarnation: Incarnation) -> None:
        """Remove the entry of a target from the store."""
        await self._store.delete('servers', incarnation.name)

    def handle_segment(
        self, incarnation: Incarnation, segment: Segment, relay_ip: str
    ) -> Segment | None:
        """Check a packet from a relay; return the answer, or None for none."""
        flow = segment.source, segment.destination
        self._check_service(incarnation, segment)
        if segment.flags & SYN:
            return self._open(incarnation, segment, relay_ip)
        if flow not in incarnation.flows:
            self._check_owner(incarnation, flow, segment)
            return self._answer(segment, RST)
        self.owner_by_flow[flow] = incarnation
        if segment.flags & (FIN | RST):
            incarnation.flows.discard(flow)
            self.owner_by_flow.pop(flow, None)
            return self._answer(segment, ACK)
        if segment.content:
            answer = self._answer(segment, ACK)
            answer.content = segment.content
            return answer
        return None

    def _open(
        self, incarnation: Incarnation, segment: Segment, relay_ip: str
    ) -> Segment | None:
        since = incarnation.draining_since
        relay = next(
            candidate for candidate in self._router.relays if candidate.ip == relay_ip
        )
        is_late = since is not None and now() - since > DRAIN_SECONDS
        if is_late and relay.stability.is_stable() and self.store_is_stable():
            self.findings.report_violation(
                'DRAIN',
                f'{relay.name} opened a flow at draining target {incarnation.name}',
            )
        self._check_evacuation(incarnation, relay)
        flow = segment.source, segment.destination
        incarnation.flows.add(flow)
        return self._answer(segment, SYN | ACK)

    def _check_evacuation(self, incarnation: Incarnation, relay: Relay) -> None:
        evacuated_at = self._evacuated_at_by_zone.get(incarnation.zone)
        if evacuated_at is None or now() - evacuated_at <= EVACUATE_SECONDS:
            return
        if relay.stability.is_stable() and self.store_is_stable():
            self.findings.report_violation(
                'EVACUATE',
                f'{relay.name} opened a flow at {incarnation.name} in the evacuated '
                f'zone {incarnation.zone}',
            )
        else:
            self.findings.count('flows to an evacuated zone during a fault')

    def _answer(self, segment: Segment, flags: int) -> Segment:
        return Segment(
            segment.destination,
            segment.source,
            flags,
            position=self._rng.randrange(1, 2**31),
            acknowledged=segment.position,
            token=segment.token,
        )

    def _check_service(self, incarnation: Incarnation, segment: Segment) -> None:
        if incarnation.service not in self.allowed_services.get(
            segment.destination, set()
        ):
            self.findings.report_violation(
                'ROUTE',
                f'packet to {segment.destination} reached a target of service '
                f'{incarnation.service}, which the route does not allow',
            )

    def _check_owner(
        self, incarnation: Incarnation, flow: FlowKey, segment: Segment
    ) -> None:
        owner = self.owner_by_flow.get(flow)
        if owner is None or owner is incarnation or not owner.is_alive:
            return
        count = incarnation.misdirected_packets.get(flow, 0) + 1
        incarnation.misdirected_packets[flow] = count
        if count == 3:
            detail = (
                f'packets of {flow[0]}, whose flow is at {owner.name}, reached '
                f'{incarnation.name}'
            )
            self.findings.report_violation('FLOW', detail)
