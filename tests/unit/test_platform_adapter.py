"""Platform adapter: codec of packets and store objects, and settings."""

import json
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedeal import relay
from lycheedeal.exceptions import DecodeError, SettingsError
from lycheedeal.ids import Endpoint, ServiceName, UpstreamId, Zone
from lycheedeal.platform._objects import DecodedObjects, numeric_upstream_id
from lycheedeal.platform._packets import (
    HEADER_BYTES,
    caller_ip,
    decode_packet,
    encode_forwarded,
    encode_reset,
)
from lycheedeal.platform._settings import load_settings
from lycheedeal.platform.start import bind_packet_socket
from tests.platform_entries import SOUND_ENTRY, UNREADABLE

# Upstreams of one region at the size in two years. A host that starts is to be ready
# within 0.5 s, so decoding their list may not take longer.
REGION_UPSTREAMS = 9000
MAX_DECODE_SECONDS = 0.5
# Example packets from the platform's documentation.
OPENING = bytes.fromhex(
    '44 33 22 11 00 00 00 00 d5 c3 b2 a1 00 00 01 00'
    '12 c6 41 9c 07 00 40 64 bb 01 10 00 00 00 00 00'
)
RESET = bytes.fromhex(
    '00 00 00 00 00 00 00 00 00 00 00 00 00 00 07 00'
    '40 64 bb 01 01 00 12 c6 41 9c 04 00 00 00 00 00'
)
ROUTE = {
    'name': 'r-1',
    'hostname': '198.18.0.1',
    'path_prefix': '/8443/',
    'type': 'idempotent',
    'service': 'api',
    'priority': 2,
}


def test_opening_is_decoded() -> None:
    packet = decode_packet(OPENING)
    assert packet.kind is relay.PacketKind.OPENING
    assert relay.flow_text(packet.flow) == '100.64.0.7:40001 > 198.18.0.1:443'
    assert packet.route == relay.route_key('198.18.0.1', 443)
    assert caller_ip(packet) == '100.64.0.7'
    assert packet.attempt == 0


def test_reset_matches_documented_example() -> None:
    assert encode_reset(decode_packet(OPENING)) == RESET


@given(st.binary(max_size=64), st.integers(1, 2**32 - 1), st.integers(1, 2**64 - 1))
def test_forwarding_replaces_only_the_token(
    content: bytes, token: int, numeric_id: int
) -> None:
    raw = OPENING + content
    datagram = encode_forwarded(raw, relay.Token(token), numeric_id)
    assert int.from_bytes(datagram[:8], 'big') == numeric_id
    forwarded = datagram[8:]
    assert forwarded[:28] == raw[:28]
    assert int.from_bytes(forwarded[28:32], 'little') == token
    assert forwarded[HEADER_BYTES:] == content


@given(st.binary(max_size=HEADER_BYTES - 1) | st.binary(min_size=40, max_size=60))
def test_packet_with_wrong_length_is_rejected(raw: bytes) -> None:
    if len(raw) >= HEADER_BYTES:
        length = int.from_bytes(raw[12:14], 'little')
        if length == len(raw) - HEADER_BYTES:
            return
    with pytest.raises(DecodeError):
        decode_packet(raw)


@pytest.mark.parametrize(
    ('flags', 'content', 'kind'),
    [
        (18, b'', relay.PacketKind.FORGED),
        (4, b'', relay.PacketKind.RESET),
        (34, b'x', relay.PacketKind.FINISH),
        (2, b'x', relay.PacketKind.DATA),
        (2, b'', relay.PacketKind.ACKNOWLEDGEMENT),
        (10, b'', relay.PacketKind.ACKNOWLEDGEMENT),
    ],
)
def test_flags_determine_packet_kind(
    flags: int, content: bytes, kind: relay.PacketKind
) -> None:
    raw = bytearray(OPENING)
    raw[26] = flags
    raw[12:14] = len(content).to_bytes(2, 'little')
    assert decode_packet(bytes(raw) + content).kind is kind


def item(name: str, spec: Any) -> dict[str, Any]:
    return {'meta': {'name': name, 'revision': 4}, 'spec': spec, 'status': None}


