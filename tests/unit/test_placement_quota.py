"""Split of the limit of a cold upstream among the hosts of its zone."""

from collections.abc import Iterable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lycheedeal.ids import HostId, UpstreamId
from lycheedeal.placement import WarmupLimit, WarmupQuota

UPSTREAM = UpstreamId('i-1')
OVERAGE, SLACK = 1.5, 5
# Part of the limit that hosts use as long as all of them know each other.
PLANNED_SHARE = 0.8

limits = st.builds(WarmupLimit, st.floats(0, 1000), st.floats(0, 3), st.floats(0, 20))


def host_ids(count: int) -> list[HostId]:
    return [HostId(f'host-{one}') for one in range(count)]


def opened(
    quota: WarmupQuota, limit: WarmupLimit, hosts: Iterable[HostId], now: float
) -> int:
    """Open flows while a host may; return their number."""
    known = tuple(hosts)
    count = 0
    while quota.weight(UPSTREAM, limit, known, now):
        quota.record(UPSTREAM, now)
        count += 1
    return count


@settings(derandomize=True, deadline=None)
@given(limits, st.integers(1, 40))
def test_hosts_together_use_the_planned_part_of_the_limit(
    limit: WarmupLimit, count: int
) -> None:
    """Guards against rounding that leaves cold upstreams idle, or floods them."""
    hosts = host_ids(count)
    total = sum(opened(WarmupQuota(one), limit, hosts, 0) for one in hosts)
    planned = int(limit.openings * PLANNED_SHARE)
    even = planned // max(min(count, planned), 1)
    if even + 1 <= limit.openings - planned:
        assert total == planned
    else:
        assert total == even * min(count, planned)


@settings(derandomize=True, deadline=None)
@given(limits, st.integers(2, 40), st.integers(0, 39))
@example(WarmupLimit(0, 0, 1.5), 4, 2)
@example(WarmupLimit(0, 0, 2.5), 5, 0)
def test_one_host_that_the_others_do_not_know_stays_within_the_limit(
    limit: WarmupLimit, count: int, late: int
) -> None:
    """Guards against a host that starts and is missing in the tables of the others."""
    limit = WarmupLimit(limit.rate, limit.overage, limit.slack + SLACK)
    hosts = host_ids(max(count, 4))
    unknown = hosts[late % len(hosts)]
    known = [one for one in hosts if one != unknown]
    total = opened(WarmupQuota(unknown), limit, hosts, 0)
    total += sum(opened(WarmupQuota(one), limit, known, 0) for one in known)
    assert total <= limit.openings


def test_window_slides() -> None:
    """Guards against a burst at the end of one second and the start of the next."""
    limit = WarmupLimit(10, OVERAGE, SLACK)
    hosts = host_ids(1)
    quota = WarmupQuota(hosts[0])
    times: list[float] = []
    for step in range(1000):
        now = step / 100
        times.extend([now] * opened(quota, limit, hosts, now))
    worst = max(sum(at <= one < at + 1 for one in times) for at in times)
    assert worst <= limit.openings * PLANNED_SHARE
    assert len(times) >= 0.6 * limit.openings * 10


@pytest.mark.parametrize('openings', [0, 0.5, 1.2])
def test_limit_below_one_opening_gives_no_share(openings: float) -> None:
    """Guards against a division by zero, and against rounding up."""
    limit = WarmupLimit(0, OVERAGE, openings)
    assert not opened(WarmupQuota(HostId('host-0')), limit, host_ids(3), 0)


def test_forgotten_openings_are_outside_the_window() -> None:
    """Guards against a table that grows, and against a limit that starts anew."""
    limit = WarmupLimit(0, OVERAGE, SLACK)
    hosts = host_ids(1)
    quota = WarmupQuota(hosts[0])
    assert opened(quota, limit, hosts, 0)
    quota.expire(1)
    assert not opened(quota, limit, hosts, 1)
    quota.expire(2)
    assert opened(quota, limit, hosts, 2)


def test_cold_upstreams_are_spread_over_the_hosts() -> None:
    """Guards against the same hosts carrying all cold upstreams."""
    limit = WarmupLimit(0, OVERAGE, SLACK)
    hosts = host_ids(30)
    sharing = {
        host
        for host in hosts
        for number in range(20)
        if WarmupQuota(host).weight(UpstreamId(f'i-{number}'), limit, hosts, 0)
    }
    assert len(sharing) > 25
