"""Settings of one daemon, already validated."""

from dataclasses import dataclass, field

from lycheedeal.ids import Endpoint, HostId, Region, Zone


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one entry host.

    ``data`` receives datagrams from the fabric; ``peer`` relays and probes;
    ``gossip`` the pynng bus; ``admin`` HTTP. ``peer_seeds`` are peer
    endpoints of other hosts of the same zone.
    Durations are in seconds.
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
