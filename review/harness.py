"""Small deployment on loopback addresses: real relays, all else stand-ins.

The relays are started with the command and the settings template of the deploy
file. Store, targets, requesters and routers are stand-ins in this process; they
follow the users' pages and use the standard library only.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
# A folder for the settings and the output of the relays, if they are to be kept.
KEPT_LOGS = os.environ.get('KEPT_LOGS')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Bounds of the installation bitacora-sur.
DRAIN_S = 3.0
STABLE_S = 4.0
GRACE_S = 6.0
HEARTBEAT_S = 0.77
TIME_BUDGET_S = 1.5

HEADER = struct.Struct('<IIIHIHIHBBI')
SYN, ACK, FIN, RST = 16, 2, 32, 4
KEYED_SUM = 0x5EA1


def now() -> float:
    """Return monotonic seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')  # noqa: SIM115
        self._started = now()
        self.broken: list[str] = []

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f'{now() - self._started:8.3f} {text}\n')

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.line(text)
        print(text, flush=True)

    def broke(self, rule: str, text: str) -> None:
        """Note that a rule was broken."""
        self.broken.append(rule)
        if len(self.broken) <= 10:
            self.say(f'BROKEN {rule}: {text}')
        else:
            self.line(f'BROKEN {rule}: {text}')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def ip_number(ip: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip), 'big')


