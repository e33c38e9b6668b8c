"""Choice of the upstream for a new flow."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from lycheedeal.ids import ServiceName, Zone
from lycheedeal.relay._records import Upstream
from lycheedeal.relay._table import UpstreamTable

# An open flow without a request counts as this part of a request.
_IDLE_FLOW_LOAD: Final = 0.1
# How much slower an upstream answers while it warms up.
_COLD_FACTOR: Final = 1.6
# Reports of other hosts count for this long, in seconds.
_REPORT_SECONDS: Final = 1.5


@dataclass(slots=True)
class Choice:
    """The upstream chosen, and how many were considered."""

    upstream: Upstream
    candidates: int
    local: bool


def choose(
    table: UpstreamTable,
    service: ServiceName,
    zone: Zone,
    excluded: Upstream | None,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Return the least loaded upstream, of the own zone if one is usable.

    None means that the service has no upstream that takes new flows.
    """
    listed = list(table.listed(service))
    group = next(filter(None, _groups(listed, zone, excluded, now)), None)
    if group is None:
        return None
    best = min(group, key=lambda one: (_load(one, now), rng.random()))
    return Choice(best, len(group), best.listing.zone == zone)


def _groups(
    listed: list[Upstream],
    zone: Zone,
    excluded: Upstream | None,
    now: float,
) -> Iterator[list[Upstream]]:
    others = [one for one in listed if one is not excluded]
    usable = [one for one in others if one.avoided_until <= now]
    yield _in_zone(usable, zone)
    yield usable
    yield _in_zone(others, zone)
    yield others
    yield listed


def _in_zone(upstreams: Iterable[Upstream], zone: Zone) -> list[Upstream]:
    return [one for one in upstreams if one.listing.zone == zone]


def _load(upstream: Upstream, now: float) -> float:
    """Return requests for each slot, as far as this host and its peers know."""
    busy = float(upstream.busy)
    for reported_at, count in upstream.peer_busy.values():
        if reported_at + _REPORT_SECONDS > now:
            busy += count
    idle = max(upstream.open_flows - upstream.busy, 0)
    load = busy + 1 + _IDLE_FLOW_LOAD * idle
    if upstream.warm_at > now:
        load *= _COLD_FACTOR
    return load / max(upstream.listing.slots, 1)
