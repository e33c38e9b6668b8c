"""The plug-in: hands each event to the part that it concerns."""

from collections.abc import Iterator

from lycheedeal import messages
from lycheedeal.configuration._applier import Applier
from lycheedeal.configuration._hold import ChangeHold
from lycheedeal.configuration._pending import PendingChanges
from lycheedeal.configuration._refresh import Refresher
from lycheedeal.configuration._spreading import Spreader
from lycheedeal.configuration._store import ShardStore
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
    """Accepts, applies and spreads configuration, and never reverts it."""

    def __init__(self, context: Context) -> None:
        """Start without configuration."""
        self._context = context
        self.store = ShardStore()
        self._spreader = Spreader(context.settings, self.store, context.rng)
        self._refresher = Refresher(context.settings, context.rng)
        self._applier = Applier(context, self.store, self._spreader)
        self._pending = PendingChanges(context, self.store, self._applier)
        self._hold = ChangeHold(context.clock.monotonic())

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        now = self._context.clock.monotonic()
        match event:
            case Started():
                yield from self._refresher.start(now)
            case Tick():
                yield from self._tick(now)
            case Resumed():
                self._hold.resume(now)
                yield from self._spreader.send_digest(now)
                yield from self._refresher.resume(now)
            case MembersChanged():
                self._hold.members_known(now)
                yield from self._spreader.change_members(event)
                yield from self._refresher.change_members(event, now)
            case GossipReceived(message):
                yield from self._hear(message, now)
            case ObjectChanged():
                yield from self._applier.take_stored(event)
            case ApiReplied():
                self._refresher.take_reply(event, now)
                yield from self._pending.take_reply(event, now)
            case ChangeRequested():
                if not self._hold.keeps(event, now):
                    yield from self._pending.begin(event, now)
            case _:
                return

    def _tick(self, now: float) -> Iterator[Effect]:
        yield from self._refresher.tick(now, configured=len(self.store) > 0)
        yield from self._spreader.tick(now)
        yield from self._pending.tick(now)
        for event in self._hold.released(now):
            yield from self._pending.begin(event, now)

    def _hear(
        self,
        message: messages.Digest | messages.ShardCopy,
        now: float,
    ) -> Iterator[Effect]:
        if message.sender == self._context.settings.host_id:
            return
        self._spreader.hear(now)
        match message:
            case messages.Digest():
                yield from self._spreader.answer_digest(message, now)
            case messages.ShardCopy():
                yield from self._applier.take_copy(message, now)
