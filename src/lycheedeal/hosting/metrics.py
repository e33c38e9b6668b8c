"""Renders metrics in the Prometheus text format.

Imported at the first scrape, because prometheus_client is slow to import.
"""

from collections.abc import Iterator
from itertools import accumulate
from typing import Final

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from lycheedeal.relay import BUCKET_SECONDS, Histogram, Metrics

_PREFIX: Final = 'lycheedeal_'


class _MetricsCollector(Collector):
    """Converts the packet relay's metrics to metric families of prometheus_client."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (metric, label), count in self._metrics.counts_by_label.items():
            family = families.get(metric)
            if family is None:
                name = f'{_PREFIX}{metric}'
                family = CounterMetricFamily(
                    name, f'Count of {metric}.', labels=['kind']
                )
                families[metric] = family
            family.add_metric([label], count)
        yield from families.values()
        yield from self._gauges()
        yield from self._histograms()

    def _gauges(self) -> Iterator[Metric]:
        families: dict[str, GaugeMetricFamily] = {}
        for (metric, label), amount in self._metrics.gauges_by_label.items():
            family = families.get(metric)
            if family is None:
                name = f'{_PREFIX}{metric}'
                family = GaugeMetricFamily(name, f'Level of {metric}.', labels=['kind'])
                families[metric] = family
            family.add_metric([label], amount)
        yield from families.values()

    def _histograms(self) -> Iterator[Metric]:
        families: dict[str, HistogramMetricFamily] = {}
        for (metric, label), histogram in self._metrics.histograms_by_label.items():
            family = families.get(metric)
            if family is None:
                name = f'{_PREFIX}{metric}'
                help_text = f'Durations of {metric}.'
                family = HistogramMetricFamily(name, help_text, labels=['kind'])
                families[metric] = family
            family.add_metric(
                [label], list(_cumulative_buckets(histogram)), histogram.total
            )
        yield from families.values()


def _cumulative_buckets(histogram: Histogram) -> Iterator[tuple[str, float]]:
    bounds = (*map(str, BUCKET_SECONDS), '+Inf')
    yield from zip(bounds, accumulate(histogram.counts), strict=True)


def render(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)
