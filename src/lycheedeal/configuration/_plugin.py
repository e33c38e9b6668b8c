"""Plug-in that dispatches configuration events to their handlers."""

from collections.abc import Iterator

from lycheedeal import messages
from lycheedeal.configuration._applier import Applier
from lycheedeal.configuration._gossip import GossipSender
from lycheedeal.configuration._hold import ChangeHold
from lycheedeal.configuration._refresh import Refresher
from lycheedeal.configuration._store import ShardStore
from lycheedeal.configuration._writer import ChangeWriter
from lycheedeal.kernel import (
    ApiReplied,
    ChangeRequested,
    Context,
    Effect,
    Event,
    GossipReceived,
    MembersChanged,
    ObjectChanged,
    Resumed,
    Started,
    Tick,
)


class ConfigurationPlugin:
    """Stores changes, applies shards and gossips them within the zone."""

    def __init__(self, context: Context) -> None:
        """Start without any shard in force."""
        self._context = context
        self.store = ShardStore()
        self._gossip_sender = GossipSender(context.settings, self.store, context.rng)
        self._refresher = Refresher(context.settings, context.rng)
        self._applier = Applier(context, self.store, self._gossip_sender)
        self._writer = ChangeWriter(context, self.store, self._applier)
        self._hold = ChangeHold(context.clock.monotonic())

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event; other event types are ignored."""
        now = self._context.clock.monotonic()
        match event:
            case Started():
                yield from self._refresher.start(now)
            case Tick():
                yield from self._tick(now)
            case Resumed():
                self._hold.resume(now)
                yield from self._gossip_sender.send_digest(now)
                yield from self._refresher.resume(now)
            case MembersChanged():
                self._hold.note_members(now)
                yield from self._gossip_sender.update_members(event)
                yield from self._refresher.update_members(event, now)
            case GossipReceived(message):
                yield from self._handle_gossip(message, now)
            case ObjectChanged():
                yield from self._applier.handle_object(event)
            case ApiReplied():
                self._refresher.handle_reply(event, now)
                yield from self._writer.handle_reply(event, now)
            case ChangeRequested():
                if not self._hold.defer(event, now):
                    yield from self._writer.begin(event, now)
            case _:
                return

    def _tick(self, now: float) -> Iterator[Effect]:
        yield from self._refresher.tick(now, configured=len(self.store) > 0)
        yield from self._gossip_sender.tick(now)
        yield from self._writer.tick(now)
        for event in self._hold.release(now):
            yield from self._writer.begin(event, now)

    def _handle_gossip(
        self,
        message: messages.Digest | messages.ShardCopy,
        now: float,
    ) -> Iterator[Effect]:
        if message.sender == self._context.settings.host_id:
            return
        self._gossip_sender.note_message(now)
        match message:
            case messages.Digest():
                yield from self._gossip_sender.answer_digest(message, now)
            case messages.ShardCopy():
                yield from self._applier.handle_copy(message, now)
