"""Plug-in that decides whether a new flow may be opened."""

from collections.abc import Iterator
from dataclasses import dataclass

from lycheedeal.admission._pushback import (
    MAX_PUSHBACK_MS,
    MIN_PUSHBACK_MS,
    PushbackTable,
)
from lycheedeal.admission._retries import jittered_retry_after_ms
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
class _ReceivedOpen:
    """An ``Open`` that is to be admitted or refused.

    ``service`` is None if it is not configured. ``relayed_by`` is the host that
    relayed the message, None if it came directly from the fabric; ``final``
    means that it came from another zone.
    """

    caller: Endpoint
    message: Open
    service: Service | None
    relayed_by: Endpoint | None
    final: bool = False


class AdmissionPlugin:
    """Admits or refuses each ``Open`` and answers every refusal."""

    def __init__(self, context: Context) -> None:
        """Start without a configuration."""
        self._context = context
        self._view: ConfigurationView | None = None
        self._stopping = False
        self._pushbacks = PushbackTable()
        self._measurements: dict[ServiceNumber, QueueMeasured] = {}

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of an event."""
        match event:
            case CallerMessage(caller, address, Open() as message):
                service = self._find_by_address(address)
                yield from self._decide(_ReceivedOpen(caller, message, service, None))
            case PeerMessage(peer, RelayedOpen(caller, number, message, final)):
                service = self._find_by_number(number)
                yield from self._decide(
                    _ReceivedOpen(caller, message, service, peer, final)
                )
            case PeerMessage(_, Pushback() as pushback):
                self._pushbacks.accept(pushback, self._context.wall_ms())
            case ConfigurationChanged(view):
                self._view = view
            case QueueMeasured() as measured:
                self._measurements[measured.service] = measured
            case StopStarted():
                self._stopping = True

    def _find_by_address(self, address: Endpoint) -> Service | None:
        view = self._view
        return None if view is None else view.services_by_address.get(address)

    def _find_by_number(self, number: ServiceNumber) -> Service | None:
        view = self._view
        return None if view is None else view.services_by_number.get(number)

    def _decide(self, received: _ReceivedOpen) -> Iterator[Effect]:
        service = received.service
        if self._view is None:
            yield from self._refuse(received, ErrorKind.NOT_READY)
        elif service is None:
            yield from self._refuse(received, ErrorKind.UNKNOWN_SERVICE)
        else:
            yield from self._decide_for_service(received, service)

    def _decide_for_service(
        self, received: _ReceivedOpen, service: Service
    ) -> Iterator[Effect]:
        kind = service.kind(received.message.kind_id)
        if kind is None:
            yield from self._refuse(received, ErrorKind.UNKNOWN_KIND)
        elif self._stopping and received.relayed_by is not None:
            yield from self._refuse(received, ErrorKind.OWNER_LEAVING)
        elif self._is_saturated(service, kind):
            yield from self._refuse(received, ErrorKind.PUSHED_BACK)
            yield from self._push_back(received, service)
        elif self._is_pushed_back(received, service, kind):
            yield from self._refuse(received, ErrorKind.PUSHED_BACK)
        else:
            yield Publish(
                OpenAdmitted(
                    received.caller,
                    service,
                    received.message,
                    received.relayed_by,
                    received.final,
                ),
            )

    def _is_saturated(self, service: Service, kind: WorkKind) -> bool:
        """Return whether the queue on this host is too long for a new flow.

        Long flows use no slots and are not limited by the queue.
        """
        measured = self._measurements.get(service.number)
        if measured is None or kind.long:
            return False
        return kind.kind_id in measured.saturated

    def _is_pushed_back(
        self, received: _ReceivedOpen, service: Service, kind: WorkKind
    ) -> bool:
        """Return whether an owner asked this host to refuse new flows of the kind."""
        return received.relayed_by is None and self._pushbacks.refuses(
            service.number,
            kind.kind_id,
            self._context.wall_ms(),
        )

    def _refuse(self, received: _ReceivedOpen, error: ErrorKind) -> Iterator[Effect]:
        delay_ms = jittered_retry_after_ms(self._context.rng, error)
        yield SendToCaller(
            received.caller,
            OpenRefused(received.message.nonce, error, delay_ms),
        )
        number = None if received.service is None else received.service.number
        yield Publish(
            Refused(error, number, 'new flow was refused', received.message.kind_id)
        )

    def _push_back(self, received: _ReceivedOpen, service: Service) -> Iterator[Effect]:
        if received.relayed_by is None:
            return
        measured = self._measurements[service.number]
        # Expires before the queue is empty, so that slots do not become idle.
        ttl_ms = min(measured.drain_ms // 2, MAX_PUSHBACK_MS)
        ttl_ms = max(ttl_ms, MIN_PUSHBACK_MS)
        now_ms = self._context.wall_ms()
        if self._pushbacks.may_send(
            received.relayed_by, service.number, ttl_ms, now_ms
        ):
            kinds = _refused_kinds(service, measured)
            yield SendToPeer(
                received.relayed_by, Pushback(service.number, kinds, ttl_ms)
            )


def _refused_kinds(service: Service, measured: QueueMeasured) -> tuple[KindId, ...]:
    """Return the saturated kinds without long flows, which use no slots."""
    return tuple(
        kind.kind_id
        for kind in service.kinds
        if kind.kind_id in measured.saturated and not kind.long
    )
