"""Stand-ins of the store, targets, routers and requesters for the cases 6 to 10.

The relays are real processes, started with the command of the deploy file. All
stand-ins run in the process of the case and talk to the relays over loopback only.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEADER = struct.Struct('<IIIHIHIHBBI')
SYN, ACK, FIN, RST = 16, 2, 32, 4
KEY = b'known to requesters and targets only'
ROUTE_IP = '127.8.0.1'
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
# The relays serve their metrics at this port of their own address.
METRICS_PORT = 9109


def now():
    return time.monotonic()


def number(ip):
    return int.from_bytes(socket.inet_aton(ip), 'big')


class Record:
    """Writes record.txt: one line for each thing sent, answered, run or done."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started_at = now()

    def write(self, text):
        # Requests that are still on their way when the case ends are not recorded.
        if not self.file.closed:
            self.file.write(f'{now() - self.started_at:8.3f} {text}\n')

    def close(self):
        self.file.close()


class Packet:
    """A packet of a flow; ``sum`` covers all fields but echo."""

    def __init__(self, src, dst, flags, seq=0, ack=0, echo=0, body=b'', total=None):
        self.src, self.dst = src, dst
        self.flags, self.seq, self.ack, self.echo = flags, seq, ack, echo
        self.body = body
        self.total = self.keyed_sum() if total is None else total

    def keyed_sum(self):
        ends = f'{self.src}{self.dst}{self.flags}{self.seq}{self.ack}'.encode()
        return zlib.crc32(KEY + ends + self.body) or 1

    def encode(self):
        (src, sport), (dst, dport) = self.src, self.dst
        return (
            HEADER.pack(
                self.seq,
                self.ack,
                self.total,
                len(self.body),
                number(dst),
                sport,
                number(src),
                dport,
                self.flags,
                0,
                self.echo,
            )
            + self.body
        )

    @staticmethod
    def decode(raw):
        seq, ack, total, _, dst, sport, src, dport, flags, _, echo = HEADER.unpack(
            raw[:32]
        )
        source = socket.inet_ntoa(src.to_bytes(4, 'big')), sport
        destination = socket.inet_ntoa(dst.to_bytes(4, 'big')), dport
        return Packet(source, destination, flags, seq, ack, echo, raw[32:], total)


async def http_call(address, method, path, fields=None, timeout=2.0):
    """Return status and JSON of one call on a channel of its own; None if silent."""
    ip, port = address
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(encode_call(address, method, path, fields))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def encode_call(address, method, path, fields):
    body = b'' if fields is None else json.dumps(fields).encode()
    head = f'{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n'
    head += 'Content-Type: application/json\r\n'
    head += f'Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


async def read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    length = re.search(r'(?i)content-length: *(\d+)', head)
    body = await reader.readexactly(int(length[1])) if length else b''
    return int(head.split()[1]), json.loads(body or b'null')


