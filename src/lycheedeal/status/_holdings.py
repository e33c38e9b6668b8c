"""What this host holds, and when it tells the reporter of its zone."""

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

# Least time between two reports of one host. At 10 s, reports of 343 hosts that
# change all the time would use up the 5 KB/s of the reporter.
REPORT_SECONDS: Final = 15.0
# Time between two reports of a host where nothing changes.
REPEAT_SECONDS: Final = 60.0
# All hosts of a zone change at once; their reports are spread over this time.
_SPREAD_SECONDS: Final = 5.0
# Watchers list the shards every 30 s, and neighbours offer newer ones every few
# seconds; a fault that is not seen again after this time has been repaired.
_REJECTED_SECONDS: Final = 120.0
_MAX_REASON: Final = 120
# All hosts of a zone may reject the same shards, and report them to one host.
_MAX_REJECTED: Final = 2
_HASH_RANGE: Final = 2**64


class Holdings:
    """Generations in force on this host and shards that it cannot apply."""

    def __init__(self, host_id: HostId) -> None:
        """Start without configuration."""
        self._host_id = host_id
        # Drawn from the host id, not from the shared source of randomness, so
        # that reports do not disturb decisions elsewhere.
        share = xxhash.xxh64_intdigest(f'report/{host_id}'.encode()) / _HASH_RANGE
        self._delay = share * _SPREAD_SECONDS
        self._generations: dict[ShardIndex, Generation] = {}
        self._rejected: dict[ShardIndex, tuple[RejectedShard, float]] = {}
        self._sent_at = -REPORT_SECONDS
        self._due = self._delay
        self._repeat = False

    def change_view(self, event: ConfigurationChanged, now: float) -> None:
        """Take the configuration in force."""
        self._generations = dict(event.view.generations_by_shard)
        for index, (rejected, _) in tuple(self._rejected.items()):
            if 0 < rejected.generation <= self._generations.get(index, 0):
                self._rejected.pop(index)
        self.hasten(now)

    def reject(self, event: ShardRejected, now: float) -> None:
        """Note a shard that does not validate."""
        if not 0 <= event.index < SHARD_COUNT:
            return
        reason = event.reason[:_MAX_REASON]
        rejected = RejectedShard(event.index, event.generation, reason)
        known = self._rejected.get(event.index)
        self._rejected[event.index] = (rejected, now)
        if known is None or known[0] != rejected:
            self.hasten(now)

    def hasten(self, now: float) -> None:
        """Report soon, and once more in case the first report is lost."""
        soon = max(now + self._delay, self._sent_at + REPORT_SECONDS)
        self._due = min(self._due, soon)
        self._repeat = True

    def tick(self, reporter: Endpoint, now: float) -> Iterator[SendToPeer]:
        """Send the report that is due."""
        if now < self._due:
            return
        self._sent_at = now
        interval = REPORT_SECONDS if self._repeat else REPEAT_SECONDS
        self._due = now + interval
        self._repeat = False
        yield SendToPeer(reporter, self.report(now))

    def report(self, now: float) -> ConfigurationReport:
        """Return what this host holds."""
        self._rejected = {
            index: entry
            for index, entry in self._rejected.items()
            if now - entry[1] < _REJECTED_SECONDS
        }
        return ConfigurationReport(
            self._host_id,
            self._generations,
            tuple(one for one, _ in self._rejected.values())[:_MAX_REJECTED],
        )
