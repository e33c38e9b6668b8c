"""Client of the platform's store, against a server that misbehaves."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

from lycheedeal import relay
from lycheedeal.ids import Endpoint
from lycheedeal.platform import _store
from lycheedeal.platform._answers import decode_answer
from lycheedeal.platform._objects import DecodedObjects
from lycheedeal.platform._store import StoreClient
from lycheedeal.relay import StoreFault, StoreKind
from standins.object_store import ObjectStoreServer
from tests.platform_entries import SOUND_ENTRY

TIMEOUT_SECONDS = 10.0
# Far longer than the pause between two calls of a host that watches.
IDLE_SECONDS = 2.0
UPSTREAMS = StoreKind.UPSTREAMS

# Answers the requests of one connection, which come as their paths.
Script = Callable[[asyncio.Queue[str], asyncio.StreamWriter], Awaitable[None]]


def response(body: Any, era: str = '') -> bytes:
    return raw_response(json.dumps(body).encode(), era)


def raw_response(content: bytes, era: str = '') -> bytes:
    header = f'Store-Era: {era}\r\n' if era else ''
    head = f'HTTP/1.1 200 -\r\n{header}Content-Length: {len(content)}\r\n\r\n'
    return head.encode() + content


def listed(revision: int, *names: str, era: str = '') -> bytes:
    items = [{'meta': {'name': name, 'revision': revision}} for name in names]
    body = {'items': items, 'has_more': False, 'store_revision': revision}
    return response(body, era)


def changed(revision: int, *names: str) -> bytes:
    events = [
        {'object': {'meta': {'name': name, 'revision': revision}}, 'deleted': True}
        for name in names
    ]
    return response({'events': events, 'store_revision': revision})


class Harness:
    """A store with one script for each connection, and a client of it."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts: Iterator[Script] = iter(scripts)
        self._writers: list[asyncio.StreamWriter] = []
        self.events: asyncio.Queue[relay.Event] = asyncio.Queue()

    async def start(self) -> StoreClient:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        endpoint = Endpoint(*self._server.sockets[0].getsockname())
        return StoreClient(endpoint, self.events.put_nowait, relay.Metrics())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        paths: asyncio.Queue[str] = asyncio.Queue()
        script = asyncio.ensure_future(next(self._scripts)(paths, writer))
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                paths.put_nowait(head.split()[1].decode())
        except (asyncio.IncompleteReadError, ConnectionError):
            script.cancel()

    async def close(self) -> None:
        """Close all connections while the loop still runs."""
        self._server.close()
        for writer in self._writers:
            writer.close()
            try:
                await writer.wait_closed()
            except OSError:
                # The client has already closed or reset the connection.
                continue

    async def next_event(self) -> relay.Event:
        """Return the event of the next call that ends."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                event = await self.events.get()
                if not isinstance(event, relay.CallProgressed):
                    return event


def play(
    test: Callable[[Harness, StoreClient], Awaitable[None]], *scripts: Script
) -> None:
    async def run() -> None:
        harness = Harness(*scripts)
        client = await harness.start()
        try:
            await test(harness, client)
        finally:
            client.close()
            await harness.close()

    asyncio.run(run())


def position(era: int, revision: int) -> relay.Position:
    return relay.Position(relay.Era(era), relay.Revision(revision))


def assert_revision(event: relay.Event, revision: int) -> None:
    assert isinstance(event, relay.ListAnswered | relay.WatchAnswered)
    assert event.position.revision == revision


def assert_fault(event: relay.Event, fault: StoreFault) -> None:
    assert isinstance(event, relay.CallFailed)
    assert event.fault is fault


@pytest.mark.parametrize('pause_seconds', [0, 0.2])
@pytest.mark.parametrize('extra', [listed(5, 'i-1'), b'not HTTP'])
def test_second_copy_of_an_answer_is_not_the_next_answer(
    pause_seconds: float, extra: bytes
) -> None:
    """Guards against an answer that is taken for that of the next request.

    The store sends a copy of its answer, or something else, at once or late, while
    no request waits.
    """

    async def repeat(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1'))
        await asyncio.sleep(pause_seconds)
        writer.write(extra)

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(6, 'i-1'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 5)
        await asyncio.sleep(2 * pause_seconds + 0.1)
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 6)

    play(test, repeat, answer)


@pytest.mark.parametrize(
    'copy',
    [
        pytest.param(changed(7, 'i-1'), id='of a watch with changes'),
        pytest.param(changed(7), id='of a watch without changes'),
        pytest.param(listed(6, 'i-1'), id='of a list'),
    ],
)
def test_copy_of_an_answer_to_an_earlier_request_is_refused(copy: bytes) -> None:
    """Guards against news that come one request late from then on.

    The copy arrives while the next watch waits, so only its content can tell.
    """

    async def repeat(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(changed(7, 'i-1'))
        await paths.get()
        writer.write(copy)

    async def test(harness: Harness, client: StoreClient) -> None:
        client.watch_objects(UPSTREAMS, position(0, 6), 1.5)
        assert_revision(await harness.next_event(), 7)
        client.watch_objects(UPSTREAMS, position(0, 7), 1.5)
        assert_fault(await harness.next_event(), StoreFault.MALFORMED)

    play(test, repeat)


@pytest.mark.parametrize('event', [{}, {'object': None}, None, 'text'])
def test_change_that_names_no_object_is_not_passed_over(event: Any) -> None:
    """Guards against a position after a change that was not read."""

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(response({'events': [event], 'store_revision': 7}))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.watch_objects(StoreKind.CONFIGURATION, position(0, 6), 1.5)
        answered = await harness.next_event()
        assert isinstance(answered, relay.WatchAnswered)
        assert answered.unusable == ('',)

    play(test, answer)


def test_older_list_on_a_connection_in_use_is_refused() -> None:
    """Guards against content that goes back to an earlier revision."""

    async def go_back(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for revision in (6, 5):
            await paths.get()
            writer.write(listed(revision, 'i-1'))

    async def restored(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 6)
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.MALFORMED)
        # On a new connection there is no earlier answer.
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 5)

    play(test, go_back, restored)


def test_list_of_a_restored_store_goes_back_to_an_earlier_revision() -> None:
    """Guards against a client that takes the new history for copies of old answers."""

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for era, revision in ((1, 6), (2, 5), (1, 7)):
            await paths.get()
            writer.write(listed(revision, 'i-1', era=str(era)))

    async def test(harness: Harness, client: StoreClient) -> None:
        for era, revision in ((1, 6), (2, 5)):
            client.list_objects(UPSTREAMS)
            event = await harness.next_event()
            assert isinstance(event, relay.ListAnswered)
            assert event.position == (era, revision)
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.MALFORMED)

    play(test, answer)


@pytest.mark.parametrize('era', ['-1', 'two', '1.5'])
def test_era_that_is_no_number_is_a_failure(era: str) -> None:
    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1', era=era))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.MALFORMED)

    play(test, answer)


def test_watch_tells_the_era_although_its_changes_have_early_revisions() -> None:
    """Guards against changes of a new history that are refused as old copies."""

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(9, 'i-1', era='1'))
        await paths.get()
        item = {'meta': {'name': 'i-1', 'revision': 4}}
        events = [{'object': item, 'deleted': True}]
        writer.write(response({'events': events, 'store_revision': 4}, era='2'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        await harness.next_event()
        client.watch_objects(UPSTREAMS, position(1, 9), 1.5)
        event = await harness.next_event()
        assert isinstance(event, relay.WatchAnswered)
        assert event.position == (2, 4)

    play(test, answer)


def page(number: int, more: bool, era: str = '') -> bytes:
    items = [{'meta': {'name': f'i-{number}', 'revision': number}}]
    body = {'items': items, 'has_more': more, 'store_revision': 9}
    return response(body, era)


def test_pages_of_two_histories_are_no_list() -> None:
    """Guards against a list that mixes content from before and after a restore."""

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(page(1, more=True, era='1'))
        await paths.get()
        writer.write(page(2, more=False, era='2'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.HISTORY_LOST)

    play(test, answer)


def test_list_that_may_lag_asks_for_cheap_reads_only() -> None:
    """Guards against pages of one list that are of different age or price."""
    asked: list[str] = []

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for number in range(1, 3):
            asked.append(await paths.get())
            writer.write(page(number, more=number < 2))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(StoreKind.EVACUATIONS, may_lag=True)
        assert_revision(await harness.next_event(), 9)

    play(test, answer)
    path = '/objects/evacuations?serializable=1'
    assert asked == [path, f'{path}&after=i-1']


def test_long_list_may_take_longer_than_one_answer() -> None:
    """Guards against a long list that is given up and begun again for ever.

    A busy store takes its time for each page; a host is not ready without the list.
    """

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for number in range(1, 4):
            await paths.get()
            await asyncio.sleep(0.5)
            writer.write(page(number, more=number < 3))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 9)

    play(test, answer)


def long_answer(watches: bool) -> bytes:
    """Return an answer that takes 2 s over a link of 1 Mbit/s."""
    odd = {'meta': {'name': 'backup', 'revision': 9}, 'spec': {'note': 'n' * 250_000}}
    sound = {'meta': {'name': 'i-1', 'revision': 9}, 'spec': SOUND_ENTRY}
    if watches:
        events = [{'object': one, 'deleted': False} for one in (odd, sound)]
        return response({'events': events, 'store_revision': 9})
    return response({'items': [odd, sound], 'has_more': False, 'store_revision': 9})


async def send_slowly(
    writer: asyncio.StreamWriter,
    content: bytes,
    bytes_per_second: int,
    pause_seconds: float = 0.05,
) -> None:
    step = int(bytes_per_second * pause_seconds)
    for start in range(0, len(content), step):
        writer.write(content[start : start + step])
        await asyncio.sleep(pause_seconds)


def call(client: StoreClient, watches: bool) -> None:
    if watches:
        client.watch_objects(UPSTREAMS, position(0, 5), 1.0)
    else:
        client.list_objects(UPSTREAMS)


@pytest.mark.parametrize('watches', [False, True])
def test_answer_may_take_as_long_as_its_link_needs(watches: bool) -> None:
    """Guards against a call that is given up halfway and begun anew for ever.

    A large object on a narrow link takes longer than a short answer may take.
    """

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        await send_slowly(writer, long_answer(watches), 125_000)

    async def test(harness: Harness, client: StoreClient) -> None:
        call(client, watches)
        event = await harness.next_event()
        assert isinstance(event, relay.ListAnswered | relay.WatchAnswered)
        assert list(map(name_of, event.entries)) == ['i-1']

    play(test, answer)


@pytest.mark.parametrize('watches', [False, True])
@pytest.mark.parametrize('sent_bytes', [0, 100, 100_000])
def test_store_that_falls_silent_is_left_at_once(
    sent_bytes: int, watches: bool
) -> None:
    """Guards against a store that counts as alive because an answer has begun."""

    async def stop(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(long_answer(watches)[:sent_bytes])

    async def test(harness: Harness, client: StoreClient) -> None:
        call(client, watches)
        async with asyncio.timeout(relay.PAGE_TIMEOUT_SECONDS + 0.8):
            event = await harness.next_event()
        assert_fault(event, StoreFault.SLOW if sent_bytes else StoreFault.SILENT)

    play(test, stop)


@pytest.mark.parametrize('watches', [False, True])
def test_store_that_answers_byte_by_byte_is_left_at_once(watches: bool) -> None:
    """Guards against a broken store that holds a call with a few bytes at a time."""

    async def drip(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        await send_slowly(writer, long_answer(watches), 2_000)

    async def test(harness: Harness, client: StoreClient) -> None:
        call(client, watches)
        async with asyncio.timeout(relay.PAGE_TIMEOUT_SECONDS + 0.8):
            assert_fault(await harness.next_event(), StoreFault.SLOW)

    play(test, drip)


def test_store_that_stays_slow_is_read_in_the_end() -> None:
    """Guards against lists that never end while many hosts share a link."""

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        await send_slowly(writer, listed(9, *map('i-{}'.format, range(100))), 3_000)

    async def test(harness: Harness, client: StoreClient) -> None:
        events = []
        for _ in range(3):
            client.list_objects(UPSTREAMS)
            events.append(await harness.next_event())
        assert_fault(events[0], StoreFault.SLOW)
        assert_revision(events[-1], 9)

    play(test, answer, answer, answer)


def test_watch_that_repeats_a_large_configuration_is_given_up_at_its_start() -> None:
    """Guards against many versions of a large object that a narrow link carries.

    A list has the last version only.
    """
    sent_all = False

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        nonlocal sent_all
        await paths.get()
        spec = {'version': 3, 'routes': [], 'note': 'n' * 700_000}
        item = {'meta': {'name': 'main', 'revision': 9}, 'spec': spec}
        events = [{'object': item, 'deleted': False}] * 2
        content = response({'events': events, 'store_revision': 9})
        await send_slowly(writer, content, 625_000)
        sent_all = True

    async def test(harness: Harness, client: StoreClient) -> None:
        client.watch_objects(StoreKind.CONFIGURATION, position(0, 5), 1.0)
        assert_fault(await harness.next_event(), StoreFault.TOO_LONG)
        assert not sent_all

    play(test, answer)


def test_list_that_takes_longer_than_the_history_reads_changes_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a long list whose position the store does not know any more.

    The changes are those of objects on the pages that have been read.
    """
    monkeypatch.setattr(_store, '_CATCH_UP_SECONDS', 0.1)
    paths_seen = []

    def entry(name: str, state: str) -> dict[str, Any]:
        spec = {**SOUND_ENTRY, 'state': state}
        return {'meta': {'name': name, 'revision': 7}, 'spec': spec}

    events = [
        {'object': entry('i-1', 'draining'), 'deleted': False},
        {'object': entry('i-2', 'ready'), 'deleted': True},
    ]
    first = {
        'items': [entry('i-1', 'ready'), entry('i-2', 'ready')],
        'has_more': True,
        'store_revision': 5,
    }
    last = {**first, 'items': [entry('i-3', 'ready')], 'has_more': False}
    bodies = [
        first,
        {'events': events, 'store_revision': 8},
        {**last, 'store_revision': 9},
        {'events': [], 'store_revision': 9},
    ]

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for body in bodies:
            paths_seen.append(await paths.get())
            await asyncio.sleep(0.2)
            writer.write(response(body))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        event = await harness.next_event()
        assert isinstance(event, relay.ListAnswered)
        assert event.position.revision >= 8
        listings = [one for one in event.entries if isinstance(one, relay.Listing)]
        assert {one.upstream_id: one.draining for one in listings} == {
            'i-1': True,
            'i-3': False,
        }
        assert paths_seen[1] == '/objects/servers?watch=5&wait_ms=0'

    play(test, answer)


