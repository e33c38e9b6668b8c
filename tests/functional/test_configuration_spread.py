"""Test of a change that propagates between hosts over real sockets."""

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

ANY_PORT = model.Endpoint('127.0.0.1', 0)
ADDRESS = model.Endpoint('10.0.0.1', 80)
CHANGE = model.CreateService(configuration_hosts.SERVICE, ADDRESS)


class Clock:
    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class Host(configuration_hosts.Host):
    """Host with a real platform client and gossip link."""

    def __init__(self, name: str, url: str) -> None:
        super().__init__(name, Clock())
        self.client = PlatformClient(url, self.handle)
        self.link = GossipLink(ANY_PORT)

    def handle(self, event: kernel.Event) -> None:
        super().handle(event)
        while self.calls:
            self.client.submit(self.calls.pop())
        while self.gossip:
            self.link.send(self.gossip.pop())
        self.link.set_neighbours(self.neighbours)


async def propagate_change() -> None:
    server = PlatformServer()
    await server.start()
    # The other two hosts cannot reach the platform.
    urls = (f'http://127.0.0.1:{server.port}', *('http://127.0.0.1:1',) * 2)
    hosts = [Host(f'h{number}', url) for number, url in enumerate(urls)]
    for host in hosts:
        await host.client.start()
        host.link.listen()
        host.link.start(host.receive_gossip, print)
    members = tuple(
        replace(host.context.member, gossip=host.link.endpoint) for host in hosts
    )
    for host in hosts:
        host.handle(kernel.Started())
        host.handle(kernel.MembersChanged(members))
    hosts[0].request(CHANGE, 'c1')
    try:
        await run_until(hosts, lambda: all(host.generation() for host in hosts))
    finally:
        for host in hosts:
            await host.client.close()
            host.link.close()
        await server.close()


async def run_until(hosts: list[Host], condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.1)
        for host in hosts:
            host.handle(kernel.Tick(time.monotonic()))
    raise AssertionError('the change did not reach all hosts within 20 s')


def test_change_reaches_hosts_that_cannot_reach_the_platform() -> None:
    """Guards against hosts that stay behind while they cannot reach the platform."""
    uvloop.run(propagate_change())