class Store:
    """The platform's store: lists, watches and conditional writes over HTTP/1.1."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = deque()
        self.changed = asyncio.Condition()
        self.written_at = {}
        self.disturbed_at = float('-inf')
        self.tasks = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.spawn(self.lapse())

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        self.spawn(self.serve_channel(reader, writer))

    async def serve_channel(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                length = re.search(r'(?i)content-length: *(\d+)', head)
                body = await reader.readexactly(int(length[1])) if length else b''
                method, target, _ = head.split(' ', 2)
                answer = await self.answer(method, target, body)
                status, fields = answer
                text = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(one) for one in parts.path.split('/')[2:]]
        if method == 'GET' and 'watch' in query:
            return await self.watch(names[0], query)
        if method == 'GET':
            return self.list(names[0], query)
        fields = json.loads(body or b'null')
        name = names[1] if len(names) > 1 else fields['meta']['name']
        return await self.write(method, names[0], name, fields)

    def list(self, kind, query):
        after = query.get('after', '')
        names = sorted(one for one in self.objects.get(kind, {}) if one > after)
        items = [self.objects[kind][one] for one in names[:500]]
        return 200, {
            'items': items,
            'has_more': len(names) > 500,
            'store_revision': self.revision,
        }

    async def watch(self, kind, query):
        since = int(query['watch'])
        deadline = now() + int(query.get('wait_ms', 0)) / 1000
        async with self.changed:
            while True:
                if self.events and since < self.events[0][0] - 1:
                    return 410, {'error': 'history is gone'}
                found = [
                    {'object': one, 'deleted': gone}
                    for revision, of_kind, one, gone in self.events
                    if of_kind == kind and revision > since
                ]
                left = deadline - now()
                if found or left <= 0:
                    return 200, {'events': found, 'store_revision': self.revision}
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    continue

    async def write(self, method, kind, name, fields):
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if method == 'POST' and old is not None:
            return 409, old
        if method in ('PUT', 'DELETE') and old is None:
            return 404, {'error': 'no such object'}
        wanted = (fields or {}).get('meta', {}).get('revision')
        if wanted is not None and old is not None and wanted != old['meta']['revision']:
            return 409, old
        self.written_at[kind, name] = now()
        if method == 'PUT' and same_but_seq(old['spec'], fields['spec']):
            # Only seq differs: the entry does not change for readers.
            old['spec'] = fields['spec']
            return 200, old
        async with self.changed:
            self.revision += 1
            meta = {
                'name': name,
                'revision': self.revision,
                'created': old['meta']['created'] if old else self.revision,
                'finalizers': [],
                'deleting': False,
            }
            spec = old['spec'] if method == 'DELETE' else fields['spec']
            one = {'meta': meta, 'spec': spec, 'status': None}
            if method == 'DELETE':
                objects.pop(name)
            else:
                objects[name] = one
            self.events.append((self.revision, kind, one, method == 'DELETE'))
            self.changed.notify_all()
        self.record.write(
            f'store: revision {self.revision}: {method} {kind}/{name} '
            + (json.dumps(spec) if kind == 'servers' else '')
        )
        return 200, one

    async def lapse(self):
        """Remove entries of targets after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            for name in list(self.objects.get('servers', {})):
                if now() - self.written_at['servers', name] > 3 * HEARTBEAT_S:
                    await self.write('DELETE', 'servers', name, None)


def same_but_seq(one, other):
    if isinstance(one, dict) and isinstance(other, dict):
        return {**one, 'seq': 0} == {**other, 'seq': 0}
    return one == other


class Link:
    """The network between one machine of a target and the store: a TCP proxy.

    While the link is cut, nothing passes. Bytes that were sent on an open channel
    meanwhile are not lost: their sender's kernel repeats them after 0.2 s, and then
    after twice the time again and again, also if the process has closed the channel
    or has ended. The first repetition after the cut arrives.
    """

    def __init__(self, bed, ip):
        self.bed = bed
        self.address = ip, free_port(socket.SOCK_STREAM, [ip])
        self.cut_at = self.healed_at = float('-inf')
        self.tasks = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def cut(self, seconds):
        self.cut_at, self.healed_at = now(), now() + seconds

    @property
    def is_cut(self):
        return now() < self.healed_at

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        if self.is_cut:
            # The opening packets of the channel do not arrive.
            await reader.read()
            writer.close()
            return
        to_store, from_store = None, None
        try:
            from_store, to_store = await asyncio.open_connection(
                *self.bed.store.address
            )
            answers = asyncio.ensure_future(self.pump(from_store, writer))
            self.tasks.add(answers)
            await self.pump(reader, to_store)
            answers.cancel()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            for one in (writer, to_store):
                if one is not None:
                    one.close()

    async def pump(self, reader, writer):
        while data := await reader.read(65536):
            if self.is_cut:
                sent_at, repetition = now(), 1
                healed_at = self.healed_at
                while sent_at + 0.2 * (2**repetition - 1) < healed_at:
                    repetition += 1
                arrives_at = sent_at + 0.2 * (2**repetition - 1)
                await asyncio.sleep(arrives_at - now())
                self.bed.record.write(
                    f'link: bytes sent {arrives_at - sent_at:.1f} s ago arrive, '
                    f'{arrives_at - healed_at:.1f} s after the cut'
                )
            writer.write(data)
            await writer.drain()


