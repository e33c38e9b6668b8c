"""Parser of the scenario language: text to data classes.

The grammar is in scenario.lark. Durations are in seconds, rates per second
and percentages fractions of 1.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput


class ScenarioError(Exception):
    """A scenario file is invalid; the message gives line and column."""


@dataclass(frozen=True)
class ServiceLine:
    """A service and its upstreams, distributed over zones in turn.

    ``service_seconds`` is the mean time of one run; ``spill`` is the word of
    the file, or empty for the default rule.
    """

    name: str
    zones: tuple[str, ...]
    upstreams: int
    service_seconds: float
    spill: str


@dataclass(frozen=True)
class KindLine:
    """A kind of work; ``floor`` is a percentage as written, or empty."""

    name: str
    service: str
    priority: int
    floor: str
    idempotent: bool
    long: bool


@dataclass(frozen=True)
class RequestsLine:
    """Load of requests at a mean rate per second.

    ``reuse`` None opens a flow for each request.
    """

    kind: str
    service: str
    rate: float
    deadline: float
    reuse: str | None


@dataclass(frozen=True)
class FlowsLine:
    """Long flows, opened at even intervals over a time."""

    kind: str
    service: str
    count: int
    open_seconds: float


@dataclass(frozen=True)
class Action:
    """A fault or operator action at a time of the scenario.

    ``name`` is the name of its grammar rule.
    """

    at: float
    name: str
    arguments: tuple[Any, ...]


@dataclass(frozen=True)
class Expectation:
    """A bound that a measure of the finished run must meet.

    If ``share_of`` is not None the bound is a fraction of it: a span of time,
    in which the same measure is taken, or the capacity of a service.
    """

    measure: str
    arguments: tuple[Any, ...]
    comparison: str
    bound: float
    share_of: Any = None
    text: str = ''


@dataclass
class Scenario:
    """One parsed scenario file; ``loss`` and ``duplication`` are fractions."""

    seed: int = 1
    loss: float = 0.0
    duplication: float = 0.0
    until: float = 30.0
    hosts_by_zone: dict[str, int] = field(default_factory=dict)
    services: list[ServiceLine] = field(default_factory=list)
    kinds: list[KindLine] = field(default_factory=list)
    requests: list[RequestsLine] = field(default_factory=list)
    flows: list[FlowsLine] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)


def _seconds(token: Any) -> float:
    text = str(token)
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def _percent(token: Any) -> float:
    return float(str(token)[:-1]) / 100


def _convert(token: Any) -> Any:
    if not isinstance(token, Token):
        return token
    match token.type:
        case 'DURATION':
            return _seconds(token)
        case 'PERCENT':
            return _percent(token)
        case 'RATE':
            return float(str(token)[:-2])
        case 'INT':
            return int(token)
        case 'STRING':
            return str(token)[1:-1]
        case _:
            return str(token)


class _ScenarioBuilder(Transformer[Token, Any]):
    """Fills a ``Scenario`` from the lines of the parse tree."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        return (str(data), *map(_convert, children))

    def seed(self, children: list[Any]) -> None:
        self.scenario.seed = int(children[0])

    def loss(self, children: list[Any]) -> None:
        self.scenario.loss = _percent(children[0])

    def duplication(self, children: list[Any]) -> None:
        self.scenario.duplication = _percent(children[0])

    def zone(self, children: list[Any]) -> None:
        self.scenario.hosts_by_zone[str(children[0])] = int(children[1])

    def service(self, children: list[Any]) -> None:
        *names, count, duration, spill = children
        self.scenario.services.append(
            ServiceLine(
                str(names[0]),
                tuple(map(str, names[1:])),
                int(count),
                _seconds(duration) if duration else 0.05,
                str(spill or ''),
            ),
        )

    def kind(self, children: list[Any]) -> None:
        name, service, priority, floor, idempotent, long = children
        self.scenario.kinds.append(
            KindLine(
                str(name),
                str(service),
                int(priority),
                str(floor or ''),
                idempotent is not None,
                long is not None,
            ),
        )

    def requests(self, children: list[Any]) -> None:
        self.scenario.requests.append(RequestsLine(*map(_convert, children)))

    def flows(self, children: list[Any]) -> None:
        self.scenario.flows.append(FlowsLine(*map(_convert, children)))

    def until(self, children: list[Any]) -> None:
        self.scenario.until = _seconds(children[0])

    def at(self, children: list[Any]) -> None:
        name, *arguments = children[1]
        action = Action(_seconds(children[0]), name, tuple(arguments))
        self.scenario.actions.append(action)

    def span(self, children: list[Any]) -> tuple[float, float]:
        return _seconds(children[0]), _seconds(children[1])

    def number(self, children: list[Any]) -> float:
        return float(children[0])

    def duration_bound(self, children: list[Any]) -> float:
        return _seconds(children[0])

    def expect(self, children: list[Any]) -> None:
        (measure, *arguments), comparison, bound = children
        share_of = None
        if isinstance(bound, tuple):
            _, bound, share_of = bound
        self.scenario.expectations.append(
            Expectation(measure, tuple(arguments), str(comparison), bound, share_of),
        )


_parser = Lark(
    Path(__file__).with_name('scenario.lark').read_text(),
    parser='lalr',
    maybe_placeholders=True,
)


def parse(text: str) -> Scenario:
    """Parse the text of a scenario file; raises ScenarioError if invalid."""
    try:
        tree = _parser.parse(text)
    except UnexpectedInput as error:
        location = f'line {error.line}, column {error.column}'
        raise ScenarioError(f'{location}: {error.get_context(text)}') from error
    builder = _ScenarioBuilder()
    builder.transform(tree)
    return builder.scenario
