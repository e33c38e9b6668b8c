"""Reports of this host's configuration to the reporter of its zone."""

from collections.abc import Iterator
from typing import Final

import xxhash

from lycheedeal.kernel import ConfigurationChanged, SendToPeer, ShardRejected
from lycheedeal.messages import ConfigurationReport
from lycheedeal.model import (
    SHARD_COUNT,
    Endpoint,
    Generation,
    HostId,
    RejectedShard,
    ShardIndex,
)

# Least time between two reports of one host. With 10 s, reports of 343 hosts that
# change continuously would use up the reporter's budget of 5 KB/s.
MIN_REPORT_INTERVAL_SECONDS: Final = 15.0
# Time between two reports of a host on which nothing changes.
MAX_REPORT_INTERVAL_SECONDS: Final = 60.0
# All hosts of a zone change at the same time; their reports are spread over this.
_REPORT_SPREAD_SECONDS: Final = 5.0
# Watchers list the shards every 30 s, and neighbours offer newer ones every few
# seconds; a fault that does not recur within this time has been repaired.
_REJECTION_TTL_SECONDS: Final = 120.0
# Length of a reason in a report, in characters.
_MAX_REASON_LENGTH: Final = 120
# Rejected shards in a report. All hosts of a zone may reject the same shards, and
# all report them to one host.
_MAX_REPORTED_REJECTIONS: Final = 2
_HASH_RANGE: Final = 2**64


class ReportSender:
    """Reports the generations in force on this host and the shards that it rejects.

    Times are monotonic, in seconds.
    """

    def __init__(self, host_id: HostId) -> None:
        """Start without configuration; ``host_id`` determines the report delay."""
        self._host_id = host_id
        # Derived from the host id and not from the shared random source, so that
        # reports do not change decisions in other parts.
        fraction = xxhash.xxh64_intdigest(f'report/{host_id}'.encode()) / _HASH_RANGE
        self._delay = fraction * _REPORT_SPREAD_SECONDS
        self._generations: dict[ShardIndex, Generation] = {}
        self._rejected: dict[ShardIndex, tuple[RejectedShard, float]] = {}
        self._sent_at = -MIN_REPORT_INTERVAL_SECONDS
        self._due_at = self._delay
        self._repeat = False

    def set_view(self, event: ConfigurationChanged, now: float) -> None:
        """Apply the configuration in force; drop rejections that it supersedes."""
        self._generations = dict(event.view.generations_by_shard)
        for index, (rejected, _) in tuple(self._rejected.items()):
            if 0 < rejected.generation <= self._generations.get(index, 0):
                self._rejected.pop(index)
        self.report_soon(now)

    def note_rejected(self, event: ShardRejected, now: float) -> None:
        """Record a shard that this host could not apply."""
        if not 0 <= event.index < SHARD_COUNT:
            return
        reason = event.reason[:_MAX_REASON_LENGTH]
        rejected = RejectedShard(event.index, event.generation, reason)
        known = self._rejected.get(event.index)
        self._rejected[event.index] = (rejected, now)
        if known is None or known[0] != rejected:
            self.report_soon(now)

    def report_soon(self, now: float) -> None:
        """Send a report soon, and once more in case the first one is lost."""
        soon = max(now + self._delay, self._sent_at + MIN_REPORT_INTERVAL_SECONDS)
        self._due_at = min(self._due_at, soon)
        self._repeat = True

    def tick(self, reporter: Endpoint, now: float) -> Iterator[SendToPeer]:
        """Send the report to ``reporter`` if it is due."""
        if now < self._due_at:
            return
        self._sent_at = now
        interval = (
            MIN_REPORT_INTERVAL_SECONDS if self._repeat else MAX_REPORT_INTERVAL_SECONDS
        )
        self._due_at = now + interval
        self._repeat = False
        yield SendToPeer(reporter, self.report(now))

    def report(self, now: float) -> ConfigurationReport:
        """Return the report on the current configuration of this host."""
        self._rejected = {
            index: entry
            for index, entry in self._rejected.items()
            if now - entry[1] < _REJECTION_TTL_SECONDS
        }
        return ConfigurationReport(
            self._host_id,
            self._generations,
            tuple(rejected for rejected, _ in self._rejected.values())[
                :_MAX_REPORTED_REJECTIONS
            ],
        )
