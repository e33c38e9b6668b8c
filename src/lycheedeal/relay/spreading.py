"""Broadcast of a message in a zone along a tree of its hosts.

The hosts have an order, which differs from message to message. A host that passes
a message on divides the hosts after it into groups, and sends the message to the
first member of each group, which serves the rest of it. The message carries the
end of the group's range in the order rather than a list of hosts, so a host that
is missing in one peer table may still be reached through another host.

Delivery is best effort: if a host fails, the hosts behind it miss one message.
The next beacon shows them that their content is behind.
"""

import zlib
from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import PluginSpec, Publish, register
from lycheedeal.ids import HostId
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, SendPeer
from lycheedeal.relay._events import (
    Event,
    PeerMessageReceived,
    PeerTableReady,
    SpreadRequested,
)
from lycheedeal.relay._messages import (
    Beacon,
    ContentPart,
    LoadReport,
    Spread,
    SpreadMessage,
)
from lycheedeal.relay._peer_table import PeerTable

# Copies of a message that one host sends; 343 hosts form a tree of five levels.
_FANOUT: Final = 4
# Up to this many hosts get the message without an intermediate host.
_MAX_DIRECT_HOSTS: Final = 8
# Positions of the hosts in the order of a message are numbers of 32 bits.
_POSITION_BITS: Final = 32
_POSITION_END: Final = 1 << _POSITION_BITS


class SpreadingPlugin:
    """Passes messages on to the hosts of the own zone."""

    def __init__(self, context: RelayContext) -> None:
        """Start without known peers."""
        self._context = context
        self._own_id = context.settings.host_id
        self._peer_table = PeerTable(context.settings.own_peer, context.clock)

    def handle(self, event: Event) -> Iterator[Effect]:
        """Yield the effects of one event."""
        match event:
            case PeerTableReady(peer_table=peer_table):
                self._peer_table = peer_table
            case SpreadRequested(message=message):
                order_seed = self._context.rng.getrandbits(_POSITION_BITS)
                yield from self._send_to_range(message, order_seed, 0, _POSITION_END)
            case PeerMessageReceived(message=Spread() as spread):
                yield from self._spread_received(spread)

    def _spread_received(self, spread: Spread) -> Iterator[Effect]:
        if _origin(spread.message) == self._own_id:
            return
        yield Publish(PeerMessageReceived(spread.message))
        yield from self._send_to_range(
            spread.message, spread.order_seed, spread.start, spread.end
        )

    def _send_to_range(
        self,
        message: SpreadMessage,
        order_seed: int,
        start: int,
        end: int,
    ) -> Iterator[Effect]:
        """Send a message to the hosts at positions from ``start`` before ``end``."""
        # The origin has the message, and would not pass it on again.
        origin = _origin(message)
        receivers = sorted(
            (position, peer.host_id, peer)
            for peer in self._peer_table.of_own_zone()
            if peer.host_id != origin
            and start <= (position := _position(order_seed, peer.host_id)) < end
        )
        groups = len(receivers) if len(receivers) <= _MAX_DIRECT_HOSTS else _FANOUT
        if not groups:
            return
        group_heads = [
            receivers[len(receivers) * one // groups] for one in range(groups)
        ]
        ends = [position for position, _, _ in group_heads[1:]]
        for (position, _, peer), group_end in zip(
            group_heads, (*ends, end), strict=True
        ):
            # The start grows with each hop, even if another host has the address
            # by now, so a message cannot loop.
            spread = Spread(order_seed, position + 1, group_end, message)
            yield SendPeer(peer.endpoint, spread)


def _origin(message: SpreadMessage) -> HostId:
    match message:
        case Beacon(peer=peer) | LoadReport(peer=peer):
            return peer.host_id
        case ContentPart(host_id=host_id):
            return host_id


def _position(order_seed: int, host_id: HostId) -> int:
    # Multiplying by an odd number maps different checksums to different positions.
    return zlib.crc32(host_id.encode()) * (order_seed | 1) % _POSITION_END


register(
    PluginSpec(
        'spreading',
        SpreadingPlugin,
        frozenset((PeerTableReady, PeerMessageReceived, SpreadRequested)),
    ),
)
