"""The client against the stand-in of the object API, over loopback."""

import asyncio
from collections.abc import Callable, Coroutine

import aiohttp
import uvloop

from lycheedeal import kernel
from lycheedeal.kernel import ApiCall, ApiStatus
from lycheedeal.runtime._platform import PlatformClient
from standins.platform import PlatformServer

KEY = 'config/north/3'


class Setup:
    """A server, a client and what the client delivered."""

    def __init__(self) -> None:
        self.server = PlatformServer(host_lag=0)
        self.events: asyncio.Queue[kernel.Event] = asyncio.Queue()
        self.base_url = ''
        self.client = PlatformClient('http://127.0.0.1:1', self.events.put_nowait)

    async def start(self) -> None:
        await self.server.start()
        self.base_url = f'http://127.0.0.1:{self.server.port}'
        self.client = PlatformClient(self.base_url, self.events.put_nowait)
        await self.client.start()

    async def close(self) -> None:
        await self.client.close()
        await self.server.close()

    async def call(
        self,
        operation: ApiCall,
        key: str = KEY,
        version: int = 0,
        body: bytes = b'',
    ) -> kernel.ApiReplied:
        self.client.submit(kernel.CallApi(7, operation, key, version, body))
        reply = await self.next_event()
        assert isinstance(reply, kernel.ApiReplied)
        return reply

    async def next_event(self) -> kernel.Event:
        return await asyncio.wait_for(self.events.get(), 20)

    async def control(self, path: str) -> None:
        async with aiohttp.ClientSession() as session:
            await session.post(f'{self.base_url}/control/{path}')


def on_loopback(
    scenario: Callable[[Setup], Coroutine[None, None, None]],
) -> Callable[[], None]:
    async def main() -> None:
        setup = Setup()
        await setup.start()
        try:
            await scenario(setup)
        finally:
            await setup.close()

    def test() -> None:
        uvloop.run(main())

    test.__doc__ = scenario.__doc__
    return test


@on_loopback
async def test_conditional_write_takes_effect_once(setup: Setup) -> None:
    """Guards against one of two racing operators overwriting the other."""
    created = await setup.call(ApiCall.WRITE, body=b'one')
    second = await setup.call(ApiCall.WRITE, body=b'other')
    stale = await setup.call(ApiCall.WRITE, version=5, body=b'other')
    read = await setup.call(ApiCall.READ)
    assert (created.status, created.version) == (ApiStatus.OK, 1)
    assert second.status is stale.status is ApiStatus.CONFLICT
    assert (read.version, read.body) == (1, b'one')


@on_loopback
async def test_recreated_object_starts_at_version_one_again(setup: Setup) -> None:
    """Guards against trusting the object version instead of the generation."""
    await setup.call(ApiCall.WRITE, body=b'one')
    setup.server.store.delete(KEY, None)
    missing = await setup.call(ApiCall.READ)
    again = await setup.call(ApiCall.WRITE, body=b'two')
    assert missing.status is ApiStatus.NOT_FOUND
    assert again.version == 1


@on_loopback
async def test_lost_answer_is_unknown_and_sent_once(setup: Setup) -> None:
    """Guards against a repeated PUT that hides a write which took effect."""
    await setup.call(ApiCall.WRITE, body=b'one')
    await setup.control('lose-answer?count=1')
    reply = await setup.call(ApiCall.WRITE, version=1, body=b'two')
    stored = setup.server.store.get(KEY)
    assert reply.status is ApiStatus.UNKNOWN
    assert stored is not None
    assert (stored.version, stored.body) == (2, b'two')
    assert setup.server.counter.calls_by_operation['write'] == 2


