"""Validated settings of one daemon."""

from dataclasses import dataclass, field

from lycheedeal.ids import Endpoint, HostId, Region, Zone


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one entry host.

    The host listens on four addresses: ``data`` for datagrams from the fabric,
    ``peer`` for messages and membership probes of other hosts, ``gossip`` for
    the pynng bus of configuration gossip, ``admin`` for HTTP. ``peer_seeds``
    are peer endpoints of other hosts of the same zone. ``drain_seconds`` is
    the longest time that a planned stop waits for unfinished work,
    ``max_flows`` the number of established flows that the route table holds.
    The daemon writes the addresses that it listens on to ``address_file``, unless
    that is empty.
    """

    host_id: HostId
    region: Region
    zone: Zone
    data: Endpoint
    peer: Endpoint
    gossip: Endpoint
    admin: Endpoint
    platform_url: str
    flow_key: bytes = field(repr=False)
    peer_seeds: tuple[Endpoint, ...] = ()
    drain_seconds: float = 10
    max_flows: int = 300_000
    log_json: bool = False
    log_level: str = 'INFO'
    address_file: str = ''
