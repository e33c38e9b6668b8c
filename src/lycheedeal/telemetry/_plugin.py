"""Plug-in that turns events into metrics and service-level windows."""

from collections.abc import Iterator
from typing import Any, Final

from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import (
    ConfigurationChanged,
    Context,
    Effect,
    Event,
    FlowClosed,
    FlowOpened,
    Observe,
    Refused,
    RequestFinished,
)
from lycheedeal.model import (
    ConfigurationView,
    FlowClass,
    KindId,
    ServiceNumber,
    summarize_flow,
)
from lycheedeal.telemetry._windows import LevelWindows, Outcome, burn_rate

_OBJECTIVE: Final = 0.999
_UNKNOWN: Final = 'unknown'
# Faults of the caller say nothing about the service level.
_CALLER_FAULTS: Final = frozenset(
    (
        ErrorKind.CANCELLED,
        ErrorKind.MALFORMED,
        ErrorKind.UNSUPPORTED_VERSION,
        ErrorKind.OVERSIZED,
        ErrorKind.BAD_TAG,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_KIND,
    ),
)


class TelemetryPlugin:
    """Counts outcomes by service and kind."""

    def __init__(self, context: Context, objective: float = _OBJECTIVE) -> None:
        """Take the share of events that must be good, below 1."""
        self._context = context
        self._objective = objective
        self._windows = LevelWindows()
        self._view = ConfigurationView()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""
        match event:
            case ConfigurationChanged(view):
                self._view = view
            case RequestFinished():
                yield from self._on_request(event)
            case Refused():
                yield from self._on_refused(event)
            case FlowOpened():
                yield from self._on_opened(event)
            case FlowClosed():
                yield from self._on_closed(event)

    def burn(self) -> dict[str, Any]:
        """Return burn rates by service, kind and window, in JSON types."""
        now = self._context.clock.monotonic()
        return {
            'host': self._context.settings.host_id,
            'as_of': self._context.clock.wall(),
            'objective': self._objective,
            'rows': [
                {
                    'service': self._service(count.service),
                    'kind': self._kind(count.service, count.kind_id),
                    'window': count.window,
                    'good': count.good,
                    'bad': count.bad,
                    'burn': burn_rate(count.good, count.bad, self._objective),
                }
                for count in self._windows.counts(now)
            ],
        }

    def _on_request(self, event: RequestFinished) -> Iterator[Effect]:
        self._add(event.service, event.kind_id, _outcome(event.error))
        labels = self._labels(event.service, event.kind_id)
        finished = 'answered' if event.error is None else event.error.name
        yield Observe('requests_total', 1, (*labels, ('result', finished)))
        yield Observe('request_seconds', event.seconds, labels)

    def _on_refused(self, event: Refused) -> Iterator[Effect]:
        if event.service is not None and event.kind_id is not None:
            self._add(event.service, event.kind_id, _outcome(event.error))
        service = self._service(event.service)
        labels = (('service', service), ('error', event.error.name))
        yield Observe('refusals_total', 1, labels)

    def _on_opened(self, event: FlowOpened) -> Iterator[Effect]:
        summary = summarize_flow(event.flow_id)
        # A request flow counts by its requests, not by its opening.
        if summary is None or summary.flow_class is FlowClass.LONG:
            self._add(event.service, event.kind_id, Outcome.GOOD)
        yield Observe(
            'flows_opened_total',
            1,
            self._labels(event.service, event.kind_id),
        )

    def _on_closed(self, event: FlowClosed) -> Iterator[Effect]:
        summary = summarize_flow(event.flow_id)
        kind_id = KindId(0) if summary is None else summary.kind_id
        if event.error is not None:
            self._add(event.service, kind_id, _outcome(event.error))
        finished = 'closed' if event.error is None else event.error.name
        yield Observe(
            'flows_closed_total',
            1,
            (*self._labels(event.service, kind_id), ('result', finished)),
        )

    def _add(self, service: ServiceNumber, kind_id: KindId, outcome: Outcome) -> None:
        self._windows.add((service, kind_id), outcome, self._context.clock.monotonic())

    def _labels(
        self,
        service: ServiceNumber,
        kind_id: KindId,
    ) -> tuple[tuple[str, str], ...]:
        return (
            ('service', self._service(service)),
            ('kind', self._kind(service, kind_id)),
        )

    def _service(self, number: ServiceNumber | None) -> str:
        service = None
        if number is not None:
            service = self._view.services_by_number.get(number)
        return _UNKNOWN if service is None else service.name

    def _kind(self, number: ServiceNumber, kind_id: KindId) -> str:
        service = self._view.services_by_number.get(number)
        kind = None if service is None else service.kind(kind_id)
        return _UNKNOWN if kind is None else kind.name


def _outcome(error: ErrorKind | None) -> Outcome:
    if error is None:
        return Outcome.GOOD
    return Outcome.IGNORED if error in _CALLER_FAULTS else Outcome.BAD
