"""Explanations of where an opening would go: state of the relay, HTTP answer, text."""

import json
import pickle
import subprocess
import sys
from dataclasses import replace
from typing import Any

import pytest
from cleo.io.outputs.buffered_output import BufferedOutput

from lycheedeal import relay
from lycheedeal.cli._program import run_program
from lycheedeal.cli._where import placement_lines
from lycheedeal.hosting import HttpStatus
from lycheedeal.hosting.placement import respond
from lycheedeal.ids import Zone
from tests.relay_simulation import (
    API,
    CALLER,
    INTAKE,
    ROUTES,
    RelayHost,
    RelaySimulation,
    listing,
    packet,
)

CALLER_TEXT = '100.64.0.7:40001'


@pytest.fixture
def simulation() -> RelaySimulation:
    simulation = RelaySimulation()
    simulation.store.put(
        listing('i-1'),
        listing('i-2'),
        listing('i-3', zone='north'),
        listing('i-9', service=INTAKE),
    )
    return simulation


def ask(host: RelayHost, query: str) -> Any:
    response = respond(host.kernel, query)
    assert response.status is HttpStatus.OK, response.body
    return json.loads(response.body)


def rows_by_id(host: RelayHost, query: str = 'route=r-api') -> dict[str, Any]:
    (service,) = ask(host, query)['services']
    return {row['upstream']: row for row in service['upstreams']}


def test_question_changes_nothing(simulation: RelaySimulation) -> None:
    """Guards against a question that counts, uses quota, or draws a random number.

    The state has what an opening would change: a flow without an answer, an upstream
    that is cold, and one whose quota is used up.
    """
    cold = [replace(listing(f'i-{one}'), warmup_ms=60_000) for one in (1, 2)]
    simulation.store.put(*cold)
    host = simulation.add('a')
    settings = host.context.settings
    settings.warmup_overage, settings.warmup_slack = 1.5, 5
    simulation.run(7)
    for _ in range(12):
        host.dispatch(relay.PacketArrived(packet(relay.PacketKind.OPENING)))
    assert any(host.kernel.plugins_by_name['forwarding'].flow_table.flows_by_key)
    before = pickle.dumps(host.kernel)
    for query in ('route=r-api', f'route=r-api&caller={CALLER_TEXT}', 'route=none'):
        respond(host.kernel, query)
    assert pickle.dumps(host.kernel) == before
    assert 'warming_up' in {
        reason for row in rows_by_id(host).values() for reason in row['excluded_by']
    }


def test_pickle_shows_what_an_opening_changes(simulation: RelaySimulation) -> None:
    """Guards the test above against a comparison that never fails."""
    host = simulation.add('a')
    before = pickle.dumps(host.kernel)
    host.context.rng.random()
    after_draw = pickle.dumps(host.kernel)
    host.context.metrics.add('packets', 'opened')
    assert len({before, after_draw, pickle.dumps(host.kernel)}) == 3


def test_service_of_a_weighted_route_is_that_of_the_opening(
    simulation: RelaySimulation,
) -> None:
    """Guards against an explanation of another service than the caller gets."""
    shares = ((API, 1), (INTAKE, 3))
    split = relay.Route(relay.RouteName('r-api'), ROUTES[0].key, shares)
    simulation.store.configure(2, split)
    host = simulation.add('a')
    picked = set()
    for one in range(20):
        query = f'route=r-api&caller=100.64.0.7:{40001 + one}'
        (service,) = ask(host, query)['services']
        picked.add(service['service'])
        assert service['service'] == host.open(CALLER + one).listing.service
    assert picked == {API, INTAKE}
    services = ask(host, 'route=r-api')['services']
    assert [(one['service'], one['share']) for one in services] == [
        (API, 0.25),
        (INTAKE, 0.75),
    ]


def test_rows_tell_why_an_upstream_gets_nothing(simulation: RelaySimulation) -> None:
    """Guards against upstreams that are missing, or without the reason."""
    simulation.store.put(listing('i-2', draining=True))
    host = simulation.add('a')
    rows = rows_by_id(host)
    assert rows['i-1'] == {
        'upstream': 'i-1',
        'zone': 'south',
        'address': '10.1.64.1:8001',
        'state': 'ready',
        'load': 0.5,
        'share': 1,
        'probability': 1,
        'excluded_by': [],
    }
    assert rows['i-2']['state'] == 'draining'
    assert rows['i-2']['excluded_by'] == ['draining']
    assert rows['i-3']['excluded_by'] == ['unreported']
    assert rows['i-2']['probability'] == rows['i-3']['probability'] == 0


def test_unanswered_opening_counts_for_its_caller(simulation: RelaySimulation) -> None:
    """Guards against an explanation that takes a repeated opening for a first one."""
    host = simulation.add('a')
    chosen = host.open().listing.upstream_id
    answer = ask(host, f'route=r-api&caller={CALLER_TEXT}')
    assert answer['unanswered'] == chosen
    rows = rows_by_id(host, f'route=r-api&caller={CALLER_TEXT}')
    assert rows[chosen]['excluded_by'] == ['unanswered']
    assert rows[chosen]['probability'] == 0
    assert not rows_by_id(host)[chosen]['excluded_by']


def test_refusal_has_the_reason_of_the_reset(simulation: RelaySimulation) -> None:
    """Guards against a reason that the log line of the reset does not have."""
    host = simulation.add('a')
    zones = frozenset((Zone('south'), Zone('north')))
    host.dispatch(relay.EvacuationsChanged(zones, frozenset()))
    (service,) = ask(host, 'route=r-api')['services']
    host.dispatch(relay.PacketArrived(packet(relay.PacketKind.OPENING)))
    assert service['refusal'] == host.records[-1].details['reason'] == 'evacuated'
    assert {row['probability'] for row in service['upstreams']} == {0}


