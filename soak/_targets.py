"""Targets of the soak: they answer callers directly and check what arrives."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from soak._findings import DRAIN_SECONDS, Findings, now
from soak._packets import ACK, FIN, RST, SYN, End, Segment, decode
from soak._relays import PACKET_PORT, Router
from standins.object_store import ObjectStore

PORT = 9000
# Time between the silence of a target and the end of its entry.
LAPSE_SECONDS = 1.5
FlowName = tuple[End, End]


@dataclass(eq=False)
class Incarnation:
    """One life of a target."""

    name: str
    ip: str
    zone: str
    service: str
    born: int
    alive: bool = True
    draining_since: float | None = None
    flows: set[FlowName] = field(default_factory=set)
    misdirected: dict[FlowName, int] = field(default_factory=dict)

    @property
    def number(self) -> int:
        """Return the number in front of packets for this target."""
        return int(self.name.rpartition('-')[2], 16)

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            'service': self.service,
            'address': f'{self.ip}:{PORT}',
            'zone': self.zone,
            'slots': 2,
            'state': 'ready' if self.draining_since is None else 'draining',
            'warmup_left_ms': 0,
            'seq': 1,
            'born': self.born,
        }


class Address(asyncio.DatagramProtocol):
    """An address at which one incarnation after the other lives."""

    def __init__(self, targets: 'Targets', ip: str) -> None:
        self.ip = ip
        self.holder: Incarnation | None = None
        self._targets = targets
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The class of the loop's transport is no DatagramTransport before 3.12.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        holder = self.holder
        if holder is None or not holder.alive:
            return
        if int.from_bytes(data[:8], 'big') != holder.number:
            self._targets.findings.count('packets for an earlier holder')
            return
        segment = decode(data[8:])
        answer = self._targets.take(holder, segment, addr[0])
        if answer is not None:
            self.send(answer)

    def send(self, answer: Segment) -> None:
        """Send to the caller, past the relays."""
        assert self._transport is not None
        self._transport.sendto(answer.encode(), (answer.target.ip, PACKET_PORT))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


class Targets:
    """All targets, their entries in the store, and the checks at them."""

    def __init__(
        self,
        store: ObjectStore,
        router: Router,
        findings: Findings,
        rng: random.Random,
    ) -> None:
        self.findings = findings
        self.addresses: list[Address] = []
        self.owner_by_flow: dict[FlowName, Incarnation] = {}
        # Services that any configuration ever allowed for a route.
        self.allowed: dict[End, set[str]] = {}
        self.store_is_calm: Callable[[], bool] = lambda: True
        self._store = store
        self._router = router
        self._rng = rng
        self._next_name = 0x1000

    async def add(self, ip: str, zone: str, service: str) -> Address:
        """Open an address with a target."""
        loop = asyncio.get_running_loop()
        _, address = await loop.create_datagram_endpoint(
            lambda: Address(self, ip), (ip, PORT)
        )
        self.addresses.append(address)
        await self.live(address, zone, service)
        return address

    async def live(
        self, address: Address, zone: str, service: str, name: str = ''
    ) -> None:
        """Let a new incarnation live at an address."""
        self._next_name += 1
        address.holder = Incarnation(
            name or f'i-{self._next_name:x}',
            address.ip,
            zone,
            service,
            born=int(now() * 1000),
        )
        await self._store.put('servers', address.holder.name, address.holder.entry())

    async def drain(self, holder: Incarnation) -> None:
        """Announce the end of a target."""
        if holder.draining_since is None:
            # Set before the entry says so; the time counts from its acceptance.
            holder.draining_since = now()
            await self._store.put('servers', holder.name, holder.entry())
            holder.draining_since = now()

    async def end(self, holder: Incarnation) -> None:
        """Remove the entry of a target."""
        await self._store.delete('servers', holder.name)

    def take(
        self, holder: Incarnation, segment: Segment, relay_ip: str
    ) -> Segment | None:
        """Return the answer to a packet, if there is one."""
        flow = segment.source, segment.target
        self._check_service(holder, segment)
        if segment.flags & SYN:
            return self._open(holder, segment, relay_ip)
        if flow not in holder.flows:
            self._check_owner(holder, flow, segment)
            return self._answer(segment, RST)
        self.owner_by_flow[flow] = holder
        if segment.flags & (FIN | RST):
            holder.flows.discard(flow)
            self.owner_by_flow.pop(flow, None)
            return self._answer(segment, ACK)
        if segment.content:
            answer = self._answer(segment, ACK)
            answer.content = segment.content
            return answer
        return None

    def _open(
        self, holder: Incarnation, segment: Segment, relay_ip: str
    ) -> Segment | None:
        since = holder.draining_since
        relay = next(one for one in self._router.relays if one.ip == relay_ip)
        late = since is not None and now() - since > DRAIN_SECONDS
        if late and relay.calm.is_calm() and self.store_is_calm():
            self.findings.report('DRAIN', f'{relay.name} opens at {holder.name}')
        flow = segment.source, segment.target
        holder.flows.add(flow)
        return self._answer(segment, SYN | ACK)

    def _answer(self, segment: Segment, flags: int) -> Segment:
        return Segment(
            segment.target,
            segment.source,
            flags,
            position=self._rng.randrange(1, 2**31),
            acknowledged=segment.position,
            token=segment.token,
        )

    def _check_service(self, holder: Incarnation, segment: Segment) -> None:
        if holder.service not in self.allowed.get(segment.target, set()):
            self.findings.report('ROUTE', f'{segment.target} reaches {holder.service}')

    def _check_owner(
        self, holder: Incarnation, flow: FlowName, segment: Segment
    ) -> None:
        owner = self.owner_by_flow.get(flow)
        if owner is None or owner is holder or not owner.alive:
            return
        count = holder.misdirected.get(flow, 0) + 1
        holder.misdirected[flow] = count
        if count == 3:
            detail = f'{flow[0]} of {owner.name} reaches {holder.name}'
            self.findings.report('FLOW', detail)
