"""Each promise must break when the mechanism that keeps it is switched off.

A scenario that stays green without its mechanism would prove nothing.
"""

import itertools
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import pytest

from lycheedeal.configuration._hold import ChangeHold
from lycheedeal.configuration._store import RelativeAge, ShardStore
from lycheedeal.errors import ErrorAnswer, ErrorKind, Verdict
from lycheedeal.health._record import UpstreamRecord
from lycheedeal.kernel import CallerPacket, Effect, SendPacketToUpstream
from lycheedeal.model import ConfigurationView, FlowClass, FlowId, Service
from lycheedeal.requests._attempts import AttemptTable
from lycheedeal.requests._dispatcher import Dispatcher
from lycheedeal.requests._ownership import Owned, OwnerResolver
from lycheedeal.steering import RouteTable
from lycheedeal.steering._forwarding import Forwarder
from scenarios import FILES, Check, Scenario, parse, run
from scenarios._host import VirtualHost
from scenarios._upstream import VirtualUpstream

Switch = Callable[[], AbstractContextManager[Any]]


def load(name: str) -> Scenario:
    return parse((FILES / f'{name}.scn').read_text())


def failed(checks: list[Check]) -> set[str]:
    """Return the names of the measures that missed their bounds."""
    return {
        ' '.join(map(str, (one.expectation.measure, *one.expectation.words[:1])))
        for one in checks
        if not one.passed
    }


def _by_hash(self: Forwarder, event: CallerPacket) -> Iterator[Effect]:
    """Steer by hashing over the view instead of by the flow id."""
    fields = self._state.codec.decode(event.flow_id)
    service = self._state.view.services_by_number[fields.service]
    usable = [one.endpoint for one in service.upstreams if not one.drained]
    chosen = usable[int.from_bytes(event.flow_id[-4:]) % len(usable)]
    yield SendPacketToUpstream(chosen, event.flow_id, event.caller, event.payload)


@contextmanager
def steering_by_hash() -> Iterator[None]:
    with (
        patch.object(Forwarder, 'from_caller', _by_hash),
        patch.object(RouteTable, 'lookup', lambda *_: None),
    ):
        yield


@contextmanager
def no_identity_check() -> Iterator[None]:
    with patch.object(VirtualUpstream, '_meant_for_us', lambda *_: True):
        yield


@contextmanager
def reused_attempt_ids() -> Iterator[None]:
    original = AttemptTable.start
    numbers = itertools.count()

    def start(self: AttemptTable, record: Any, assignment: Any) -> Any:
        self._prefix = 0
        self._counter = next(numbers) % 2
        return original(self, record, assignment)

    with (
        patch.object(AttemptTable, 'start', start),
        patch.object(VirtualUpstream, '_forgets_attempts', True),
    ):
        yield


@contextmanager
def unknown_called_not_run() -> Iterator[None]:
    def answer(kind: ErrorKind) -> ErrorAnswer:
        return ErrorAnswer(Verdict.NOT_RUN, 100, 1, kind.name)

    with patch('scenarios._callers.answer_for', answer):
        yield


@contextmanager
def any_host_runs_requests() -> Iterator[None]:
    original = OwnerResolver.resolve

    def resolve(self: OwnerResolver, flow_id: FlowId) -> Any:
        try:
            fields = self._codec.decode(flow_id)
        except Exception:
            return original(self, flow_id)
        return (
            Owned(fields)
            if fields.flow_class is FlowClass.REQUEST
            else original(self, flow_id)
        )

    with patch.object(OwnerResolver, 'resolve', resolve):
        yield


