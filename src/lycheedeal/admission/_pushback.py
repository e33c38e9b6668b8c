"""Pushback between owners and relaying hosts."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.messages import Pushback
from lycheedeal.model import Endpoint, KindId, ServiceNumber

LONGEST_PUSHBACK_MS: Final = 1000
SHORTEST_PUSHBACK_MS: Final = 50
_LARGEST_TABLE: Final = 4096


@dataclass(frozen=True, slots=True)
class _Received:
    """A pushback in force; the time is in Unix milliseconds."""

    kinds: frozenset[KindId]
    until_ms: int


class PushbackTable:
    """Pushbacks in force on this host, and those it sent to others."""

    def __init__(self) -> None:
        """Start empty."""
        self._received_by_service: dict[ServiceNumber, _Received] = {}
        self._sent_until_ms: dict[tuple[Endpoint, ServiceNumber], int] = {}

    def accept(self, message: Pushback, now_ms: int) -> None:
        """Put a received pushback in force; the latest one counts."""
        ttl = min(message.ttl_ms, LONGEST_PUSHBACK_MS)
        if len(self._received_by_service) >= _LARGEST_TABLE:
            self._received_by_service.clear()
        received = _Received(frozenset(message.kinds), now_ms + ttl)
        self._received_by_service[message.service] = received

    def refuses(self, service: ServiceNumber, kind_id: KindId, now_ms: int) -> bool:
        """Tell whether a pushback covers new work of this kind."""
        received = self._received_by_service.get(service)
        if received is None:
            return False
        if now_ms >= received.until_ms:
            self._received_by_service.pop(service)
            return False
        return kind_id in received.kinds

    def may_send(
        self,
        peer: Endpoint,
        service: ServiceNumber,
        ttl_ms: int,
        now_ms: int,
    ) -> bool:
        """Tell whether to send a pushback; at most two in each lifetime.

        Opens that were on the way already would each cause another one.
        """
        sent = (peer, service)
        if now_ms < self._sent_until_ms.get(sent, 0):
            return False
        if len(self._sent_until_ms) >= _LARGEST_TABLE:
            self._sent_until_ms.clear()
        self._sent_until_ms[sent] = now_ms + ttl_ms // 2
        return True
