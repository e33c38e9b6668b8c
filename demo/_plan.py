"""Steps of the demonstration.

Each step is a data class. The modules that implement steps register a handler
for them when they are imported.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from demo._fleet import Fleet
from lycheedeal.model import ServiceName, UpstreamId, Zone


@dataclass(frozen=True, slots=True)
class StartPlatform:
    """Starts the platform stand-in, which serves the object API."""


@dataclass(frozen=True, slots=True)
class StartUpstreams:
    """Starts the upstream stand-ins of all services."""


@dataclass(frozen=True, slots=True)
class StartHosts:
    """Starts the daemons and waits until their health checks succeed."""


@dataclass(frozen=True, slots=True)
class StartFabric:
    """Starts the fabric stand-in, which spreads packets over the daemons."""


@dataclass(frozen=True, slots=True)
class CreateServices:
    """Creates services, kinds of work and upstreams with lycheectl."""


@dataclass(frozen=True, slots=True)
class MeasurePropagation:
    """Measures the time from accepting a change until all live hosts apply it."""


@dataclass(frozen=True, slots=True)
class StartCallers:
    """Starts the callers, which open long flows and send requests."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Waits for a number of seconds while the traffic goes on."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DrainOneUpstream:
    """Drains an upstream with lycheectl; it must get no new work afterwards."""

    service: ServiceName
    upstream_id: UpstreamId


@dataclass(frozen=True, slots=True)
class StopOwner:
    """Sends SIGTERM to the host of a zone that owns most requests.

    The host must exit with status 0.
    """

    zone: Zone


@dataclass(frozen=True, slots=True)
class KillOwner:
    """Sends SIGKILL to the host of a zone that owns most requests."""

    zone: Zone


@dataclass(frozen=True, slots=True)
class StartPlatformOutage:
    """Makes the object API fail for some seconds; does not wait for the end."""

    seconds: int


@dataclass(frozen=True, slots=True)
class MeasureControlCost:
    """Measures control bytes and calls to the object API since the callers started."""


@dataclass(frozen=True, slots=True)
class FinishCallers:
    """Waits until all requests have ended, then stops the callers of long flows."""


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
    """Register the handler of some types of steps.

    Raises ValueError if one of them already has a handler.
    """
    for step in steps:
        if step in _handlers_by_step:
            raise ValueError(f'step {step.__name__} is registered twice')
        _handlers_by_step[step] = handler


async def run_step(step: Step, fleet: Fleet) -> None:
    """Run one step with the handler registered for its type."""
    await _handlers_by_step[type(step)](step, fleet)