def test_upstream_entry_is_decoded() -> None:
    objects = DecodedObjects()
    objects.add(relay.StoreKind.UPSTREAMS, item('i-7f3a91c2', SOUND_ENTRY))
    (listing,) = objects.entries
    assert isinstance(listing, relay.Listing)
    assert listing.endpoint == Endpoint('10.128.0.9', 8080)
    assert listing.started_ms == 1785421087391
    assert not listing.draining


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'text',
        [],
        {**SOUND_ENTRY, 'state': 'resting'},
        {**SOUND_ENTRY, 'address': '10.128.0.9'},
        {**SOUND_ENTRY, 'address': '10.128.0.900:80'},
        {**SOUND_ENTRY, 'address': '10.128.0.9:0'},
        {**SOUND_ENTRY, 'address': '10.128.0.9:65536'},
        {**SOUND_ENTRY, 'address': '10.128.0.9:-1'},
        {**SOUND_ENTRY, 'address': '10.128.0.9:+80'},
        {**SOUND_ENTRY, 'address': '10.128.0.9:8_0'},
        {**SOUND_ENTRY, 'address': '10.128.0. 9:80'},
        {**SOUND_ENTRY, 'address': '10.128.0.09:80'},
        {**SOUND_ENTRY, 'address': '1_0.128.0.9:80'},
        {**SOUND_ENTRY, 'address': '10.128.0.9.1:80'},
        {**SOUND_ENTRY, 'address': 'localhost:80'},
        {**SOUND_ENTRY, 'slots': '2'},
        {**SOUND_ENTRY, 'slots': 2**16},
        {**SOUND_ENTRY, 'seq': -1},
        {**SOUND_ENTRY, 'seq': 2**63},
        {**SOUND_ENTRY, 'born': 2**63},
        {**SOUND_ENTRY, 'warmup_left_ms': 10**400},
        {**SOUND_ENTRY, 'warmup_left_ms': float('inf')},
        {**SOUND_ENTRY, 'slots': True},
        {**SOUND_ENTRY, 'service': 7},
        {**SOUND_ENTRY, 'zone': ''},
        {**SOUND_ENTRY, 'born': 1.5},
        {**SOUND_ENTRY, 'version': 1},
        {**SOUND_ENTRY, 'seq': '4'},
        *(
            {key: SOUND_ENTRY[key] for key in SOUND_ENTRY if key != name}
            for name in SOUND_ENTRY
        ),
    ],
)
def test_malformed_entry_is_reported_and_skipped(spec: Any) -> None:
    objects = DecodedObjects()
    objects.add(relay.StoreKind.UPSTREAMS, item('i-1', spec))
    objects.add(relay.StoreKind.UPSTREAMS, item('i-2', SOUND_ENTRY))
    assert objects.unusable == ['i-1']
    assert len(objects.entries) == 1


def test_last_event_of_an_object_wins() -> None:
    objects = DecodedObjects()
    objects.add(relay.StoreKind.UPSTREAMS, item('i-1', SOUND_ENTRY))
    objects.add(relay.StoreKind.UPSTREAMS, item('i-1', SOUND_ENTRY), deleted=True)
    assert (objects.entries, objects.removed) == ([], ['i-1'])


def test_configuration_is_decoded() -> None:
    split = {
        **ROUTE,
        'name': 'r-2',
        'path_prefix': '/80/',
        'service': None,
        'weighted_services': [{'service': 'api', 'weight': 90}],
    }
    objects = DecodedObjects()
    spec = {'version': 7, 'routes': [ROUTE, split], 'services': [], 'limits': {}}
    objects.add(relay.StoreKind.CONFIGURATION, item('main', spec))
    assert objects.version == 7
    assert [entry.key for entry in objects.entries if isinstance(entry, relay.Route)]
    assert [
        entry.services for entry in objects.entries if isinstance(entry, relay.Route)
    ] == [(('api', 1),), (('api', 90),)]


@pytest.mark.parametrize(
    'spec',
    [
        None,
        {'version': '7', 'routes': []},
        {'version': 7},
        {'version': 7, 'routes': [{**ROUTE, 'path_prefix': '/http/'}]},
        {'version': 7, 'routes': [{**ROUTE, 'service': ''}]},
        {'version': 7, 'routes': ['r-1']},
    ],
)
def test_malformed_configuration_has_no_version(spec: Any) -> None:
    objects = DecodedObjects()
    objects.add(relay.StoreKind.CONFIGURATION, item('main', spec))
    assert objects.version is None
    assert objects.unusable == ['main']


SERVICE = {'name': 'api', 'max_conns': 2000, 'warmup_s': 2.5, 'warmup_per_s': 10}
BAD_NUMBERS = (None, -1, 10**400, 1e300, float('inf'), float('nan'), '10', True, [], {})


