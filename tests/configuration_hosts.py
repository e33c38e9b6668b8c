"""Test hosts that run only the configuration plug-in."""

import random
from typing import TypeVar

from lycheedeal import kernel, messages, model
from lycheedeal.configuration import ConfigurationPlugin

SERVICE = model.ServiceName('fieldlink')
SHARD_INDEX = model.shard_of(SERVICE)
_NAMES = (model.ServiceName(f'intake-{number}') for number in range(1000))
# Another service of the same shard.
OTHER_SERVICE = next(name for name in _NAMES if model.shard_of(name) == SHARD_INDEX)
UPSTREAM_ID = model.UpstreamId('u1')
ZONE = model.Zone('z')

EventT = TypeVar('EventT')


class Clock:
    """Clock that advances only when the test sets ``now``, in seconds."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class Host:
    """Host that records the effects of the plug-in by type.

    Published events are not dispatched back to the plug-in.
    """

    def __init__(self, name: str, clock: kernel.Clock) -> None:
        endpoint = model.Endpoint('127.0.0.1', 1)
        host_id, region = model.HostId(name), model.Region('north')
        settings = model.HostSettings(
            host_id, region, ZONE, endpoint, endpoint, endpoint, endpoint, '', b'key'
        )
        self.context = kernel.Context(
            settings, clock, random.Random(name), model.Incarnation(1)
        )
        self.plugin = ConfigurationPlugin(self.context)
        self.calls: list[kernel.CallApi] = []
        self.gossip: list[messages.Digest | messages.ShardCopy] = []
        self.neighbours: tuple[model.Endpoint, ...] = ()
        self.published: list[kernel.Event] = []

    def handle(self, event: kernel.Event) -> None:
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

    def receive_gossip(self, message: messages.Digest | messages.ShardCopy) -> None:
        self.handle(kernel.GossipReceived(message))

    def published_events(self, event_type: type[EventT]) -> list[EventT]:
        return [one for one in self.published if isinstance(one, event_type)]

    def sent_gossip(self, message_type: type[EventT]) -> list[EventT]:
        return [one for one in self.gossip if isinstance(one, message_type)]

    def generation(self) -> int:
        views = self.published_events(kernel.ConfigurationChanged)
        return views[-1].view.generations_by_shard.get(SHARD_INDEX, 0) if views else 0

    def request(self, change: model.Change, name: str, dry_run: bool = False) -> None:
        change_id, query_id = model.ChangeId(name), model.QueryId(1)
        self.handle(kernel.ChangeRequested(query_id, change_id, change, dry_run))


def members(*hosts: Host) -> kernel.MembersChanged:
    return kernel.MembersChanged(tuple(host.context.member for host in hosts))
