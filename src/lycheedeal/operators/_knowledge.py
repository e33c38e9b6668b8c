"""What the plug-in learned about this host and its neighbours."""

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
from lycheedeal.operators._work import WorkLedger

_MAX_REFUSALS: Final = 500
_MAX_DETAIL: Final = 200
# Digests come from neighbours only; their number is bounded by the ring.
_MAX_DIGESTS: Final = 64
_MAX_UPSTREAMS: Final = 4096


@dataclass(frozen=True, slots=True)
class Refusal:
    """One refusal; ``at`` is Unix time."""

    at: float
    error: ErrorKind
    service: ServiceNumber | None
    detail: str


@dataclass(frozen=True, slots=True)
class HeardDigest:
    """Generations of another host; ``at`` is Unix time."""

    at: float
    generations: dict[ShardIndex, Generation]


_UpstreamKey = tuple[ServiceNumber, UpstreamId]


class Knowledge:
    """Bounded state from which queries are answered."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.view = ConfigurationView()
        self.in_force_since: dict[ShardIndex, float] = {}
        self.members: tuple[Member, ...] = ()
        self.upstreams: dict[_UpstreamKey, kernel.UpstreamChanged] = {}
        self.refusals: deque[Refusal] = deque(maxlen=_MAX_REFUSALS)
        self.refusal_counts: Counter[ErrorKind] = Counter()
        self.digests_by_host: dict[HostId, HeardDigest] = {}
        self.work = WorkLedger()

    def learn(self, event: Event, now: float) -> None:
        """Take in one event; ``now`` is Unix time."""
        match event:
            case kernel.FlowOpened():
                self.work.add_opened(event)
            case kernel.FlowClosed():
                self.work.add_closed(event)
            case kernel.RequestFinished():
                self.work.add_request(event)
            case kernel.Refused(error, service, detail):
                self._add_refusal(Refusal(now, error, service, detail[:_MAX_DETAIL]))
            case kernel.GossipReceived(Digest() as digest):
                self._add_digest(digest, now)
            case kernel.UpstreamChanged():
                self._add_upstream(event)
            case kernel.MembersChanged(members):
                self.members = members
            case kernel.ConfigurationChanged(view):
                self._replace_view(view, now)

    def service(self, name: ServiceName) -> Service | None:
        """Return the service of this name, if it is configured."""
        services = self.view.services_by_number.values()
        return next((service for service in services if service.name == name), None)

    def _add_refusal(self, refusal: Refusal) -> None:
        self.refusals.append(refusal)
        self.refusal_counts[refusal.error] += 1

    def _add_digest(self, digest: Digest, now: float) -> None:
        # Reinsertion keeps the table in order of age.
        self.digests_by_host.pop(digest.sender, None)
        if len(self.digests_by_host) >= _MAX_DIGESTS:
            self.digests_by_host.pop(next(iter(self.digests_by_host)))
        generations = {
            shard: generation
            for shard, generation in digest.generations.items()
            if 0 <= shard < SHARD_COUNT
        }
        self.digests_by_host[digest.sender] = HeardDigest(now, generations)

    def _add_upstream(self, event: kernel.UpstreamChanged) -> None:
        key = (event.service, event.upstream_id)
        if key in self.upstreams or len(self.upstreams) < _MAX_UPSTREAMS:
            self.upstreams[key] = event

    def _replace_view(self, view: ConfigurationView, now: float) -> None:
        old = self.view.generations_by_shard
        for shard, generation in view.generations_by_shard.items():
            if old.get(shard) != generation:
                self.in_force_since[shard] = now
        self.view = view
        self.work.retain(view)
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
