"""Table of the settings of a daemon."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.settings import _value_types as value_types


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting, given by a flag or an environment variable.

    A setting whose ``default`` is None is required. ``field`` is the field of
    ``HostSettings`` that takes the value; empty if it has the same name.
    """

    name: str
    value_type: value_types.ValueType
    summary: str
    default: str | None = None
    field: str = ''

    @property
    def flag(self) -> str:
        """Return the name of the flag, without leading hyphens."""
        return self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return f'LYCHEEDEAL_{self.name.upper()}'

    @property
    def is_switch(self) -> bool:
        """Whether the flag takes no value; its presence means true."""
        return isinstance(self.value_type, value_types.SwitchType)

    @property
    def field_name(self) -> str:
        """Return the field of ``HostSettings`` that takes the value."""
        return self.field or self.name


_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')

FLOW_KEY: Final = Setting(
    'flow_key',
    value_types.KeyType(),
    'key shared by all hosts, 16 to 64 bytes in hexadecimal digits',
)
FLOW_KEY_FILE: Final = Setting(
    'flow_key_file',
    value_types.KeyFileType(),
    'file that holds the shared key in hexadecimal digits',
    field='flow_key',
)

# The key itself has no flag, since other users can read command lines.
SETTINGS: Final = (
    Setting(
        'host_id', value_types.NameType(), 'name of this host, unique in the fleet'
    ),
    Setting('region', value_types.NameType(), 'region of this host'),
    Setting('zone', value_types.NameType(), 'availability zone of this host'),
    Setting(
        'data',
        value_types.ListenType(),
        'UDP address for packets from the fabric; with port 0 the system chooses a '
        'port for this and the other listeners',
    ),
    Setting(
        'peer',
        value_types.ListenType(),
        'UDP address for messages and probes of other hosts',
    ),
    Setting('gossip', value_types.ListenType(), 'TCP address for configuration gossip'),
    Setting(
        'admin',
        value_types.ListenType(),
        'TCP address for HTTP requests of operators',
    ),
    Setting('platform_url', value_types.UrlType(), 'object API, http://IP:PORT'),
    Setting(
        'peer_seeds',
        value_types.EndpointsType(),
        'peer addresses of other hosts of the zone, comma separated',
        '',
    ),
    Setting(
        'drain_seconds',
        value_types.NumberType(0, 3600),
        'longest time that a planned stop waits for unfinished work, in seconds',
        '10',
    ),
    Setting(
        'max_flows',
        value_types.NumberType(1000, 10_000_000, integer=True),
        'maximum number of entries in the table of established flows',
        '300000',
    ),
    Setting(
        'log_level',
        value_types.ChoiceType(_LEVELS),
        'lowest severity of log lines to write: DEBUG, INFO, WARNING or ERROR',
        'INFO',
    ),
    Setting(
        'address_file',
        value_types.PathType(),
        'file to which the daemon writes the addresses that it listens on, as JSON',
        '',
    ),
    Setting('log_json', value_types.SwitchType(), 'write log lines as JSON', 'false'),
    FLOW_KEY_FILE,
)
