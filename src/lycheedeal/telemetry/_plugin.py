"""Plug-in that turns events into metrics and service-level counts."""

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
from lycheedeal.telemetry._windows import Outcome, ServiceLevelWindows, burn_rate

# Share of events that are to be good.
_DEFAULT_OBJECTIVE: Final = 0.999
_UNKNOWN_LABEL: Final = 'unknown'
# Errors made by the caller do not count towards the service level.
_CALLER_ERRORS: Final = frozenset(
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
    """Counts requests, flows and refusals by service and kind of work."""

    def __init__(self, context: Context, objective: float = _DEFAULT_OBJECTIVE) -> None:
        """Start without counts; ``objective`` is a share of good events below 1."""
        self._context = context
        self._objective = objective
        self._windows = ServiceLevelWindows()
        self._view = ConfigurationView()

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the metrics of an event."""
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

    def burn_rates(self) -> dict[str, Any]:
        """Return burn rates by service, kind and window, in JSON types.

        Without events in a window the rate is 0. ``as_of`` is Unix time.
        """
        now = self._context.clock.monotonic()
        return {
            'host': self._context.settings.host_id,
            'as_of': self._context.clock.wall(),
            'objective': self._objective,
            'rows': [
                {
                    'service': self._service_name(count.service),
                    'kind': self._kind_name(count.service, count.kind_id),
                    'window': count.window,
                    'good': count.good,
                    'bad': count.bad,
                    'burn': burn_rate(count.good, count.bad, self._objective),
                }
                for count in self._windows.counts(now)
            ],
        }

    def _on_request(self, event: RequestFinished) -> Iterator[Effect]:
        self._count(event.service, event.kind_id, _outcome_of(event.error))
        labels = self._labels(event.service, event.kind_id)
        result = 'answered' if event.error is None else event.error.name
        yield Observe('requests_total', 1, (*labels, ('result', result)))
        yield Observe('request_seconds', event.seconds, labels)

    def _on_refused(self, event: Refused) -> Iterator[Effect]:
        if event.service is not None and event.kind_id is not None:
            self._count(event.service, event.kind_id, _outcome_of(event.error))
        service = self._service_name(event.service)
        labels = (('service', service), ('error', event.error.name))
        yield Observe('refusals_total', 1, labels)

    def _on_opened(self, event: FlowOpened) -> Iterator[Effect]:
        summary = summarize_flow(event.flow_id)
        # A request flow counts by its requests and not by its opening.
        if summary is None or summary.flow_class is FlowClass.LONG:
            self._count(event.service, event.kind_id, Outcome.GOOD)
        yield Observe(
            'flows_opened_total',
            1,
            self._labels(event.service, event.kind_id),
        )

    def _on_closed(self, event: FlowClosed) -> Iterator[Effect]:
        summary = summarize_flow(event.flow_id)
        kind_id = KindId(0) if summary is None else summary.kind_id
        if event.error is not None:
            self._count(event.service, kind_id, _outcome_of(event.error))
        result = 'closed' if event.error is None else event.error.name
        yield Observe(
            'flows_closed_total',
            1,
            (*self._labels(event.service, kind_id), ('result', result)),
        )

    def _count(self, service: ServiceNumber, kind_id: KindId, outcome: Outcome) -> None:
        self._windows.add((service, kind_id), outcome, self._context.clock.monotonic())

    def _labels(
        self,
        service: ServiceNumber,
        kind_id: KindId,
    ) -> tuple[tuple[str, str], ...]:
        return (
            ('service', self._service_name(service)),
            ('kind', self._kind_name(service, kind_id)),
        )

    def _service_name(self, number: ServiceNumber | None) -> str:
        service = None
        if number is not None:
            service = self._view.services_by_number.get(number)
        return _UNKNOWN_LABEL if service is None else service.name

    def _kind_name(self, number: ServiceNumber, kind_id: KindId) -> str:
        service = self._view.services_by_number.get(number)
        kind = None if service is None else service.kind(kind_id)
        return _UNKNOWN_LABEL if kind is None else kind.name


def _outcome_of(error: ErrorKind | None) -> Outcome:
    if error is None:
        return Outcome.GOOD
    return Outcome.IGNORED if error in _CALLER_ERRORS else Outcome.BAD
