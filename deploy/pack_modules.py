"""Writes the modules that ``lychee-relay`` loads at its start into a bundle."""

import importlib
import marshal
import sys
from collections.abc import Iterator
from importlib.machinery import SourceFileLoader
from importlib.util import MAGIC_NUMBER
from types import ModuleType

from module_bundle import Entry

# Optimization level of libraries: without assert statements and docstrings.
_STRIPPED = 2
# Optimization level of the own package. Its docstrings stay: a data class without
# one computes it from its signature at the import, which is slow.
_WHOLE = 0
_OWN_PACKAGE = 'lycheedeal'


def main(path: str) -> None:
    """Import the modules of ``lychee-relay`` and write their code to a bundle."""
    # As in deploy/relay.py: asyncio is loaded without TLS.
    sys.modules['ssl'] = None  # type: ignore[assignment]
    for name in ('start', 'program'):
        importlib.import_module(f'{_OWN_PACKAGE}.platform.{name}')
    relay = importlib.import_module(f'{_OWN_PACKAGE}.relay')
    for plugin in relay.RELAY_PLUGINS:
        importlib.import_module(plugin)
    entries_by_name = dict(_entries(tuple(sys.modules.items())))
    with open(path, 'wb') as bundle:
        bundle.write(MAGIC_NUMBER)
        marshal.dump(entries_by_name, bundle)


def _entries(
    modules: tuple[tuple[str, ModuleType | None], ...],
) -> Iterator[tuple[str, Entry]]:
    for name, module in modules:
        spec = getattr(module, '__spec__', None)
        loader = getattr(spec, 'loader', None)
        if not isinstance(loader, SourceFileLoader) or spec.name != name:
            continue
        source = loader.get_data(spec.origin)
        is_own = name.partition('.')[0] == _OWN_PACKAGE
        optimize = _WHOLE if is_own else _STRIPPED
        code = loader.source_to_code(source, spec.origin, _optimize=optimize)
        is_package = spec.submodule_search_locations is not None
        yield name, (marshal.dumps(code), spec.origin, is_package)


if __name__ == '__main__':
    main(sys.argv[1])