def test_answer_tells_what_the_host_has_read(simulation: RelaySimulation) -> None:
    """Guards against an answer that hides an old configuration or an old report."""
    simulation.add('a')
    follower = simulation.add('b')
    simulation.run(3)
    simulation.store.configure(8, *ROUTES)
    simulation.run(2)
    answer = ask(follower, 'route=198.18.0.1:443')
    assert answer['route']['name'] == 'r-api'
    contents_by_kind = {one['content']: one for one in answer['contents']}
    configuration = contents_by_kind['configuration']
    assert configuration['version'] == 8
    assert configuration['revision'] == simulation.store.revision
    assert configuration['source'] == 'peer'
    assert contents_by_kind['upstreams']['source'] == 'store'
    assert contents_by_kind['upstreams']['age_s'] < 2
    assert {one['lag_s'] for one in answer['contents']} == {0}
    assert answer['loads']['zones'] == ['south'] and answer['loads']['in_use']
    simulation.disconnected.update(simulation.hosts)
    simulation.store.up = False
    simulation.run(5)
    answer = ask(follower, 'route=r-api')
    assert answer['contents'][0]['age_s'] > 5


@pytest.mark.parametrize(
    ('query', 'status', 'reason'),
    [
        ('', HttpStatus.BAD_REQUEST, 'route is missing'),
        ('route=', HttpStatus.BAD_REQUEST, 'route is missing'),
        ('route=r-api&caler=1', HttpStatus.BAD_REQUEST, 'unknown fields: caler'),
        ('route=r-api&route=r', HttpStatus.BAD_REQUEST, 'more than once'),
        ('route=r-api&caller=', HttpStatus.BAD_REQUEST, 'IP:PORT of a caller'),
        ('route=r-api&caller=1.2.3.4:%2B5', HttpStatus.BAD_REQUEST, 'found'),
        ('route=r-api&caller=1.2.3:5', HttpStatus.BAD_REQUEST, 'found'),
        ('route=r-none', HttpStatus.NOT_FOUND, "configuration 1 has no route 'r-none'"),
        ('route=1.2.3.4:5', HttpStatus.NOT_FOUND, 'has no route 1.2.3.4:5'),
    ],
)
def test_bad_questions_are_refused(
    simulation: RelaySimulation, query: str, status: HttpStatus, reason: str
) -> None:
    """Guards against an answer to another question than the operator asked."""
    response = respond(simulation.add('a').kernel, query)
    assert response.status is status
    assert reason in json.loads(response.body)['reason']


def test_host_without_configuration_says_so(simulation: RelaySimulation) -> None:
    """Guards against a host that starts and reports the route as unknown."""
    simulation.store.up = False
    response = respond(simulation.add('a').kernel, 'route=r-api')
    assert response.status is HttpStatus.SERVICE_UNAVAILABLE


def test_text_has_services_contents_and_loads(simulation: RelaySimulation) -> None:
    """Guards against text output that fails on an answer, or leaves a part out."""
    host = simulation.add('a')
    text = '\n'.join(placement_lines(ask(host, 'route=r-api')))
    assert 'service api, share 100%: would be forwarded' in text
    assert 'unreported' in text and 'configuration' in text
    host.dispatch(relay.EvacuationsChanged(frozenset((Zone('south'),)), frozenset()))
    simulation.store.put(listing('i-3', zone='north', draining=True))
    simulation.run(0.2)
    text = '\n'.join(placement_lines(ask(host, 'route=r-api')))
    assert 'would be reset: evacuated' in text


@pytest.mark.parametrize(
    'words',
    [
        ['where', '--host', '127.0.0.1:9'],
        ['where', 'r-api', 'r-2', '--host', '127.0.0.1:9'],
        ['where', 'r-api'],
        ['where', 'r-api', '--host', 'http://localhost:9'],
        ['where', 'r-api', '--host', '127.0.0.1:8,127.0.0.1:9'],
        ['where', 'r-api', '--host', '127.0.0.1:9', '--caller', '1.2.3.4'],
        ['where', 'r-api', '--host', '127.0.0.1:9', '--caller', '1.2.3.4:5,1.2.3.4:6'],
        ['where', 'r-api', '--host', '127.0.0.1:9', '--output', 'xml'],
    ],
)
def test_invalid_command_lines_ask_nobody(
    words: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a question that goes to the wrong program, or is not checked."""
    monkeypatch.setenv('LYCHEEDEAL_HOSTS', '127.0.0.1:9')
    output, errors = BufferedOutput(), BufferedOutput()
    assert run_program('lycheectl', words, output, errors) == 2
    assert errors.fetch().startswith('lycheectl: ')


def test_help_says_which_program_can_be_asked() -> None:
    """Guards against questions to lycheedeald, which has no such path."""
    output = BufferedOutput()
    assert run_program('lycheectl', ['--help'], output, output) == 0
    assert 'lycheedeald, cannot be asked' in output.fetch()


def test_start_does_not_load_the_explanation() -> None:
    """Guards against a start that takes longer for a question that nobody asks."""
    code = (
        'import sys, lycheedeal.platform.start, lycheedeal.platform.program\n'
        'from lycheedeal import relay\n'
        'for name in relay.RELAY_PLUGINS: __import__(name)\n'
        'print(*sys.modules)'
    )
    loaded = subprocess.run(
        [sys.executable, '-c', code], stdout=subprocess.PIPE, check=True, text=True
    ).stdout.split()
    assert 'lycheedeal.relay.forwarding' in loaded
    assert not [
        name for name in loaded if 'expla' in name or name.endswith('hosting.placement')
    ]
    assert 'urllib.parse' not in loaded
