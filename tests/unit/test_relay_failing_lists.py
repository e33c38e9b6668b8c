"""Lists of the store that fail although the store answers."""

import pytest

from lycheedeal import relay
from tests.relay_simulation import RelayHost, RelaySimulation, listing

UPSTREAMS = relay.StoreKind.UPSTREAMS
KEEPS_FAILING = 'Store calls keep failing; content stays in force.'


class UnlistableHost(RelayHost):
    """A host whose lists of upstreams fail; ``readable`` is what can be read of one."""

    fault = relay.StoreFault.MALFORMED
    readable: relay.ListAnswered | None = None

    def _execute(self, effect: relay.Effect) -> None:
        if not isinstance(effect, relay.ListObjects) or effect.kind is not UPSTREAMS:
            super()._execute(effect)
            return
        self._record_call('failing list', effect.kind)
        event = relay.CallFailed(UPSTREAMS, self.fault, '', self.readable)
        self.simulation.pending_events.append((self, event))

    def failing_lists(self) -> int:
        calls = self.simulation.store.calls
        return calls.count((self.context.settings.host_id, 'failing list'))


def add_unlistable(
    simulation: RelaySimulation,
    name: str,
    fault: relay.StoreFault = relay.StoreFault.MALFORMED,
    readable: relay.ListAnswered | None = None,
) -> UnlistableHost:
    host = UnlistableHost(simulation, name, 'a', tuple(simulation.hosts)[:1])
    host.fault, host.readable = fault, readable
    simulation.hosts[host.endpoint] = host
    host.dispatch(relay.Started())
    simulation.run(1.5)
    return host


def test_host_with_content_follows_the_store_without_a_list() -> None:
    """Guards against hosts that hear of no drain after one list that never ends.

    The host that watched the store is gone, so another one begins with a list.
    """
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'), listing('i-2'))
    watcher = simulation.add('a-0', 'a')
    simulation.run(3)
    host = add_unlistable(simulation, 'a-1')
    simulation.run(3)
    simulation.kill(watcher)
    simulation.run(5)
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(3)
    assert host.states()['i-1'] is relay.UpstreamState.DRAINING


def test_host_without_content_uses_what_can_be_read_of_a_list() -> None:
    """Guards against a loss of all hosts after which none is ready again."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    part = simulation.store.list_all(UPSTREAMS)
    host = add_unlistable(simulation, 'a-0', readable=part)
    simulation.run(5)
    assert host.ready
    lists = host.failing_lists()
    simulation.store.put(listing('i-1', draining=True))
    simulation.run(3)
    assert host.states()['i-1'] is relay.UpstreamState.DRAINING
    assert host.failing_lists() == lists


def test_part_of_a_list_does_not_replace_content() -> None:
    """Guards against upstreams that count as gone as a list ended before them."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    part = simulation.store.list_all(UPSTREAMS)
    simulation.store.put(listing('i-2'))
    simulation.add('a-0', 'a')
    simulation.run(3)
    host = add_unlistable(simulation, 'a-1', readable=part)
    simulation.run(3)
    for _ in range(8):
        host.dispatch(relay.RefreshRequested(UPSTREAMS))
        simulation.run(1)
    states = set(host.states().values())
    assert states == {relay.UpstreamState.READY}
    assert len(host.states()) == 2


@pytest.mark.parametrize('fault', relay.StoreFault)
def test_watches_that_all_fail_do_not_lead_to_lists_without_a_pause(
    fault: relay.StoreFault,
) -> None:
    """Guards against a loop of lists and watches at the pace of the store."""
    simulation = RelaySimulation()
    simulation.store.put(listing('i-1'))
    host = simulation.add('a-0', 'a')
    simulation.run(3)
    simulation.store.calls.clear()
    for _ in range(100):
        for kind in tuple(host.watches):
            del host.watches[kind]
            host.dispatch(relay.CallFailed(kind, fault, ''))
        simulation.run(0.1)
    kinds = len(host.context.settings.kinds)
    assert len(simulation.store.calls) < 50 * kinds
    assert KEEPS_FAILING in {one.text for one in host.records}
    assert host.version() == simulation.store.version


@pytest.mark.parametrize('fault', relay.StoreFault)
def test_calls_that_keep_failing_are_logged(fault: relay.StoreFault) -> None:
    """Guards against a loop without progress that shows in no log."""
    simulation = RelaySimulation()
    host = add_unlistable(simulation, 'a-0', fault)
    simulation.run(60)
    records = [one for one in host.records if one.text == KEEPS_FAILING]
    assert 2 < len(records) < 8
    assert records[-1].details['failures'] >= 32
    assert records[-1].details['seconds'] > 20
