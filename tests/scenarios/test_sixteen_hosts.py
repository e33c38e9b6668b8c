"""Sixteen hosts with the real kernel in one loop on virtual time."""

from lycheedeal.kernel import load_plugins
from scenarios import Simulation, parse, run

TEXT = """
seed 3
zone coyhaique hosts 8
zone cochrane hosts 8
service bitacora-api in coyhaique, cochrane upstreams 7 time 50ms spill
kind checkin of bitacora-api priority 0
kind feed of bitacora-api priority 1 long
flows feed of bitacora-api 70 over 3s
requests checkin of bitacora-api 50/s deadline 5s
until 20s
expect flows_open = 70
expect unanswered = 0
expect ran_twice = 0
expect foreign_answers = 0
"""


def test_sixteen_hosts_serve_flows_and_requests() -> None:
    """Guards against a kernel that needs its own sockets, clock or threads."""
    state, checks = run(parse(TEXT))
    assert [str(check) for check in checks if not check.passed] == []
    members = {len(host.trace.members) for host in state.simulation.live_hosts()}
    assert members == {8}


def test_same_seed_gives_the_same_run() -> None:
    """Guards against decisions that depend on anything but events and the seed."""
    scenario = parse(TEXT)
    logs = []
    for _ in range(2):
        state, _ = run(scenario)
        logs.append([trace.logs for _, trace in state.traces])
    assert logs[0] == logs[1]


def test_simulation_may_run_other_plugins() -> None:
    """Guards against a kernel that needs all of the default plug-ins."""
    names = ('configuration', 'membership', 'steering')
    simulation = Simulation(plugins=names)
    host = simulation.add_host('alone', 'coyhaique')
    simulation.time.run_until(5)
    assert [spec.name for spec in load_plugins(names)] == list(names)
    assert host.alive
