"""Executes the effects of the kernel."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from lycheedeal import messages
from lycheedeal.kernel import (
    CallApi,
    Effect,
    Exit,
    Gossip,
    Log,
    Observe,
    Reply,
    SendPacketToCaller,
    SendPacketToUpstream,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    SetNeighbours,
    SwitchPath,
)
from lycheedeal.model import Endpoint
from lycheedeal.runtime._admin import AdminServer
from lycheedeal.runtime._gossip import GossipLink
from lycheedeal.runtime._logs import LogSink
from lycheedeal.runtime._metrics import MetricsSink
from lycheedeal.runtime._platform import PlatformClient
from lycheedeal.runtime._sockets import CallerSender, UpstreamPaths
from lycheedeal.wire import caller_packet, encode, pack_endpoint, upstream_packet

# Messages about work of callers. The bytes of all others count as control
# traffic.
_WORK_MESSAGES: Final = (
    messages.RelayedOpen,
    messages.RelayedRequest,
    messages.RelayedCancel,
    messages.FlowOpen,
    messages.UpstreamClose,
    messages.Run,
    messages.CancelRun,
)


@dataclass(slots=True)
class Outputs:
    """Senders, clients and sinks on which effects are executed."""

    callers: CallerSender
    paths: UpstreamPaths
    send_to_peer: Callable[[bytes, Endpoint], None]
    gossip: GossipLink
    platform: PlatformClient
    admin: AdminServer
    metrics: MetricsSink
    logs: LogSink
    exit: Callable[[int], None]


class Executor:
    """Executes effects without blocking the event loop."""

    def __init__(self, outputs: Outputs) -> None:
        """Create an executor for the given outputs."""
        self._outputs = outputs

    def execute(self, effects: Iterable[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            self._execute_one(effect)

    def _execute_one(self, effect: Effect) -> None:
        outputs = self._outputs
        match effect:
            case SendPacketToUpstream(upstream, flow_id, caller, payload):
                packet = upstream_packet(flow_id, pack_endpoint(caller), payload)
                outputs.paths.send(packet, upstream)
            case SendPacketToCaller(caller, flow_id, payload):
                outputs.callers.send(caller_packet(flow_id, payload), caller)
            case SendToCaller(caller, message):
                outputs.callers.send(encode(message), caller)
            case SendToPeer(peer, message):
                outputs.send_to_peer(self._encode(message, 'peer'), peer)
            case SendToUpstream():
                self._send_to_upstream(effect)
            case _:
                self._execute_control(effect)

    def _execute_control(self, effect: Effect) -> None:
        outputs = self._outputs
        match effect:
            case Gossip(message):
                bytes_before = outputs.gossip.bytes_out
                outputs.gossip.send(message)
                self._count_control_bytes(
                    outputs.gossip.bytes_out - bytes_before, 'gossip'
                )
            case SetNeighbours(neighbours):
                outputs.gossip.set_neighbours(neighbours)
            case SwitchPath(upstream, path):
                outputs.paths.switch(upstream, path)
            case CallApi():
                outputs.metrics.observe(_observe_api_call(effect))
                outputs.platform.submit(effect)
            case _:
                self._execute_local(effect)

    def _execute_local(self, effect: Effect) -> None:
        outputs = self._outputs
        match effect:
            case Reply():
                outputs.admin.answer(effect)
            case Observe():
                outputs.metrics.observe(effect)
            case Log():
                outputs.logs.write(effect)
            case Exit(status):
                outputs.exit(status)

    def _send_to_upstream(self, effect: SendToUpstream) -> None:
        datagram = self._encode(effect.message, 'upstream')
        if effect.path is None:
            self._outputs.paths.send(datagram, effect.upstream)
        else:
            self._outputs.paths.send_on(effect.path, datagram, effect.upstream)

    def _encode(self, message: Any, link: str) -> bytes:
        datagram = encode(message)
        if not isinstance(message, _WORK_MESSAGES):
            self._count_control_bytes(len(datagram), link)
        return datagram

    def _count_control_bytes(self, size: int, link: str) -> None:
        self._outputs.metrics.observe(
            Observe('control_bytes_total', size, (('link', link),)),
        )


def _observe_api_call(call: CallApi) -> Observe:
    return Observe('api_calls_total', labels=(('operation', call.operation.value),))
