"""Statements as data classes; changes are those of ``lycheedeal.model``."""

from dataclasses import dataclass

from lycheedeal.model import Change, ServiceName


@dataclass(frozen=True, slots=True)
class ShowServices:
    """Lists all services."""


@dataclass(frozen=True, slots=True)
class ShowService:
    """Describes one service."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class ShowUpstreams:
    """Lists upstreams, of one service or all."""

    service: ServiceName | None = None


@dataclass(frozen=True, slots=True)
class ShowFlows:
    """Counts flows and requests, of one service or all."""

    service: ServiceName | None = None


@dataclass(frozen=True, slots=True)
class ShowHosts:
    """Lists the hosts of the zone."""


@dataclass(frozen=True, slots=True)
class ShowConfig:
    """Tells which configuration is in force."""


@dataclass(frozen=True, slots=True)
class ShowRefusals:
    """Lists recent refusals; ``since`` is an age in seconds."""

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
    """Asks for a change, or only for its validation."""

    change: Change
    dry_run: bool = False


Statement = Query | ChangeStatement
