"""Stand-ins for the cases of the third review, and the relays under test.

A case starts real relay processes with the command of the deploy file. The store,
the targets, the requesters and the routers of the platform run in the process of the
case, as PROTOCOL.md and DEPLOY.md describe them. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEAD = struct.Struct('<IIIHIHIHBBI')
ACK, RST, SYN, FIN = 2, 4, 16, 32
KEYED_SUM = 0x5EA1
SIGNATURE = b'X-Target-Signature: '
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'lost_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'skew_max_ms': 12000,
    'recovery_s': 12,
    'flow_reorder_ms': 2000,
    'max_flow_s': 60,
}
HEARTBEAT_S = 1.2
VALUE_BYTES = 1048576
PAGE_BYTES = 1_000_000
PAGE_ITEMS = 500
HISTORY_S = 20.0


def with_trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def line(self, *words):
        text = f'{self.now():8.3f} {" ".join(map(str, words))}'
        if not self._file.closed:
            print(text, file=self._file, flush=True)

    def close(self):
        self._file.close()


class Store:
    """The platform's store: objects by kind and name, one revision counter."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.cut_watches = asyncio.Event()
        self._changed = asyncio.Condition()
        self._server = None
        self.endpoint = ''

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.endpoint = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    def close(self):
        self._server.close()

    async def put(self, kind, name, spec):
        """Create or replace an object; a PUT that changes nothing is no change."""
        item = self.kinds.setdefault(kind, {}).get(name)
        if item is not None and item['spec'] == spec:
            return
        self.revision += 1
        created = item['meta']['created'] if item else self.revision
        item = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.kinds[kind][name] = item
        await self._note(kind, item, False)

    async def renew(self, kind, name, spec):
        """Write an entry of which only ``seq`` changed; this is no change."""
        item = self.kinds.get(kind, {}).get(name)
        if item is not None:
            item['spec'] = spec

    async def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            meta = {**item['meta'], 'revision': self.revision}
            await self._note(kind, {**item, 'meta': meta}, True)

    async def _note(self, kind, item, deleted):
        now = time.monotonic()
        self.events = [one for one in self.events if one[0] > now - HISTORY_S]
        self.events.append((now, self.revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, target = head.split(b' ', 2)[:2]
                if method != b'GET':
                    await self._answer(writer, 405, {})
                    continue
                url = urlsplit(target.decode('latin-1'))
                kind = url.path.split('/')[2]
                status, body = await self._get(kind, url.query)
                await asyncio.sleep(0.004)
                await self._answer(writer, status, body)
        writer.close()

    async def _answer(self, writer, status, body):
        # Names and values may hold bytes that are not UTF-8.
        content = json.dumps(body, ensure_ascii=False).encode(errors='surrogateescape')
        head = (
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)
        await writer.drain()

    async def _get(self, kind, query):
        fields = parse_qs(query, keep_blank_values=True)
        if 'watch' in fields:
            return await self._watch(
                kind, int(fields['watch'][0]), int(fields['wait_ms'][0]) / 1000
            )
        after = ''
        for pair in query.split('&'):
            if pair.startswith('after='):
                after = unquote_to_bytes(pair[6:]).decode(errors='surrogateescape')
        items, size, has_more = [], 0, False
        for name in sorted(self.kinds.get(kind, {})):
            if name <= after:
                continue
            item = self.kinds[kind][name]
            length = len(json.dumps(item))
            if items and (size + length > PAGE_BYTES or len(items) >= PAGE_ITEMS):
                has_more = True
                break
            items.append(item)
            size += length
        return 200, {
            'items': items,
            'has_more': has_more,
            'store_revision': self.revision,
        }

    async def _watch(self, kind, since, wait_s):
        def found():
            return [
                {'object': item, 'deleted': deleted}
                for _, revision, of_kind, item, deleted in self.events
                if of_kind == kind and revision > since
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(found)
        return 200, {'events': found(), 'store_revision': self.revision}


class NarrowLink:
    """The way from the store to one machine, over a link of ``mbps`` Mbit/s."""

    STEP_S = 0.01

    def __init__(self, store_endpoint, mbps):
        self._store = store_endpoint.rsplit(':', 1)
        self._step_bytes = int(mbps * 1_000_000 / 8 * self.STEP_S)
        self._free_at = 0.0
        self._server = None
        self.endpoint = ''

    async def start(self, ip):
        self._server = await asyncio.start_server(self._connect, ip, 0)
        self.endpoint = '%s:%d' % self._server.sockets[0].getsockname()[:2]

    def close(self):
        self._server.close()

    async def _connect(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            there, back = await asyncio.open_connection(
                self._store[0], int(self._store[1])
            )
            await asyncio.gather(
                self._pass(reader, back, False), self._pass(there, writer, True)
            )

    async def _pass(self, reader, writer, is_narrow):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while chunk := await reader.read(self._step_bytes):
                if is_narrow:
                    # All connections of the machine share its link.
                    start = max(self._free_at, time.monotonic())
                    self._free_at = start + self.STEP_S * len(chunk) / self._step_bytes
                    await asyncio.sleep(self._free_at - time.monotonic())
                writer.write(chunk)
                await writer.drain()
        writer.close()


class Target(asyncio.DatagramProtocol):
    """A target: takes flows, answers requests, and writes its entry."""

    def __init__(self, world, name, ip, zone, service):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.port = world.ports['target']
        self.number = int(name.rpartition('-')[2], 16)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self.drained_at = None
        self.flows = {}
        self.transport = None
        self._task = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, self.port)
        )
        await self.world.store.put('servers', self.name, self.entry())
        self._task = asyncio.create_task(self._ping())

    def entry(self):
        self.seq += 1
        return {
            'service': self.service,
            'address': f'{self.ip}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 2,
            'state': self.state,
            'warmup_left_ms': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def _ping(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write()

    async def write(self):
        spec = self.entry()
        item = self.world.store.kinds.get('servers', {}).get(self.name)
        known = {**item['spec'], 'seq': 0} if item else None
        if known == {**spec, 'seq': 0}:
            await self.world.store.renew('servers', self.name, spec)
        else:
            await self.world.store.put('servers', self.name, spec)

    async def drain(self):
        """Report draining; the time counts from the store's acknowledgement."""
        self.state = 'draining'
        await self.write()
        self.drained_at = time.monotonic()
        self.world.record.line('store accepted: draining', self.name)

    def close(self):
        if self._task is not None:
            self._task.cancel()
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data, addr):
        number = int.from_bytes(data[:8], 'big')
        if number not in (0, self.number):
            return
        packet = data[8:]
        seq, ack, _, _, dst, sport, src, dport, flags, _, echo = HEAD.unpack_from(
            packet
        )
        key = (src, sport, dst, dport)
        if flags & SYN:
            if flags & ACK:
                return
            if key not in self.flows:
                self.flows[key] = {'seq': random.randrange(1 << 31), 'open': False}
            flow = self.flows[key]
            flow['relay'] = addr[0]
            flow['came_at'] = time.monotonic()
            self._send(key, flow['seq'], seq + 1, SYN | ACK, echo)
            return
        flow = self.flows.get(key)
        if flow is None or (not flow['open'] and ack != flow['seq'] + 1):
            if not flags & RST:
                self._send(key, ack, seq, RST, echo)
            return
        if not flow['open']:
            flow['open'] = True
            self.world.opened(self, key, flow)
        content = packet[HEAD.size :]
        if flags & (FIN | RST):
            if flags & FIN:
                self._send(key, ack, seq + 1, ACK, echo)
            self.flows.pop(key, None)
            return
        if content:
            asyncio.get_running_loop().call_later(
                0.015, self._respond, key, ack, seq + len(content), echo, content
            )

    def _respond(self, key, seq, ack, echo, content):
        found = re.search(rb'X-Request-Id: (\S+)', content)
        request_id = found.group(1).decode() if found else '?'
        self.world.ran(self, key, request_id)
        body = f'{request_id} ran at {self.name}'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % len(body)
            + SIGNATURE
            + self.name.encode()
            + b'\r\n\r\n'
            + body
        )
        self._send(key, seq, ack, ACK, echo, answer)

    def _send(self, key, seq, ack, flags, echo, content=b''):
        src, sport, dst, dport = key
        head = HEAD.pack(
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            KEYED_SUM,
            len(content),
            src,
            dport,
            dst,
            sport,
            flags,
            0,
            echo,
        )
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(
                head + content, (text_ip(src), self.world.ports['packet'])
            )


def text_ip(number):
    return '.'.join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def number_ip(text):
    return int.from_bytes(bytes(map(int, text.split('.'))), 'big')


class Requester(asyncio.DatagramProtocol):
    """The requesters at one address of a zone."""

    def __init__(self, world, ip, zone):
        self.world = world
        self.ip = ip
        self.zone = zone
        self.queues = {}
        self.transport = None
        self._next_port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.ip, self.world.ports['packet'])
        )

    def close(self):
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data, addr):
        port = HEAD.unpack_from(data)[7]
        queue = self.queues.get(port)
        if queue is not None:
            queue.put_nowait(data)

    async def request(self, route, relay=None):
        """Open a flow, send one request, and return how it ended.

        With ``relay`` all packets go there; otherwise the routers choose.
        """
        self._next_port += 1
        port = self._next_port
        queue = self.queues[port] = asyncio.Queue()
        request_id = f'{self.ip}-{port}'
        try:
            outcome = await self._request(route, relay, port, queue, request_id)
        finally:
            self.queues.pop(port, None)
        self.world.sent(request_id, outcome)
        return outcome

    async def _request(self, route, relay, port, queue, request_id):
        seq = random.randrange(1 << 31)
        for count, wait_s in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self._send(route, relay, port, seq, count, SYN, 0)
            packet = await self._next(queue, wait_s)
            if packet is not None:
                break
        else:
            return 'no answer to the SYN'
        first = HEAD.unpack_from(packet)
        if first[8] & RST:
            return 'reset by a target' if first[2] else 'reset by the system'
        seq, ack, echo = seq + 1, first[0] + 1, first[10]
        self._send(route, relay, port, seq, ack, ACK, echo)
        content = (
            f'POST / HTTP/1.1\r\nX-Request-Id: {request_id}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        ended = time.monotonic() + 2.0
        wait_s = 0.2
        while time.monotonic() < ended:
            self._send(route, relay, port, seq, ack, ACK, echo, content)
            until = time.monotonic() + wait_s
            while (left := until - time.monotonic()) > 0:
                packet = await self._next(queue, left)
                if packet is None:
                    break
                fields = HEAD.unpack_from(packet)
                if fields[8] & RST:
                    return 'reset by a target' if fields[2] else 'reset by the system'
                body = packet[HEAD.size :]
                if body:
                    self._send(
                        route,
                        relay,
                        port,
                        seq + len(content),
                        ack + len(body),
                        FIN,
                        echo,
                    )
                    good = SIGNATURE in body and request_id.encode() in body
                    return 'served' if good else 'foreign answer'
            wait_s = min(wait_s * 2, 1.6)
        return 'no answer'

    async def _next(self, queue, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                return await queue.get()
        except TimeoutError:
            return None

    def _send(self, route, relay, port, seq, ack, flags, echo, content=b''):
        ip, dport = route
        head = HEAD.pack(
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            KEYED_SUM,
            len(content),
            number_ip(ip),
            port,
            number_ip(self.ip),
            dport,
            flags,
            0,
            echo,
        )
        chosen = relay or self.world.route_packet(self.zone, (self.ip, port, *route))
        if chosen is not None:
            self.transport.sendto(
                head + content, (chosen.ip, self.world.ports['packet'])
            )


class Relay:
    """One relay process."""

    def __init__(self, world, name, ip, zone):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.in_rotation = False
        self.misses = 0
        # The end of the last disturbance of this machine.
        self.disturbed_at = time.monotonic()

    def write_settings(self):
        ports = self.world.ports
        settings = {
            'host': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'packets': f'{self.ip}:{ports["packet"]}',
            'readiness': f'{self.ip}:{ports["ready"]}',
            'metrics_port': ports['metrics'],
            'peer_port': ports['peer'],
            'seeds': self.world.seeds,
            'core_share': 0.5,
            'stop_seconds': BOUNDS['grace_s'],
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'bounds': BOUNDS,
            'store': self.world.store_endpoint(self),
        }
        path = self.world.folder / f'{self.name}.json'
        partial = path.with_suffix('.partial')
        partial.write_text(json.dumps(settings))
        partial.replace(path)
        return path

    async def start(self):
        path = self.write_settings()
        self.disturbed_at = time.monotonic()
        with (self.world.folder / f'{self.name}.log').open('ab') as log:
            # The command of the deploy file.
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                'target/deps/relay.py',
                cwd=ROOT,
                env={
                    **{
                        key: os.environ[key]
                        for key in ('PATH', 'HOME', 'LANG')
                        if key in os.environ
                    },
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'LYCHEEDEAL_CONFIG': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.world.record.line('started', self.name)

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.disturbed_at = time.monotonic()

    async def restart(self, number=signal.SIGTERM, after_s=0.3):
        """Stop the process as the platform does, and start it again."""
        self.world.record.line(number.name, self.name)
        self.send(number)
        try:
            async with asyncio.timeout(BOUNDS['grace_s']):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.disturbed_at = time.monotonic()
        await asyncio.sleep(after_s)
        await self.start()

    def calm_s(self):
        return time.monotonic() - self.disturbed_at

    async def probe(self):
        ok = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.world.ports['ready']
                )
                writer.write(
                    b'GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                )
                ok = b' 200 ' in await reader.readline()
                writer.close()
        self.misses = 0 if ok else self.misses + 1
        if ok:
            self.in_rotation = True
        elif self.misses >= 2:
            self.in_rotation = False

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                self.process.send_signal(number)
            await self.process.wait()


class World:
    """All parts of one run of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.case = Path(folder)
        self.network = f'127.{random.randrange(20, 220)}'
        self.ports = {}
        self.link_mbps = None
        self.links_by_relay = {}
        self.store = Store(self.record)
        self.relays = []
        self.targets = []
        self.requesters = []
        self.seeds = []
        self.version = 1
        self.routes = {}
        self.outcomes = []
        self.openings = []
        self.runs = {}
        self._tasks = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    def store_endpoint(self, relay):
        """Return the address at which a relay finds the store."""
        link = self.links_by_relay.get(relay.name)
        return link.endpoint if link else self.store.endpoint

    async def start(self, zones, relays_per_zone, targets_per_zone, routes):
        """Start all parts, and wait until all relays are ready."""
        with contextlib.ExitStack() as stack:
            for name in ('packet', 'target', 'ready', 'metrics', 'peer'):
                kind = (
                    socket.SOCK_STREAM
                    if name in {'ready', 'metrics'}
                    else socket.SOCK_DGRAM
                )
                one = stack.enter_context(socket.socket(socket.AF_INET, kind))
                one.bind((f'{self.network}.1.1', 0))
                self.ports[name] = one.getsockname()[1]
        await self.store.start(f'{self.network}.9.9')
        self.routes = dict(routes)
        await self.configure()
        for index, zone in enumerate(zones):
            for number in range(relays_per_zone):
                ip = f'{self.network}.1.{index * 16 + number + 1}'
                self.relays.append(Relay(self, f'edge-{zone}-{number}', ip, zone))
        self.seeds = [f'{one.ip}:{self.ports["peer"]}' for one in self.relays[:3]]
        services = sorted({service for service in self.routes.values()})
        number = 0x1A0
        for index, zone in enumerate(zones):
            for place in range(targets_per_zone):
                number += 1
                target = Target(
                    self,
                    f'i-{number:08x}',
                    f'{self.network}.2.{index * 32 + place + 1}',
                    zone,
                    services[place % len(services)],
                )
                self.targets.append(target)
                await target.start()
            requester = Requester(self, f'{self.network}.3.{index + 1}', zone)
            self.requesters.append(requester)
            await requester.start()
        for relay in self.relays:
            if self.link_mbps is not None:
                link = NarrowLink(self.store.endpoint, self.link_mbps)
                await link.start(f'{self.network}.9.8')
                self.links_by_relay[relay.name] = link
            await relay.start()
        self.spawn(self._probe())
        await self.wait_ready(20)

    async def wait_ready(self, seconds):
        async with asyncio.timeout(seconds):
            while not all(one.in_rotation for one in self.relays):
                await asyncio.sleep(0.1)
        self.record.line('all relays are ready')

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def _probe(self):
        while True:
            await asyncio.gather(*(one.probe() for one in self.relays))
            await asyncio.sleep(0.5)

    async def configure(self):
        self.version += random.randrange(1, 5)
        routes = [
            {
                'name': f'r-{ip}-{port}',
                'hostname': ip,
                'path_prefix': f'/{port}/',
                'type': 'non_idempotent',
                'timeout_ms': 2000,
                'aim_ms': 200,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
            }
            for (ip, port), service in self.routes.items()
        ]
        services = [
            {
                'name': service,
                'health_path': '/healthz',
                'max_conns': 4286,
                'protocol': 'h1',
                'tls': False,
            }
            for service in sorted(set(self.routes.values()))
        ]
        limits = {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        }
        spec = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': limits,
        }
        await self.store.put('config', 'main', spec)
        self.record.line('store accepted: configuration', self.version)

    def route_packet(self, zone, flow):
        """Return the relay that the routers choose for a packet, hash ``steady``."""
        of_zone = [one for one in self.relays if one.zone == zone]
        used = [one for one in of_zone if one.in_rotation]
        if not used and any(one.in_rotation for one in self.relays):
            used = [one for one in self.relays if one.in_rotation]
        elif len(used) * 2 < len(of_zone):
            used = of_zone
        if not used:
            return None
        return max(
            used, key=lambda one: hashlib.md5(f'{one.name} {flow}'.encode()).digest()
        )

    def sent(self, request_id, outcome):
        self.outcomes.append((time.monotonic(), outcome))
        self.record.line('request', request_id, outcome)

    def opened(self, target, key, flow):
        self.openings.append((flow['came_at'], target, flow['relay']))
        self.record.line('flow opened at', target.name, 'through', flow['relay'])

    def ran(self, target, key, request_id):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.line('ran', request_id, 'at', target.name)

    async def traffic(self, requester, route, gap_s):
        """Send requests, each on a flow of its own, until cancelled."""
        while True:
            self.spawn(requester.request(route))
            await asyncio.sleep(gap_s)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(one.close() for one in self.relays))
        for one in (*self.targets, *self.requesters):
            one.close()
        for link in self.links_by_relay.values():
            link.close()
        self.store.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()
        self.record.close()


def run(play, folder, limit_s=110):
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if not run."""

    async def guarded():
        world = World(folder)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(world)
            world.record.line('broken:' if broken else 'held', broken or '')
            print('broken: ' + broken if broken else 'held')
            return 1 if broken else 0
        except Exception as error:
            world.record.line('could not run:', repr(error))
            print('could not run:', repr(error))
            return 2
        finally:
            await world.close()

    return asyncio.run(guarded())
