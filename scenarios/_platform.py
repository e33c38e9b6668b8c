"""Fake of the platform's object API on virtual time."""

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from lycheedeal.kernel import ApiCall, ApiReplied, ApiStatus, CallApi, ObjectChanged
from scenarios._network import PLATFORM, Network

Deliver = Callable[[ApiReplied | ObjectChanged], None]
CALL_TIMEOUT = 2.0


@dataclass(frozen=True)
class _Watch:
    zone: str
    prefix: str
    deliver: Deliver


class VirtualPlatform:
    """Versions, conditional updates, watches, outages, lost answers."""

    def __init__(self, network: Network) -> None:
        """Create an empty store."""
        self._network = network
        self._time = network.time
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.calls: Counter[str] = Counter()
        self.old_bodies: dict[str, bytes] = {}
        self.hosts_body = b'[]'
        self.down_until = -1.0
        self.slow = 0.0
        self.answers_to_lose = 0
        self.stale_reads_until = -1.0
        self._stale: dict[str, tuple[int, bytes]] = {}
        self._watches: dict[tuple[str, int], _Watch] = {}
        self._numbers = itertools.count()

    def serve_stale_reads(self, until: float) -> None:
        """Answer reads and lists from today's copy until a later time."""
        self._stale = dict(self.objects)
        self.stale_reads_until = until

    def call(self, host: str, zone: str, call: CallApi, deliver: Deliver) -> None:
        """Take a call of a host."""
        self.calls[call.operation.value] += 1
        if call.operation is ApiCall.WATCH:
            self._watches[host, call.call_id] = _Watch(zone, call.key, deliver)
            return
        if call.operation is ApiCall.UNWATCH:
            self.forget(host)
            return
        if self._unreachable(zone):
            reply = ApiReplied(call.call_id, ApiStatus.UNAVAILABLE, call.key)
            self._time.call_later(0.01, lambda: deliver(reply))
            return
        delay = 0.002 + self.slow
        self._time.call_later(delay, lambda: self._answer(zone, call, deliver))

    def forget(self, host: str) -> None:
        """Drop the watches of a host."""
        kept = {key: watch for key, watch in self._watches.items() if key[0] != host}
        self._watches = kept

    @property
    def waiting_watches(self) -> int:
        """Return the number of watches that are held."""
        return len(self._watches)

    def _unreachable(self, zone: str) -> bool:
        down = self._time.now < self.down_until
        return down or self._network.is_cut(zone, PLATFORM)

    def _answer(self, zone: str, call: CallApi, deliver: Deliver) -> None:
        replies = list(self._execute(call))
        lost = self._unreachable(zone)
        if call.operation is ApiCall.WRITE and self.answers_to_lose:
            self.answers_to_lose -= 1
            lost = True
        if lost:
            unknown = ApiReplied(call.call_id, ApiStatus.UNKNOWN, call.key)
            self._time.call_later(CALL_TIMEOUT, lambda: deliver(unknown))
            return
        for reply in replies:
            deliver(reply)

    def _execute(self, call: CallApi) -> list[ApiReplied | ObjectChanged]:
        match call.operation:
            case ApiCall.READ:
                return [self._read(call)]
            case ApiCall.LIST:
                return self._list(call)
            case ApiCall.WRITE:
                return [self._write(call)]
            case ApiCall.HOSTS:
                return [
                    ApiReplied(call.call_id, ApiStatus.OK, call.key, 0, self.hosts_body)
                ]
            case _:
                return []

    @property
    def _readable(self) -> dict[str, tuple[int, bytes]]:
        stale = self._time.now < self.stale_reads_until
        return self._stale if stale else self.objects

    def _read(self, call: CallApi) -> ApiReplied:
        version, body = self._readable.get(call.key, (0, b''))
        status = ApiStatus.OK if version else ApiStatus.NOT_FOUND
        return ApiReplied(call.call_id, status, call.key, version, body)

    def _list(self, call: CallApi) -> list[ApiReplied | ObjectChanged]:
        found: list[ApiReplied | ObjectChanged] = [
            ObjectChanged(key, version, body)
            for key, (version, body) in self._readable.items()
            if key.startswith(call.key)
        ]
        return [*found, ApiReplied(call.call_id, ApiStatus.OK, call.key)]

    def _write(self, call: CallApi) -> ApiReplied:
        version, _ = self.objects.get(call.key, (0, b''))
        if version != call.version:
            return ApiReplied(call.call_id, ApiStatus.CONFLICT, call.key, version)
        self.objects[call.key] = (version + 1, call.body)
        self.old_bodies.setdefault(call.key, call.body)
        self._notify(call.key)
        return ApiReplied(call.call_id, ApiStatus.OK, call.key, version + 1)

    def recreate(self, key: str, body: bytes) -> None:
        """Delete an object and make it anew with version 1."""
        self.objects[key] = (1, body)
        self._notify(key)

    def _notify(self, key: str) -> None:
        version, body = self.objects[key]
        event = ObjectChanged(key, version, body)
        for watch in tuple(self._watches.values()):
            if key.startswith(watch.prefix) and not self._unreachable(watch.zone):
                self.calls['watch'] += 1
                self._time.call_later(0.003, partial(watch.deliver, event))
