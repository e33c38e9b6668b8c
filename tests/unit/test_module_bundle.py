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


@pytest.fixture(scope='module')
def build_folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a folder as deploy/build.sh fills it, without the libraries."""
    folder = tmp_path_factory.mktemp('deps')
    shutil.copytree(ROOT / 'src' / 'lycheedeal', folder / 'lycheedeal')
    for name in ('relay.py', 'module_bundle.py', 'pack_modules.py'):
        shutil.copy(ROOT / 'deploy' / name, folder)
    subprocess.run(
        [sys.executable, folder / 'pack_modules.py', folder / BUNDLE], check=True
    )
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


def test_missing_bundle_is_ignored(folder: Path) -> None:
    (folder / BUNDLE).unlink()
    assert SETTINGS_ERROR in run_relay(folder).stderr


def test_bundle_contains_relay_plugins(build_folder: Path) -> None:
    content = (build_folder / BUNDLE).read_bytes()
    entries_by_name = marshal.loads(content[len(MAGIC_NUMBER) :])
    assert 'lycheedeal.relay.zone' in entries_by_name
    assert 'asyncio' in entries_by_name
    assert 'ssl' not in entries_by_name
