"""Service levels and metrics must count each event once, in bounded space."""

import random
import re
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

import pytest

import lycheedeal
from lycheedeal import kernel, model
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Event, Kernel, Observe
from lycheedeal.model import (
    ConfigurationView,
    Endpoint,
    FlowClass,
    FlowFields,
    FlowId,
    FlowIdCodec,
    HostId,
    Incarnation,
    KindId,
    Region,
    ServiceName,
    ServiceNumber,
    Zone,
)
from lycheedeal.runtime import _metrics
from lycheedeal.runtime._metrics import METRICS, CounterSpec, MetricsSink
from lycheedeal.telemetry import LevelWindows, Outcome, TelemetryPlugin, burn_rate

KEY = bytes(16)
NUMBER = ServiceNumber(3)
FEED = KindId(1)
HOST = Endpoint('127.0.0.1', 1)
SERVICE = model.Service(
    NUMBER,
    ServiceName('api'),
    Endpoint('10.1.0.1', 80),
    kinds=(model.WorkKind(FEED, 'feed', 0, long=True),),
)


@dataclass
class VirtualClock:
    """Time that a test sets."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time as Unix time."""
        return 1000 + self.now


class Bench:
    """A kernel with telemetry and a metrics sink."""

    def __init__(self) -> None:
        """Build the kernel and show it a configuration."""
        self.clock = VirtualClock()
        self.sink = MetricsSink()
        where = (HostId('h1'), Region('r'), Zone('z'))
        ports = (HOST, HOST, HOST, HOST)
        settings = model.HostSettings(*where, *ports, 'http://127.0.0.1:1', KEY)
        context = kernel.Context(settings, self.clock, random.Random(1), Incarnation(1))
        self.kernel = Kernel(context, kernel.load_plugins(('telemetry',)))
        view = ConfigurationView(MappingProxyType({NUMBER: SERVICE}))
        self.tell(kernel.ConfigurationChanged(view))

    def tell(self, *events: Event) -> None:
        """Dispatch events and collect the metrics."""
        for event in events:
            for effect in self.kernel.dispatch(event):
                assert isinstance(effect, Observe)
                self.sink.observe(effect)

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return good and bad events of the feed by window."""
        plugin = self.kernel.plugins_by_name['telemetry']
        assert isinstance(plugin, TelemetryPlugin)
        rows = plugin.burn()['rows']
        assert {(row['service'], row['kind']) for row in rows} == {('api', 'feed')}
        return {row['window']: (row['good'], row['bad']) for row in rows}

    def metric(self, line: str) -> bool:
        """Tell whether the exposed text has this line."""
        return f'lycheedeal_{line}\n' in self.sink.expose().decode()


def finished(error: ErrorKind | None) -> kernel.RequestFinished:
    """Return the end of a request."""
    return kernel.RequestFinished(NUMBER, FEED, None, error, 0.03)


def flow(flow_class: FlowClass) -> FlowId:
    """Return a flow id."""
    fields = FlowFields(flow_class, FEED, NUMBER, HOST, Incarnation(1), 1)
    return FlowIdCodec(KEY).encode(fields)


def test_outcomes_by_window() -> None:
    """Guards against a window that forgets too early or too late."""
    bench = Bench()
    bench.tell(finished(None), finished(ErrorKind.QUEUE_FULL))
    assert bench.counts() == {'5m': (1, 1), '1h': (1, 1), '6h': (1, 1)}
    bench.clock.now = 5 * 60
    assert bench.counts() == {'5m': (0, 0), '1h': (1, 1), '6h': (1, 1)}
    bench.clock.now = 60 * 60
    bench.tell(finished(None))
    assert bench.counts() == {'5m': (1, 0), '1h': (1, 0), '6h': (2, 1)}
    bench.clock.now = 6 * 3600
    assert bench.counts() == {'5m': (0, 0), '1h': (0, 0), '6h': (1, 0)}
    bench.clock.now = 30 * 3600
    assert bench.counts() == {'5m': (0, 0), '1h': (0, 0), '6h': (0, 0)}


@pytest.mark.parametrize('error', [ErrorKind.CANCELLED, ErrorKind.UNKNOWN_KIND])
def test_faults_of_callers_do_not_burn(error: ErrorKind) -> None:
    """Guards against a caller that burns the budget by giving up."""
    bench = Bench()
    bench.tell(finished(None), finished(error))
    assert bench.counts()['5m'] == (1, 0)


def test_flows_count_by_class() -> None:
    """Guards against a broken feed that is not bad, and a flow counted twice."""
    bench = Bench()
    bench.tell(
        kernel.FlowOpened(NUMBER, FEED, flow(FlowClass.LONG)),
        kernel.FlowOpened(NUMBER, FEED, flow(FlowClass.REQUEST)),
        kernel.FlowClosed(NUMBER, flow(FlowClass.LONG), ErrorKind.UPSTREAM_LOST),
        kernel.FlowClosed(NUMBER, flow(FlowClass.LONG), None),
        kernel.Refused(ErrorKind.NO_UPSTREAM, NUMBER, 'open', FEED),
        kernel.Refused(ErrorKind.NO_UPSTREAM, NUMBER, 'request'),
    )
    assert bench.counts()['5m'] == (1, 2)
    assert bench.metric('flows_opened_total{kind="feed",service="api"} 2.0')
    assert bench.metric(
        'flows_closed_total{kind="feed",result="UPSTREAM_LOST",service="api"} 1.0',
    )


def test_metrics_of_requests_and_refusals() -> None:
    """Guards against metrics that lose their labels or are not declared."""
    bench = Bench()
    bench.tell(
        finished(None),
        kernel.Refused(ErrorKind.BAD_TAG, None, 'detail'),
        kernel.RequestFinished(ServiceNumber(9), FEED, None, None, 0.1),
    )
    assert bench.metric(
        'requests_total{kind="feed",result="answered",service="api"} 1.0',
    )
    assert bench.metric(
        'request_seconds_bucket{kind="feed",le="0.05",service="api"} 1.0',
    )
    assert bench.metric('refusals_total{error="BAD_TAG",service="unknown"} 1.0')
    assert bench.metric(
        'requests_total{kind="unknown",result="answered",service="unknown"} 1.0',
    )
    assert bench.metric('undeclared_observations_total 0.0')


def test_burn_rate() -> None:
    """Guards against a burn that does not relate to the budget."""
    assert burn_rate(0, 0, 0.999) == 0
    assert burn_rate(999, 1, 0.999) == pytest.approx(1)
    assert burn_rate(50, 50, 0.99) == pytest.approx(50)


def test_series_are_bounded() -> None:
    """Guards against memory that grows with the fleet's services."""
    windows = LevelWindows()
    for number in range(2000):
        windows.add((ServiceNumber(number), FEED), Outcome.GOOD, number * 60)
    kept = {count.service for count in windows.counts(2000 * 60)}
    assert kept == set(range(2000 - 128, 2000))


