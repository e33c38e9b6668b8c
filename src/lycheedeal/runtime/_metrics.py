"""Metrics in the Prometheus text format."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
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
# Services and their kinds label some metrics; a host keeps at most this many
# label sets for each metric, so that memory does not grow with the fleet.
_MAX_SERIES: Final = 1000
_OVERFLOW: Final = 'other'
# From a data centre round trip to the longest deadline of a request.
_BUCKETS: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """Metric that only rises; ``Observe`` adds to it."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GaugeSpec:
    """Current value; ``Observe`` replaces it."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DurationSpec:
    """Durations in seconds; ``Observe`` adds one to a histogram."""

    name: str
    summary: str
    labels: tuple[str, ...] = ()


MetricSpec = CounterSpec | GaugeSpec | DurationSpec
_Collector = Counter | Gauge | Histogram
_LabelValues = tuple[str, ...]

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
)


class MetricsSink:
    """Collects ``Observe`` effects in a registry of its own."""

    content_type: Final = CONTENT_TYPE_LATEST

    def __init__(self, specs: Iterable[MetricSpec] = METRICS) -> None:
        """Declare the metrics; a name declared twice raises ValueError."""
        self._registry = CollectorRegistry(auto_describe=True)
        self._specs_by_name: Mapping[str, MetricSpec] = MappingProxyType(
            {spec.name: spec for spec in specs},
        )
        self._collectors_by_name = {
            spec.name: _declare(spec, self._registry) for spec in specs
        }
        self._series: dict[str, set[_LabelValues]] = {
            name: set() for name in self._specs_by_name
        }
        self._undeclared = Counter(
            f'{_PREFIX}undeclared_observations_total',
            'Observations dropped because the table lacks their metric or labels.',
            registry=self._registry,
        )

    def observe(self, effect: Observe) -> None:
        """Add an observation.

        One that the table does not declare is counted and dropped, because
        a wrong metric must not stop the data path.
        """
        spec = self._specs_by_name.get(effect.metric)
        labels = dict(effect.labels)
        if spec is None or labels.keys() != set(spec.labels):
            self._undeclared.inc()
            return
        label_values = self._bound(spec, labels)
        collector = self._collectors_by_name[spec.name]
        _add(
            collector.labels(*label_values) if label_values else collector,
            effect.amount,
        )

    def expose(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def _bound(self, spec: MetricSpec, labels: Mapping[str, str]) -> _LabelValues:
        label_values = tuple(labels[name] for name in spec.labels)
        series = self._series[spec.name]
        if label_values not in series:
            if len(series) >= _MAX_SERIES:
                return (_OVERFLOW,) * len(label_values)
            series.add(label_values)
        return label_values


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


def _add(collector: _Collector, amount: float) -> None:
    match collector:
        case Counter():
            collector.inc(max(amount, 0))
        case Gauge():
            collector.set(amount)
        case Histogram():
            collector.observe(amount)
