"""Ends flows whose upstream process is gone or was replaced."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.errors import ErrorKind
from lycheedeal.kernel import Effect, FlowClosed, Publish, UpstreamChanged
from lycheedeal.model import Endpoint, Incarnation, ServiceNumber, UpstreamState
from lycheedeal.steering._state import SteeringState

# An upstream that is unreachable from this host only may become reachable again
# with its flows intact, so its flows are not closed at once.
_LOST_AFTER_SECONDS: Final = 60


class UpstreamLossMonitor:
    """Closes own flows when the process of their upstream no longer exists."""

    def __init__(self, state: SteeringState) -> None:
        """Create a monitor that shares the state of the plug-in."""
        self._state = state
        self._incarnations: dict[tuple[ServiceNumber, Endpoint], Incarnation] = {}
        self._gone_since: dict[tuple[ServiceNumber, Endpoint], float] = {}

    def handle_upstream_changed(self, event: UpstreamChanged) -> Iterator[Effect]:
        """Close the flows of a replaced process; record when one is gone.

        A process is replaced if the upstream reports another incarnation.
        """
        key = (event.service, event.endpoint)
        if event.state is UpstreamState.GONE:
            now = self._state.context.clock.monotonic()
            self._gone_since.setdefault(key, now)
            return
        self._gone_since.pop(key, None)
        known = self._incarnations.get(key)
        self._incarnations[key] = event.incarnation
        if known is not None and known != event.incarnation:
            yield from self._close_flows(key, ErrorKind.UPSTREAM_REPLACED)

    def close_lost_flows(self, now: float) -> Iterator[Effect]:
        """Close the flows of upstreams that have been gone for 60 s."""
        lost = [
            key
            for key, since in self._gone_since.items()
            if now - since >= _LOST_AFTER_SECONDS
        ]
        for key in lost:
            del self._gone_since[key]
            self._incarnations.pop(key, None)
            yield from self._close_flows(key, ErrorKind.UPSTREAM_LOST)

    def _close_flows(
        self,
        key: tuple[ServiceNumber, Endpoint],
        error: ErrorKind,
    ) -> Iterator[Effect]:
        service, endpoint = key
        for flow_id in self._state.counter.remove_flows(service, endpoint):
            yield Publish(FlowClosed(service, flow_id, error))
