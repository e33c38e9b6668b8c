"""Upstreams that do not answer, and the votes of hosts that suspect them."""

import pytest

from lycheedeal import relay
from lycheedeal.ids import UpstreamId
from lycheedeal.relay import PacketKind
from tests.relay_simulation import CALLER, RelayHost, RelaySimulation, listing, packet

HOSTS = 30
UPSTREAMS = 10
CRASHED = UpstreamId('i-1')
# The network stack of the caller repeats an opening after this time.
REPEAT_SECONDS = 0.2
FLOWS_PER_SECOND = 60


class Callers:
    """Callers that open flows at the hosts in turn.

    Upstreams in ``silent`` answer no host; ``unreachable`` names the upstream that a
    host cannot reach.
    """

    def __init__(self, simulation: RelaySimulation) -> None:
        self.simulation = simulation
        self.silent: set[UpstreamId] = set()
        self.unreachable: dict[RelayHost, UpstreamId] = {}
        self._caller = CALLER
        self._repeats: list[tuple[float, RelayHost, int]] = []

    def run(self, seconds: float) -> float:
        """Open flows for some seconds; return the share that was not answered."""
        opened = unanswered = 0
        for _ in range(round(seconds * 10)):
            self._repeat()
            for _ in range(FLOWS_PER_SECOND // 10):
                opened += 1
                hosts = list(self.simulation.hosts.values())
                self._caller += 1
                unanswered += not self._open(
                    hosts[self._caller % len(hosts)], self._caller
                )
            self.simulation.run(0.1)
        return unanswered / opened

    def _repeat(self) -> None:
        now = self.simulation.clock.now
        due = [one for one in self._repeats if one[0] <= now]
        self._repeats = [one for one in self._repeats if one[0] > now]
        for _, host, caller in due:
            self._open(host, caller, attempt=1)

    def _open(self, host: RelayHost, caller: int, attempt: int = 0) -> bool:
        upstream = host.open(caller, attempt)
        name = upstream.listing.upstream_id
        if name in self.silent or self.unreachable.get(host) == name:
            due = self.simulation.clock.now + REPEAT_SECONDS
            self._repeats.append((due, host, caller))
            return False
        for kind in (PacketKind.ACKNOWLEDGEMENT, PacketKind.FINISH):
            host.dispatch(relay.PacketArrived(packet(kind, upstream.token, caller)))
        return True


@pytest.fixture
def callers() -> Callers:
    simulation = RelaySimulation()
    simulation.store.put(*(listing(f'i-{one:x}') for one in range(1, UPSTREAMS + 1)))
    simulation.add_together(HOSTS, seconds=6)
    callers = Callers(simulation)
    assert callers.run(3) == 0
    return callers


def test_crashed_upstream_is_avoided_by_hosts_that_sent_it_nothing(
    callers: Callers,
) -> None:
    """Guards against hosts that have to notice a crash themselves.

    A host that opens two flows a second takes long to do so.
    """
    callers.silent.add(CRASHED)
    callers.run(3)
    # Without votes its share of the flows is a tenth.
    assert callers.run(10) < 0.03


def suspicion_texts(host: RelayHost) -> list[str]:
    return [one.text for one in host.records if one.kind == 'doubt']


def test_upstream_that_answers_again_gets_flows(callers: Callers) -> None:
    callers.silent.add(CRASHED)
    callers.run(8)
    callers.silent.clear()
    callers.run(8)
    for host in callers.simulation.hosts.values():
        assert (
            suspicion_texts(host)[0]
            == 'Upstream is suspected by hosts of the zone; new flows avoid it.'
        )
        assert (
            suspicion_texts(host)[-1]
            == 'Upstream is no longer suspected; it gets new flows again.'
        )
    for host in callers.simulation.hosts.values():
        host.sent.clear()
    callers.run(5)
    sent = [one for host in callers.simulation.hosts.values() for one in host.sent]
    share = sum(one.upstream.listing.upstream_id == CRASHED for one in sent) / len(sent)
    assert share > 0.05


def test_failure_votes_of_few_hosts_are_outvoted(callers: Callers) -> None:
    """Guards against an upstream that all hosts avoid because of two hosts.

    The two cannot reach it, the others can.
    """
    one, other, *rest = callers.simulation.hosts.values()
    callers.unreachable = {one: CRASHED, other: CRASHED}
    callers.run(5)
    for host in rest:
        host.sent.clear()
    callers.run(5)
    sent = [forward for host in rest for forward in host.sent]
    share = sum(one.upstream.listing.upstream_id == CRASHED for one in sent) / len(sent)
    assert share > 0.05


def test_suspected_upstreams_are_used_if_they_are_most(callers: Callers) -> None:
    """Guards against overload of the few upstreams that are not suspected.

    When the whole zone suspects most upstreams, flows still go to all of them.
    """
    callers.silent.update(UpstreamId(f'i-{one:x}') for one in range(1, 8))
    callers.run(5)
    for host in callers.simulation.hosts.values():
        host.sent.clear()
    callers.run(5)
    sent = [one for host in callers.simulation.hosts.values() for one in host.sent]
    names = {one.upstream.listing.upstream_id for one in sent}
    assert len(names) == UPSTREAMS