@contextmanager
def drains_ignored() -> Iterator[None]:
    def hide(service: Service) -> Service:
        upstreams = tuple(replace(one, drained=False) for one in service.upstreams)
        return replace(service, upstreams=upstreams)

    original = ShardStore.view

    def view(self: ShardStore) -> ConfigurationView:
        seen = original(self)
        return replace(
            seen,
            services_by_number={
                number: hide(one) for number, one in seen.services_by_number.items()
            },
            services_by_address={
                place: hide(one) for place, one in seen.services_by_address.items()
            },
        )

    with patch.object(ShardStore, 'view', view):
        yield


@contextmanager
def leaving_not_heard() -> Iterator[None]:
    with patch.object(
        UpstreamRecord, 'is_draining', property(lambda self: self.upstream.drained)
    ):
        yield


@contextmanager
def stop_by_kill() -> Iterator[None]:
    def kill(run_state: Any, host: VirtualHost) -> None:
        host.kill()

    with patch('scenarios._runner._stop', kill):
        yield


@contextmanager
def any_generation_applies() -> Iterator[None]:
    with patch.object(ShardStore, 'compare', lambda *_: RelativeAge.NEWER):
        yield


@contextmanager
def changes_not_held() -> Iterator[None]:
    with patch.object(ChangeHold, 'defer', lambda *_: False):
        yield


@contextmanager
def paths_never_switched() -> Iterator[None]:
    original = VirtualHost._run_control

    def run_control(self: VirtualHost, effect: Effect) -> None:
        if type(effect).__name__ != 'SwitchPath':
            original(self, effect)

    with patch.object(VirtualHost, '_run_control', run_control):
        yield


@contextmanager
def nothing_sent_again() -> Iterator[None]:
    with patch.object(Dispatcher, 'resend', lambda *_: iter(())):
        yield


@contextmanager
def forgetful_upstreams() -> Iterator[None]:
    with patch.object(VirtualUpstream, '_forgets_attempts', True):
        yield


CASES: tuple[tuple[str, Switch, str], ...] = (
    ('flows-survive-planned-changes', steering_by_hash, 'count flows_broken'),
    ('address-reused', no_identity_check, 'count misrouted'),
    ('late-answers', reused_attempt_ids, 'count foreign_answers'),
    ('late-answers', unknown_called_not_run, 'count refused_but_ran'),
    ('duplicates-and-owner-crashes', any_host_runs_requests, 'count ran_twice'),
    ('leaving-upstreams', drains_ignored, 'work_after bitacora-api-1'),
    ('leaving-upstreams', leaving_not_heard, 'work_after bitacora-api-2'),
    ('planned-stops-under-load', stop_by_kill, 'count outcome_unknown'),
    ('configuration-recreated', any_generation_applies, 'count reverted'),
    ('lossy-upstream-link', nothing_sent_again, 'served checkin'),
    ('lossy-upstream-link', forgetful_upstreams, 'count ran_twice'),
    ('configuration-change-after-boot', changes_not_held, 'count accepted'),
    ('silent-connection', paths_never_switched, 'count flows_broken'),
)


@pytest.mark.parametrize(
    ('name', 'switch', 'measure'),
    CASES,
    ids=[f'{name}/{switch.__name__}' for name, switch, _ in CASES],
)
def test_promise_breaks_without_its_mechanism(
    name: str,
    switch: Switch,
    measure: str,
) -> None:
    """Guards against a scenario that cannot fail."""
    with switch():
        _, checks = run(load(name))
    assert measure in failed(checks)


def test_urgent_work_starves_without_priorities() -> None:
    """Guards against a flood scenario that passes with priorities reversed."""
    scenario = load('flood-least-urgent-x50')
    scenario.kinds = [replace(one, priority=9 - one.priority) for one in scenario.kinds]
    _, checks = run(scenario)
    assert 'served checkin' in failed(checks)


def test_other_kind_starves_without_floor() -> None:
    """Guards against a flood scenario that passes without floors."""
    scenario = load('flood-most-urgent')
    scenario.kinds = [replace(one, floor='') for one in scenario.kinds]
    _, checks = run(scenario)
    assert 'goodput report' in failed(checks)
