"""Settings of a daemon, read from flags and environment variables."""

from lycheedeal.settings._load import load_settings
from lycheedeal.settings._table import SETTINGS, Setting
from lycheedeal.settings._value_types import parse_endpoint, parse_endpoints

__all__ = (
    'SETTINGS',
    'Setting',
    'load_settings',
    'parse_endpoint',
    'parse_endpoints',
)
