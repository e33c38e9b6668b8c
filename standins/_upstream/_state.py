"""Settings, shared state and control commands of the upstream stand-in."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from lycheedeal.model import Endpoint, Incarnation, ServiceName, UpstreamState
from standins._core import Clock

PROGRAM: Final = 'upstream'


@unique
class AnswerOrder(Enum):
    """Order in which the parts of an answer are sent."""

    IN_ORDER = 'in-order'
    REVERSED = 'reversed'
    SHUFFLED = 'shuffled'


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of one upstream; durations are in seconds.

    While the upstream is cold its service time is ``cold_factor`` times as
    long. ``answer_delay`` is the longest time by which a part of an answer
    is held back.
    """

    service: ServiceName
    incarnation: Incarnation
    slots: int = 2
    connections: int = 4000
    service_time: float = 0.02
    cold_start: float = 0
    cold_factor: float = 3
    entry_interval: float = 0.5
    answer_size: int = 2000
    answer_order: AnswerOrder = AnswerOrder.IN_ORDER
    answer_delay: float = 0


@dataclass(frozen=True, slots=True)
class Drain:
    """Refuses new work and announces it."""


@dataclass(frozen=True, slots=True)
class Undrain:
    """Takes new work again."""


@dataclass(frozen=True, slots=True)
class LieAboutLoad:
    """Reports these figures instead of the true ones; negative ends the lie."""

    running: int
    flows: int


@dataclass(frozen=True, slots=True)
class FailAtOnce:
    """Refuses all work without delay, but still reports to be ready."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class SilencePort:
    """Drops all that comes from a port, as a middlebox without its state does."""

    port: int


@dataclass(frozen=True, slots=True)
class StopHello:
    """Leaves health probes unanswered."""

    enabled: bool


Control = Drain | Undrain | LieAboutLoad | FailAtOnce | SilencePort | StopHello


@dataclass(slots=True)
class Context:
    """What the parts of one upstream share."""

    settings: UpstreamSettings
    clock: Clock
    started_at: float
    draining: bool = False
    failing: bool = False
    ignores_hello: bool = False
    false_load: LieAboutLoad | None = None
    silent_ports: set[int] = field(default_factory=set)
    running: int = 0
    flows: int = 0

    def accepts(self, source: Endpoint) -> bool:
        """Tell whether datagrams from this source get through."""
        return source.port not in self.silent_ports

    def state(self) -> UpstreamState:
        """Return the state to announce."""
        if self.draining:
            return UpstreamState.DRAINING
        return UpstreamState.STARTING if self.is_cold() else UpstreamState.READY

    def is_cold(self) -> bool:
        """Tell whether the cold start still lasts."""
        age = self.clock.monotonic() - self.started_at
        return age < self.settings.cold_start

    def has_identity(self, service: ServiceName, incarnation: Incarnation) -> bool:
        """Tell whether a hand-over names this service and incarnation."""
        own = self.settings
        return (service, incarnation) == (own.service, own.incarnation)


def apply_control(context: Context, command: Control) -> None:
    """Change the behaviour of an upstream."""
    match command:
        case Drain():
            context.draining = True
        case Undrain():
            context.draining = False
        case LieAboutLoad(running, flows):
            context.false_load = command if min(running, flows) >= 0 else None
        case FailAtOnce(enabled):
            context.failing = enabled
        case SilencePort(port):
            context.silent_ports.add(port)
        case StopHello(enabled):
            context.ignores_hello = enabled
