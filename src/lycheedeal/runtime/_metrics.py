"""Metrics of the daemon in the Prometheus text format."""

from collections import Counter as Counted
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from lycheedeal.kernel import Observe

_PREFIX: Final = 'lycheedeal_'
# Label sets of each metric; further ones are counted under "other". Exposing
# metrics blocks the event loop: 25 ms for 100 label sets, 250 ms for 1000.
_MAX_SERIES: Final = 128
_OVERFLOW_LABEL_VALUE: Final = 'other'
# Upper bounds in seconds, from a round trip in a data centre to the longest
# deadline of a request.
_BUCKETS: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """Counter; ``Observe`` adds its amount."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GaugeSpec:
    """Gauge; ``Observe`` sets its value."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DurationSpec:
    """Histogram of durations; ``Observe`` adds one duration in seconds."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


MetricSpec = CounterSpec | GaugeSpec | DurationSpec
_Collector = Counter | Gauge | Histogram
_SeriesKey = tuple[str, tuple[tuple[str, str], ...]]

METRICS: Final[tuple[MetricSpec, ...]] = (
    CounterSpec(
        'requests_total',
        'Requests that ended, by error kind or "answered".',
        ('service', 'kind', 'result'),
    ),
    DurationSpec(
        'request_seconds',
        'Time from arrival to the end of a request.',
        ('service', 'kind'),
    ),
    CounterSpec(
        'refusals_total',
        'Messages and work refused, by error kind.',
        ('service', 'error'),
    ),
    CounterSpec(
        'flows_opened_total',
        'Flows opened by this host.',
        ('service', 'kind'),
    ),
    CounterSpec(
        'flows_closed_total',
        'Flows that ended, by error kind or "closed".',
        ('service', 'kind', 'result'),
    ),
    CounterSpec(
        'control_bytes_total',
        'Bytes of control messages sent, by link.',
        ('link',),
    ),
    CounterSpec(
        'api_calls_total',
        'Calls to the object API, by operation.',
        ('operation',),
    ),
    CounterSpec(
        'statements_total',
        'Operator statements answered, by exit code.',
        ('exit_code',),
    ),
    CounterSpec('membership_deaths', 'Hosts of the zone declared dead.'),
    CounterSpec('upstream_ejections', 'Upstreams ejected after failures.'),
    CounterSpec('path_switches', 'Silent paths to upstreams that were replaced.'),
)


class MetricsSink:
    """Applies ``Observe`` effects to the metrics of a separate registry."""

    content_type: Final = CONTENT_TYPE_LATEST

    def __init__(self, specs: Iterable[MetricSpec] = METRICS) -> None:
        """Declare the metrics; raises ValueError if a name is declared twice."""
        self._registry = CollectorRegistry(auto_describe=True)
        self._metrics_by_name = {
            spec.name: (spec, _declare(spec, self._registry)) for spec in specs
        }
        self._series: dict[_SeriesKey, _Collector] = {}
        self._series_counts: Counted[str] = Counted()
        self._undeclared = Counter(
            f'{_PREFIX}undeclared_observations_total',
            'Observations dropped because the table lacks their metric or labels.',
            registry=self._registry,
        )

    def observe(self, effect: Observe) -> None:
        """Apply an observation to its metric.

        An observation whose metric or labels are not declared is dropped and
        counted, because a faulty metric must not stop the data path.
        """
        series = self._series.get((effect.metric, effect.labels))
        if series is None:
            series = self._resolve_series(effect)
        match series:
            case None:
                self._undeclared.inc()
            case Counter():
                series.inc(max(effect.amount, 0))
            case Gauge():
                series.set(effect.amount)
            case Histogram():
                series.observe(effect.amount)

    def expose(self) -> bytes:
        """Return all metrics in the text format; blocks the event loop."""
        return generate_latest(self._registry)

    def _resolve_series(self, effect: Observe) -> _Collector | None:
        spec, collector = self._metrics_by_name.get(effect.metric, (None, None))
        label_values = dict(effect.labels)
        if spec is None or collector is None or label_values.keys() != set(spec.labels):
            return None
        if not label_values:
            return collector
        if self._series_counts[spec.name] >= _MAX_SERIES:
            return collector.labels(*(_OVERFLOW_LABEL_VALUE for _ in spec.labels))
        series = collector.labels(**label_values)
        self._series_counts[spec.name] += 1
        self._series[effect.metric, effect.labels] = series
        return series


def _declare(spec: MetricSpec, registry: CollectorRegistry) -> _Collector:
    name = _PREFIX + spec.name
    match spec:
        case CounterSpec():
            return Counter(name, spec.summary, spec.labels, registry=registry)
        case GaugeSpec():
            return Gauge(name, spec.summary, spec.labels, registry=registry)
        case DurationSpec():
            return Histogram(
                name,
                spec.summary,
                spec.labels,
                registry=registry,
                buckets=_BUCKETS,
            )