def ip_text(number: int) -> str:
    """Return the text of an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


class Packet:
    """A packet as requesters and targets see it."""

    def __init__(
        self,
        src: tuple[str, int],
        dst: tuple[str, int],
        flags: int,
        seq: int = 0,
        ack: int = 0,
        echo: int = 0,
        data: bytes = b'',
        keyed: int = KEYED_SUM,
    ) -> None:
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.echo = seq, ack, echo
        self.data, self.keyed = data, keyed

    def encode(self) -> bytes:
        """Return the bytes of the packet."""
        head = HEADER.pack(
            self.seq,
            self.ack,
            self.keyed,
            len(self.data),
            ip_number(self.dst[0]),
            self.src[1],
            ip_number(self.src[0]),
            self.dst[1],
            self.flags,
            0,
            self.echo,
        )
        return head + self.data

    @classmethod
    def decode(cls, raw: bytes) -> 'Packet':
        """Return the packet in some bytes."""
        seq, ack, keyed, _, dst, sport, src, dport, flags, _, echo = HEADER.unpack_from(
            raw
        )
        return cls(
            (ip_text(src), sport),
            (ip_text(dst), dport),
            flags,
            seq,
            ack,
            echo,
            raw[HEADER.size :],
            keyed,
        )

    def text(self) -> str:
        """Return a short description."""
        names = [
            name
            for name, bit in (('SYN', SYN), ('ACK', ACK), ('FIN', FIN), ('RST', RST))
            if self.flags & bit
        ]
        ends = f'{self.src[0]}:{self.src[1]} > {self.dst[0]}:{self.dst[1]}'
        return f'{"+".join(names)} {ends} echo={self.echo:08x} len={len(self.data)}'


class Network:
    """Loopback addresses and ports of one run that nobody else uses."""

    def __init__(self) -> None:
        rng = random.Random()
        self.prefix = f'127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}'
        self.packets, self.ready, self.control, self.peers, self.metrics = (
            self._free_port(rng) for _ in range(5)
        )
        self.targets = self._free_port(rng)

    def ip(self, number: int) -> str:
        """Return one of the addresses."""
        return f'{self.prefix}.{number}'

    def _free_port(self, rng: random.Random) -> int:
        for _ in range(200):
            port = rng.randrange(12000, 30000)
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f'{self.prefix}.1', port))
            except OSError:
                continue
            return port
        raise OSError('no free port found')


class Store:
    """The platform's store: lists and watches; writers call its methods."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {
            'config': {},
            'servers': {},
        }
        # Specs of other writers, as the JSON text that they wrote, by name.
        self.raw_specs: dict[str, bytes] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; a PUT that changes nothing is no change."""
        known = self.objects[kind].get(name)
        if known is not None and known['spec'] == spec:
            return
        self.revision += 1
        created = known['meta']['created'] if known else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        item = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = item
        await self._notify(kind, item, deleted=False)

    async def put_raw(self, kind: str, name: str, text: bytes) -> None:
        """Write an object whose spec is the JSON text of another writer."""
        self.raw_specs[name] = text
        await self.put(kind, name, f'raw:{name}')

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self.objects[kind].pop(name, None)
        if item is not None:
            self.revision += 1
            await self._notify(kind, item, deleted=True)

    async def _notify(self, kind: str, item: dict[str, Any], deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head.split(b' ', 2)[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        url = urlsplit(target)
        kind = url.path.rpartition('/')[2]
        query = parse_qs(url.query)
        if 'watch' in query:
            since = int(query['watch'][0])
            body = await self._watch(kind, since, int(query['wait_ms'][0]) / 1000)
        else:
            after = query.get('after', [''])[0]
            names = sorted(name for name in self.objects[kind] if name > after)
            page = [self.objects[kind][name] for name in names[:500]]
            body = {
                'items': page,
                'has_more': len(names) > len(page),
                'store_revision': self.revision,
            }
        content = json.dumps(body).encode()
        for name, text in self.raw_specs.items():
            content = content.replace(json.dumps(f'raw:{name}').encode(), text)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            + f'Content-Length: {len(content)}\r\n\r\n'.encode()
            + content
        )

    async def _watch(self, kind: str, since: int, wait_s: float) -> dict[str, Any]:
        def events() -> list[dict[str, Any]]:
            return [
                {'deleted': deleted, 'object': item}
                for revision, of_kind, item, deleted in self._events
                if of_kind == kind and revision > since
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(events()))
        except TimeoutError:
            pass
        return {'events': events(), 'store_revision': self.revision}


class Target(asyncio.DatagramProtocol):
    """A target: takes flows, answers requests, and writes its entry."""

    def __init__(
        self,
        deployment: 'Deployment',
        target_id: str,
        ip: str,
        zone: str,
        service: str,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.id, self.ip, self.zone, self.service = target_id, ip, zone, service
        self.address = ip, deployment.network.targets
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.seq = 0
        self.alive = True
        self.started = now()
        self.draining_acknowledged: float | None = None
        self.flows: dict[tuple[Any, Any], int] = {}
        self.opened: set[tuple[Any, Any]] = set()
        self.on_opening: Callable[[Target, Packet], None] | None = None
        self.on_run: Callable[[Target, Packet], None] | None = None
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._rng = random.Random()

    @property
    def number(self) -> int:
        """The number that stands before packets for this target."""
        return int(self.id.rpartition('-')[2], 16)

    def entry(self) -> dict[str, Any]:
        """Return what the target says of itself."""
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 2,
            'state': self.state,
            'warmup_left_ms': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def start(self, first_entry_s: float = 0.0) -> None:
        """Listen for packets, and write the entry each heartbeat."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, self.address)
        self.record.line(f'target {self.id} of {self.service} runs at {self.ip}')
        self._task = asyncio.create_task(self._write_entries(first_entry_s))

    async def _write_entries(self, first_entry_s: float) -> None:
        await asyncio.sleep(first_entry_s)
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self) -> None:
        """Write the entry; only a new one, or a change beside seq, is kept."""
        known = self.deployment.store.objects['servers'].get(self.id)
        entry = self.entry()
        if known is not None and {**known['spec'], 'seq': 0} == {**entry, 'seq': 0}:
            return
        self.seq += 1
        await self.deployment.store.put('servers', self.id, self.entry())

    async def drain(self) -> None:
        """Report that the target drains."""
        self.state = 'draining'
        await self.write_entry()
        self.draining_acknowledged = now()
        self.record.say(f'target {self.id} is draining; the store acknowledged it')

    async def crash(self) -> None:
        """End at once, without a word."""
        self.alive = False
        if self._task is not None:
            self._task.cancel()
        self._transport.close()
        self.record.line(f'target {self.id} ended')
        await asyncio.sleep(0)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier packets."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        number = int.from_bytes(data[:8], 'big')
        packet = Packet.decode(data[8:])
        key = packet.src, packet.dst
        if number not in {0, self.number}:
            self.record.line(f'target {self.id} ignores a packet for another target')
            return
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            if self.on_opening is not None:
                self.on_opening(self, packet)
            self.flows.setdefault(key, self._rng.randrange(1, 2**31))
            self._send(packet, SYN | ACK, self.flows[key])
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            self.opened.discard(key)
            return
        if key not in self.flows or packet.ack < self.flows[key]:
            self.record.line(f'target {self.id} resets an unknown flow {packet.text()}')
            self._send(packet, RST, 0)
            return
        if key not in self.opened:
            self.opened.add(key)
            self.deployment.owner_by_flow[key] = self
        if packet.flags & FIN:
            self.flows.pop(key)
            self.opened.discard(key)
            self._send(packet, ACK | FIN, packet.ack)
        elif packet.data:
            self.record.line(f'target {self.id} runs {packet.data.decode()}')
            if self.on_run is not None:
                self.on_run(self, packet)
            answer = b'answer to ' + packet.data
            self._send(packet, ACK, packet.ack, answer)

    def _send(self, packet: Packet, flags: int, seq: int, data: bytes = b'') -> None:
        answer = Packet(
            packet.dst, packet.src, flags, seq, packet.seq + 1, packet.echo, data
        )
        self._transport.sendto(
            answer.encode(), (packet.src[0], self.deployment.network.packets)
        )