def test_page_that_does_not_come_is_a_failure() -> None:
    """Guards against a list that waits for a silent store."""

    async def stop(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(page(1, more=True))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.SILENT)

    play(test, stop)


def test_watch_that_cannot_connect_is_a_failure() -> None:
    """Guards against a watch that waits for a store behind a partition."""

    async def run() -> None:
        events: asyncio.Queue[relay.Event] = asyncio.Queue()
        with socket.socket() as full, contextlib.ExitStack() as waiting:
            # Connections that nobody accepts fill the queue; more are not answered.
            full.bind(('127.0.0.1', 0))
            full.listen(0)
            for _ in range(4):
                one = waiting.enter_context(socket.socket())
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            client = StoreClient(
                Endpoint(*full.getsockname()), events.put_nowait, relay.Metrics()
            )
            client.watch_objects(UPSTREAMS, position(1, 6), 0.2)
            async with asyncio.timeout(TIMEOUT_SECONDS / 2):
                assert_fault(await events.get(), StoreFault.SILENT)
            client.close()

    asyncio.run(run())


@pytest.mark.parametrize('kept', [10, 60, -1])
def test_answer_that_breaks_off_is_a_failure(kept: int) -> None:
    """Guards against part of an answer that is taken for all of it."""

    async def break_off(
        paths: asyncio.Queue[str], writer: asyncio.StreamWriter
    ) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1', 'i-2')[:kept])
        await writer.drain()
        writer.close()

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.UNREACHABLE)

    play(test, break_off)


