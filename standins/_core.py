"""Small kernel for the stand-ins: plug-ins that register themselves.

Plug-ins take events and yield effects; ``standins._runtime`` carries the
effects out on sockets, timers and files, so plug-ins run without them in
tests.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

from lycheedeal.model import Endpoint, FlowId


@dataclass(frozen=True, slots=True)
class Started:
    """The program has started; dispatched once, before any other event."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """The program is about to exit; effects are still carried out."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A datagram with a message of ``lycheedeal.messages`` was received."""

    source: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A packet of an established flow was received.

    ``rest`` is everything after the flow id: the payload, preceded by the
    caller's address if a host sent the packet to an upstream.
    """

    source: Endpoint
    flow_id: FlowId
    rest: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message in one datagram."""

    target: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Sends a packet of an established flow.

    ``caller`` is set by upstreams, which name the caller to the host, and is
    None when a caller sends.
    """

    target: Endpoint
    flow_id: FlowId
    payload: bytes
    caller: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class DispatchLater:
    """Dispatches an event to the same program after a delay in seconds."""

    seconds: float
    event: Any


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Writes one line of JSON to the log file of the program."""

    event: str
    fields: dict[str, Any]


Effect = Send | SendPacket | DispatchLater | LogRecord


class Plugin(Protocol):
    """One concern of a stand-in program, with its own state."""

    def handle(self, event: Any) -> Iterator[Effect]:
        """Handle an event of a registered type and yield its effects."""


@dataclass(frozen=True, slots=True)
class PluginSpec:
    """Registration of a plug-in.

    ``factory`` takes the context of the program; ``events`` are the types
    that the plug-in handles.
    """

    program: str
    name: str
    factory: Callable[[Any], Plugin]
    events: frozenset[type]


@dataclass(frozen=True, slots=True)
class Clock:
    """Sources of time (seconds) and randomness, which tests replace."""

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    rng: random.Random


_specs_by_key: Final[dict[tuple[str, str], PluginSpec]] = {}


def register(spec: PluginSpec) -> None:
    """Register a plug-in.

    Raises ValueError if its program already has one of the same name.
    """
    key = (spec.program, spec.name)
    if key in _specs_by_key:
        raise ValueError(
            f'plug-in {spec.name} of program {spec.program} is already registered'
        )
    _specs_by_key[key] = spec


class Dispatcher:
    """Builds the plug-ins of one program and passes events to them."""

    def __init__(self, program: str, context: Any) -> None:
        """Build all plug-ins registered for ``program`` with its context."""
        self._plugins_by_event: dict[type, list[Plugin]] = {}
        for spec in _specs_by_key.values():
            if spec.program == program:
                plugin = spec.factory(context)
                for event_type in spec.events:
                    self._plugins_by_event.setdefault(event_type, []).append(plugin)

    def dispatch(self, event: Any) -> Iterator[Effect]:
        """Yield the effects of an event, in the order of registration."""
        for plugin in self._plugins_by_event.get(type(event), ()):
            yield from plugin.handle(event)
