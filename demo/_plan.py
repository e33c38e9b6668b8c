"""Steps of the demonstration; modules register what carries them out."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from demo._fleet import Fleet
from lycheedeal.model import ServiceName, UpstreamId, Zone


@dataclass(frozen=True, slots=True)
class StartPlatform:
    """Starts the object API."""


@dataclass(frozen=True, slots=True)
class StartUpstreams:
    """Starts the upstreams of all services."""


@dataclass(frozen=True, slots=True)
class StartHosts:
    """Starts the daemons and waits until they answer."""


@dataclass(frozen=True, slots=True)
class StartFabric:
    """Starts the fabric in front of the daemons."""


@dataclass(frozen=True, slots=True)
class CreateServices:
    """Creates services, kinds and upstreams through lycheectl."""


@dataclass(frozen=True, slots=True)
class MeasurePropagation:
    """Makes a change and waits until it is in force on every live host."""


@dataclass(frozen=True, slots=True)
class StartCallers:
    """Starts long flows and requests."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Lets time pass."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DrainOneUpstream:
    """Drains an upstream through lycheectl."""

    service: ServiceName
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class StopOwner:
    """Stops the host of a zone that owns most requests; it must exit with 0."""

    zone: Zone


@dataclass(frozen=True, slots=True)
class KillOwner:
    """Kills the host of a zone that owns most requests."""

    zone: Zone


@dataclass(frozen=True, slots=True)
class StartPlatformOutage:
    """Makes the object API fail for some seconds."""

    seconds: int


@dataclass(frozen=True, slots=True)
class MeasureControlCost:
    """Reads what control traffic and calls to the object API cost."""


@dataclass(frozen=True, slots=True)
class FinishCallers:
    """Waits for the requests, then stops the callers."""


Step = (
    StartPlatform
    | StartUpstreams
    | StartHosts
    | StartFabric
    | CreateServices
    | MeasurePropagation
    | StartCallers
    | Wait
    | DrainOneUpstream
    | StopOwner
    | KillOwner
    | StartPlatformOutage
    | MeasureControlCost
    | FinishCallers
)
StepHandler = Callable[[Any, Fleet], Awaitable[None]]

_handlers_by_step: Final[dict[type, StepHandler]] = {}


def register(handler: StepHandler, *steps: type) -> None:
    """Name the function that carries out steps of these types."""
    for step in steps:
        if step in _handlers_by_step:
            raise ValueError(f'step {step.__name__} is registered twice')
        _handlers_by_step[step] = handler


async def run_step(step: Step, fleet: Fleet) -> None:
    """Carry out one step."""
    await _handlers_by_step[type(step)](step, fleet)