# Values that a JSON decoder refuses, as another writer may have left them.
REFUSED_VALUES = [
    pytest.param(b'[' * 1200 + b']' * 1200, id='deeply nested list'),
    pytest.param(b'{"a":' * 1200 + b'1' + b'}' * 1200, id='deeply nested fields'),
    pytest.param(b'"\xff"', id='not UTF-8'),
    pytest.param(b'"a\nb"', id='control character'),
    pytest.param(b'1' * 5000, id='long number'),
    pytest.param(b'-1e99999', id='infinite number'),
]
SOUND_SPEC = json.dumps(SOUND_ENTRY, separators=(',', ':')).encode()


@pytest.mark.parametrize('value', REFUSED_VALUES)
@pytest.mark.parametrize('field', [b'service', b'slots', b'born'])
@pytest.mark.parametrize('watches', [False, True])
def test_odd_value_in_an_answer_costs_its_own_entry_only(
    value: bytes, field: bytes, watches: bool
) -> None:
    """Guards against hosts that stop following the store after one odd entry.

    The whole answer could not be read, and the call did not report its end.
    """
    odd = SOUND_SPEC.replace(b'"%b":' % field, b'"%b":%b,"old":' % (field, value))
    objects = [
        b'{"meta":{"name":"%b","revision":9},"spec":%b}' % (name, spec)
        for name, spec in ((b'i-1', SOUND_SPEC), (b'i-f0', odd), (b'i-2', SOUND_SPEC))
    ]
    if watches:
        events = b','.join(b'{"object":%b,"deleted":false}' % one for one in objects)
        body = b'{"events":[%b],"store_revision":9}' % events
    else:
        body = b'{"items":[%b],"store_revision":9}' % b','.join(objects)

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(raw_response(body))

    async def test(harness: Harness, client: StoreClient) -> None:
        if watches:
            client.watch_objects(UPSTREAMS, position(0, 5), 1)
        else:
            client.list_objects(UPSTREAMS)
        event = await harness.next_event()
        assert isinstance(event, relay.ListAnswered | relay.WatchAnswered)
        names = [
            one.upstream_id for one in event.entries if isinstance(one, relay.Listing)
        ]
        assert names == ['i-1', 'i-2']
        assert event.unusable == ('i-f0',)

    play(test, answer)


