"""Settings of ``lychee-relay``, read from a JSON file.

The platform fills the file from the template ``deploy/settings.json``.
"""

import json
import math
import os
from dataclasses import dataclass
from typing import Any, Final

from lycheedeal import relay
from lycheedeal.exceptions import SettingsError
from lycheedeal.ids import Endpoint, HostId, Zone

# Interval in which upstreams write their entries, unless the file has another one.
_HEARTBEAT_MS: Final = 1000.0


@dataclass(slots=True)
class PlatformSettings:
    """Settings of the relay kernel and the addresses of the front end.

    ``packets``, ``readiness`` and ``metrics`` are addresses to listen at,
    ``store`` is that of the object store. ``caller_port`` is the UDP port that
    resets are sent to.
    """

    relay: relay.RelaySettings
    packets: Endpoint
    readiness: Endpoint
    metrics: Endpoint
    caller_port: int
    store: Endpoint


def load_settings(path: str) -> PlatformSettings:
    """Return the settings in a file.

    Raises SettingsError if the file cannot be read or is not a JSON object, or
    with one text for each invalid setting.
    """
    try:
        with open(path, encoding='utf-8') as settings_file:
            fields = json.load(settings_file)
    except (OSError, ValueError) as error:
        raise SettingsError((f'{path}: {error}',)) from error
    if not isinstance(fields, dict):
        raise SettingsError((f'{path}: expected a JSON object',))
    return _SettingsReader(fields).settings()


def modification_time(path: str) -> float:
    """Return the modification time of a file in Unix seconds; 0 if it is missing."""
    try:
        return os.stat(path).st_mtime
    except FileNotFoundError:
        return 0


class _SettingsReader:
    """Reads settings one by one and collects the faults of all of them.

    A placeholder stands for an invalid setting until ``settings`` raises.
    """

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields
        self._faults: list[str] = []

    def settings(self) -> PlatformSettings:
        packets = self._endpoint('packets')
        peer_port = self._port('peer_port')
        settings = PlatformSettings(
            relay=relay.RelaySettings(
                host_id=HostId(self._string('host')),
                zone=Zone(self._string('zone')),
                peer=Endpoint(self._string('ip'), peer_port),
                core_share=self._number('core_share'),
                seeds=tuple(self._seeds(peer_port)),
                stop_seconds=self._number('stop_seconds'),
                heartbeat_seconds=self._number('heartbeat_ms', _HEARTBEAT_MS) / 1000,
                evacuation_seconds=(self._bound('evacuate_ms') or 0) / 1000,
                warmup_overage=self._bound('warmup_overage'),
                warmup_slack=self._bound('warmup_slack'),
            ),
            packets=packets,
            readiness=self._endpoint('readiness'),
            metrics=Endpoint(self._string('ip'), self._port('metrics_port')),
            caller_port=packets.port,
            store=self._endpoint('store'),
        )
        if self._faults:
            raise SettingsError(tuple(self._faults))
        return settings

    def _string(self, name: str) -> str:
        text = self._fields.get(name)
        if isinstance(text, str) and text:
            return text
        self._faults.append(f'{name}: a text is needed, found {text!r}')
        return ''

    def _number(self, name: str, default: float | None = None) -> float:
        number = self._fields.get(name, default)
        if isinstance(number, int | float) and not isinstance(number, bool):
            if number > 0:
                return float(number)
        self._faults.append(f'{name}: a number above 0 is needed, found {number!r}')
        return 1

    def _bound(self, name: str) -> float | None:
        """Return a bound of the platform; None if the deployment does not have it."""
        bounds = self._fields.get('bounds')
        if bounds is None:
            return None
        if not isinstance(bounds, dict):
            self._faults.append(f'bounds: an object is needed, found {bounds!r}')
            return None
        bound = bounds.get(name)
        if bound is None:
            return None
        if isinstance(bound, int | float) and not isinstance(bound, bool):
            if 0 <= bound < math.inf:
                return float(bound)
        self._faults.append(
            f'bounds.{name}: a number from 0 is needed, found {bound!r}'
        )
        return None

    def _port(self, name: str) -> int:
        port = self._fields.get(name)
        if isinstance(port, int) and not isinstance(port, bool):
            if 0 < port <= 0xFFFF:
                return port
        self._faults.append(f'{name}: a port from 1 to 65535 is needed, found {port!r}')
        return 1

    def _endpoint(self, name: str) -> Endpoint:
        text = self._fields.get(name)
        endpoint = _parse_endpoint(text)
        if endpoint is None:
            self._faults.append(f'{name}: ip:port is needed, found {text!r}')
            return Endpoint('', 1)
        return endpoint

    def _seeds(self, peer_port: int) -> list[Endpoint]:
        seeds = self._fields.get('seeds') or []
        if not isinstance(seeds, list):
            self._faults.append(f'seeds: a list is needed, found {seeds!r}')
            return []
        parsed = (_parse_endpoint(seed) for seed in seeds)
        # The port of a seed is ignored: hosts receive peer messages at the peer
        # port, which is the same on all of them.
        return [Endpoint(seed.ip, peer_port) for seed in parsed if seed]


def _parse_endpoint(text: object) -> Endpoint | None:
    if not isinstance(text, str):
        return None
    ip, _, port = text.rpartition(':')
    try:
        relay.route_key(ip, int(port))
    except ValueError:
        return None
    return Endpoint(ip, int(port))
