"""Writes of the status object of this host's zone."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Final

from lycheedeal.kernel import ApiCall, ApiReplied, ApiStatus, CallApi
from lycheedeal.model import HostSettings, ZoneStatus
from lycheedeal.status._codec import encode_status, status_key

MIN_WRITE_INTERVAL_SECONDS: Final = 30.0
# A status that does not change is written again, so that readers can tell an
# unchanged zone from one whose reporter is gone.
RENEWAL_INTERVAL_SECONDS: Final = 300.0
# Time between checks for a change; each makes one summary of up to 343 hosts.
_CHECK_INTERVAL_SECONDS: Final = 5.0
# Covers a lost reply; the platform client reports a silent platform after 2 s.
_REPLY_TIMEOUT_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class _Idle:
    """No call is in progress."""


@dataclass(frozen=True, slots=True)
class _Reading:
    call_id: int
    timeout_at: float


@dataclass(frozen=True, slots=True)
class _Writing:
    call_id: int
    timeout_at: float
    status: ZoneStatus


_Phase = _Idle | _Reading | _Writing
Summarize = Callable[[], ZoneStatus]


class Publisher:
    """Writes the status of the zone by conditional updates.

    Two hosts may both act as reporter for some time; the second write of the two
    then fails, and its host reads the version again. Times are monotonic, in
    seconds.
    """

    def __init__(self, settings: HostSettings, rng: random.Random) -> None:
        """Start without a known version of the stored object."""
        self._key = status_key(settings.region, settings.zone)
        self._rng = rng
        self._phase: _Phase = _Idle()
        self._version: int | None = None
        self._written: ZoneStatus | None = None
        self._written_at = 0.0
        self._check_at = 0.0

    def start(self, now: float, delay: float) -> None:
        """Discard the known version; the first write comes after ``delay`` seconds.

        Called when this host becomes the reporter, and after a pause.
        """
        self._phase = _Idle()
        self._version = None
        self._written = None
        self._check_at = now + delay

    def tick(self, now: float, summarize: Summarize) -> Iterator[CallApi]:
        """Write the status that ``summarize`` returns, if a write is due."""
        match self._phase:
            case _Idle() if now >= self._check_at:
                yield from self._check(now, summarize())
            case _Reading(_, timeout_at) | _Writing(_, timeout_at) if now >= timeout_at:
                self._reset()
            case _:
                return

    def handle_reply(
        self,
        reply: ApiReplied,
        now: float,
        summarize: Summarize,
    ) -> Iterator[CallApi]:
        """Continue after the reply to the call in progress; ignore other replies."""
        match self._phase:
            case _Reading(call_id) if call_id == reply.call_id:
                yield from self._handle_read(reply, now, summarize)
            case _Writing(call_id, _, status) if call_id == reply.call_id:
                self._handle_write(reply, status, now)
            case _:
                return

    def _check(self, now: float, status: ZoneStatus) -> Iterator[CallApi]:
        self._check_at = now + _CHECK_INTERVAL_SECONDS
        previous = self._written
        changed = previous is None or replace(previous, at=status.at) != status
        if changed or now - self._written_at >= RENEWAL_INTERVAL_SECONDS:
            self._check_at = now + MIN_WRITE_INTERVAL_SECONDS
            if self._version is None:
                call_id = self._rng.getrandbits(63)
                self._phase = _Reading(call_id, now + _REPLY_TIMEOUT_SECONDS)
                yield CallApi(call_id, ApiCall.READ, self._key)
            else:
                yield self._write(status, self._version, now)

    def _handle_read(
        self,
        reply: ApiReplied,
        now: float,
        summarize: Summarize,
    ) -> Iterator[CallApi]:
        match reply.status:
            case ApiStatus.OK:
                yield self._write(summarize(), reply.version, now)
            case ApiStatus.NOT_FOUND:
                yield self._write(summarize(), 0, now)
            case _:
                self._reset()

    def _write(self, status: ZoneStatus, version: int, now: float) -> CallApi:
        call_id = self._rng.getrandbits(63)
        self._phase = _Writing(call_id, now + _REPLY_TIMEOUT_SECONDS, status)
        # The least time to the next write counts from here, also after a late read.
        self._check_at = now + MIN_WRITE_INTERVAL_SECONDS
        body = encode_status(status)
        return CallApi(call_id, ApiCall.WRITE, self._key, version, body)

    def _handle_write(self, reply: ApiReplied, status: ZoneStatus, now: float) -> None:
        if reply.status is not ApiStatus.OK:
            self._reset()
            return
        self._phase = _Idle()
        self._version = reply.version
        self._written = status
        self._written_at = now

    def _reset(self) -> None:
        self._phase = _Idle()
        self._version = None
        self._written = None
