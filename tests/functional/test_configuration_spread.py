"""A change on its way between hosts, with real sockets."""

import asyncio
import random
import time
from collections.abc import Callable

import uvloop

from lycheedeal import kernel, model
from lycheedeal.configuration import ConfigurationPlugin
from lycheedeal.runtime._gossip import GossipLink
from lycheedeal.runtime._platform import PlatformClient
from standins.platform import PlatformServer

FREE = model.Endpoint('127.0.0.1', 0)
CHANGE = model.CreateService(
    model.ServiceName('fieldlink'), model.Endpoint('10.0.0.1', 80)
)


class Clock:
    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class Host:
    """A core with only the configuration plug-in, a client and a link."""

    def __init__(self, name: str, url: str) -> None:
        settings = model.HostSettings(
            model.HostId(name),
            model.Region('north'),
            model.Zone('z'),
            *(FREE, FREE, FREE, FREE),
            platform_url=url,
            flow_key=b'key',
        )
        self.context = kernel.Context(
            settings, Clock(), random.Random(name), model.Incarnation(1)
        )
        specs = kernel.load_plugins(('configuration',))
        self.core = kernel.Kernel(self.context, specs)
        self.client = PlatformClient(url, self.take)
        self.link = GossipLink(
            FREE, lambda message: self.take(kernel.GossipReceived(message)), print
        )

    def take(self, event: kernel.Event) -> None:
        for effect in self.core.dispatch(event):
            match effect:
                case kernel.CallApi():
                    self.client.submit(effect)
                case kernel.Gossip(message):
                    self.link.send(message)
                case kernel.SetNeighbours(neighbours):
                    self.link.set_neighbours(neighbours)

    def shards(self) -> int:
        plugin = self.core.plugins_by_name['configuration']
        assert isinstance(plugin, ConfigurationPlugin)
        return len(plugin.store)


async def spread() -> None:
    server = PlatformServer()
    await server.start()
    # The other two hosts cannot reach the platform.
    urls = (f'http://127.0.0.1:{server.port}', *('http://127.0.0.1:1',) * 2)
    hosts = [Host(f'h{number}', url) for number, url in enumerate(urls)]
    for host in hosts:
        await host.client.start()
        await host.link.start()
    members = tuple(
        model.Member(
            host.context.settings.host_id,
            model.Zone('z'),
            *(FREE, host.link.endpoint, FREE),
            model.Incarnation(1),
        )
        for host in hosts
    )
    for host in hosts:
        host.take(kernel.Started())
        host.take(kernel.MembersChanged(members))
    request = kernel.ChangeRequested(
        model.QueryId(1), model.ChangeId('c1'), CHANGE, dry_run=False
    )
    hosts[0].take(request)
    try:
        await until(hosts, lambda: all(host.shards() for host in hosts))
    finally:
        for host in hosts:
            await host.client.close()
            await host.link.close()
        await server.close()


async def until(hosts: list[Host], done: Callable[[], bool]) -> None:
    for _ in range(200):
        if done():
            return
        await asyncio.sleep(0.1)
        for host in hosts:
            host.take(kernel.Tick(time.monotonic()))
    raise AssertionError('the change did not reach all hosts')


def test_change_reaches_hosts_without_the_platform() -> None:
    """Guards against hosts that stay behind when cut off from the platform."""
    uvloop.run(spread())
