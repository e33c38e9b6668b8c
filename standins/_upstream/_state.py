"""Settings, shared state and control commands of the upstream stand-in."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from lycheedeal.model import Endpoint, Incarnation, ServiceName, UpstreamState
from standins._core import Clock

PROGRAM: Final = 'upstream'


@unique
class AnswerOrder(Enum):
    """Order in which the parts of an answer are sent to the host."""

    IN_ORDER = 'in-order'
    REVERSED = 'reversed'
    SHUFFLED = 'shuffled'


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of one upstream; durations are in seconds, sizes in bytes.

    During the first ``cold_start`` seconds the upstream reports to be starting
    and its service time is multiplied by ``cold_factor``. ``answer_delay`` is
    the maximum of the random delay of each part of an answer.
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
    """Refuses new work and reports to be draining."""


@dataclass(frozen=True, slots=True)
class Undrain:
    """Accepts new work again."""


@dataclass(frozen=True, slots=True)
class LieAboutLoad:
    """Reports these counts instead of the true ones; a negative one ends it."""

    running: int
    flows: int


@dataclass(frozen=True, slots=True)
class FailAtOnce:
    """Refuses all work at once while it still reports to be ready."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class SilencePort:
    """Drops all datagrams from a port.

    A middlebox that lost the state of a connection does the same.
    """

    port: int


@dataclass(frozen=True, slots=True)
class StopHello:
    """Stops or resumes answering health probes."""

    enabled: bool


Control = Drain | Undrain | LieAboutLoad | FailAtOnce | SilencePort | StopHello


@dataclass(slots=True)
class Context:
    """State shared by the plug-ins of one upstream.

    ``started_at`` is monotonic time; ``false_load`` None reports the true load.
    """

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
        """Return whether datagrams from this source are processed."""
        return source.port not in self.silent_ports

    def state(self) -> UpstreamState:
        """Return the state that probes report."""
        if self.draining:
            return UpstreamState.DRAINING
        return UpstreamState.STARTING if self.is_cold() else UpstreamState.READY

    def is_cold(self) -> bool:
        """Return whether the upstream is within its cold start."""
        age = self.clock.monotonic() - self.started_at
        return age < self.settings.cold_start

    def has_identity(self, service: ServiceName, incarnation: Incarnation) -> bool:
        """Return whether work for this service and incarnation is meant for us."""
        own = self.settings
        return (service, incarnation) == (own.service, own.incarnation)


def apply_control(context: Context, command: Control) -> None:
    """Apply a control command to the shared state."""
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