class Target(asyncio.DatagramProtocol):
    """One boot of a target: takes flows, runs requests and writes its entry."""

    def __init__(self, bed, name, service, address, zone, link):
        self.bed, self.name, self.service = bed, name, service
        self.link = link
        self.channel = None
        self.address, self.zone = address, zone
        self.number = int(name.rpartition('-')[2], 16)
        self.born = int(time.time() * 1000)
        self.started_at = now()
        self.state = 'ready'
        self.drained_at = None
        self.seq = 0
        self.alive = True
        self.flows = {}
        self.task = None
        self.channel_lock = asyncio.Lock()
        # When it writes its entry next.
        self.due = now()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.bed.record.write(
            f'target {self.name}: starts at {self.address}, born {self.born}'
        )
        self.task = asyncio.ensure_future(self.beat())

    def spec(self):
        self.seq += 1
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

    async def report(self):
        """Write the entry: PUT, or POST if there is none yet. Returns the status."""
        fields = {'meta': {'name': self.name}, 'spec': self.spec()}
        async with self.channel_lock:
            path = f'/objects/servers/{self.name}'
            answer = await self.call('PUT', path, fields)
            if answer is not None and answer[0] == 404:
                answer = await self.call('POST', '/objects/servers', fields)
        return answer and answer[0]

    async def call(self, method, path, fields):
        """Return status and JSON; without an answer in time, None.

        All calls use one channel. It is closed after a call without an answer.
        """
        try:
            async with asyncio.timeout(1.0):
                if self.channel is None:
                    self.channel = await asyncio.open_connection(*self.link.address)
                reader, writer = self.channel
                writer.write(encode_call(self.link.address, method, path, fields))
                return await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if self.channel is not None:
                self.channel[1].close()
                self.channel = None
            return None

    async def beat(self):
        self.due = now()
        while True:
            await self.report()
            self.due += HEARTBEAT_S
            await asyncio.sleep(max(0.0, self.due - now()))

    async def drain(self):
        """Report draining until the store has accepted it."""
        self.state = 'draining'
        while await self.report() != 200:
            await asyncio.sleep(0.1)
        self.drained_at = now()
        self.bed.record.write(f'target {self.name}: draining is accepted')

    def crash(self):
        """End at once: all flows are lost, nothing is said."""
        self.alive = False
        self.task.cancel()
        self.transport.close()
        if self.channel is not None:
            self.channel[1].close()
        self.bed.record.write(f'target {self.name}: ends at {self.address}')

    def datagram_received(self, data, _address):
        if not self.alive or self.link.is_cut:
            return
        if int.from_bytes(data[:8], 'big') not in (0, self.number):
            return
        packet = Packet.decode(data[8:])
        if packet.total != packet.keyed_sum():
            self.bed.record.write(f'target {self.name}: a packet was changed')
            return
        key = packet.src, packet.dst
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {
                    'seq': random.getrandbits(31),
                    'next': packet.seq + 1,
                    'open': False,
                    'answer': None,
                    'arrived': now(),
                }
                self.bed.opening_arrived(self, packet)
            flow['echo'] = packet.echo
            self.send(flow, packet, SYN | ACK, flow['seq'])
            return
        if flow is None or packet.ack < flow['seq'] + 1:
            reset = Packet(packet.dst, packet.src, RST, packet.ack, packet.seq)
            self.transport.sendto(reset.encode(), self.bed.requester_address(packet))
            return
        flow['echo'] = packet.echo
        if not flow['open']:
            flow['open'] = True
            flow['opened_at'] = now()
        if packet.flags & RST:
            self.flows.pop(key)
        elif packet.flags & FIN:
            self.flows.pop(key)
            self.send(flow, packet, FIN | ACK, packet.ack)
        elif packet.body:
            if packet.seq == flow['next']:
                flow['next'] += len(packet.body)
                flow['answer'] = self.run(packet)
            if flow['answer'] is not None:
                self.send(flow, packet, ACK, packet.ack, flow['answer'])

    def run(self, packet):
        request_id = re.search(rb'X-Request-Id: (\S+)', packet.body)[1].decode()
        self.bed.ran(self, request_id)
        content = f'{request_id} from {self.name}'.encode()
        return (
            b'HTTP/1.1 200 OK\r\nX-Target-Signature: %08x\r\nX-Target-Id: %s\r\n'
            b'Content-Length: %d\r\n\r\n%s'
            % (zlib.crc32(KEY + content), self.name.encode(), len(content), content)
        )

    def send(self, flow, packet, flags, seq, body=b''):
        answer = Packet(
            packet.dst, packet.src, flags, seq, flow['next'], flow['echo'], body
        )
        self.transport.sendto(answer.encode(), self.bed.requester_address(packet))


