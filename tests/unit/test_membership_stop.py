"""Tests of the planned stop of a host and of service ownership."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.zone_network import VirtualHost, ZoneNetwork, endpoint_of
from lycheedeal.kernel import StopRequested, WorkRemaining
from lycheedeal.membership import HostRanking, rank_hosts
from lycheedeal.model import HostId, Incarnation, Member, ServiceNumber, Zone


def stopping_host(zone: ZoneNetwork) -> VirtualHost:
    """Return a host of a zone of 8 that has just received two stop requests."""
    zone.start_zone(8)
    zone.run(10)
    host = zone.hosts['h000']
    zone.dispatch(host, StopRequested())
    zone.dispatch(host, StopRequested())
    return host


def test_leaving_host_is_excluded_and_exits_when_idle() -> None:
    """Guards against work for a leaving host, and an exit before peers know of it."""
    zone = ZoneNetwork(seed=1)
    host = stopping_host(zone)
    requested_at = zone.clock.now
    assert 'h000' not in host.members
    assert host.stop_deadlines == [requested_at + 10]
    zone.dispatch(host, WorkRemaining('requests', 0))
    remaining = tuple(zone.hosts)[1:]
    assert zone.seconds_until(lambda: zone.agree(remaining), 3) <= 1.5
    zone.run(2)
    assert host.exit_status == 0
    assert host.exit_time == pytest.approx(requested_at + 1, abs=0.2)
    zone.run(60)
    assert zone.agree(remaining)


def test_remaining_work_delays_the_exit() -> None:
    """Guards against a planned stop that interrupts requests."""
    zone = ZoneNetwork(seed=2)
    host = stopping_host(zone)
    requested_at = zone.clock.now
    zone.dispatch(host, WorkRemaining('requests', 2))
    zone.dispatch(host, WorkRemaining('steering', 0))
    zone.run(5)
    zone.dispatch(host, StopRequested())
    assert host.exit_status is None
    zone.dispatch(host, WorkRemaining('requests', 0))
    zone.run(0.3)
    assert host.exit_time == pytest.approx(requested_at + 5, abs=0.3)


def test_deadline_ends_a_stop_with_remaining_work() -> None:
    """Guards against a host that never exits because some work never ends."""
    zone = ZoneNetwork(seed=3)
    host = stopping_host(zone)
    requested_at = zone.clock.now
    zone.dispatch(host, WorkRemaining('requests', 1))
    zone.run(15)
    assert host.exit_status == 0
    assert host.exit_time == pytest.approx(requested_at + 10, abs=0.3)


def member(number: int) -> Member:
    """Return a member record."""
    endpoint = endpoint_of(number)
    name = HostId(f'h{number}')
    return Member(name, Zone('z'), endpoint, endpoint, endpoint, Incarnation(1))


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.sets(st.integers(0, 12)), min_size=1, max_size=6))
def test_cached_ranking_equals_a_fresh_one(steps: list[set[int]]) -> None:
    """Guards against an outdated owner in the cache after members change."""
    ranking = HostRanking()
    for step in steps:
        members = [member(number) for number in sorted(step)]
        ranking.update(members)
        for number in range(8):
            service = ServiceNumber(number)
            expected = rank_hosts(service, members)[:4]
            assert ranking.candidates(service) == expected
            assert ranking.owner(service) == next(iter(expected), None)


def test_lost_host_moves_only_its_services() -> None:
    """Guards against services that change their owner without need."""
    members = [member(number) for number in range(20)]
    lost = members[7]
    services = [ServiceNumber(number) for number in range(400)]
    before = [rank_hosts(service, members)[0] for service in services]
    remaining = [one for one in members if one != lost]
    after = [rank_hosts(service, remaining)[0] for service in services]
    pairs = zip(before, after, strict=True)
    assert all(old == new for old, new in pairs if old != lost)
    # 400 services on 20 hosts: a fair share is 20.
    assert max(before.count(one) for one in members) < 40
