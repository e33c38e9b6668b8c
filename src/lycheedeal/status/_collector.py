"""Summary of the reports of a zone's hosts, made by the reporter of the zone."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Final

from lycheedeal.messages import ConfigurationReport
from lycheedeal.model import (
    SHARD_COUNT,
    Generation,
    HostId,
    LaggingHost,
    RejectingHost,
    ShardIndex,
    Zone,
    ZoneStatus,
)
from lycheedeal.status._reports import (
    MAX_REPORT_INTERVAL_SECONDS,
    MIN_REPORT_INTERVAL_SECONDS,
)

# Time from the first report of a generation until all hosts are expected to hold
# it: 5 s until it is in force, one report, and its repetition if it is lost.
PROPAGATION_SECONDS: Final = 5 + 2 * MIN_REPORT_INTERVAL_SECONDS
# Age from which a report no longer counts; one lost repetition does not make a
# host silent.
_SILENT_SECONDS: Final = 2 * MAX_REPORT_INTERVAL_SECONDS + MIN_REPORT_INTERVAL_SECONDS
# Generations first reported to a new reporter in this time count from its start.
_LEARNING_SECONDS: Final = 20.0
# Hosts named in each list of a status; the counts include all.
_MAX_LISTED_HOSTS: Final = 20
# Reports that are kept; the oldest one makes room for a new one.
_MAX_REPORTS: Final = 1024


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    received_at: float
    report: ConfigurationReport


class Collector:
    """Keeps the latest report of each host and makes the status of the zone.

    A host counts as up to date only if its report says so; a host that does not
    report is listed as lagging, with unknown generations. Times are monotonic,
    in seconds, except the Unix time in a status.
    """

    def __init__(self, zone: Zone, reporter: HostId, now: float) -> None:
        """Start without reports on the host that became the reporter at ``now``."""
        self._started_at = now
        self._zone = zone
        self._reporter = reporter
        self._received_by_host: dict[HostId, _ReceivedReport] = {}
        self._expected: dict[ShardIndex, Generation] = {}
        # The earliest generation newer than the expected one, and the latest, each
        # with the time from which hosts are expected to hold it.
        self._awaited: dict[ShardIndex, tuple[Generation, float]] = {}
        self._latest: dict[ShardIndex, tuple[Generation, float]] = {}

    def add_report(self, report: ConfigurationReport, now: float) -> None:
        """Add a report, which replaces the previous one of its host."""
        self._received_by_host.pop(report.sender, None)
        if len(self._received_by_host) >= _MAX_REPORTS:
            self._received_by_host.pop(next(iter(self._received_by_host)))
        self._received_by_host[report.sender] = _ReceivedReport(now, report)
        for index, generation in report.generations.items():
            if 0 <= index < SHARD_COUNT:
                self._add_generation(index, generation, now)

    def summarize(
        self,
        hosts: frozenset[HostId],
        now: float,
        wall_time: float,
    ) -> ZoneStatus:
        """Return the status of the zone; ``hosts`` are its current members."""
        self._update_expected(now)
        reports = {
            host_id: received.report
            for host_id, received in self._received_by_host.items()
            if host_id in hosts and now - received.received_at < _SILENT_SECONDS
        }
        lagging_by_host = {
            host_id: lagging_generations
            for host_id, report in reports.items()
            if (lagging_generations := self._lagging_generations(report))
        }
        silent = sorted(hosts - reports.keys())
        lagging = [
            LaggingHost(host_id, lagging_by_host[host_id])
            for host_id in sorted(lagging_by_host)
        ]
        lagging.extend(LaggingHost(host_id, None) for host_id in silent)
        return ZoneStatus(
            zone=self._zone,
            reporter=self._reporter,
            at=wall_time,
            hosts=len(hosts),
            up_to_date=len(hosts) - len(lagging),
            silent=len(silent),
            generations=dict(sorted(self._expected.items())),
            lagging=tuple(lagging[:_MAX_LISTED_HOSTS]),
            rejecting=tuple(islice(_rejecting(reports), _MAX_LISTED_HOSTS)),
        )

    def _lagging_generations(
        self, report: ConfigurationReport
    ) -> dict[ShardIndex, Generation]:
        """Return the generation that is held of each shard in which it is behind."""
        held_generations = report.generations
        if held_generations == self._expected:
            return {}
        return {
            index: held_generations.get(index, Generation(0))
            for index, expected in self._expected.items()
            if held_generations.get(index, 0) < expected
        }

    def _add_generation(
        self, index: ShardIndex, generation: Generation, now: float
    ) -> None:
        latest, _ = self._latest.get(index, (0, now))
        if generation > latest:
            learning = now - self._started_at < _LEARNING_SECONDS
            since = self._started_at if learning else now
            self._latest[index] = (generation, since + PROPAGATION_SECONDS)
            # The first newer generation keeps its time, so that a shard that
            # changes continuously cannot hide a host that no longer applies changes.
            self._awaited.setdefault(index, self._latest[index])

    def _update_expected(self, now: float) -> None:
        for index, (generation, expected_at) in tuple(self._awaited.items()):
            if now < expected_at:
                continue
            self._expected[index] = generation
            latest, latest_expected_at = self._latest[index]
            if latest > generation and now >= latest_expected_at:
                self._expected[index] = latest
            if self._expected[index] == latest:
                self._awaited.pop(index)
            else:
                self._awaited[index] = self._latest[index]


def _rejecting(
    reports: dict[HostId, ConfigurationReport],
) -> Iterator[RejectingHost]:
    for host_id, report in sorted(reports.items()):
        if report.rejected:
            yield RejectingHost(host_id, report.rejected)
