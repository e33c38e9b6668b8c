"""Parsed statements; the changes themselves are classes of ``lycheedeal.model``."""

from dataclasses import dataclass

from lycheedeal.model import Change, ServiceName


@dataclass(frozen=True, slots=True)
class ShowServices:
    """Lists all services."""


@dataclass(frozen=True, slots=True)
class ShowService:
    """Shows one service with its kinds, upstreams and flows."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class ShowUpstreams:
    """Lists the upstreams of one service, or of all if ``service`` is None."""

    service: ServiceName | None = None


@dataclass(frozen=True, slots=True)
class ShowFlows:
    """Shows flow and request counts of one service, or of all if it is None."""

    service: ServiceName | None = None


@dataclass(frozen=True, slots=True)
class ShowHosts:
    """Lists the hosts of the zone."""


@dataclass(frozen=True, slots=True)
class ShowConfig:
    """Shows the configuration in force and the hosts that lag behind it."""


@dataclass(frozen=True, slots=True)
class ShowRefusals:
    """Lists recent refusals.

    ``max_age`` is in seconds; None lists all that are kept.
    """

    max_age: float | None = None


Query = (
    ShowServices
    | ShowService
    | ShowUpstreams
    | ShowFlows
    | ShowHosts
    | ShowConfig
    | ShowRefusals
)


@dataclass(frozen=True, slots=True)
class ChangeStatement:
    """Requests a configuration change; a dry run only validates it."""

    change: Change
    dry_run: bool = False


Statement = Query | ChangeStatement