class Reset(Exception):
    """A flow was reset; the text tells by whom."""


class Flow:
    """A requester's flow: opened once, then used for requests."""

    def __init__(self, requesters: 'Requesters', port: int, route: Any) -> None:
        self.requesters = requesters
        self.record = requesters.record
        self.src, self.dst = (requesters.ip, port), route
        self.echo = 0
        self.seq = 1
        self.ack = 0
        self.received: asyncio.Queue[Packet] = asyncio.Queue()
        self.opening_sent = 0.0
        self.reset_by: str | None = None
        self._requests = 0

    @property
    def key(self) -> tuple[Any, Any]:
        """Both ends of the flow."""
        return self.src, self.dst

    async def open(self, relay: 'Relay | None' = None) -> bool:
        """Send the SYN and its copies; return whether the flow is open."""
        self.opening_sent = now()
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._send(Packet(self.src, self.dst, SYN, 0, copy), relay)
            until = now() + wait_s
            while (left := until - now()) > 0:
                answer = await self._receive(left)
                if answer is not None and answer.flags & SYN:
                    self.echo, self.ack = answer.echo, answer.seq + 1
                    self._send(Packet(self.src, self.dst, ACK, 1, self.ack, self.echo))
                    return True
        return False

    async def request(self, budget_s: float = TIME_BUDGET_S) -> bool:
        """Send a request; return whether its answer came in time."""
        self._requests += 1
        name = f'request {self.src[1]}/{self._requests}'
        until = now() + budget_s
        retry_s = 0.2
        self.record.line(f'{name} is sent')
        while now() < until:
            self._send(
                Packet(
                    self.src,
                    self.dst,
                    ACK,
                    self.seq,
                    self.ack,
                    self.echo,
                    name.encode(),
                )
            )
            again = min(now() + retry_s, until)
            while (left := again - now()) > 0:
                answer = await self._receive(left)
                if answer is not None and answer.data == f'answer to {name}'.encode():
                    self.echo = answer.echo
                    self.seq += len(name)
                    self.ack += len(answer.data)
                    self._send(
                        Packet(self.src, self.dst, ACK, self.seq, self.ack, self.echo)
                    )
                    self.record.line(f'{name} is answered')
                    return True
            retry_s = min(2 * retry_s, 1.6)
        self.record.line(f'{name} got no answer')
        return False

    def close(self) -> None:
        """End the flow."""
        self._send(Packet(self.src, self.dst, FIN | ACK, self.seq, self.ack, self.echo))
        self.forget()

    def forget(self) -> None:
        """Take no more packets."""
        self.requesters.flows.pop(self.src[1], None)

    async def _receive(self, seconds: float) -> Packet | None:
        try:
            async with asyncio.timeout(seconds):
                packet = await self.received.get()
        except TimeoutError:
            return None
        if packet.flags & RST:
            self.reset_by = 'a relay' if packet.keyed == 0 else 'a target'
            self.record.line(f'reset by {self.reset_by}: {packet.text()}')
            raise Reset(self.reset_by)
        return packet

    def _send(self, packet: Packet, relay: 'Relay | None' = None) -> None:
        self.requesters.send(packet, relay)