class Requester(asyncio.DatagramProtocol):
    """The requesters of one address; each flow has a port of its own."""

    def __init__(self, bed, ip, zone):
        self.bed, self.ip, self.zone = bed, ip, zone
        self.flows = {}
        self.next_port = 20000

    async def start(self, port):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, port)
        )

    def datagram_received(self, data, _address):
        packet = Packet.decode(data)
        flow = self.flows.get((packet.dst, packet.src))
        if flow is not None:
            flow.received(packet)

    async def attempt(self, route, requests, pause):
        """Open a flow, send requests on it one after the other, and close it."""
        self.next_port += 1
        flow = Flow(self, (self.ip, self.next_port), route)
        self.flows[flow.own, route] = flow
        try:
            return await flow.use(requests, pause)
        finally:
            self.flows.pop((flow.own, route))


class Flow:
    """One flow of a requester, with at most one request at a time."""

    def __init__(self, requester, own, route):
        self.bed, self.requester = requester.bed, requester
        self.own, self.route = own, route
        self.seq = random.getrandbits(30)
        self.their_seq = None
        self.echo = 0
        self.inbox = asyncio.Queue()

    def received(self, packet):
        if packet.flags & RST:
            self.bed.reset_received(self, packet)
        self.inbox.put_nowait(packet)

    def send(self, flags, seq, ack, body=b''):
        packet = Packet(self.own, self.route, flags, seq, ack, self.echo, body)
        self.bed.route_packet(self.requester, packet)

    async def use(self, requests, pause):
        """Return the outcomes of the requests: 'served', 'reset' or 'silent'."""
        opened = await self.open()
        if opened != 'open':
            return [opened]
        outcomes = []
        for index in range(requests):
            if index:
                await asyncio.sleep(pause)
            outcomes.append(await self.request())
            if outcomes[-1] != 'served':
                return outcomes
        self.send(FIN | ACK, self.seq, self.their_seq)
        return outcomes

    async def open(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, copy)
            packet = await self.next_packet(wait)
            if packet is None:
                continue
            if packet.flags & RST:
                return 'reset'
            if packet.flags & SYN:
                self.echo = packet.echo
                self.seq += 1
                self.their_seq = packet.seq + 1
                self.send(ACK, self.seq, self.their_seq)
                return 'open'
        return 'silent'

    async def request(self):
        request_id = f'{random.getrandbits(64):016x}'
        body = f'GET /x HTTP/1.1\r\nX-Request-Id: {request_id}\r\n\r\n'.encode()
        self.bed.sent(self, request_id)
        deadline = now() + 2.0
        wait = 0.2
        while now() < deadline:
            self.send(ACK, self.seq, self.their_seq, body)
            until = min(now() + wait, deadline)
            while (left := until - now()) > 0:
                packet = await self.next_packet(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.bed.answered(request_id, 'reset')
                    return 'reset'
                if packet.body and packet.seq == self.their_seq:
                    self.echo = packet.echo
                    self.seq += len(body)
                    self.their_seq += len(packet.body)
                    self.bed.answered(request_id, 'served', packet.body)
                    return 'served'
            wait = min(wait * 2, 1.6)
        self.bed.answered(request_id, 'silent')
        return 'silent'

    async def next_packet(self, wait):
        try:
            return await asyncio.wait_for(self.inbox.get(), wait)
        except TimeoutError:
            return None


class Relay:
    """One relay process on an address of its own."""

    def __init__(self, bed, node, ip, zone):
        self.bed, self.node, self.ip, self.zone = bed, node, ip, zone
        self.process = None
        self.in_rotation = False
        self.misses = 2
        self.disturbed_at = float('-inf')

    def start(self):
        bed = self.bed
        fields = {
            'node': self.node,
            'ip': self.ip,
            'zone': self.zone,
            'listen': {
                'packet_listen': f'{self.ip}:{bed.packet_port}',
                'ready': f'{self.ip}:{bed.ready_port}',
            },
            'internal_ports': [bed.peer_port, bed.peer_port + 1],
            'seeds': [f'{one.ip}:{bed.control_port}' for one in bed.relays[:3]],
            'limits': {'cpu_share': 0.731},
            'bounds': BOUNDS,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'platform': {'address': f'{bed.store.address[0]}:{bed.store.address[1]}'},
        }
        settings = bed.folder / f'{self.node}.json'
        settings.write_text(fill(bed.template, fields))
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['LYCHEEDEAL_CONFIG'] = str(settings)
        log = open(bed.folder / f'{self.node}.log', 'ab')
        self.process = subprocess.Popen(
            bed.command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def probe(self):
        """Ask for readiness twice a second, as the platform does."""
        while True:
            answer = await probe_once((self.ip, self.bed.ready_port))
            self.misses = 0 if answer else self.misses + 1
            ready = self.misses < 2
            if ready != self.in_rotation:
                self.in_rotation = ready
                self.bed.record.write(f'router: {self.node} in rotation: {ready}')
            await asyncio.sleep(0.5)


async def probe_once(address):
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                return b' 200 ' in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


def fill(template, fields):
    """Fill the placeholders of the deploy file's template."""

    def value(match):
        found = fields
        for part in match[1].split('.'):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return json.dumps(found)

    return re.sub(r'\{\{([a-z_.0-9]+)\|json\}\}', value, template)


def free_net(port):
    """Return the first half of loopback addresses where a TCP port is free."""
    for _ in range(200):
        net = f'127.{random.randrange(20, 250)}'
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as one:
                one.bind((f'{net}.0.1', port))
                return net
        except OSError:
            continue
    raise OSError(f'no loopback network with port {port} free')


def free_port(kind, ips):
    """Return a port that is free at all addresses."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        taken = []
        try:
            for ip in ips:
                one = socket.socket(socket.AF_INET, kind)
                taken.append(one)
                one.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for one in taken:
                one.close()
    raise OSError('no free port')


class Bed:
    """A small deployment: zones with two relays each, and the stand-ins around it."""

    def __init__(self, record_path, zones=('a', 'b')):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix='lychee-review-')
        self.folder = Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        role = deploy['relay']
        self.command = role['run'].split(' ')
        self.template = (ROOT / role['template']).read_text()
        self.zones = zones
        self.net = free_net(METRICS_PORT)
        ips = [
            f'{self.net}.{zone}.{one}' for zone in range(len(zones)) for one in (1, 2)
        ]
        requester_ips = [f'{self.net}.{100 + zone}.1' for zone in range(len(zones))]
        self.packet_port = free_port(socket.SOCK_DGRAM, ips + requester_ips)
        self.peer_port = free_port(socket.SOCK_DGRAM, ips)
        self.ready_port = free_port(socket.SOCK_STREAM, ips)
        self.control_port = free_port(socket.SOCK_STREAM, ips)
        store_ip = f'{self.net}.200.1'
        store_address = store_ip, free_port(socket.SOCK_STREAM, [store_ip])
        self.store = Store(store_address, self.record)
        self.relays = [
            Relay(self, f'edge-{zones[at // 2]}-{at % 2 + 1}', ip, zones[at // 2])
            for at, ip in enumerate(ips)
        ]
        self.requesters = [
            Requester(self, ip, zones[at]) for at, ip in enumerate(requester_ips)
        ]
        self.targets, self.links = [], []
        self.next_target = 0
        self.tasks = []
        self.sent_at, self.outcomes, self.runs = {}, {}, {}
        self.breaks = []
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def new_address(self):
        self.next_target += 1
        ip = f'{self.net}.210.{self.next_target}'
        return ip, free_port(socket.SOCK_DGRAM, [ip])

    async def add_target(self, service, zone, name=None):
        """Start a target on a machine of its own; ``name`` is its id, if it has one."""
        name = name or f'i-{random.getrandbits(40) | 1 << 39:010x}'
        address = self.new_address()
        link = Link(self, address[0])
        await link.start()
        self.links.append(link)
        target = Target(self, name, service, address, zone, link)
        self.targets.append(target)
        await target.start()
        return target

    async def write_config(self, version, routes):
        """Write the desired state; ``routes`` are name, port and service of each."""
        spec = {
            'version': version,
            'routes': [
                {
                    'name': name,
                    'hostname': ROUTE_IP,
                    'path_prefix': f'/{port}/',
                    'type': 'idempotent',
                    'timeout_ms': 2000,
                    'aim_ms': 100,
                    'priority': 1,
                    'service': service,
                    'max_attempts': 2,
                }
                for name, port, service in routes
            ],
            'services': [
                {
                    'name': service,
                    'health_path': '/healthz',
                    'max_conns': 4286,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in sorted({service for _, _, service in routes})
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        fields = {'meta': {'name': 'main'}, 'spec': spec}
        if 'main' in self.store.objects.get('config', {}):
            method, path = 'PUT', '/objects/config/main'
        else:
            method, path = 'POST', '/objects/config'
        answer = await http_call(self.store.address, method, path, fields)
        self.record.write(f'operator: version {version} is acknowledged: {answer[0]}')

    async def start(self):
        await self.store.start()
        for requester in self.requesters:
            await requester.start(self.packet_port)

    def start_relays(self):
        for relay in self.relays:
            relay.start()
            self.tasks.append(asyncio.ensure_future(relay.probe()))

    async def wait_ready(self, seconds=20.0):
        """Wait until all relays are in rotation; raises CannotRun."""
        deadline = now() + seconds
        while not all(relay.in_rotation for relay in self.relays):
            if now() > deadline:
                raise CannotRun('relays did not get ready')
            await asyncio.sleep(0.05)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            relay.stop()
        for target in self.targets:
            if target.alive:
                target.crash()
        for link in self.links:
            link.close()
        self.store.close()
        self.record.close()
        self.temporary.cleanup()

    def traffic(self, route, per_second, requests=1, pause=0.0):
        """Let new requesters arrive in each zone until the bed is closed."""
        for requester in self.requesters:
            self.tasks.append(
                asyncio.ensure_future(
                    self.arrivals(requester, route, per_second, requests, pause)
                )
            )

    async def arrivals(self, requester, route, per_second, requests, pause):
        pending = set()
        while True:
            await asyncio.sleep(random.expovariate(per_second))
            task = asyncio.ensure_future(requester.attempt(route, requests, pause))
            pending.add(task)
            task.add_done_callback(pending.discard)

    def requester_address(self, packet):
        return packet.src[0], self.packet_port

    def route_packet(self, requester, packet):
        """Send a packet to a relay of the zone, by a hash of its four addresses."""
        own = [one for one in self.relays if one.zone == requester.zone]
        rotation = [one for one in own if one.in_rotation]
        if len(rotation) * 2 < len(own):
            rotation = own
        text = f'{packet.src}{packet.dst}'
        relay = max(rotation, key=lambda one: zlib.crc32(f'{text}{one.node}'.encode()))
        requester.transport.sendto(packet.encode(), (relay.ip, self.packet_port))

    def sent(self, flow, request_id):
        self.sent_at[request_id] = now()
        self.record.write(f'sent {request_id} on {flow.own[1]} to {flow.route[1]}')

    def answered(self, request_id, outcome, body=b''):
        self.outcomes[request_id] = outcome
        self.count(outcome)
        self.record.write(f'answered {request_id}: {outcome}')
        if outcome == 'served' and request_id.encode() not in body:
            self.breaks.append(f'MIXED: {request_id} got another answer')

    def ran(self, target, request_id):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.write(f'ran {request_id} at {target.name} {target.address}')
        if request_id not in self.sent_at:
            self.breaks.append(f'UNASKED: {request_id} at {target.name}')

    def opening_arrived(self, target, packet):
        drained = target.drained_at
        if drained is None or now() - drained <= BOUNDS['drain_ms'] / 1000:
            return
        self.record.write(
            f'DRAIN: opening {packet.src} reaches {target.name}, which is draining, '
            f'{now() - drained:.3f} s after the acknowledgement'
        )
        window = BOUNDS['stable_window_ms'] / 1000
        calm = now() - window
        if target.link.healed_at > calm:
            self.count('late openings held up')
        elif self.is_calm(min(calm, drained - window)):
            self.breaks.append(f'DRAIN: {packet.src} at {target.name}')
        else:
            self.count('late openings that do not count')

    def reset_received(self, flow, packet):
        """Check FLOW: a reset by a relay while the flow's target lives."""
        if packet.total:
            return
        self.count('resets by relays')
        key = flow.own, flow.route
        for target in self.targets:
            held = target.flows.get(key)
            if not target.alive or held is None or not held['open']:
                continue
            self.record.write(
                f'FLOW: reset by a relay on {flow.own}, open at {target.name} '
                f'{target.address} since {now() - held["opened_at"]:.3f} s'
            )
            window = BOUNDS['stable_window_ms'] / 1000
            calm = now() - window
            is_undisturbed = max(target.started_at, target.link.healed_at) <= calm
            if is_undisturbed and self.is_calm(calm):
                self.breaks.append(f'FLOW: {flow.own} at {target.name}')
            else:
                self.count('resets that do not count')

    def is_calm(self, since):
        """Return whether store and relays were without disturbance since a time."""
        times = [self.store.disturbed_at, *(one.disturbed_at for one in self.relays)]
        return max(times) <= since


class CannotRun(Exception):
    """The case could not be played."""


def main(play, record_path, trouble):
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it cannot run."""
    try:
        return asyncio.run(run(play, record_path, trouble))
    except (CannotRun, OSError) as error:
        print(f'cannot run: {error}', file=sys.stderr)
        return 2


async def run(play, record_path, trouble):
    bed = Bed(record_path)
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number_ in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number_, task.cancel)
    try:
        async with asyncio.timeout(110):
            await bed.start()
            verdict = await play(bed, trouble)
        bed.record.write(f'counts: {bed.counts}')
        bed.record.write(f'verdict: {verdict}')
        print(f'trouble {int(trouble)}: {verdict}; {bed.counts}')
        return 1 if verdict else 0
    finally:
        bed.close()