def test_labels_are_bounded_and_unknown_metrics_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a label that exhausts memory, and a typo that stops a host."""
    monkeypatch.setattr(_metrics, '_MAX_SERIES', 2)
    sink = MetricsSink((CounterSpec('seen_total', 'Seen.', ('who',)),))
    for who in ('a', 'b', 'c', 'd', 'a'):
        sink.observe(Observe('seen_total', 1, (('who', who),)))
    sink.observe(Observe('mistyped'))
    sink.observe(Observe('seen_total', 1, (('where', 'a'),)))
    text = sink.expose().decode()
    assert 'lycheedeal_seen_total{who="a"} 2.0' in text
    assert 'lycheedeal_seen_total{who="other"} 2.0' in text
    assert 'who="c"' not in text
    assert 'lycheedeal_undeclared_observations_total 2.0' in text


def test_a_metric_cannot_be_declared_twice() -> None:
    """Guards against two meanings of one name."""
    with pytest.raises(ValueError, match='Duplicated'):
        MetricsSink((*METRICS, METRICS[0]))


def test_every_observed_metric_is_declared() -> None:
    """Guards against a plug-in whose metric is dropped at run time."""
    root = Path(lycheedeal.__file__).parent
    observed = {
        name
        for path in root.rglob('*.py')
        for name in re.findall(r"Observe\(\s*'(\w+)'", path.read_text('utf-8'))
    }
    assert observed
    assert observed <= {spec.name for spec in METRICS}
