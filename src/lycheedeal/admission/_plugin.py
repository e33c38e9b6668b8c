"""Decides whether a new flow may be opened."""

from collections.abc import Iterator
from dataclasses import dataclass

from lycheedeal.admission._pushback import (
    LONGEST_PUSHBACK_MS,
    SHORTEST_PUSHBACK_MS,
    PushbackTable,
)
from lycheedeal.admission._retries import spread_retry_after
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    CallerMessage,
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    OpenAdmitted,
    PeerMessage,
    Publish,
    QueueMeasured,
    Refused,
    SendToCaller,
    SendToPeer,
    StopStarted,
)
from lycheedeal.messages import Open, OpenRefused, Pushback, RelayedOpen
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    KindId,
    Service,
    ServiceNumber,
    WorkKind,
)


@dataclass(frozen=True, slots=True)
class _Asked:
    """An ``Open`` with what is known about where it came from."""

    caller: Endpoint
    message: Open
    service: Service | None
    relayed_by: Endpoint | None
    final: bool = False


class Admission:
    """Admits or refuses each ``Open``; every refusal is answered."""

    def __init__(self, context: Context) -> None:
        """Start without a configuration."""
        self._context = context
        self._view: ConfigurationView | None = None
        self._stopping = False
        self._pushbacks = PushbackTable()
        self._measured: dict[ServiceNumber, QueueMeasured] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        match event:
            case CallerMessage(caller, address, Open() as message):
                service = self._by_address(address)
                yield from self._decide(_Asked(caller, message, service, None))
            case PeerMessage(peer, RelayedOpen(caller, number, message, final)):
                service = self._by_number(number)
                yield from self._decide(_Asked(caller, message, service, peer, final))
            case PeerMessage(_, Pushback() as pushback):
                self._pushbacks.accept(pushback, self._context.wall_ms())
            case ConfigurationChanged(view):
                self._view = view
            case QueueMeasured() as measured:
                self._measured[measured.service] = measured
            case StopStarted():
                self._stopping = True

    def _by_address(self, address: Endpoint) -> Service | None:
        view = self._view
        return None if view is None else view.services_by_address.get(address)

    def _by_number(self, number: ServiceNumber) -> Service | None:
        view = self._view
        return None if view is None else view.services_by_number.get(number)

    def _decide(self, asked: _Asked) -> Iterator[Effect]:
        service = asked.service
        if self._view is None:
            yield from self._refuse(asked, ErrorKind.NOT_READY)
        elif service is None:
            yield from self._refuse(asked, ErrorKind.UNKNOWN_SERVICE)
        else:
            yield from self._decide_for(asked, service)

    def _decide_for(self, asked: _Asked, service: Service) -> Iterator[Effect]:
        kind = service.kind(asked.message.kind_id)
        if kind is None:
            yield from self._refuse(asked, ErrorKind.UNKNOWN_KIND)
        elif self._stopping and asked.relayed_by is not None:
            yield from self._refuse(asked, ErrorKind.OWNER_LEAVING)
        elif self._is_saturated(service, kind):
            yield from self._refuse(asked, ErrorKind.PUSHED_BACK)
            yield from self._push_back(asked, service)
        elif self._is_pushed_back(asked, service, kind):
            yield from self._refuse(asked, ErrorKind.PUSHED_BACK)
        else:
            yield Publish(
                OpenAdmitted(
                    asked.caller,
                    service,
                    asked.message,
                    asked.relayed_by,
                    asked.final,
                ),
            )

    def _is_saturated(self, service: Service, kind: WorkKind) -> bool:
        """Tell whether the own queue has no room; long flows use no slots."""
        measured = self._measured.get(service.number)
        if measured is None or kind.long:
            return False
        return kind.kind_id in measured.saturated

    def _is_pushed_back(self, asked: _Asked, service: Service, kind: WorkKind) -> bool:
        """Tell whether another owner asked to refuse work that is not relayed yet."""
        return asked.relayed_by is None and self._pushbacks.refuses(
            service.number,
            kind.kind_id,
            self._context.wall_ms(),
        )

    def _refuse(self, asked: _Asked, error: ErrorKind) -> Iterator[Effect]:
        delay = spread_retry_after(self._context.rng, error)
        yield SendToCaller(
            asked.caller,
            OpenRefused(asked.message.nonce, error, delay),
        )
        number = None if asked.service is None else asked.service.number
        yield Publish(Refused(error, number, 'open', asked.message.kind_id))

    def _push_back(self, asked: _Asked, service: Service) -> Iterator[Effect]:
        if asked.relayed_by is None:
            return
        measured = self._measured[service.number]
        # Ends before the queue is empty, so that slots do not fall idle.
        ttl = min(measured.drain_ms // 2, LONGEST_PUSHBACK_MS)
        ttl = max(ttl, SHORTEST_PUSHBACK_MS)
        now_ms = self._context.wall_ms()
        if self._pushbacks.may_send(asked.relayed_by, service.number, ttl, now_ms):
            kinds = _refused_kinds(service, measured)
            yield SendToPeer(asked.relayed_by, Pushback(service.number, kinds, ttl))


def _refused_kinds(service: Service, measured: QueueMeasured) -> tuple[KindId, ...]:
    """Return the kinds to push back; long flows use no slots."""
    return tuple(
        kind.kind_id
        for kind in service.kinds
        if kind.kind_id in measured.saturated and not kind.long
    )
