"""Start of the relay from a module bundle, and without a usable one."""

import marshal
import shutil
import subprocess
import sys
from importlib.util import MAGIC_NUMBER
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
BUNDLE = 'modules.bundle'
SETTINGS_ERROR = b'lychee-relay: settings:'
BUNDLE_ERROR = b'lychee-relay: module bundle is not usable'
DEPLOYED = (
    'relay.py',
    'module_bundle.py',
    'pack_modules.py',
    'expand_data_classes.py',
)


@pytest.fixture(scope='module')
def build_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a folder as deploy/build.sh fills it, without the libraries."""
    folder = tmp_path_factory.mktemp('deps')
    shutil.copytree(ROOT / 'src' / 'lycheedeal', folder / 'lycheedeal')
    for name in DEPLOYED:
        shutil.copy(ROOT / 'deploy' / name, folder)
    packed = subprocess.run(
        [sys.executable, folder / 'pack_modules.py', folder / BUNDLE],
        capture_output=True,
        check=True,
    )
    # All data classes of the package are written out.
    assert not packed.stderr
    return folder


@pytest.fixture
def folder(build_folder: Path, tmp_path: Path) -> Path:
    return Path(shutil.copytree(build_folder, tmp_path / 'deps'))


def run_relay(folder: Path) -> subprocess.CompletedProcess[bytes]:
    """Start the relay without settings, so that it exits once it has loaded."""
    return subprocess.run(
        [sys.executable, folder / 'relay.py'], capture_output=True, check=False, env={}
    )


def test_modules_load_from_bundle(folder: Path) -> None:
    shutil.rmtree(folder / 'lycheedeal')
    completed = run_relay(folder)
    assert completed.returncode == 2
    assert SETTINGS_ERROR in completed.stderr
    assert BUNDLE_ERROR not in completed.stderr


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'another interpreter',
        MAGIC_NUMBER,
        MAGIC_NUMBER + marshal.dumps({'asyncio': b''})[:-2],
    ],
)
def test_invalid_bundle_is_ignored(folder: Path, content: bytes) -> None:
    (folder / BUNDLE).write_bytes(content)
    completed = run_relay(folder)
    assert completed.returncode == 2
    assert SETTINGS_ERROR in completed.stderr
    assert completed.stderr.count(BUNDLE_ERROR) == 1


def test_missing_bundle_is_ignored(folder: Path) -> None:
    (folder / BUNDLE).unlink()
    errors = run_relay(folder).stderr
    assert SETTINGS_ERROR in errors
    assert errors.count(BUNDLE_ERROR) == 1


def test_bundle_contains_relay_plugins(build_folder: Path) -> None:
    content = (build_folder / BUNDLE).read_bytes()
    entries_by_name = marshal.loads(content[len(MAGIC_NUMBER) :])
    assert 'lycheedeal.relay.zone' in entries_by_name
    assert 'asyncio' in entries_by_name
    assert 'ssl' not in entries_by_name


# Prints the lazy modules that were loaded: first those of the start of the relay,
# then, with a logger used, those of asyncio's error reports.
PROBE = """
import sys, types
sys.modules['ssl'] = None
import module_bundle
assert module_bundle.install('modules.bundle')
import lycheedeal.platform.program
import asyncio, logging, traceback
lazy = [name for name, one in sys.modules.items()
        if isinstance(one, module_bundle.LazyModule)]
print(*sorted(lazy))
loop = asyncio.new_event_loop()
print(type(logging) is module_bundle.LazyModule)
loop.call_exception_handler({'message': 'reported by asyncio'})
print(type(logging) is types.ModuleType, logging.getLogger('x').name)
print(traceback.extract_stack()[-1].name)
loop.close()
"""


def test_libraries_for_errors_are_loaded_at_their_first_use(folder: Path) -> None:
    """Guards against a start that loads what only error reports need.

    Guards also against error reports that are lost because their library is lazy.
    """
    completed = subprocess.run(
        [sys.executable, '-S', '-c', PROBE],
        capture_output=True,
        check=True,
        cwd=folder,
        text=True,
    )
    lazy, *rest = completed.stdout.splitlines()
    assert {'inspect', 'logging', 'subprocess', 'traceback'} <= set(lazy.split())
    assert rest == ['True', 'True x', '<module>']
    assert 'reported by asyncio' in completed.stderr


# Prints the path of a module that the start does not load, and asks its question.
QUESTION = """
import sys
sys.modules['ssl'] = None
import module_bundle
assert module_bundle.install('modules.bundle')
import random
import lycheedeal.platform.program
from lycheedeal import hosting, ids, relay
settings = relay.RelaySettings(
    ids.HostId('a'), ids.Zone('z'), ids.Endpoint('127.0.0.1', 9), 0.5, (), 6
)
context = relay.RelayContext(settings, hosting.SystemClock(), random.Random())
kernel = relay.build_kernel(context)
assert 'lycheedeal.hosting.placement' not in sys.modules
import lycheedeal.hosting.placement as placement
print(placement.__file__)
print(placement.respond(kernel, 'route=r-1').status.name)
"""


def test_placement_is_explained_beside_the_bundle(build_folder: Path) -> None:
    """Guards against a question that fails where only the start is in the bundle.

    The bundle names the folder in which it was built.
    """
    completed = subprocess.run(
        [sys.executable, '-S', '-c', QUESTION],
        capture_output=True,
        check=True,
        cwd=build_folder,
        text=True,
    )
    path, status = completed.stdout.splitlines()
    assert Path(path) == build_folder / 'lycheedeal' / 'hosting' / 'placement.py'
    assert status == 'SERVICE_UNAVAILABLE'