def decode_terms(*services: Any) -> list[relay.ServiceTerms]:
    objects = DecodedObjects()
    spec = {'version': 7, 'routes': [ROUTE], 'services': list(services)}
    objects.add(relay.StoreKind.CONFIGURATION, item('main', spec))
    assert objects.version == 7
    return [one for one in objects.entries if isinstance(one, relay.ServiceTerms)]


def test_terms_of_services_are_decoded() -> None:
    (terms,) = decode_terms(SERVICE)
    assert terms == relay.ServiceTerms(ServiceName('api'), 2000, 2.5, 10)
    (terms,) = decode_terms({'name': 'api', 'warmup_per_s': 0, 'warmup_s': 0})
    assert terms == relay.ServiceTerms(ServiceName('api'), None, 0, 0)


@pytest.mark.parametrize('field', ['max_conns', 'warmup_s', 'warmup_per_s'])
@pytest.mark.parametrize('number', BAD_NUMBERS)
def test_bad_number_of_a_service_spoils_nothing_else(field: str, number: Any) -> None:
    """Guards against one mistake that makes a configuration unusable."""
    bad, good = decode_terms({**SERVICE, field: number}, {**SERVICE, 'name': 'intake'})
    fields = {
        'max_conns': bad.max_connections,
        'warmup_s': bad.warmup_seconds,
        'warmup_per_s': bad.warmup_rate,
    }
    assert fields == {name: None if name == field else SERVICE[name] for name in fields}
    assert bad.invalid == (() if number is None else (field,))
    assert good == relay.ServiceTerms(ServiceName('intake'), 2000, 2.5, 10)


@pytest.mark.parametrize('name', ['', 'x' * 500, 'a\nb', UNREADABLE])
def test_odd_name_among_configurations_is_no_change_of_the_configuration(
    name: str,
) -> None:
    """Guards against a list of a large configuration for each change of an object."""
    objects = DecodedObjects()
    objects.add(relay.StoreKind.CONFIGURATION, {'meta': {'name': name}, 'spec': {}})
    assert not objects.unusable


@pytest.mark.parametrize('name', [None, 7, '', 'x' * 500, 'a\nb', UNREADABLE])
def test_service_without_a_usable_name_has_no_terms(name: Any) -> None:
    """Guards against an entry that hosts cannot pass on to each other."""
    assert len(decode_terms({**SERVICE, 'name': name}, SERVICE, None, 'text')) == 1


@pytest.mark.parametrize('spec', [None, 'text', [], 7])
def test_evacuation_without_an_object_as_spec_is_unusable(spec: Any) -> None:
    """Guards against an odd object that takes a zone out of service."""
    objects = DecodedObjects()
    objects.add(relay.StoreKind.EVACUATIONS, item('north', spec))
    objects.add(relay.StoreKind.EVACUATIONS, item(UNREADABLE, {}))
    objects.add(relay.StoreKind.EVACUATIONS, item('south', {}))
    objects.add(relay.StoreKind.EVACUATIONS, item('west', {'a new field': 1}))
    assert objects.unusable == ['north', '']
    assert objects.entries == [
        relay.Evacuation(Zone('south')),
        relay.Evacuation(Zone('west')),
    ]
    objects.add(relay.StoreKind.EVACUATIONS, item('south', {}), deleted=True)
    assert objects.removed == ['south']


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*SOUND_ENTRY, *ROUTE, 'meta', 'spec', 'routes']), inner
        )
    ),
    max_leaves=8,
)


@given(json_values, st.sampled_from(relay.StoreKind), st.booleans())
def test_arbitrary_objects_do_not_raise(
    content: Any, kind: relay.StoreKind, deleted: bool
) -> None:
    objects = DecodedObjects()
    objects.add(kind, content, deleted)
    objects.add(kind, item('i-1', content), deleted)


@pytest.mark.parametrize(
    'name',
    [
        'i-',
        'i-xyz',
        'i-0',
        'i-1ffffffffffffffff',
        'i-0xa1',
        'i-+a1',
        'i-a_1',
        'i-\u0661',
    ],
)
def test_upstream_id_must_be_numeric(name: str) -> None:
    with pytest.raises(DecodeError):
        numeric_upstream_id(UpstreamId(name))


