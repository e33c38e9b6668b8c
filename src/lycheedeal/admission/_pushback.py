"""Pushback: an owner asks a host that relays messages to refuse new flows."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.messages import Pushback
from lycheedeal.model import Endpoint, KindId, ServiceNumber

MAX_PUSHBACK_MS: Final = 1000
MIN_PUSHBACK_MS: Final = 50
# Entries of each table; a full table is cleared, which at worst loses or repeats
# pushbacks.
_MAX_ENTRIES: Final = 4096


@dataclass(frozen=True, slots=True)
class _ActivePushback:
    """A received pushback; ``expires_ms`` is in Unix milliseconds."""

    kinds: frozenset[KindId]
    expires_ms: int


class PushbackTable:
    """Pushbacks that this host received and sent; times are Unix milliseconds."""

    def __init__(self) -> None:
        """Start without pushbacks."""
        self._active_by_service: dict[ServiceNumber, _ActivePushback] = {}
        self._next_send_ms: dict[tuple[Endpoint, ServiceNumber], int] = {}

    def accept(self, message: Pushback, now_ms: int) -> None:
        """Apply a pushback; it replaces an earlier one for the same service."""
        ttl_ms = min(message.ttl_ms, MAX_PUSHBACK_MS)
        if len(self._active_by_service) >= _MAX_ENTRIES:
            self._active_by_service.clear()
        active = _ActivePushback(frozenset(message.kinds), now_ms + ttl_ms)
        self._active_by_service[message.service] = active

    def refuses(self, service: ServiceNumber, kind_id: KindId, now_ms: int) -> bool:
        """Return whether a pushback in force covers new flows of this kind."""
        active = self._active_by_service.get(service)
        if active is None:
            return False
        if now_ms >= active.expires_ms:
            self._active_by_service.pop(service)
            return False
        return kind_id in active.kinds

    def may_send(
        self,
        peer: Endpoint,
        service: ServiceNumber,
        ttl_ms: int,
        now_ms: int,
    ) -> bool:
        """Return whether to send a pushback, and if so count it as sent.

        A host gets at most two for a service in each lifetime of a pushback.
        Without this limit, each ``Open`` already in transit would cause one.
        """
        key = (peer, service)
        if now_ms < self._next_send_ms.get(key, 0):
            return False
        if len(self._next_send_ms) >= _MAX_ENTRIES:
            self._next_send_ms.clear()
        self._next_send_ms[key] = now_ms + ttl_ms // 2
        return True
