"""Small kernel for the stand-ins: parts register themselves, events go in.

A part decides and yields effects; sockets, timers and files are carried out
by ``standins._runtime``.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

from lycheedeal.model import Endpoint, FlowId


@dataclass(frozen=True, slots=True)
class Started:
    """The program is up; sent once, first."""


@dataclass(frozen=True, slots=True)
class Stopping:
    """The program is about to end."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of ``lycheedeal.messages`` came in."""

    source: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """A packet of a flow came in; ``rest`` is all that follows the flow id."""

    source: Endpoint
    flow_id: FlowId
    rest: bytes


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message."""

    target: Endpoint
    message: Any


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Sends a packet of a flow; ``caller`` is set on the way to a host."""

    target: Endpoint
    flow_id: FlowId
    payload: bytes
    caller: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class DispatchLater:
    """Dispatches an event after a delay in seconds."""

    seconds: float
    event: Any


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Writes one line to the log file of the program."""

    event: str
    fields: dict[str, Any]


Effect = Send | SendPacket | DispatchLater | LogRecord


class Plugin(Protocol):
    """A part of a stand-in with its own state."""

    def handle(self, event: Any) -> Iterator[Effect]:
        """Take one event and yield the effects it calls for."""


@dataclass(frozen=True, slots=True)
class PluginSpec:
    """What the kernel needs to know about a part of a program."""

    program: str
    name: str
    factory: Callable[[Any], Plugin]
    events: frozenset[type]


@dataclass(frozen=True, slots=True)
class Clock:
    """Sources of time and randomness; a test hands in its own."""

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    rng: random.Random


_specs_by_key: Final[dict[tuple[str, str], PluginSpec]] = {}


def register(spec: PluginSpec) -> None:
    """Add a part; a second one of the same name is an error."""
    key = (spec.program, spec.name)
    if key in _specs_by_key:
        raise ValueError(f'part {spec.name} of {spec.program} is registered twice')
    _specs_by_key[key] = spec


class Dispatcher:
    """Holds the parts of one program and hands events to them."""

    def __init__(self, program: str, context: Any) -> None:
        """Build all registered parts of the program."""
        self._plugins_by_event: dict[type, list[Plugin]] = {}
        for spec in _specs_by_key.values():
            if spec.program == program:
                plugin = spec.factory(context)
                for event_type in spec.events:
                    self._plugins_by_event.setdefault(event_type, []).append(plugin)

    def dispatch(self, event: Any) -> Iterator[Effect]:
        """Yield the effects of an event."""
        for plugin in self._plugins_by_event.get(type(event), ()):
            yield from plugin.handle(event)
