"""A change on its way between hosts, with real sockets."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import uvloop

from lycheedeal import kernel, model
from lycheedeal.runtime._gossip import GossipLink
from lycheedeal.runtime._platform import PlatformClient
from standins.platform import PlatformServer
from tests import configuration_hosts

FREE = model.Endpoint('127.0.0.1', 0)
ADDRESS = model.Endpoint('10.0.0.1', 80)
CHANGE = model.CreateService(configuration_hosts.ONE, ADDRESS)


class Clock:
    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class Host(configuration_hosts.Host):
    """A host with a real client and link."""

    def __init__(self, name: str, url: str) -> None:
        super().__init__(name, Clock())
        self.client = PlatformClient(url, self.take)
        self.link = GossipLink(FREE, self.hear, print)

    def take(self, event: kernel.Event) -> None:
        super().take(event)
        while self.calls:
            self.client.submit(self.calls.pop())
        while self.gossip:
            self.link.send(self.gossip.pop())
        self.link.set_neighbours(self.neighbours)


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
        replace(host.context.member, gossip=host.link.endpoint) for host in hosts
    )
    for host in hosts:
        host.take(kernel.Started())
        host.take(kernel.MembersChanged(members))
    hosts[0].request(CHANGE, 'c1')
    try:
        await until(hosts, lambda: all(host.generation() for host in hosts))
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
