"""Plug-in that reports this host's configuration, and the status of its zone.

Each host sends reports to the reporter of its zone. The reporter collects them
and writes the status of the zone to the object API.
"""

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
from lycheedeal.status._collector import PROPAGATION_SECONDS, Collector
from lycheedeal.status._publisher import Publisher
from lycheedeal.status._reader import StatusReader
from lycheedeal.status._reports import (
    MAX_REPORT_INTERVAL_SECONDS,
    MIN_REPORT_INTERVAL_SECONDS,
    ReportSender,
)


class StatusPlugin:
    """Reports and collects which hosts lag behind, and answers queries about it."""

    def __init__(self, context: Context) -> None:
        """Start without members, so without a reporter."""
        self._context = context
        self._settings = context.settings
        self._report_sender = ReportSender(context.settings.host_id)
        self._publisher = Publisher(context.settings, context.rng)
        self._reader = StatusReader(context)
        self._members: tuple[Member, ...] = ()
        self._reporter: Member | None = None
        # None unless this host is the reporter.
        self._collector: Collector | None = None
        # From this time on, every host has had time to report to the collector.
        self._complete_at = 0.0

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of an event."""
        now = self._context.clock.monotonic()
        match event:
            case Tick():
                yield from self._tick(now)
            case ConfigurationChanged():
                self._report_sender.set_view(event, now)
                self._add_own_report(now)
            case ShardRejected():
                self._report_sender.note_rejected(event, now)
            case MembersChanged(members):
                self._set_members(members, now)
            case Resumed():
                # The received reports are outdated; each host repeats its report
                # within this time.
                self._delay_publication(
                    now, MAX_REPORT_INTERVAL_SECONDS + MIN_REPORT_INTERVAL_SECONDS
                )
            case HostsListed(members):
                self._reader.set_zones(member.zone for member in members)
            case PeerMessage(_, ConfigurationReport() as report):
                if self._collector is not None:
                    self._collector.add_report(report, now)
            case StatusRequested():
                yield from self._reader.request(event, self._own_status, now)
            case ObjectChanged():
                self._reader.add_object(event)
            case ApiReplied():
                yield from self._handle_reply(event, now)
            case _:
                return

    def _tick(self, now: float) -> Iterator[Effect]:
        yield from self._reader.tick(self._own_status, now)
        collector = self._collector
        if collector is not None:
            yield from self._publisher.tick(
                now,
                lambda: self._summarize(collector, now),
            )
        elif self._reporter is not None:
            yield from self._report_sender.tick(self._reporter.peer, now)

    def _handle_reply(self, reply: ApiReplied, now: float) -> Iterator[Effect]:
        yield from self._reader.handle_reply(reply, self._own_status)
        collector = self._collector
        if collector is not None:
            yield from self._publisher.handle_reply(
                reply,
                now,
                lambda: self._summarize(collector, now),
            )

    def _set_members(self, members: tuple[Member, ...], now: float) -> None:
        self._members = tuple(
            member for member in members if member.zone == self._settings.zone
        )
        first = next(iter(watcher_order(self._settings.zone, members)), None)
        previous = self._reporter
        self._reporter = self._find_member(first)
        if self._reporter is None or first != self._settings.host_id:
            self._collector = None
        elif self._collector is None:
            # Until the other hosts have reported, most of them seem silent.
            self._collector = Collector(self._settings.zone, first, now)
            self._add_own_report(now)
            self._delay_publication(now, PROPAGATION_SECONDS)
        if previous != self._reporter:
            self._report_sender.report_soon(now)

    def _find_member(self, host_id: str | None) -> Member | None:
        return next(
            (member for member in self._members if member.host_id == host_id), None
        )

    def _add_own_report(self, now: float) -> None:
        if self._collector is not None:
            self._collector.add_report(self._report_sender.report(now), now)

    def _delay_publication(self, now: float, seconds: float) -> None:
        self._complete_at = now + seconds
        self._publisher.start(now, seconds)

    def _own_status(self) -> ZoneStatus | None:
        now = self._context.clock.monotonic()
        if self._collector is None or now < self._complete_at:
            return None
        return self._summarize(self._collector, now)

    def _summarize(self, collector: Collector, now: float) -> ZoneStatus:
        self._add_own_report(now)
        hosts = frozenset(member.host_id for member in self._members)
        return collector.summarize(hosts, now, self._context.clock.wall())
