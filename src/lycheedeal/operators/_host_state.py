"""State of this host and its neighbours, collected from events for queries."""

from collections import Counter, deque
from dataclasses import dataclass
from typing import Final

from lycheedeal import kernel
from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Event
from lycheedeal.messages import Digest
from lycheedeal.model import (
    SHARD_COUNT,
    ConfigurationView,
    Generation,
    HostId,
    Member,
    Service,
    ServiceName,
    ServiceNumber,
    ShardIndex,
    UpstreamId,
)
from lycheedeal.operators._work_counts import WorkCounters

# The oldest refusals are dropped.
_MAX_REFUSALS: Final = 500
# Length of a refusal's detail in characters; the rest is removed.
_MAX_DETAIL_LENGTH: Final = 200
# Digests come from neighbours only, and the gossip topology bounds their number.
_MAX_DIGESTS: Final = 64
# Upstreams beyond this number are shown with an unknown state.
_MAX_UPSTREAMS: Final = 4096


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused message or piece of work.

    ``refused_at`` is Unix time in seconds. ``service`` is None if it is
    not known which service was meant.
    """

    refused_at: float
    error: ErrorKind
    service: ServiceNumber | None
    detail: str


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """Configuration generations that a neighbour reported.

    ``received_at`` is Unix time in seconds.
    """

    received_at: float
    generations: dict[ShardIndex, Generation]


_UpstreamKey = tuple[ServiceNumber, UpstreamId]


class HostState:
    """Collects events into the state from which queries are answered.

    All tables are bounded: by the constants of this module or by the
    configuration.
    """

    def __init__(self) -> None:
        """Start with an empty configuration and empty tables."""
        self.view = ConfigurationView()
        self.in_force_since_by_shard: dict[ShardIndex, float] = {}
        self.members: tuple[Member, ...] = ()
        self.upstreams: dict[_UpstreamKey, kernel.UpstreamChanged] = {}
        self.refusals: deque[Refusal] = deque(maxlen=_MAX_REFUSALS)
        self.refusal_counts: Counter[ErrorKind] = Counter()
        self.digests_by_host: dict[HostId, ReceivedDigest] = {}
        self.work_counters = WorkCounters()

    def apply(self, event: Event, now: float) -> None:
        """Update the state by one event; ``now`` is Unix time in seconds.

        Events of other types are ignored.
        """
        match event:
            case kernel.FlowOpened():
                self.work_counters.add_opened(event)
            case kernel.FlowClosed():
                self.work_counters.add_closed(event)
            case kernel.RequestFinished():
                self.work_counters.add_request(event)
            case kernel.Refused(error, service, detail):
                self._add_refusal(
                    Refusal(now, error, service, detail[:_MAX_DETAIL_LENGTH])
                )
            case kernel.GossipReceived(Digest() as digest):
                self._add_digest(digest, now)
            case kernel.UpstreamChanged():
                self._add_upstream(event)
            case kernel.MembersChanged(members):
                self.members = members
            case kernel.ConfigurationChanged(view):
                self._replace_view(view, now)

    def find_service(self, name: ServiceName) -> Service | None:
        """Return the service of this name, or None if it is not configured."""
        services = self.view.services_by_number.values()
        return next((service for service in services if service.name == name), None)

    def _add_refusal(self, refusal: Refusal) -> None:
        self.refusals.append(refusal)
        self.refusal_counts[refusal.error] += 1

    def _add_digest(self, digest: Digest, now: float) -> None:
        # Reinsertion orders the table by age, so the first entry is the oldest.
        self.digests_by_host.pop(digest.sender, None)
        if len(self.digests_by_host) >= _MAX_DIGESTS:
            self.digests_by_host.pop(next(iter(self.digests_by_host)))
        generations = {
            shard: generation
            for shard, generation in digest.generations.items()
            if 0 <= shard < SHARD_COUNT
        }
        self.digests_by_host[digest.sender] = ReceivedDigest(now, generations)

    def _add_upstream(self, event: kernel.UpstreamChanged) -> None:
        key = (event.service, event.upstream_id)
        if key in self.upstreams or len(self.upstreams) < _MAX_UPSTREAMS:
            self.upstreams[key] = event

    def _replace_view(self, view: ConfigurationView, now: float) -> None:
        old_generations = self.view.generations_by_shard
        for shard, generation in view.generations_by_shard.items():
            if old_generations.get(shard) != generation:
                self.in_force_since_by_shard[shard] = now
        self.view = view
        self.work_counters.remove_unconfigured(view)
        self.upstreams = {
            key: event
            for key, event in self.upstreams.items()
            if self._is_configured(key)
        }

    def _is_configured(self, key: _UpstreamKey) -> bool:
        number, upstream_id = key
        service = self.view.services_by_number.get(number)
        return service is not None and any(
            upstream.upstream_id == upstream_id for upstream in service.upstreams
        )