@on_loopback
async def test_outage_is_told_apart_from_an_unknown_outcome(setup: Setup) -> None:
    """Guards against reporting "not written" for a write that may have been."""
    await setup.control('outage?seconds=600')
    refused = await setup.call(ApiCall.WRITE, body=b'one')
    await setup.control('outage?seconds=600&mode=reset')
    reset = await setup.call(ApiCall.WRITE, body=b'one')
    read = await setup.call(ApiCall.READ)
    assert refused.status is ApiStatus.UNAVAILABLE
    assert reset.status is ApiStatus.UNKNOWN
    assert read.status is ApiStatus.UNAVAILABLE
    await setup.server.close()
    closed = await setup.call(ApiCall.WRITE, body=b'one')
    assert closed.status is ApiStatus.UNAVAILABLE


@on_loopback
async def test_unanswered_write_is_unknown(setup: Setup) -> None:
    """Guards against a call that waits without end for a platform that hangs."""
    await setup.control('outage?seconds=600&mode=hang')
    reply = await setup.call(ApiCall.WRITE, body=b'one')
    assert reply.status is ApiStatus.UNKNOWN


@on_loopback
async def test_list_reports_each_object_before_the_reply(setup: Setup) -> None:
    """Guards against a host that believes its list is done too early."""
    for key in ('config/north/1', 'config/north/2', 'config/south/1'):
        await setup.call(ApiCall.WRITE, key, body=key.encode())
    setup.client.submit(kernel.CallApi(8, ApiCall.LIST, 'config/north/'))
    events = [await setup.next_event() for _ in range(3)]
    assert events == [
        kernel.ObjectChanged('config/north/1', 1, b'config/north/1'),
        kernel.ObjectChanged('config/north/2', 1, b'config/north/2'),
        kernel.ApiReplied(8, ApiStatus.OK, 'config/north/'),
    ]


@on_loopback
async def test_watch_reports_changes_and_survives_an_outage(setup: Setup) -> None:
    """Guards against a watch that ends silently or misses a change."""
    await setup.call(ApiCall.WRITE, body=b'one')
    setup.client.submit(kernel.CallApi(9, ApiCall.WATCH, 'config/north/'))
    assert await setup.next_event() == kernel.ObjectChanged(KEY, 1, b'one')
    setup.server.store.put(KEY, b'two', None)
    await setup.control('outage?seconds=0.3')
    assert await setup.next_event() == kernel.ObjectChanged(KEY, 2, b'two')
    setup.server.store.delete(KEY, None)
    await setup.control('outage?seconds=0')
    assert await setup.next_event() == kernel.ObjectChanged(KEY, 0, b'')
    setup.client.submit(kernel.CallApi(9, ApiCall.UNWATCH, 'config/north/'))
    reply = await setup.call(ApiCall.WRITE, body=b'three')
    assert reply.version == 1


@on_loopback
async def test_stale_reads_come_from_an_older_copy(setup: Setup) -> None:
    """Guards against a stand-in that is kinder than the platform."""
    await setup.call(ApiCall.WRITE, body=b'one')
    await setup.control('stale-reads?seconds=600')
    await setup.call(ApiCall.WRITE, version=1, body=b'two')
    stale = await setup.call(ApiCall.READ)
    await setup.control('stale-reads?seconds=0')
    fresh = await setup.call(ApiCall.READ)
    assert (stale.version, stale.body) == (1, b'one')
    assert (fresh.version, fresh.body) == (2, b'two')


@on_loopback
async def test_oversized_value_is_refused(setup: Setup) -> None:
    """Guards against a value that the platform would not hold."""
    reply = await setup.call(ApiCall.WRITE, body=bytes(1_000_001))
    assert reply.status is ApiStatus.UNAVAILABLE
    assert setup.server.store.get(KEY) is None


@on_loopback
async def test_registered_hosts_are_listed(setup: Setup) -> None:
    """Guards against a host list that seeds nobody."""
    async with aiohttp.ClientSession() as session:
        await session.post(f'{setup.base_url}/hosts', json={'host_id': 'h1'})
    reply = await setup.call(ApiCall.HOSTS, '')
    assert reply.body == b'[{"host_id": "h1"}]'