def test_answer_that_takes_long_to_decode_does_not_stop_the_process() -> None:
    """Guards against one odd entry that holds up packets on small hosts.

    Values with many levels are replaced one by one, which takes a small host seconds.
    """
    value = b'[' * 1200 + b'[],' * 300_000 + b'1' + b']' * 1200
    item = b'{"meta":{"name":"i-f0"},"spec":%b}' % value
    body = b'{"items":[%b],"store_revision":9}' % item
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    async def run() -> None:
        counter = asyncio.create_task(count_turns())
        await decode_answer(body, progressed=lambda: None)
        counter.cancel()

    asyncio.run(run())
    assert turns > 100


def test_call_reports_its_end_after_an_error_of_any_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that waits for ever for the end of a call."""

    def fail(*_arguments: object) -> None:
        raise AssertionError('fault of the program')

    monkeypatch.setattr(DecodedObjects, 'add', fail)

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        event = await harness.next_event()
        assert_fault(event, StoreFault.MALFORMED)

    play(test, answer)


@pytest.mark.parametrize(
    ('last', 'after'),
    [
        ('i-2', 'i-2'),
        ('i 2&watch=1\r\n', 'i-1'),
        ('i-\udcff', 'i-1'),
        ('i 2&watch=1#/%41', 'i%202%26watch%3D1%23%2F%2541'),
        ('i-\u00e9', 'i-%C3%A9'),
    ],
)
def test_list_goes_on_after_a_page_that_ends_with_an_odd_name(
    last: str, after: str
) -> None:
    """Guards against a list that never ends well because of one name in it."""
    paths_seen = []
    body = {
        'items': [{'meta': {'name': name}} for name in ('i-1', last)],
        'has_more': True,
        'store_revision': 5,
    }

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        paths_seen.append(await paths.get())
        writer.write(response(body))
        paths_seen.append(await paths.get())
        writer.write(listed(5, 'i-3'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 5)
        assert paths_seen[1] == f'/objects/servers?after={after}'

    play(test, answer)


# Names of another writer's objects, none of which a host can use.
ODD_NAMES = [
    pytest.param('', id='empty'),
    pytest.param('i-f0' * 50, id='long'),
    pytest.param('i-f0' * 50_000, id='longer than a request may be'),
    pytest.param('backup-\udcff', id='not UTF-8'),
    pytest.param('\udcffbackup', id='not UTF-8 from its start'),
    pytest.param('\udcf0\udc9fbackup', id='broken character'),
    pytest.param('i-\r\n&watch=1', id='control characters'),
    pytest.param('zz-\U0010ffff', id='last character'),
]


async def listed_names(store: ObjectStoreServer, kind: StoreKind) -> set[str]:
    """Return the names of the usable objects in a list of a kind."""
    events: asyncio.Queue[relay.Event] = asyncio.Queue()
    await store.start()
    client = StoreClient(store.endpoint, events.put_nowait, relay.Metrics())
    try:
        client.list_objects(kind)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while isinstance(event := await events.get(), relay.CallProgressed):
                continue
    finally:
        client.close()
        store.close()
        # Lets the connections of the client end.
        await asyncio.sleep(0.01)
    assert isinstance(event, relay.ListAnswered), event
    return set(map(name_of, event.entries))


def name_of(entry: relay.Entry) -> str:
    match entry:
        case relay.Listing(upstream_id=name) | relay.Evacuation(zone=name):
            return name
        case _:
            raise AssertionError(entry)


@pytest.mark.parametrize('objects', [1, 3])
@pytest.mark.parametrize('name', ODD_NAMES)
def test_list_goes_on_after_a_page_of_odd_names_only(name: str, objects: int) -> None:
    """Guards against one odd entry that hides all other entries from every host.

    An entry of 1 MB takes a page of the list alone.
    """
    usable = {'a-1', 'i-1', 'i-f1', 'zz-1'}

    async def run() -> None:
        store = ObjectStoreServer(page_objects=objects, page_bytes=2_000)
        for one in usable:
            await store.put('servers', one, SOUND_ENTRY)
        for number in range(objects):
            await store.put('servers', name + 'x' * number, {'note': 'n' * 10_000})
        assert await listed_names(store, UPSTREAMS) == usable

    asyncio.run(run())


@pytest.mark.parametrize('name', ODD_NAMES)
def test_list_of_evacuations_goes_on_after_a_page_of_odd_names_only(name: str) -> None:
    """Guards against one odd object that hides evacuations from every host."""

    async def run() -> None:
        store = ObjectStoreServer(page_objects=1)
        for one in ('north', 'south', name):
            await store.put('evacuations', one, {})
        listed = await listed_names(store, StoreKind.EVACUATIONS)
        assert {'north', 'south'} <= listed

    asyncio.run(run())


@pytest.mark.parametrize('name', ODD_NAMES)
def test_list_goes_on_if_the_store_rejects_an_odd_name(name: str) -> None:
    """Guards against a store that refuses to continue after a name that it has."""
    usable = {'a-1', 'i-1', 'i-f1', 'zz-1'}

    async def run() -> None:
        store = ObjectStoreServer(page_objects=1)
        store.rejects_odd_names = True
        for one in usable:
            await store.put('servers', one, SOUND_ENTRY)
        await store.put('servers', name, None)
        assert await listed_names(store, UPSTREAMS) == usable

    asyncio.run(run())


@pytest.mark.parametrize('name', ['', 'i-1'])
def test_list_that_does_not_go_on_is_a_failure(name: str) -> None:
    """Guards against a part of a list that is taken for all of it."""
    body = {
        'items': [{'meta': {'name': name}}],
        'has_more': True,
        'store_revision': 5,
    }

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        while True:
            await paths.get()
            writer.write(response(body))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_fault(await harness.next_event(), StoreFault.MALFORMED)

    play(test, answer)


@pytest.mark.parametrize('items', [[], [{'spec': {}}], ['text']])
def test_list_that_stops_at_a_page_without_names_tells_what_it_has(
    items: list[Any],
) -> None:
    """Guards against a page without names that hides the pages before it."""
    sound = {'meta': {'name': 'i-1', 'revision': 5}, 'spec': SOUND_ENTRY}

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        for listed_items in ([sound], items):
            await paths.get()
            body = {'items': listed_items, 'has_more': True, 'store_revision': 5}
            writer.write(response(body))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        event = await harness.next_event()
        assert isinstance(event, relay.CallFailed)
        assert event.fault is StoreFault.MALFORMED
        assert event.readable is not None
        assert list(map(name_of, event.readable.entries)) == ['i-1']
        # The list proves of no upstream that it is gone.
        assert event.readable.unusable == ('',)

    play(test, answer)


def test_connection_that_went_silent_while_idle_does_not_delay_a_list() -> None:
    """Guards against a list that waits for its timeout on a connection long unused."""

    async def answer_once(
        paths: asyncio.Queue[str], writer: asyncio.StreamWriter
    ) -> None:
        await paths.get()
        writer.write(listed(5, 'i-1'))

    async def answer(paths: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        await paths.get()
        writer.write(listed(6, 'i-1'))

    async def test(harness: Harness, client: StoreClient) -> None:
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 5)
        await asyncio.sleep(IDLE_SECONDS)
        client.list_objects(UPSTREAMS)
        assert_revision(await harness.next_event(), 6)

    play(test, answer_once, answer)
