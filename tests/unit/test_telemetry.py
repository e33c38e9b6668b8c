"""Service-level counts and metrics: each event counts once, in bounded memory."""

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
from lycheedeal.telemetry import (
    Outcome,
    ServiceLevelWindows,
    TelemetryPlugin,
    burn_rate,
)

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
    """Clock whose time, in seconds, is set by a test."""

    now: float = 0

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self.now

    def wall(self) -> float:
        """Return a Unix time that runs with the virtual time."""
        return 1000 + self.now


class Harness:
    """Kernel with the telemetry plug-in and a metrics sink."""

    def __init__(self) -> None:
        """Build the kernel and dispatch a configuration."""
        self.clock = VirtualClock()
        self.sink = MetricsSink()
        identity = (HostId('h1'), Region('r'), Zone('z'))
        ports = (HOST, HOST, HOST, HOST)
        settings = model.HostSettings(*identity, *ports, 'http://127.0.0.1:1', KEY)
        context = kernel.Context(settings, self.clock, random.Random(1), Incarnation(1))
        self.kernel = Kernel(context, kernel.load_plugins(('telemetry',)))
        view = ConfigurationView(MappingProxyType({NUMBER: SERVICE}))
        self.dispatch(kernel.ConfigurationChanged(view))

    def dispatch(self, *events: Event) -> None:
        """Dispatch events and pass the observed metrics to the sink."""
        for event in events:
            for effect in self.kernel.dispatch(event):
                assert isinstance(effect, Observe)
                self.sink.observe(effect)

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the good and bad events of the kind ``feed`` by window."""
        plugin = self.kernel.plugins_by_name['telemetry']
        assert isinstance(plugin, TelemetryPlugin)
        rows = plugin.burn_rates()['rows']
        assert {(row['service'], row['kind']) for row in rows} == {('api', 'feed')}
        return {row['window']: (row['good'], row['bad']) for row in rows}

    def exposes(self, line: str) -> bool:
        """Return whether the exposed metrics have this line."""
        return f'lycheedeal_{line}\n' in self.sink.expose().decode()


def request_finished(error: ErrorKind | None) -> kernel.RequestFinished:
    """Return the event that ends a request; None means answered."""
    return kernel.RequestFinished(NUMBER, FEED, None, error, 0.03)


def flow_id(flow_class: FlowClass) -> FlowId:
    """Return the id of a flow of the kind ``feed``."""
    fields = FlowFields(flow_class, FEED, NUMBER, HOST, Incarnation(1), 1)
    return FlowIdCodec(KEY).encode(fields)


def test_outcomes_by_window() -> None:
    """Guards against events that leave a window too early or too late."""
    harness = Harness()
    harness.dispatch(request_finished(None), request_finished(ErrorKind.QUEUE_FULL))
    assert harness.counts() == {'5m': (1, 1), '1h': (1, 1), '6h': (1, 1)}
    harness.clock.now = 5 * 60
    assert harness.counts() == {'5m': (0, 0), '1h': (1, 1), '6h': (1, 1)}
    harness.clock.now = 60 * 60
    harness.dispatch(request_finished(None))
    assert harness.counts() == {'5m': (1, 0), '1h': (1, 0), '6h': (2, 1)}
    harness.clock.now = 6 * 3600
    assert harness.counts() == {'5m': (0, 0), '1h': (0, 0), '6h': (1, 0)}
    harness.clock.now = 30 * 3600
    assert harness.counts() == {'5m': (0, 0), '1h': (0, 0), '6h': (0, 0)}


@pytest.mark.parametrize('error', [ErrorKind.CANCELLED, ErrorKind.UNKNOWN_KIND])
def test_errors_of_callers_are_ignored(error: ErrorKind) -> None:
    """Guards against callers that use up the error budget by their own errors."""
    harness = Harness()
    harness.dispatch(request_finished(None), request_finished(error))
    assert harness.counts()['5m'] == (1, 0)


def test_flows_count_by_class() -> None:
    """Guards against a broken long flow that is not bad, and flows counted twice."""
    harness = Harness()
    harness.dispatch(
        kernel.FlowOpened(NUMBER, FEED, flow_id(FlowClass.LONG)),
        kernel.FlowOpened(NUMBER, FEED, flow_id(FlowClass.REQUEST)),
        kernel.FlowClosed(NUMBER, flow_id(FlowClass.LONG), ErrorKind.UPSTREAM_LOST),
        kernel.FlowClosed(NUMBER, flow_id(FlowClass.LONG), None),
        kernel.Refused(ErrorKind.NO_UPSTREAM, NUMBER, 'new flow was refused', FEED),
        kernel.Refused(ErrorKind.NO_UPSTREAM, NUMBER, 'request was not run'),
    )
    assert harness.counts()['5m'] == (1, 2)
    assert harness.exposes('flows_opened_total{kind="feed",service="api"} 2.0')
    assert harness.exposes(
        'flows_closed_total{kind="feed",result="UPSTREAM_LOST",service="api"} 1.0',
    )


def test_metrics_of_requests_and_refusals() -> None:
    """Guards against metrics that lose their labels or are not declared."""
    harness = Harness()
    harness.dispatch(
        request_finished(None),
        kernel.Refused(ErrorKind.BAD_TAG, None, 'detail'),
        kernel.RequestFinished(ServiceNumber(9), FEED, None, None, 0.1),
    )
    assert harness.exposes(
        'requests_total{kind="feed",result="answered",service="api"} 1.0',
    )
    assert harness.exposes(
        'request_seconds_bucket{kind="feed",le="0.05",service="api"} 1.0',
    )
    assert harness.exposes('refusals_total{error="BAD_TAG",service="unknown"} 1.0')
    assert harness.exposes(
        'requests_total{kind="unknown",result="answered",service="unknown"} 1.0',
    )
    assert harness.exposes('undeclared_observations_total 0.0')


def test_burn_rate() -> None:
    """Guards against a burn rate that is not relative to the error budget."""
    assert burn_rate(0, 0, 0.999) == 0
    assert burn_rate(999, 1, 0.999) == pytest.approx(1)
    assert burn_rate(50, 50, 0.99) == pytest.approx(50)


def test_series_are_bounded() -> None:
    """Guards against memory that grows with the number of services of the fleet."""
    windows = ServiceLevelWindows()
    for number in range(2000):
        windows.add((ServiceNumber(number), FEED), Outcome.GOOD, number * 60)
    kept = {count.service for count in windows.counts(2000 * 60)}
    assert kept == set(range(2000 - 128, 2000))


def test_labels_are_bounded_and_unknown_metrics_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against labels that exhaust memory, and a misspelt metric that raises."""
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
    """Guards against two metrics of the same name."""
    with pytest.raises(ValueError, match='Duplicated'):
        MetricsSink((*METRICS, METRICS[0]))


def test_every_observed_metric_is_declared() -> None:
    """Guards against a metric that is dropped because it is not declared."""
    root = Path(lycheedeal.__file__).parent
    observed = {
        name
        for path in root.rglob('*.py')
        for name in re.findall(r"Observe\(\s*'(\w+)'", path.read_text('utf-8'))
    }
    assert observed
    assert observed <= {spec.name for spec in METRICS}
