"""The plug-in: reports, and as reporter of the zone collects and writes."""

from collections.abc import Iterator

from lycheedeal.configuration import watcher_order
from lycheedeal.kernel import (
    ApiReplied,
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    HostsListed,
    MembersChanged,
    ObjectChanged,
    PeerMessage,
    Resumed,
    ShardRejected,
    StatusRequested,
    Tick,
)
from lycheedeal.messages import ConfigurationReport
from lycheedeal.model import Member, ZoneStatus
from lycheedeal.status._collector import SETTLE_SECONDS, Collector
from lycheedeal.status._holdings import REPEAT_SECONDS, REPORT_SECONDS, Holdings
from lycheedeal.status._publisher import Publisher
from lycheedeal.status._reader import StatusReader


class StatusPlugin:
    """Tells operators which hosts of which zone lag behind."""

    def __init__(self, context: Context) -> None:
        """Start without knowing the reporter of the zone."""
        self._context = context
        self._settings = context.settings
        self._holdings = Holdings(context.settings.host_id)
        self._publisher = Publisher(context.settings, context.rng)
        self._reader = StatusReader(context)
        self._members: tuple[Member, ...] = ()
        self._reporter: Member | None = None
        # Only the reporter has a collector.
        self._collector: Collector | None = None
        self._settled_at = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        now = self._context.clock.monotonic()
        match event:
            case Tick():
                yield from self._tick(now)
            case ConfigurationChanged():
                self._holdings.change_view(event, now)
                self._hear_own(now)
            case ShardRejected():
                self._holdings.reject(event, now)
            case MembersChanged(members):
                self._change_members(members, now)
            case Resumed():
                # What was heard is old by now; each host repeats it in this time.
                self._hold_back(now, REPEAT_SECONDS + REPORT_SECONDS)
            case HostsListed(members):
                self._reader.learn_zones(one.zone for one in members)
            case PeerMessage(_, ConfigurationReport() as report):
                if self._collector is not None:
                    self._collector.hear(report, now)
            case StatusRequested():
                yield from self._reader.request(event, self._own, now)
            case ObjectChanged():
                self._reader.take_object(event)
            case ApiReplied():
                yield from self._take_reply(event, now)
            case _:
                return

    def _tick(self, now: float) -> Iterator[Effect]:
        yield from self._reader.tick(self._own, now)
        collector = self._collector
        if collector is not None:
            yield from self._publisher.tick(
                now,
                lambda: self._summarize(collector, now),
            )
        elif self._reporter is not None:
            yield from self._holdings.tick(self._reporter.peer, now)

    def _take_reply(self, reply: ApiReplied, now: float) -> Iterator[Effect]:
        yield from self._reader.take_reply(reply, self._own)
        collector = self._collector
        if collector is not None:
            yield from self._publisher.take_reply(
                reply,
                now,
                lambda: self._summarize(collector, now),
            )

    def _change_members(self, members: tuple[Member, ...], now: float) -> None:
        self._members = tuple(one for one in members if one.zone == self._settings.zone)
        first = next(iter(watcher_order(self._settings.zone, members)), None)
        old = self._reporter
        self._reporter = self._find(first)
        if self._reporter is None or first != self._settings.host_id:
            self._collector = None
        elif self._collector is None:
            # The others are heard first; until then most hosts seem silent.
            self._collector = Collector(self._settings.zone, first, now)
            self._hear_own(now)
            self._hold_back(now, SETTLE_SECONDS)
        if old != self._reporter:
            self._holdings.hasten(now)

    def _find(self, host_id: str | None) -> Member | None:
        return next((one for one in self._members if one.host_id == host_id), None)

    def _hear_own(self, now: float) -> None:
        if self._collector is not None:
            self._collector.hear(self._holdings.report(now), now)

    def _hold_back(self, now: float, seconds: float) -> None:
        self._settled_at = now + seconds
        self._publisher.begin(now, seconds)

    def _own(self) -> ZoneStatus | None:
        now = self._context.clock.monotonic()
        if self._collector is None or now < self._settled_at:
            return None
        return self._summarize(self._collector, now)

    def _summarize(self, collector: Collector, now: float) -> ZoneStatus:
        self._hear_own(now)
        hosts = frozenset(one.host_id for one in self._members)
        return collector.summarize(hosts, now, self._context.clock.wall())
