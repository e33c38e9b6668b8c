"""Loads and validates settings; flags take precedence over variables."""

from collections.abc import Iterator, Mapping
from itertools import combinations
from typing import Any, Final

from lycheedeal.exceptions import SettingsError
from lycheedeal.model import Endpoint, HostSettings
from lycheedeal.settings._table import FLOW_KEY, FLOW_KEY_FILE, SETTINGS, Setting
from lycheedeal.settings._value_types import ListenType, convert

# UDP and TCP listeners; two of the same protocol cannot share an address.
_LISTENERS_BY_PROTOCOL: Final = (('data', 'peer'), ('gossip', 'admin'))


def load_settings(
    flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> HostSettings:
    """Return the validated settings.

    ``flags`` maps the names of the flags that were given, without leading
    hyphens, to their values; ``environment`` holds environment variables. Raises
    SettingsError with all missing and invalid settings.
    """
    fields: dict[str, Any] = {}
    faults: list[str] = []
    for setting in SETTINGS:
        if setting is not FLOW_KEY_FILE:
            _load_setting(setting, flags, environment, fields, faults)
    _load_setting(
        _choose_key_setting(flags, environment), flags, environment, fields, faults
    )
    faults.extend(_find_shared_addresses(fields))
    if not fields.get('address_file'):
        faults.extend(_find_unreported_ports(flags, fields))
    if faults:
        raise SettingsError(tuple(faults))
    return HostSettings(**fields)


def _load_setting(
    setting: Setting,
    flags: Mapping[str, str],
    environment: Mapping[str, str],
    fields: dict[str, Any],
    faults: list[str],
) -> None:
    source = _source_of(setting, flags)
    text = flags.get(setting.flag)
    if text is None:
        text = environment.get(setting.variable, setting.default)
    if text is None:
        faults.append(_missing_text(setting))
        return
    try:
        fields[setting.field_name] = convert(setting.value_type, text)
    except ValueError as error:
        faults.append(f'{source}: {error}')


def _source_of(setting: Setting, flags: Mapping[str, str]) -> str:
    return f'--{setting.flag}' if setting.flag in flags else setting.variable


def _missing_text(setting: Setting) -> str:
    if setting is FLOW_KEY:
        return f'--{FLOW_KEY_FILE.flag} or {FLOW_KEY.variable} is required'
    return f'--{setting.flag} or {setting.variable} is required'


def _choose_key_setting(
    flags: Mapping[str, str],
    environment: Mapping[str, str],
) -> Setting:
    """Return the setting to read the key from, the key itself or its file.

    The flag of the file takes precedence over both variables, and the variable
    of the key over that of the file.
    """
    if FLOW_KEY_FILE.flag in flags:
        return FLOW_KEY_FILE
    if FLOW_KEY.variable not in environment and FLOW_KEY_FILE.variable in environment:
        return FLOW_KEY_FILE
    return FLOW_KEY


def _find_unreported_ports(
    flags: Mapping[str, str],
    fields: Mapping[str, Any],
) -> Iterator[str]:
    for setting in SETTINGS:
        if not isinstance(setting.value_type, ListenType):
            continue
        address: Endpoint | None = fields.get(setting.field_name)
        if address is not None and not address.port:
            source = _source_of(setting, flags)
            yield f'{source}: port 0 needs --address-file, which reports the port'


def _find_shared_addresses(fields: Mapping[str, Any]) -> Iterator[str]:
    for names in _LISTENERS_BY_PROTOCOL:
        for first, second in combinations(names, 2):
            address: Endpoint | None = fields.get(first)
            is_fixed = address is not None and address.port > 0
            if is_fixed and address == fields.get(second):
                yield f'--{second}: address {address} is already used by --{first}'
