"""Text of the metrics, by prometheus_client; imported at the first scrape."""

from collections.abc import Iterator
from typing import Final

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from lycheedeal.relay import Counters

_PREFIX: Final = 'lycheedeal_'


class _CountersCollector(Collector):
    """Hands the counts of the core to the metrics library."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (metric, label), count in self._counters.counts_by_label.items():
            family = families.get(metric)
            if family is None:
                name = f'{_PREFIX}{metric}'
                family = CounterMetricFamily(
                    name, f'Count of {metric}.', labels=['kind']
                )
                families[metric] = family
            family.add_metric([label], count)
        yield from families.values()


def render(counters: Counters) -> bytes:
    """Return all metrics in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_CountersCollector(counters))
    return generate_latest(registry)
