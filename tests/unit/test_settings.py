"""Tests of loading settings from flags and environment variables."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedeal.exceptions import SettingsError
from lycheedeal.model import Endpoint
from lycheedeal.settings import SETTINGS, Setting, load_settings

KEY = '00112233445566778899aabbccddeeff'
ENVIRONMENT = {
    'LYCHEEDEAL_HOST_ID': 'h1',
    'LYCHEEDEAL_REGION': 'aysen',
    'LYCHEEDEAL_ZONE': 'cochrane',
    'LYCHEEDEAL_DATA': '127.0.0.1:9000',
    'LYCHEEDEAL_PEER': '127.0.0.1:9001',
    'LYCHEEDEAL_GOSSIP': '127.0.0.1:9000',
    'LYCHEEDEAL_ADMIN': '127.0.0.1:9002',
    'LYCHEEDEAL_PLATFORM_URL': 'http://127.0.0.1:9003/',
    'LYCHEEDEAL_FLOW_KEY': KEY,
}


def faults_of(changes: dict[str, str], **flags: str) -> tuple[str, ...]:
    """Return the error texts that these variables and flags cause."""
    names = {name.replace('_', '-'): text for name, text in flags.items()}
    with pytest.raises(SettingsError) as caught:
        load_settings(names, ENVIRONMENT | changes)
    return caught.value.faults


def test_variables_flags_and_defaults() -> None:
    """Guards against a variable that overrides a flag, and a missing default."""
    loaded = load_settings(
        {'data': '127.0.0.1:7', 'peer-seeds': '127.0.0.1:1, 127.0.0.2:2'},
        ENVIRONMENT,
    )
    assert loaded.data == Endpoint('127.0.0.1', 7)
    assert loaded.peer_seeds == (Endpoint('127.0.0.1', 1), Endpoint('127.0.0.2', 2))
    assert loaded.platform_url == 'http://127.0.0.1:9003'
    assert loaded.flow_key == bytes.fromhex(KEY)
    assert (loaded.drain_seconds, loaded.max_flows) == (10, 300_000)
    assert (loaded.log_level, loaded.log_json) == ('INFO', False)


def test_all_missing_settings_are_reported_at_once() -> None:
    """Guards against reporting only the first missing setting of a start."""
    with pytest.raises(SettingsError) as caught:
        load_settings({}, {})
    reported = ' '.join(caught.value.faults)
    assert all(name in reported for name in ENVIRONMENT)
    assert len(caught.value.faults) == len(ENVIRONMENT)


@pytest.mark.parametrize(
    ('variable', 'text'),
    [
        ('LYCHEEDEAL_DATA', 'localhost:9000'),
        ('LYCHEEDEAL_DATA', '[::1]:9000'),
        ('LYCHEEDEAL_DATA', '127.0.0.1'),
        ('LYCHEEDEAL_DATA', '127.0.0.1:0'),
        ('LYCHEEDEAL_DATA', '127.0.0.1:65536'),
        ('LYCHEEDEAL_DATA', '0.0.0.0:9000'),
        ('LYCHEEDEAL_PEER_SEEDS', '127.0.0.1:1,peer'),
        ('LYCHEEDEAL_PLATFORM_URL', 'https://127.0.0.1:1'),
        ('LYCHEEDEAL_PLATFORM_URL', 'http://platform:1'),
        ('LYCHEEDEAL_REGION', 'a/b'),
        ('LYCHEEDEAL_ZONE', ''),
        ('LYCHEEDEAL_DRAIN_SECONDS', 'nan'),
        ('LYCHEEDEAL_MAX_FLOWS', '1.5'),
        ('LYCHEEDEAL_LOG_LEVEL', 'loud'),
        ('LYCHEEDEAL_LOG_JSON', 'maybe'),
        ('LYCHEEDEAL_FLOW_KEY', 'xyz'),
        ('LYCHEEDEAL_FLOW_KEY', '00' * 15),
        ('LYCHEEDEAL_FLOW_KEY', '00' * 65),
    ],
)
def test_invalid_value_is_reported_by_name(variable: str, text: str) -> None:
    """Guards against an invalid value that is accepted and fails under traffic."""
    (fault,) = faults_of({variable: text})
    assert fault.startswith(f'{variable}: ')


def test_listeners_of_one_protocol_need_their_own_addresses() -> None:
    """Guards against a listener that receives the datagrams of another one."""
    faults = faults_of({'LYCHEEDEAL_ADMIN': '127.0.0.1:9000'}, peer='127.0.0.1:9000')
    assert len(faults) == 2
    assert '--peer' in faults[0]
    assert '--admin' in faults[1]


def test_port_chosen_by_the_system_has_to_be_reported() -> None:
    """Guards against listeners at ports that nobody can know."""
    flags = {'data': '127.0.0.1:0', 'peer': '127.0.0.1:0', 'address-file': 'ports'}
    loaded = load_settings(flags, ENVIRONMENT)
    assert loaded.data == loaded.peer == Endpoint('127.0.0.1', 0)
    (fault,) = faults_of({}, peer='127.0.0.1:0')
    assert fault.startswith('--peer: port 0 needs --address-file')


def test_key_file(tmp_path: Path) -> None:
    """Guards against an ignored key file and a key in an error message."""
    path = tmp_path / 'key'
    path.write_text(f'{KEY}\n')
    loaded = load_settings(
        {'flow-key-file': str(path)},
        ENVIRONMENT | {'LYCHEEDEAL_FLOW_KEY': 'ignored'},
    )
    assert loaded.flow_key == bytes.fromhex(KEY)
    assert KEY not in repr(loaded)
    (fault,) = faults_of({}, flow_key_file=str(tmp_path / 'missing'))
    assert fault.startswith('--flow-key-file: cannot read')
    assert 'topsecret' not in faults_of({'LYCHEEDEAL_FLOW_KEY': 'topsecret'})[0]


@settings(derandomize=True)
@given(st.sampled_from(SETTINGS), st.text(max_size=40))
def test_random_text_raises_only_settings_errors(setting: Setting, text: str) -> None:
    """Guards against a traceback in place of an error that names the setting."""
    try:
        load_settings({setting.flag: text}, ENVIRONMENT)
    except SettingsError as error:
        assert error.faults
