"""Schedule of the calls that list and watch the shards in the object API."""

import random
from collections.abc import Iterator
from typing import Final

from lycheedeal.configuration._applier import shard_key
from lycheedeal.configuration._topology import is_watcher
from lycheedeal.kernel import ApiCall, ApiReplied, ApiStatus, CallApi, MembersChanged
from lycheedeal.model import HostSettings

# A starting host waits this long for other members before it watches on its own;
# otherwise every host of a restarted zone would watch.
_WATCH_DELAY_SECONDS: Final = 1.0
_RELIST_INTERVAL_SECONDS: Final = 30.0
_MIN_RETRY_SECONDS: Final = 2.0
_MAX_RETRY_SECONDS: Final = 30.0
# Covers a lost reply. The platform client reports a silent platform after 2 s; a list
# of all shards, of 1 MB each, takes half a minute on the narrowest links.
_REPLY_TIMEOUT_SECONDS: Final = 60.0


class Refresher:
    """Decides when to list and watch the shards in the object API.

    Only the watchers of a zone call the API regularly. Another host lists
    until a list succeeds or a shard arrives, and then relies on gossip.
    """

    def __init__(self, settings: HostSettings, rng: random.Random) -> None:
        """Start as a watcher, since no other host is known yet."""
        self._settings = settings
        self._rng = rng
        self._prefix = shard_key(settings.region, '')
        self._is_watcher = True
        self._watch_from = 0.0
        self._watch_id: int | None = None
        self._list_id: int | None = None
        self._next_list_at = 0.0
        self._failures = 0
        self._has_listed = False

    def start(self, now: float) -> Iterator[CallApi]:
        """List the shards at once; the watch starts 1 s later."""
        self._watch_from = now + _WATCH_DELAY_SECONDS
        yield from self.list_shards(now)

    def update_members(self, event: MembersChanged, now: float) -> Iterator[CallApi]:
        """Start or stop the watch if the members changed the set of watchers."""
        settings = self._settings
        watcher = is_watcher(settings.host_id, settings.zone, event.members)
        alone = len(event.members) < 2
        if watcher and not self._is_watcher:
            self._next_list_at = min(
                self._next_list_at, now + _MIN_RETRY_SECONDS * self._rng.uniform(1, 2)
            )
        self._is_watcher = watcher
        if not alone:
            self._watch_from = now
        yield from self._update_watch(now)

    def tick(self, now: float, *, configured: bool) -> Iterator[CallApi]:
        """Start the watch or list the shards when it is due.

        ``configured`` is true if any shard is in force on this host.
        """
        yield from self._update_watch(now)
        should_list = self._is_watcher or not (self._has_listed or configured)
        if should_list and now >= self._next_list_at:
            yield from self.list_shards(now)

    def resume(self, now: float) -> Iterator[CallApi]:
        """List the shards after a pause of the process, if this host watches."""
        if self._is_watcher:
            yield from self.list_shards(now)

    def list_shards(self, now: float) -> Iterator[CallApi]:
        """List all shards; the status of the call arrives in ``handle_reply``."""
        self._list_id = self._rng.getrandbits(63)
        self._next_list_at = now + _REPLY_TIMEOUT_SECONDS
        yield CallApi(self._list_id, ApiCall.LIST, self._prefix)

    def handle_reply(self, reply: ApiReplied, now: float) -> None:
        """Schedule the next list by the status of the last one.

        The delay doubles with each failure, up to 30 s before jitter. Replies
        to other calls are ignored.
        """
        if reply.call_id != self._list_id:
            return
        self._list_id = None
        if reply.status is ApiStatus.OK:
            self._has_listed = True
            self._failures = 0
            self._next_list_at = now + self._jitter(_RELIST_INTERVAL_SECONDS)
            return
        self._failures += 1
        delay = min(_MAX_RETRY_SECONDS, _MIN_RETRY_SECONDS * 2 ** (self._failures - 1))
        self._next_list_at = now + delay * self._rng.uniform(1, 2)

    def _update_watch(self, now: float) -> Iterator[CallApi]:
        if self._is_watcher and self._watch_id is None and now >= self._watch_from:
            self._watch_id = self._rng.getrandbits(63)
            yield CallApi(self._watch_id, ApiCall.WATCH, self._prefix)
        elif not self._is_watcher and self._watch_id is not None:
            yield CallApi(self._watch_id, ApiCall.UNWATCH, self._prefix)
            self._watch_id = None

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.75, 1.25)
