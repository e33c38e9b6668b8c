"""Hosts with only the configuration plug-in, for tests of it."""

import random
from typing import TypeVar

from lycheedeal import kernel, messages, model
from lycheedeal.configuration import ConfigurationPlugin

ONE = model.ServiceName('fieldlink')
INDEX = model.shard_of(ONE)
_NAMES = (model.ServiceName(f'intake-{number}') for number in range(1000))
# Another service of the same shard.
TWO = next(name for name in _NAMES if model.shard_of(name) == INDEX)
UP = model.UpstreamId('u1')
ZONE = model.Zone('z')

EventT = TypeVar('EventT')


class Clock:
    """Time that the test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Host:
    """Collects the effects of the plug-in; events are not dispatched again."""

    def __init__(self, name: str, clock: kernel.Clock) -> None:
        here = model.Endpoint('127.0.0.1', 1)
        host_id, region = model.HostId(name), model.Region('north')
        settings = model.HostSettings(
            host_id, region, ZONE, here, here, here, here, '', b'key'
        )
        self.context = kernel.Context(
            settings, clock, random.Random(name), model.Incarnation(1)
        )
        self.plugin = ConfigurationPlugin(self.context)
        self.calls: list[kernel.CallApi] = []
        self.gossip: list[messages.Digest | messages.ShardCopy] = []
        self.neighbours: tuple[model.Endpoint, ...] = ()
        self.published: list[kernel.Event] = []

    def take(self, event: kernel.Event) -> None:
        for effect in self.plugin.handle(event):
            match effect:
                case kernel.CallApi():
                    self.calls.append(effect)
                case kernel.Gossip(message):
                    self.gossip.append(message)
                case kernel.SetNeighbours(neighbours):
                    self.neighbours = neighbours
                case kernel.Publish(published):
                    self.published.append(published)

    def hear(self, message: messages.Digest | messages.ShardCopy) -> None:
        self.take(kernel.GossipReceived(message))

    def events(self, kind: type[EventT]) -> list[EventT]:
        return [one for one in self.published if isinstance(one, kind)]

    def sent(self, kind: type[EventT]) -> list[EventT]:
        return [one for one in self.gossip if isinstance(one, kind)]

    def generation(self) -> int:
        views = self.events(kernel.ConfigurationChanged)
        return views[-1].view.generations_by_shard.get(INDEX, 0) if views else 0

    def request(self, change: model.Change, name: str, dry_run: bool = False) -> None:
        change_id, query_id = model.ChangeId(name), model.QueryId(1)
        self.take(kernel.ChangeRequested(query_id, change_id, change, dry_run))


def members(*hosts: Host) -> kernel.MembersChanged:
    return kernel.MembersChanged(tuple(host.context.member for host in hosts))