class Requesters(asyncio.DatagramProtocol):
    """Requesters of one zone, behind one address."""

    def __init__(self, deployment: 'Deployment', ip: str, zone: str) -> None:
        self.deployment, self.ip, self.zone = deployment, ip, zone
        self.record = deployment.record
        self.flows: dict[int, Flow] = {}
        self._next_port = 2000
        self._transport: Any = None

    async def start(self) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, (self.ip, self.deployment.network.packets)
        )

    def flow(self, route: Any) -> Flow:
        """Return a flow that is not open yet."""
        self._next_port += 1
        flow = Flow(self, self._next_port, route)
        self.flows[flow.src[1]] = flow
        return flow

    def send(self, packet: Packet, relay: 'Relay | None' = None) -> None:
        """Send a packet through the router, or to one relay."""
        if relay is None:
            relay = self.deployment.route(self.zone, packet.src, packet.dst)
        self._transport.sendto(
            packet.encode(), (relay.ip, self.deployment.network.packets)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier packets."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        packet = Packet.decode(data)
        flow = self.flows.get(packet.dst[1])
        if flow is not None and flow.dst == packet.src:
            flow.received.put_nowait(packet)


class Relay:
    """One process of the deploy file's role."""

    def __init__(self, deployment: 'Deployment', name: str, ip: str, zone: str) -> None:
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.process: asyncio.subprocess.Process | None = None
        self.in_rotation = False
        self.calm_since = now()
        self._misses = 0

    def in_touch(self) -> bool:
        """Return whether nothing disturbed the machine for the stable window."""
        return now() - self.calm_since >= STABLE_S

    async def start(self) -> None:
        """Start the process with settings from the template."""
        self.calm_since = now()
        path = self.deployment.folder / f'{self.name}.json'
        path.write_text(self.deployment.settings_of(self))
        role = self.deployment.role
        with open(self.deployment.folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'LYCHEEDEAL_CONFIG': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.deployment.record.line(f'relay {self.name} is started at {self.ip}')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.calm_since = now()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
        self.deployment.record.say(f'relay {self.name} gets {number.name}')

    async def restart(self) -> None:
        """Stop with SIGTERM, with SIGKILL after the grace time, and start again."""
        self.signal(signal.SIGTERM)
        assert self.process is not None
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.deployment.record.line(
            f'relay {self.name} ended with status {self.process.returncode}'
        )
        await self.start()

    async def close(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def probe(self) -> None:
        """Probe readiness once, as the platform does."""
        good = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.deployment.network.ready
                )
                writer.write(
                    b'GET /readyz HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n'
                )
                good = b' 200 ' in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        self._misses = 0 if good else self._misses + 1
        if good != self.in_rotation and (good or self._misses >= 2):
            self.in_rotation = good
            state = 'in' if good else 'out of'
            self.deployment.record.say(f'relay {self.name} is {state} rotation')

    def log_lines(self, words: str) -> list[str]:
        """Return lines of its output that contain some words."""
        path = self.deployment.folder / f'{self.name}.log'
        lines = path.read_text(errors='replace').splitlines()
        return [line for line in lines if words in line]


class Deployment:
    """All parts of one run."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.network = Network()
        self.store = Store(record)
        self.relays: list[Relay] = []
        self.targets: list[Target] = []
        self.requesters: list[Requesters] = []
        self.owner_by_flow: dict[tuple[Any, Any], Target] = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['relay']
        self._template = (ROOT / self.role['template']).read_text()
        self._tasks: list[asyncio.Task[Any]] = []
        self.version = 7

    def settings_of(self, relay: Relay) -> str:
        """Return the settings of a relay, filled into the template."""
        net = self.network
        fields: dict[str, Any] = {
            'node': relay.name,
            'ip': relay.ip,
            'zone': relay.zone,
            'listen': {
                'packet_listen': f'{relay.ip}:{net.packets}',
                'ready': f'{relay.ip}:{net.ready}',
                'control': f'{relay.ip}:{net.control}',
            },
            'internal_ports': [net.peers, net.peers + 15],
            'seeds': [f'{one.ip}:{net.control}' for one in self.relays[:3]],
            'limits': {'cpu_share': 0.731},
            'bounds': {'grace_s': GRACE_S},
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'platform': {'address': self.store.address},
        }

        def value(match: re.Match[str]) -> str:
            found: Any = fields
            for part in match[1].split('.'):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found)

        text = re.sub(r'\{\{([\w.]+)\|json\}\}', value, self._template)
        settings = json.loads(text)
        settings['metrics_port'] = net.metrics
        return json.dumps(settings)

    async def start(
        self, relays: dict[str, int], targets: list[tuple[str, str, str]]
    ) -> None:
        """Start everything, and wait until all relays are in touch.

        ``relays`` has their number by zone, ``targets`` ids, zones and services.
        """
        await self.store.start(self.network.ip(1))
        await self.write_config(self.routes())
        for index, (target_id, zone, service) in enumerate(targets):
            target = Target(self, target_id, self.network.ip(50 + index), zone, service)
            self.targets.append(target)
            await target.start()
        for zone_index, (zone, count) in enumerate(relays.items()):
            requesters = Requesters(self, self.network.ip(200 + zone_index), zone)
            await requesters.start()
            self.requesters.append(requesters)
            for index in range(count):
                ip = self.network.ip(10 + 10 * zone_index + index)
                self.relays.append(Relay(self, f'edge-{zone}-{index + 1}', ip, zone))
        await asyncio.gather(*(relay.start() for relay in self.relays))
        self.task(self._probe())
        async with asyncio.timeout(20):
            while not all(relay.in_rotation for relay in self.relays):
                await asyncio.sleep(0.1)
        await asyncio.sleep(STABLE_S + 1)
        self.record.say('all relays are ready and in touch')

    def routes(self) -> dict[tuple[str, int], str]:
        """Return the service of each route."""
        return {
            (self.network.ip(240), 443): 'api',
            (self.network.ip(240), 8443): 'bulk',
        }

    async def write_config(self, routes: dict[tuple[str, int], str]) -> None:
        """Write the desired state under a later version."""
        self.version += 2
        spec = {
            'version': self.version,
            'routes': [
                {
                    'name': f'r-{port}',
                    'hostname': ip,
                    'path_prefix': f'/{port}/',
                    'type': 'idempotent',
                    'timeout_ms': 1507,
                    'aim_ms': 150,
                    'priority': 2,
                    'service': service,
                    'max_attempts': 2,
                }
                for (ip, port), service in routes.items()
            ],
            'services': [
                {
                    'name': service,
                    'health_path': '/healthz',
                    'max_conns': 4250,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in sorted(set(routes.values()))
            ],
            'limits': {'idle_timeout_ms': 15000},
        }
        await self.store.put('config', 'main', spec)

    def route(self, zone: str, src: Any, dst: Any) -> Relay:
        """Return the relay to which the routers send a flow's packets."""
        of_zone = [relay for relay in self.relays if relay.zone == zone]
        ready = [relay for relay in of_zone if relay.in_rotation]
        if 2 * len(ready) < len(of_zone):
            ready = of_zone
        return max(
            ready,
            key=lambda relay: hashlib.blake2b(
                f'{src}{dst}{relay.ip}'.encode(), digest_size=8
            ).digest(),
        )

    def relay_of_ip(self, ip: str) -> Relay:
        """Return a relay by its address."""
        return next(relay for relay in self.relays if relay.ip == ip)

    def task(self, coroutine: Any) -> 'asyncio.Task[Any]':
        """Run a coroutine until the end of the run."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _probe(self) -> None:
        while True:
            await asyncio.gather(*(relay.probe() for relay in self.relays))
            await asyncio.sleep(0.5)

    async def close(self) -> None:
        """End all processes and tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(relay.close() for relay in self.relays))
        for target in self.targets:
            if target.alive:
                await target.crash()
        for requesters in self.requesters:
            requesters.close()
        self.store.close()


async def _run(scenario: Callable[[Deployment], Any], folder: Path) -> int:
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), record)
            try:
                async with asyncio.timeout(110):
                    await scenario(deployment)
            finally:
                await deployment.close()
                if KEPT_LOGS:
                    shutil.copytree(temporary, KEPT_LOGS, dirs_exist_ok=True)
                for relay in deployment.relays:
                    for line in relay.log_lines('Error')[:3]:
                        text = line.replace(str(ROOT), '.')
                        record.line(f'output of {relay.name}: {text}')
        if record.broken:
            record.say(f'broken {len(record.broken)} times: {set(record.broken)}')
            return 1
        record.say('held')
        return 0
    finally:
        record.close()


def main(scenario: Callable[[Deployment], Any], folder: str) -> int:
    """Run a scenario; return 0 if the rules held, 1 if not, 2 if it couldn't run."""
    # As for SIGINT, all processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return asyncio.run(_run(scenario, Path(folder).resolve()))
    except KeyboardInterrupt:
        return 2
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {type(error).__name__}: {error}', file=sys.stderr)
        return 2