SETTINGS = {
    'host': 'edge-1',
    'ip': '127.0.0.1',
    'zone': 'south',
    'packets': '127.0.0.1:8172',
    'readiness': '127.0.0.1:8167',
    'metrics_port': 9109,
    'peer_port': 7720,
    'seeds': ['10.2.0.40:8166'],
    'core_share': 0.163,
    'stop_seconds': 6,
    'store': '10.200.1.7:8169',
    'a new field': 1,
}


def write_settings(folder: Path, content: object) -> str:
    path = folder / 'settings.json'
    path.write_text(json.dumps(content))
    return str(path)


def test_settings_are_read(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, SETTINGS))
    assert settings.relay.seeds == (Endpoint('10.2.0.40', 7720),)
    assert settings.store == Endpoint('10.200.1.7', 8169)


@pytest.mark.parametrize(
    ('fields', 'seconds'), [({}, 1), ({'heartbeat_ms': 770}, 0.77)]
)
def test_heartbeat_may_be_missing(
    tmp_path: Path, fields: dict[str, int], seconds: float
) -> None:
    settings = load_settings(write_settings(tmp_path, {**SETTINGS, **fields}))
    assert settings.relay.heartbeat_seconds == seconds


def test_limits_may_be_missing(tmp_path: Path) -> None:
    """Guards against limits in deployments whose settings do not have them."""
    settings = load_settings(write_settings(tmp_path, SETTINGS)).relay
    assert relay.StoreKind.EVACUATIONS not in settings.kinds
    assert settings.warmup_overage is settings.warmup_slack is None
    fields = {'evacuate_ms': 5000, 'warmup_overage': 1.5, 'warmup_slack': 0}
    path = write_settings(tmp_path, {**SETTINGS, 'bounds': fields})
    settings = load_settings(path).relay
    assert settings.kinds == tuple(relay.StoreKind)
    assert settings.evacuation_seconds == 5
    assert (settings.warmup_overage, settings.warmup_slack) == (1.5, 0)


@pytest.mark.parametrize('name', ['evacuate_ms', 'warmup_overage', 'warmup_slack'])
@pytest.mark.parametrize('number', [-1, '5', True, float('inf'), float('nan'), []])
def test_limit_that_is_no_number_is_reported(
    tmp_path: Path, name: str, number: Any
) -> None:
    """Guards against a mistake in the settings that turns a limit off."""
    with pytest.raises(SettingsError) as raised:
        load_settings(write_settings(tmp_path, {**SETTINGS, 'bounds': {name: number}}))
    assert len(raised.value.faults) == 1


@pytest.mark.parametrize('bounds', [[], 'none', 5])
def test_bounds_that_are_no_table_are_reported(tmp_path: Path, bounds: object) -> None:
    """Guards against a mistake in the settings that turns all limits off."""
    with pytest.raises(SettingsError, match='bounds'):
        load_settings(write_settings(tmp_path, {**SETTINGS, 'bounds': bounds}))


def test_all_settings_errors_are_reported(tmp_path: Path) -> None:
    invalid = {
        **SETTINGS,
        'zone': '',
        'packets': 'x',
        'core_share': -1,
        'heartbeat_ms': 0,
    }
    with pytest.raises(SettingsError) as raised:
        load_settings(write_settings(tmp_path, invalid))
    names = [fault.partition(':')[0] for fault in raised.value.faults]
    assert names == ['packets', 'zone', 'core_share', 'heartbeat_ms']


@pytest.mark.parametrize('content', [[], None, {}])
def test_invalid_settings_document_is_rejected(tmp_path: Path, content: object) -> None:
    path = write_settings(tmp_path, content)
    with pytest.raises(SettingsError):
        load_settings(path)
    assert bind_packet_socket(path) is None


def test_missing_settings_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsError):
        load_settings(str(tmp_path / 'none'))
    assert bind_packet_socket(str(tmp_path / 'none')) is None


def test_time_to_decode_a_list_grows_with_its_length_only() -> None:
    """Guards against a start that takes seconds in a region of many upstreams.

    Each object was compared with all before it: 2.1 s for the list of a region.
    """
    objects = DecodedObjects()
    started = time.process_time()
    for number in range(1, REGION_UPSTREAMS + 1):
        item = {'meta': {'name': f'i-{number:x}'}, 'spec': SOUND_ENTRY}
        objects.add(relay.StoreKind.UPSTREAMS, item)
    assert time.process_time() - started < MAX_DECODE_SECONDS
    assert len(objects.entries) == REGION_UPSTREAMS
