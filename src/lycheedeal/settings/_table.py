"""The settings of a daemon, one row for each."""

from dataclasses import dataclass
from typing import Final

from lycheedeal.settings import _values as forms


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting; ``field`` is a field of ``HostSettings``.

    A setting without ``default`` is required.
    """

    name: str
    form: forms.Form
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
        """Tell whether the flag takes no value."""
        return isinstance(self.form, forms.SwitchForm)

    @property
    def target(self) -> str:
        """Return the field of ``HostSettings`` that takes the value."""
        return self.field or self.name


_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')

FLOW_KEY: Final = Setting(
    'flow_key',
    forms.KeyForm(),
    'key shared by all hosts, 16 to 64 bytes in hexadecimal digits',
)
FLOW_KEY_FILE: Final = Setting(
    'flow_key_file',
    forms.KeyFileForm(),
    'file that holds the shared key in hexadecimal digits',
    field='flow_key',
)

# The key itself has no flag, since command lines are visible to all users.
SETTINGS: Final = (
    Setting('host_id', forms.NameForm(), 'name of this host, unique in the fleet'),
    Setting('region', forms.NameForm(), 'region of this host'),
    Setting('zone', forms.NameForm(), 'availability zone of this host'),
    Setting('data', forms.EndpointForm(), 'UDP address for packets from the fabric'),
    Setting('peer', forms.EndpointForm(), 'UDP address for relays and probes'),
    Setting('gossip', forms.EndpointForm(), 'TCP address for configuration gossip'),
    Setting('admin', forms.EndpointForm(), 'TCP address for operators, HTTP'),
    Setting('platform_url', forms.UrlForm(), 'object API, http://IP:PORT'),
    Setting(
        'peer_seeds',
        forms.EndpointsForm(),
        'peer addresses of other hosts of the zone, comma separated',
        '',
    ),
    Setting(
        'drain_seconds',
        forms.NumberForm(0, 3600),
        'time a planned stop waits for work in hand',
        '10',
    ),
    Setting(
        'max_flows',
        forms.NumberForm(1000, 10_000_000, whole=True),
        'size of the table of established flows',
        '300000',
    ),
    Setting(
        'log_level',
        forms.ChoiceForm(_LEVELS),
        'least severe log lines to write: DEBUG, INFO, WARNING or ERROR',
        'INFO',
    ),
    Setting('log_json', forms.SwitchForm(), 'write log lines as JSON', 'false'),
    FLOW_KEY_FILE,
)
