"""Writes the modules that ``lychee-relay`` loads at its start into a bundle."""

import ast
import importlib
import marshal
import os
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from importlib.machinery import ExtensionFileLoader, SourceFileLoader
from importlib.util import MAGIC_NUMBER
from types import MappingProxyType, ModuleType
from typing import Final

from expand_data_classes import NotExpandableError, expand
from module_bundle import Entry

# Optimization level of the compiler: without assert statements and docstrings.
_STRIPPED = 2
_OWN_PACKAGE = 'lycheedeal'
# Libraries that are imported at the start but used only later, such as for an error;
# with the constants that other modules read from them during the start.
_LAZY_LIBRARIES: Final = MappingProxyType(
    {
        'asyncio.sslproto': (),
        'asyncio.staggered': (),
        'concurrent.futures': ('FIRST_COMPLETED', 'FIRST_EXCEPTION', 'ALL_COMPLETED'),
        'inspect': (),
        'linecache': (),
        'logging': ('DEBUG',),
        'subprocess': ('PIPE', 'STDOUT', 'DEVNULL'),
        'traceback': (),
    },
)


# Prints the names of the modules that a start loads.
_PROBE: Final = """
import sys
sys.modules['ssl'] = None
import module_bundle
module_bundle.install(sys.argv[1])
import lycheedeal.platform.start, lycheedeal.platform.program
import lycheedeal.relay
for plugin in lycheedeal.relay.RELAY_PLUGINS:
    __import__(plugin)
print(*sys.modules)
"""


def main(path: str) -> None:
    """Import the modules of ``lychee-relay`` and write their code to a bundle."""
    # As in deploy/relay.py: asyncio is loaded without TLS.
    sys.modules['ssl'] = None  # type: ignore[assignment]
    for name in ('start', 'program'):
        importlib.import_module(f'{_OWN_PACKAGE}.platform.{name}')
    relay = importlib.import_module(f'{_OWN_PACKAGE}.relay')
    for plugin in relay.RELAY_PLUGINS:
        importlib.import_module(plugin)
    entries_by_name = dict((*_entries(tuple(_sources())), *_extensions()))
    _write(path, entries_by_name)
    # Now that the lazy libraries are lazy, much of what they import is not needed.
    loaded = _loaded_with(path)
    needed = {
        module_name: entry
        for module_name, entry in entries_by_name.items()
        if module_name in loaded
    }
    _write(path, needed)


def _write(path: str, entries_by_name: dict[str, Entry]) -> None:
    with open(path, 'wb') as bundle:
        bundle.write(MAGIC_NUMBER + marshal.dumps(entries_by_name))


def _loaded_with(path: str) -> frozenset[str]:
    """Return the names of the modules that a start with the bundle loads."""
    probe = subprocess.run(
        [sys.executable, '-S', '-c', _PROBE, path],
        cwd=os.path.dirname(path),
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    )
    return frozenset(probe.stdout.split())


@dataclass(frozen=True, slots=True)
class _Source:
    """Source of an imported module; ``path`` is that of its file."""

    module: ModuleType
    loader: SourceFileLoader
    path: str
    content: bytes

    @property
    def name(self) -> str:
        return self.module.__name__

    @property
    def is_own(self) -> bool:
        return self.name.partition('.')[0] == _OWN_PACKAGE

    @property
    def is_package(self) -> bool:
        return hasattr(self.module, '__path__')


def _sources() -> Iterator[_Source]:
    for name, module in tuple(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        loader = getattr(spec, 'loader', None)
        if isinstance(loader, SourceFileLoader) and spec.name == name:
            yield _Source(module, loader, spec.origin, loader.get_data(spec.origin))


def _entries(sources: tuple[_Source, ...]) -> Iterator[tuple[str, Entry]]:
    trees_by_name = _expand_own(sources)
    for source in sources:
        names = _LAZY_LIBRARIES.get(source.name)
        constants = None
        if names is not None:
            constants = {name: getattr(source.module, name) for name in names}
        code = source.loader.source_to_code(
            trees_by_name.get(source.name, source.content),
            source.path,
            _optimize=_STRIPPED,
        )
        packed = marshal.dumps(code) if constants is None else None
        yield source.name, (packed, source.path, source.is_package, constants)


def _extensions() -> Iterator[tuple[str, Entry]]:
    """Yield the loaded extensions; with their paths no folder is searched."""
    for name, module in tuple(sys.modules.items()):
        spec = getattr(module, '__spec__', None)
        loader = getattr(spec, 'loader', None)
        if isinstance(loader, ExtensionFileLoader) and spec.name == name:
            yield name, (None, spec.origin, False, None)


def _expand_own(sources: tuple[_Source, ...]) -> dict[str, ast.Module]:
    """Return the trees of all own modules; none if one cannot be expanded."""
    try:
        return {
            source.name: expand(source.content, source.path)
            for source in sources
            if source.is_own
        }
    except NotExpandableError as error:
        sys.stderr.write(f'pack_modules: data classes are not written out: {error}\n')
        return {}


if __name__ == '__main__':
    main(sys.argv[1])
