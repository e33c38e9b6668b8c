"""Bounded table of established flows.

The table is a cache. A flow id names its upstream, so evicting an entry never
breaks a flow: the next packet adds it again once its tag has been checked.
"""

from collections import Counter
from collections.abc import Set as AbstractSet
from typing import Final, NamedTuple

from lycheedeal.model import Endpoint, FlowFields, Incarnation

# Size of the authentication tag at the end of a flow id, in bytes.
_TAG_SIZE: Final = 8
# An idle entry is evicted after one to two intervals. Keepalives of a flow are
# spread over all hosts, so a single host sees a given flow rarely.
ROTATION_INTERVAL_SECONDS: Final = 120


class FlowOwner(NamedTuple):
    """Process that opened a flow: peer endpoint and incarnation."""

    peer: Endpoint
    incarnation: Incarnation


class RouteTable:
    """Maps flow ids to upstreams, in a young and an old generation.

    A hit in the old generation moves the entry to the young one. Rotation
    evicts the entries that were not used since the previous rotation, without
    a scan of the table. When the table is full it keeps a sample: only flows
    whose tag ends in ``_sampling_shift`` zero bits, and flow counts are scaled
    up accordingly.
    """

    def __init__(self, max_flows: int) -> None:
        """Create a table that holds at most ``max_flows`` entries."""
        self._max_flows = max_flows
        self._young: dict[int, int] = {}
        self._old: dict[int, int] = {}
        self._sampling_shift = 0
        self._young_counts: Counter[int] = Counter()
        self._old_counts: Counter[int] = Counter()
        self._upstreams: list[Endpoint] = []
        self._owners: list[FlowOwner] = []
        self._indexes: dict[tuple[Endpoint, FlowOwner], int] = {}

    def __len__(self) -> int:
        """Return the number of entries in both generations."""
        return len(self._young) + len(self._old)

    @property
    def flows_per_entry(self) -> int:
        """Return the number of flows that one entry represents; 1 if not sampled."""
        return 1 << self._sampling_shift

    def lookup(self, flow_id: bytes) -> Endpoint | None:
        """Return the upstream of a flow, or None if it has no entry.

        Entries are found by the tag of the flow id, which authenticates the
        rest and was checked when the entry was added. The upstream is therefore
        taken from the entry and not from ``flow_id``, which is not checked here.
        """
        key = int.from_bytes(flow_id[-_TAG_SIZE:])
        index = self._young.get(key)
        if index is None:
            index = self._old.pop(key, None)
            if index is None:
                return None
            self._old_counts[index] -= 1
            self._insert(key, index)
        return self._upstreams[index]

    def add(self, flow_id: bytes, fields: FlowFields) -> None:
        """Add a flow whose tag has been checked.

        Has no effect if the flow is not in the sample of a full table.
        """
        key = int.from_bytes(flow_id[-_TAG_SIZE:])
        if key & (self.flows_per_entry - 1):
            return
        if len(self) >= self._max_flows:
            self._halve_sample()
            if key & (self.flows_per_entry - 1):
                return
        self._discard(key)
        self._insert(key, self._route_index(fields))

    def remove(self, flow_id: bytes) -> None:
        """Remove the entry of a flow, if there is one."""
        key = int.from_bytes(flow_id[-_TAG_SIZE:])
        self._discard(key)

    def rotate(self) -> None:
        """Evict the flows that were not seen since the previous rotation.

        Doubles the sample if the table has become less than a quarter full.
        """
        self._old = self._young
        self._old_counts = self._young_counts
        self._young = {}
        self._young_counts = Counter()
        if self._sampling_shift and len(self._old) < self._max_flows // 4:
            self._sampling_shift -= 1

    def counts(
        self,
        live_owners: AbstractSet[FlowOwner],
    ) -> Counter[Endpoint]:
        """Return the estimated number of flows by upstream.

        Flows of ``live_owners`` are left out, because their owners count them
        exactly. The cost grows with the number of upstreams and owners, not of
        flows: a scan of 300,000 flows would block the loop for 34 ms.
        """
        totals: Counter[Endpoint] = Counter()
        for index, count in (self._young_counts + self._old_counts).items():
            if self._owners[index] not in live_owners:
                totals[self._upstreams[index]] += count * self.flows_per_entry
        return totals

    def _halve_sample(self) -> None:
        self._sampling_shift += 1
        mask = self.flows_per_entry - 1
        self._young = {
            key: index for key, index in self._young.items() if not key & mask
        }
        self._old = {key: index for key, index in self._old.items() if not key & mask}
        self._young_counts = Counter(self._young.values())
        self._old_counts = Counter(self._old.values())

    def _insert(self, key: int, index: int) -> None:
        self._young[key] = index
        self._young_counts[index] += 1

    def _discard(self, key: int) -> None:
        index = self._young.pop(key, None)
        if index is not None:
            self._young_counts[index] -= 1
        index = self._old.pop(key, None)
        if index is not None:
            self._old_counts[index] -= 1

    def _route_index(self, fields: FlowFields) -> int:
        owner = FlowOwner(fields.owner, fields.owner_incarnation)
        key = (fields.upstream, owner)
        index = self._indexes.get(key)
        if index is None:
            index = len(self._upstreams)
            self._upstreams.append(fields.upstream)
            self._owners.append(owner)
            self._indexes[key] = index
        return index
